package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/sizer"
)

// capacityCommand returns the command that measures the resource use of a daemon in data centres of several sizes.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "start data centres of several sizes in this process and measure the resource use of a daemon",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sizes", Value: "3x12,6x12,9x12,12x12,3x3,3x48", Usage: "daemons x targets, separated by commas"},
			&cli.FloatFlag{Name: "changes", Usage: "configuration changes per second"},
			&cli.DurationFlag{Name: "duration", Value: 15 * time.Second, Usage: "length of the measurement of each size"},
			&cli.DurationFlag{Name: "settle", Value: 8 * time.Second, Usage: "wait before each measurement"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object per line"},
		},
		Action: runCapacity,
	}
}

func runCapacity(ctx context.Context, command *cli.Command) error {
	writer := command.Root().Writer
	if !command.Bool("json") {
		printCapacityHeader(writer)
	}
	for text := range strings.SplitSeq(command.String("sizes"), ",") {
		daemons, targets, err := parseSize(text)
		if err != nil {
			return err
		}
		row, err := sizer.Measure(ctx, sizer.Settings{
			Daemons:          daemons,
			Targets:          targets,
			ChangesPerSecond: command.Float("changes"),
			SettleTime:       command.Duration("settle"),
			Duration:         command.Duration("duration"),
		})
		if err != nil {
			return err
		}
		if err := printCapacity(writer, row, command.Bool("json")); err != nil {
			return err
		}
	}
	return nil
}

func parseSize(text string) (daemons, targets int, err error) {
	first, second, ok := strings.Cut(text, "x")
	if !ok {
		return 0, 0, fmt.Errorf("invalid size, want daemons x targets such as 3x12: %q", text)
	}
	if daemons, err = strconv.Atoi(first); err != nil {
		return 0, 0, err
	}
	targets, err = strconv.Atoi(second)
	return daemons, targets, err
}

type wireCapacity struct {
	Daemons        int                `json:"daemons"`
	Targets        int                `json:"targets"`
	Changes        int                `json:"changes"`
	ChangesFailed  int                `json:"changes_failed"`
	Seconds        float64            `json:"seconds"`
	DaemonBodies   float64            `json:"daemon_body_bytes_per_second"`
	DaemonBytes    float64            `json:"daemon_bytes_per_second"`
	TargetBytes    float64            `json:"target_bytes_per_second"`
	PlatformBytes  float64            `json:"platform_bytes_per_second"`
	PlatformCalls  map[string]float64 `json:"platform_calls_per_second"`
	Goroutines     float64            `json:"goroutines"`
	HeapBytes      float64            `json:"heap_bytes"`
	ProcessorShare float64            `json:"processor_share"`
}

func printCapacityHeader(writer io.Writer) {
	fmt.Fprintln(writer, "| daemons | targets | changes (failed) | B/s between daemons, bodies | with headers | B/s with targets | B/s with the platform | goroutines | heap MB | core % | platform calls/s of the data centre |")
	fmt.Fprintln(writer, "| --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --- |")
}

func printCapacity(writer io.Writer, row sizer.Measurement, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(writer).Encode(wireCapacity{
			Daemons: row.Daemons, Targets: row.Targets, Changes: row.Changes, ChangesFailed: row.ChangesFailed,
			Seconds: row.Duration.Seconds(), DaemonBodies: row.DaemonBodyBytes, DaemonBytes: row.DaemonBytes,
			TargetBytes: row.TargetBytes, PlatformBytes: row.PlatformBytes, PlatformCalls: row.PlatformCalls,
			Goroutines: row.Goroutines, HeapBytes: row.HeapBytes, ProcessorShare: row.ProcessorShare,
		})
	}
	var calls []string
	for _, call := range slices.Sorted(maps.Keys(row.PlatformCalls)) {
		if row.PlatformCalls[call] > 0 {
			calls = append(calls, fmt.Sprintf("%s %.2f", call, row.PlatformCalls[call]))
		}
	}
	_, err := fmt.Fprintf(writer, "| %d | %d | %d (%d) | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.2f | %s |\n",
		row.Daemons, row.Targets, row.Changes, row.ChangesFailed, row.DaemonBodyBytes, row.DaemonBytes, row.TargetBytes,
		row.PlatformBytes, row.Goroutines, row.HeapBytes/(1<<20), row.ProcessorShare*100, strings.Join(calls, ", "))
	return err
}
