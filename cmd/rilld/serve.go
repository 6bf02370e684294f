package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/runner"
)

// memoryLimitRatio is the soft memory limit of the Go runtime as a fraction of the memory of the process.
const memoryLimitRatio = 0.65

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings file, in JSON with comments", Required: true}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "serve callers until SIGTERM or SIGINT, then drain",
		Flags: []cli.Flag{
			configFlag(),
			&cli.BoolFlag{Name: "log", Usage: "log to standard error", Value: true},
			&cli.StringSliceFlag{Name: "log-output", Usage: "components whose debug lines are logged, such as router,dispatcher, or all"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, command *cli.Command) error {
	reloads := notifyReloads()
	settings, err := loader.Load(command.String("config"))
	if err != nil {
		return printFaults(err)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.Limits.MemoryBytes)))
	daemonSettings := runner.Settings{Settings: settings}
	if command.Bool("log") {
		daemonSettings.LogOutput = os.Stderr
		daemonSettings.DebugComponents = command.StringSlice("log-output")
	}
	daemon, err := runner.New(ctx, daemonSettings)
	if err != nil {
		return err
	}
	// followSettings blocks until SIGTERM or SIGINT ends ctx.
	followSettings(ctx, reloads, command.String("config"), daemon.Reload, daemon.LogReloadFailure)
	return daemon.Shutdown()
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and list all its faults",
		Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, command *cli.Command) error {
			if _, err := loader.Load(command.String("config")); err != nil {
				return printFaults(err)
			}
			fmt.Println("the settings are valid")
			return nil
		},
	}
}

// printFaults prints all faults of a settings file to standard error, one per line, and returns an
// error with their number. Other errors are returned unchanged.
func printFaults(err error) error {
	var faults *locator.FaultsError
	if !errors.As(err, &faults) {
		return err
	}
	for _, fault := range faults.Faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	return fmt.Errorf("the settings have %d faults", len(faults.Faults))
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "list all settings with their defaults",
		Action: func(context.Context, *cli.Command) error {
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "SETTING\tDEFAULT\tMEANING")
			for _, field := range loader.Describe() {
				fmt.Fprintf(table, "%s\t%s\t%s\n", field.Name, field.Default, field.Meaning)
			}
			return table.Flush()
		},
	}
}
