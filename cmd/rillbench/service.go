package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run an emulator of a plain service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.DurationFlag{Name: "delay", Usage: "processing time of an order"},
			&cli.StringFlag{Name: "crash-text", Usage: "text of a body that crashes the service"},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, command *cli.Command) error {
	service := serviceemulator.New(serviceemulator.Settings{
		Delay:   command.Duration("delay"),
		Faults:  serviceemulator.Faults{CrashText: command.String("crash-text")},
		OnCrash: func() { os.Exit(crashStatus) },
	})
	defer func() { _ = service.Close() }()
	address, err := listenAddress(command)
	if err != nil {
		return err
	}
	if err := service.Start(address); err != nil {
		return err
	}
	fmt.Printf("service: listening on %s\n", service.Address())
	<-ctx.Done()
	return nil
}
