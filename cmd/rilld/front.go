package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/assembler"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

// settingsCheckInterval is how often the settings file is checked for changes without a signal.
const settingsCheckInterval = 2 * time.Second

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "serve callers on a hosting platform until SIGTERM or SIGINT, then drain",
		Flags: []cli.Flag{
			configFlag(),
			&cli.StringSliceFlag{Name: "log-output", Usage: "components whose debug lines are logged, such as relayer,upgrader, or all"},
		},
		Action: front,
	}
}

func front(ctx context.Context, command *cli.Command) error {
	reloads := notifyReloads()
	path := command.String("config")
	settings, err := loader.Load(path)
	if err != nil {
		return printFaults(err)
	}
	daemon, err := assembler.New(context.WithoutCancel(ctx), assembler.Settings{
		Settings: settings, LogOutput: os.Stdout, DebugComponents: command.StringSlice("log-output"),
	})
	if err != nil {
		return err
	}
	followSettings(ctx, reloads, path, daemon.Reload, daemon.LogReloadFailure)
	return daemon.Shutdown()
}

// notifyReloads returns a channel that receives SIGHUP, the signal to reload the settings. It must be
// called before anything else, since an unhandled SIGHUP terminates the process.
func notifyReloads() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// followSettings reloads the settings at each SIGHUP and each change of the file, until ctx ends.
func followSettings(ctx context.Context, signals <-chan os.Signal, path string, reload func(loader.Settings), logFailure func(error)) {
	timer := time.NewTicker(settingsCheckInterval)
	defer timer.Stop()
	lastModified := modificationTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-timer.C:
			if modificationTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(path)
		settings, err := loader.Load(path)
		if err != nil {
			logFailure(err)
			continue
		}
		reload(settings)
	}
}

// modificationTime returns the modification time of the file, or zero if it is unavailable.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
