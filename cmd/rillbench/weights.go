package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
)

const weightsHeaderTimeout = 5 * time.Second

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "run an emulator of the weight store that engines share",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.DurationFlag{Name: "load-time", Value: engineemulator.DefaultWeightLoadTime, Usage: "time of one load"},
			&cli.IntFlag{
				Name: "max-loads", Value: engineemulator.DefaultMaxLoads,
				Usage: "concurrent loads that do not slow each other down",
			},
		},
		Action: runWeights,
	}
}

func runWeights(ctx context.Context, command *cli.Command) error {
	store := engineemulator.NewWeightStore(engineemulator.WeightStoreSettings{
		LoadTime: command.Duration("load-time"),
		MaxLoads: command.Int("max-loads"),
	})
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: store, ReadHeaderTimeout: weightsHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Printf("weights: listening on %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
