// Command rilld is the daemon of an entry host.
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
		Usage:    "the daemon of an entry host",
		Commands: []*cli.Command{serveCommand(), frontCommand(), checkCommand(), settingsCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rilld:", err)
		os.Exit(1)
	}
}
