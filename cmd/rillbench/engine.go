package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
)

// crashStatus is the exit status of an emulator after an injected crash.
const crashStatus = 3

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run an emulator of a model engine",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.StringSliceFlag{Name: "weights", Value: []string{"demo-1"}, Usage: "weights that are loaded"},
			&cli.StringSliceFlag{Name: "adapters", Usage: "adapters that are loaded"},
			&cli.IntFlag{Name: "slots", Value: engineemulator.DefaultSlots, Usage: "concurrent runs"},
			&cli.IntFlag{Name: "cache-blocks", Value: engineemulator.DefaultCacheBlocks, Usage: "size of the prefix cache in blocks"},
			&cli.IntFlag{Name: "block-tokens", Value: engineemulator.DefaultBlockTokens, Usage: "tokens per block"},
			&cli.FloatFlag{
				Name: "prefill-tokens-per-second", Value: engineemulator.DefaultPrefillTokensPerSecond,
				Usage: "prefill rate",
			},
			&cli.DurationFlag{Name: "decode-step", Value: engineemulator.DefaultDecodeStep, Usage: "time per generated token"},
			&cli.DurationFlag{Name: "load-lag", Value: 200 * time.Millisecond, Usage: "age of the values in load reports"},
			&cli.DurationFlag{Name: "event-delay", Value: 200 * time.Millisecond, Usage: "delay from a cache change to the publication of its event"},
			&cli.IntFlag{Name: "event-gap-one-in", Value: 20, Usage: "drop 1 in N cache events"},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "accept orders with stale fencing tokens"},
			&cli.StringFlag{Name: "weight-store", Usage: "address of a shared weight store"},
			&cli.StringFlag{Name: "crash-text", Usage: "text of a prompt that crashes the engine"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random faults"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, command *cli.Command) error {
	settings := engineemulator.Settings{
		Weights:                command.StringSlice("weights"),
		Adapters:               command.StringSlice("adapters"),
		Slots:                  command.Int("slots"),
		CacheBlocks:            command.Int("cache-blocks"),
		BlockTokens:            command.Int("block-tokens"),
		PrefillTokensPerSecond: command.Float("prefill-tokens-per-second"),
		DecodeStep:             command.Duration("decode-step"),
		LoadLag:                command.Duration("load-lag"),
		CacheEventDelay:        command.Duration("event-delay"),
		CacheEventGapOneIn:     command.Int("event-gap-one-in"),
		IgnoreFencing:          command.Bool("ignore-fencing"),
		Faults:                 engineemulator.Faults{CrashText: command.String("crash-text")},
		Seed:                   command.Uint64("seed"),
		OnCrash:                func() { os.Exit(crashStatus) },
	}
	if address := command.String("weight-store"); address != "" {
		store, err := netip.ParseAddrPort(address)
		if err != nil {
			return err
		}
		settings.WeightStore = &engineemulator.RemoteWeightStore{Address: store}
	}
	engine := engineemulator.New(settings)
	defer func() { _ = engine.Close() }()
	address, err := listenAddress(command)
	if err != nil {
		return err
	}
	if err := engine.Start(address); err != nil {
		return err
	}
	fmt.Printf("engine: listening on %s\n", engine.Address())
	<-ctx.Done()
	return nil
}
