// Command rilld runs the rosemaryrill daemon, which routes callers' requests to targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "rilld",
		Usage:    "route requests to model engines and services",
		Commands: []*cli.Command{serveCommand(), frontCommand(), checkCommand(), settingsCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rilld:", err)
		os.Exit(1)
	}
}
