package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/comparer"
)

// compareCommand returns the command that compares the routing policies in a simulation.
func compareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "run the same seeded load through each routing policy, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "kiyome", Usage: "kiyome or recife"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and of the faults"},
			&cli.IntFlag{Name: "requests", Value: comparer.DefaultRequests, Usage: "number of calls"},
			&cli.FloatFlag{Name: "load", Value: comparer.DefaultLoad, Usage: "rate of calls as a fraction of the capacity"},
			&cli.FloatFlag{Name: "deferrable", Value: 1, Usage: "factor that multiplies the rate of deferrable calls"},
			&cli.StringFlag{Name: "fault", Value: string(comparer.FaultNone), Usage: "none, crash, shift, lag or herd"},
			&cli.StringFlag{Name: "policies", Usage: "policies to run, separated by commas; all by default"},
			&cli.StringFlag{Name: "plot", Usage: "write an SVG chart to this file"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line"},
		},
		Action: runCompare,
	}
}

func runCompare(_ context.Context, command *cli.Command) error {
	settings, err := compareSettings(command)
	if err != nil {
		return err
	}
	results, err := comparer.Compare(settings)
	if err != nil {
		return err
	}
	if path := command.String("plot"); path != "" {
		if err := writeChart(path, settings, results); err != nil {
			return err
		}
	}
	if command.Bool("json") {
		return printCompareJSON(command.Root().Writer, results)
	}
	printCompareTable(command.Root().Writer, results)
	return nil
}

func compareSettings(command *cli.Command) (settings comparer.Settings, err error) {
	deployment, err := comparer.DeploymentByName(command.String("deployment"))
	if err != nil {
		return comparer.Settings{}, err
	}
	settings = comparer.Settings{
		Deployment:       deployment,
		Seed:             command.Uint64("seed"),
		Requests:         command.Int("requests"),
		Load:             command.Float("load"),
		DeferrableFactor: command.Float("deferrable"),
		Fault:            comparer.Fault(command.String("fault")),
	}
	if policies := command.String("policies"); policies != "" {
		for name := range strings.SplitSeq(policies, ",") {
			settings.Policies = append(settings.Policies, comparer.PolicyName(name))
		}
	}
	return settings, nil
}

func writeChart(path string, settings comparer.Settings, results []comparer.Result) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return comparer.WriteChart(file, settings, results)
}

// compareLine is the JSON encoding of a result.
type compareLine struct {
	Policy             string  `json:"policy"`
	HitRate            float64 `json:"hit_rate"`
	TTFT50             float64 `json:"ttft_p50_ms"`
	TTFT99             float64 `json:"ttft_p99_ms"`
	RecomputedTokens   int     `json:"recomputed_tokens"`
	Refused            int     `json:"refused"`
	Lost               int     `json:"lost"`
	Doubled            int     `json:"doubled"`
	Mixed              int     `json:"mixed"`
	ControlBytes       int     `json:"control_bytes"`
	DeferrableTTFT99   float64 `json:"deferrable_ttft_p99_ms"`
	AllTTFT99          float64 `json:"all_ttft_p99_ms"`
	Requests           int     `json:"requests"`
	ControlEvents      int     `json:"control_events"`
	CapacityPerSecond  float64 `json:"capacity_per_second"`
	VirtualTimeSeconds float64 `json:"virtual_time_seconds"`
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func printCompareJSON(writer io.Writer, results []comparer.Result) error {
	encoder := json.NewEncoder(writer)
	for _, r := range results {
		err := encoder.Encode(compareLine{
			Policy:             string(r.Policy),
			HitRate:            r.HitRate,
			TTFT50:             milliseconds(r.TTFT50),
			TTFT99:             milliseconds(r.TTFT99),
			RecomputedTokens:   r.RecomputedTokens,
			Refused:            r.Refused,
			Lost:               r.Lost,
			Doubled:            r.Doubled,
			Mixed:              r.Mixed,
			ControlBytes:       r.ControlBytes,
			DeferrableTTFT99:   milliseconds(r.DeferrableTTFT99),
			AllTTFT99:          milliseconds(r.AllTTFT99),
			Requests:           r.Requests,
			ControlEvents:      r.Events,
			CapacityPerSecond:  r.Capacity,
			VirtualTimeSeconds: r.Duration.Seconds(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func printCompareTable(writer io.Writer, results []comparer.Result) {
	fmt.Fprintln(writer, "| policy | hit rate | ttft p50 ms | ttft p99 ms | deferrable p99 ms | recomputed tokens | refused | lost | doubled | mixed |")
	fmt.Fprintln(writer, "| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: |")
	for _, r := range results {
		fmt.Fprintf(writer, "| %s | %.3f | %.0f | %.0f | %.0f | %d | %d | %d | %d | %d |\n",
			r.Policy, r.HitRate, milliseconds(r.TTFT50), milliseconds(r.TTFT99), milliseconds(r.DeferrableTTFT99),
			r.RecomputedTokens, r.Refused, r.Lost, r.Doubled, r.Mixed)
	}
}
