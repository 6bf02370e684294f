// Command rillbench runs the emulators, the load generator, the benchmarks and the quickstart.
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
		Name:     "rillbench",
		Usage:    "emulators, load generation and benchmarks for rosemaryrill",
		Commands: commands(),
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rillbench:", err)
		os.Exit(1)
	}
}
