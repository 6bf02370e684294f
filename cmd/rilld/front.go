package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/assembler"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:   "front",
		Usage:  "serve callers on a hosting platform until SIGTERM or SIGINT, then drain",
		Flags:  []cli.Flag{configFlag()},
		Action: front,
	}
}

func front(ctx context.Context, command *cli.Command) error {
	settings, err := loader.Load(command.String("config"))
	if err != nil {
		return describe(err)
	}
	daemon, err := assembler.New(context.WithoutCancel(ctx), assembler.Settings{Settings: settings, LogOutput: os.Stdout})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return daemon.Shutdown()
}
