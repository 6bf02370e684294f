package presenter

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

type wireReport struct {
	From    time.Time   `json:"from"`
	To      time.Time   `json:"to"`
	Entries []wireEntry `json:"entries"`
	Gaps    []wireGap   `json:"gaps"`
}

type wireEntry struct {
	Time       time.Time `json:"time"`
	Until      time.Time `json:"until"`
	Daemon     string    `json:"daemon"`
	DataCentre string    `json:"data_centre"`
	Account    string    `json:"account,omitempty"`
	Kind       string    `json:"kind"`
	Code       string    `json:"code"`
	Run        string    `json:"run,omitempty"`
	Target     string    `json:"target,omitempty"`
	Count      int       `json:"count"`
	Open       bool      `json:"open,omitempty"`
}

type wireGap struct {
	Daemon     string    `json:"daemon"`
	DataCentre string    `json:"data_centre"`
	From       time.Time `json:"from"`
	To         time.Time `json:"to,omitzero"`
	Batches    uint64    `json:"batches,omitempty"`
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "list outages, refusals and gaps of the record over a range of time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "from", Usage: "start of the range: a time such as 2026-12-04T08:00:00Z, or a duration before now such as 24h", Value: "24h", DefaultText: "24h"},
			&cli.StringFlag{Name: "to", Usage: "end of the range, in the same forms", Value: "0s", DefaultText: "0s"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			now := time.Now()
			from, err := timeFlag(command, "from", now)
			if err != nil {
				return err
			}
			to, err := timeFlag(command, "to", now)
			if err != nil {
				return err
			}
			if !from.Before(to) {
				return &UsageError{Message: "report: --from is not before --to"}
			}
			return withClient(ctx, command, func(ctx context.Context, client *operator.Client) error {
				report, err := client.Report(ctx, from, to)
				if err != nil {
					return err
				}
				wire := reportToWire(report)
				return show(command, wire, wire.print)
			})
		},
	}
}

// timeFlag parses a flag that is a time, or a duration before now.
func timeFlag(command *cli.Command, flag string, now time.Time) (at time.Time, err error) {
	text := command.String(flag)
	if at, err = time.Parse(time.RFC3339, text); err == nil {
		return at, nil
	}
	before, err := time.ParseDuration(text)
	if err != nil || before < 0 {
		return time.Time{}, &UsageError{Message: fmt.Sprintf("report: --%s %q is neither a time such as 2026-12-04T08:00:00Z nor a duration such as 24h", flag, text)}
	}
	return now.Add(-before), nil
}

func reportToWire(report reporter.Report) *wireReport {
	wire := &wireReport{From: report.From, To: report.To, Entries: []wireEntry{}, Gaps: []wireGap{}}
	for _, entry := range report.Entries {
		wire.Entries = append(wire.Entries, wireEntry{
			Time:       entry.Time,
			Until:      entry.Until,
			Daemon:     entry.Daemon,
			DataCentre: entry.DataCentre,
			Account:    entry.Account,
			Kind:       string(entry.Kind),
			Code:       entry.Code,
			Run:        string(entry.Run),
			Target:     entry.Subject,
			Count:      entry.Count,
			Open:       entry.Open,
		})
	}
	for _, gap := range report.Gaps {
		wire.Gaps = append(wire.Gaps, wireGap{
			Daemon:     gap.Daemon,
			DataCentre: gap.DataCentre,
			From:       gap.From,
			To:         gap.To,
			Batches:    gap.Batches,
		})
	}
	return wire
}

func (w *wireReport) print(out io.Writer) {
	fmt.Fprintf(out, "%s to %s: %d entries, %d gaps\n", w.From.Format(timeLayout), w.To.Format(timeLayout), len(w.Entries), len(w.Gaps))
	printTable(out, func(out io.Writer) {
		fmt.Fprintln(out, "\nFROM\tUNTIL\tKIND\tCODE\tRUN\tCOUNT\tACCOUNT\tTARGET\tDAEMON")
		for _, entry := range w.Entries {
			until := entry.Until.Format(timeLayout)
			if entry.Open {
				until += " or later"
			}
			fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", entry.Time.Format(timeLayout), until,
				entry.Kind, entry.Code, entry.Run, entry.Count, entry.Account, entry.Target, entry.Daemon)
		}
		for _, gap := range w.Gaps {
			until := "unknown"
			if !gap.To.IsZero() {
				until = gap.To.Format(timeLayout)
			}
			fmt.Fprintf(out, "%s\t%s\tgap\tentries may be missing\t\t\t\t\t%s\n", gap.From.Format(timeLayout), until, gap.Daemon)
		}
	})
}
