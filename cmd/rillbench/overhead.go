package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/launcher"
	"github.com/rosemaryrill/rosemaryrill/loadgenerator"
)

const (
	// defaultPairRate is the default rate of pairs of calls per second.
	defaultPairRate = 12.0
	// defaultPairDecodeStep is short, since a call waits for the end of the engine's current step, and
	// a long wait would mask the overhead of the daemon.
	defaultPairDecodeStep = time.Millisecond
	pairSlots             = 64
	// instantPrefillRate is a prefill rate at which uncached prompts take no longer than cached ones.
	instantPrefillRate = 1e9
)

// overheadCommand returns the command that compares direct calls with the same calls through a daemon.
func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "send the same calls to an engine directly and through a daemon, in turn, and compare",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Value: defaultPairRate, Usage: "pairs of calls per second"},
			&cli.DurationFlag{Name: "duration", Value: loadgenerator.DefaultDuration, Usage: "how long to send"},
			&cli.IntFlag{Name: "prompt-tokens", Value: loadgenerator.DefaultPromptTokens, Usage: "length of a prompt"},
			&cli.IntFlag{Name: "max-tokens", Value: loadgenerator.DefaultMaxTokens, Usage: "length of an answer"},
			&cli.DurationFlag{Name: "decode-step", Value: defaultPairDecodeStep, Usage: "time per generated token at the engine started here"},
			&cli.IntFlag{Name: "daemons", Value: 1, Usage: "daemons started here; the first one is called"},
			&cli.BoolFlag{Name: "unique", Usage: "give each pair a distinct prompt; the engine started here then has a negligible prefill time"},
			&cli.StringFlag{Name: "engine", Usage: "URL of the engine; with --url, nothing is started here"},
			&cli.StringFlag{Name: "url", Usage: "callers' port of a daemon whose only target is the engine"},
			&cli.StringFlag{Name: "key", Value: launcher.DemoKey, Usage: "caller's key"},
			&cli.StringFlag{Name: "account", Value: launcher.DemoAccount, Usage: "account of the key"},
			&cli.StringFlag{Name: "model", Value: launcher.DemoModel, Usage: "model to call"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: runOverhead,
	}
}

func runOverhead(ctx context.Context, command *cli.Command) error {
	settings := loadgenerator.PairSettings{
		Engine:        command.String("engine"),
		Daemon:        command.String("url"),
		Key:           command.String("key"),
		Account:       command.String("account"),
		Model:         command.String("model"),
		Rate:          command.Float("rate"),
		Duration:      command.Duration("duration"),
		PromptTokens:  command.Int("prompt-tokens"),
		MaxTokens:     command.Int("max-tokens"),
		Seed:          command.Uint64("seed"),
		UniquePrompts: command.Bool("unique"),
	}
	if settings.Engine == "" || settings.Daemon == "" {
		fleet, err := launcher.Start(ctx, launcher.Settings{
			Daemons: command.Int("daemons"),
			Engines: 1,
			Engine:  pairEngine(command),
		})
		if err != nil {
			return err
		}
		defer func() { _ = fleet.Close() }()
		settings.Engine = "http://" + fleet.Engines[0].Address().String()
		settings.Daemon = fleet.URL()
	}
	result, err := loadgenerator.RunPairs(ctx, settings)
	if err != nil {
		return err
	}
	return printOverhead(command, result)
}

func pairEngine(command *cli.Command) engineemulator.Settings {
	settings := engineemulator.Settings{DecodeStep: command.Duration("decode-step"), Slots: pairSlots}
	if command.Bool("unique") {
		settings.PrefillTokensPerSecond = instantPrefillRate
	}
	return settings
}

type wireOverhead struct {
	wireCounts
	Pairs       int       `json:"pairs"`
	Direct      wireTimes `json:"direct_first_token"`
	Routed      wireTimes `json:"routed_first_token"`
	DirectTotal wireTimes `json:"direct_total"`
	RoutedTotal wireTimes `json:"routed_total"`
	Difference  wireTimes `json:"difference_first_token"`
	Added50     float64   `json:"added_p50_ms"`
	Added99     float64   `json:"added_p99_ms"`
}

func printOverhead(command *cli.Command, result loadgenerator.PairResult) error {
	writer := command.Root().Writer
	if command.Bool("json") {
		return json.NewEncoder(writer).Encode(wireOverhead{
			wireCounts:  wireCounts(result.Counts),
			Pairs:       result.Pairs,
			Direct:      timesToWire(result.Direct),
			Routed:      timesToWire(result.Routed),
			DirectTotal: timesToWire(result.DirectTotal),
			RoutedTotal: timesToWire(result.RoutedTotal),
			Difference:  timesToWire(result.Difference),
			Added50:     milliseconds(result.AddedP50),
			Added99:     milliseconds(result.AddedP99),
		})
	}
	printCounts(writer, result.Counts)
	fmt.Fprintf(writer, "added to the first token: %v at the median, %v at the 99th percentile\n\n",
		result.AddedP50.Round(time.Microsecond), result.AddedP99.Round(time.Microsecond))
	printTimes(writer,
		[]string{"direct, first token", "routed, first token", "difference in a pair", "direct, total", "routed, total"},
		[]loadgenerator.Times{result.Direct, result.Routed, result.Difference, result.DirectTotal, result.RoutedTotal})
	return nil
}
