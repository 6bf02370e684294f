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

// settingsCheck is how often the file of settings is looked at for a change without a signal.
const settingsCheck = 2 * time.Second

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "serve callers on a hosting platform until SIGTERM or SIGINT, then drain",
		Flags: []cli.Flag{
			configFlag(),
			&cli.StringSliceFlag{Name: "log-output", Usage: "parts whose debug lines are logged, such as relayer,upgrader, or all"},
		},
		Action: front,
	}
}

func front(ctx context.Context, command *cli.Command) error {
	reloads := notifyReloads()
	path := command.String("config")
	settings, err := loader.Load(path)
	if err != nil {
		return describe(err)
	}
	daemon, err := assembler.New(context.WithoutCancel(ctx), assembler.Settings{
		Settings: settings, LogOutput: os.Stdout, LogParts: command.StringSlice("log-output"),
	})
	if err != nil {
		return err
	}
	followSettings(ctx, reloads, path, daemon.Reload, daemon.ReloadFailed)
	return daemon.Shutdown()
}

// notifyReloads returns the signals to read the settings again. It is called before anything else, as
// such a signal ends a process that does not expect it.
func notifyReloads() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// followSettings reads the settings again at each SIGHUP and each change of the file, until ctx ends.
func followSettings(ctx context.Context, signals <-chan os.Signal, path string, reload func(loader.Settings), failed func(error)) {
	timer := time.NewTicker(settingsCheck)
	defer timer.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-timer.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		settings, err := loader.Load(path)
		if err != nil {
			failed(err)
			continue
		}
		reload(settings)
	}
}

// modified returns when the file was changed last; zero where it cannot be told.
func modified(path string) time.Time {
	about, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return about.ModTime()
}
