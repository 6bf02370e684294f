package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/loadgenerator"
)

// loadCommand returns the command that generates load on running daemons.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to running daemons by a schedule and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "callers' port of a daemon, such as http://127.0.0.1:8080; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "key", Usage: "caller's key; may be repeated", Required: true},
			&cli.StringFlag{Name: "model", Usage: "model to call", Required: true},
			&cli.FloatFlag{Name: "rate", Value: loadgenerator.DefaultRate, Usage: "requests per second"},
			&cli.DurationFlag{Name: "duration", Value: loadgenerator.DefaultDuration, Usage: "how long to send"},
			&cli.FloatFlag{Name: "streams", Value: 1, Usage: "weight of streamed model calls among the requests"},
			&cli.FloatFlag{Name: "plain", Usage: "weight of model calls without streaming among the requests"},
			&cli.FloatFlag{Name: "orders", Usage: "weight of orders among the requests; each order is sent twice"},
			&cli.IntFlag{Name: "prompt-tokens", Value: loadgenerator.DefaultPromptTokens, Usage: "length of a prompt"},
			&cli.IntFlag{Name: "prefixes", Value: loadgenerator.DefaultPrefixes, Usage: "number of shared prompt prefixes"},
			&cli.IntFlag{Name: "max-tokens", Value: loadgenerator.DefaultMaxTokens, Usage: "length of an answer"},
			&cli.StringFlag{Name: "class", Usage: "interactive or deferrable"},
			&cli.StringFlag{Name: "service", Usage: "URL of the service emulator, which counts how often each order ran"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the schedule"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	result, err := loadgenerator.Run(ctx, loadgenerator.Settings{
		URLs:     command.StringSlice("url"),
		Keys:     command.StringSlice("key"),
		Model:    command.String("model"),
		Class:    command.String("class"),
		Rate:     command.Float("rate"),
		Duration: command.Duration("duration"),
		Shares: loadgenerator.Shares{
			Streams: command.Float("streams"),
			Plain:   command.Float("plain"),
			Orders:  command.Float("orders"),
		},
		PromptTokens: command.Int("prompt-tokens"),
		Prefixes:     command.Int("prefixes"),
		MaxTokens:    command.Int("max-tokens"),
		ServiceURL:   command.String("service"),
		Seed:         command.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	if command.Bool("json") {
		err = json.NewEncoder(command.Root().Writer).Encode(loadToWire(result))
	} else {
		printLoad(command.Root().Writer, result)
	}
	if err != nil {
		return err
	}
	if !result.Counts.AnswersCorrect() {
		return cli.Exit("answers were lost, doubled or mixed", 1)
	}
	return nil
}

type wireTimes struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func timesToWire(times loadgenerator.Times) wireTimes {
	return wireTimes{
		Count: times.Count,
		P50:   milliseconds(times.P50),
		P90:   milliseconds(times.P90),
		P99:   milliseconds(times.P99),
		Max:   milliseconds(times.Max),
	}
}

type wireCounts struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	Lost     int `json:"lost"`
	Doubled  int `json:"doubled"`
	Mixed    int `json:"mixed"`
	Refused  int `json:"refused"`
}

type wireLoad struct {
	wireCounts
	Codes         map[string]int `json:"refused_by_code"`
	FirstToken    wireTimes      `json:"first_token"`
	BetweenTokens wireTimes      `json:"between_tokens"`
	Total         wireTimes      `json:"total"`
	Late          wireTimes      `json:"started_late"`
	PromptTokens  int            `json:"prompt_tokens"`
	CachedTokens  int            `json:"cached_tokens"`
}

func loadToWire(result loadgenerator.Result) wireLoad {
	return wireLoad{
		wireCounts:    wireCounts(result.Counts),
		Codes:         result.Codes,
		FirstToken:    timesToWire(result.FirstToken),
		BetweenTokens: timesToWire(result.BetweenTokens),
		Total:         timesToWire(result.Total),
		Late:          timesToWire(result.StartDelay),
		PromptTokens:  result.PromptTokens,
		CachedTokens:  result.CachedTokens,
	}
}

func printLoad(writer io.Writer, result loadgenerator.Result) {
	printCounts(writer, result.Counts)
	for _, code := range slices.Sorted(maps.Keys(result.Codes)) {
		fmt.Fprintf(writer, "refused with %s: %d\n", code, result.Codes[code])
	}
	fmt.Fprintf(writer, "prompt tokens %d, of which cached %d\n\n", result.PromptTokens, result.CachedTokens)
	printTimes(writer, []string{"first token", "between tokens", "total", "started late"},
		[]loadgenerator.Times{result.FirstToken, result.BetweenTokens, result.Total, result.StartDelay})
}

func printCounts(writer io.Writer, counts checker.Counts) {
	fmt.Fprintf(writer, "requests %d, complete %d, lost %d, doubled %d, mixed %d, refused %d\n",
		counts.Requests, counts.Complete, counts.Lost, counts.Doubled, counts.Mixed, counts.Refused)
}

func printTimes(writer io.Writer, names []string, rows []loadgenerator.Times) {
	fmt.Fprintln(writer, "| time | count | p50 | p90 | p99 | max |")
	fmt.Fprintln(writer, "| --- | --: | --: | --: | --: | --: |")
	for i, times := range rows {
		fmt.Fprintf(writer, "| %s | %d | %v | %v | %v | %v |\n", names[i], times.Count,
			times.P50.Round(time.Microsecond), times.P90.Round(time.Microsecond),
			times.P99.Round(time.Microsecond), times.Max.Round(time.Microsecond))
	}
}
