package assembler

import (
	"context"
	"log/slog"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// observe makes the logs and metrics of the daemon.
func (d *Daemon) observe(ctx context.Context) (err error) {
	settings := d.settings
	d.observer, err = observer.New(ctx, observer.Settings{
		Service: "rilld", Instance: settings.Name, DataCentre: settings.DataCentre,
		Log: observer.LogSettings{
			Output: d.logs, Level: settings.Log.Level, Levels: settings.Log.Parts, Parts: settings.LogParts,
			JSON: settings.Log.Format == loader.LogJSON,
		},
		TraceEndpoint: settings.Telemetry.OTLPEndpoint, SampleRatio: settings.Telemetry.SampleRatio,
	})
	if err != nil {
		return err
	}
	d.logger = d.log("assembler")
	return nil
}

// log returns the logger of a part, which names the part in each line.
func (d *Daemon) log(part string) *slog.Logger {
	return d.observer.Log(part).With("part", part)
}

// registerGauges offers what the daemon knows as metrics that are read when asked for.
func (d *Daemon) registerGauges() error {
	metrics := d.observer.Metrics()
	k := d.knowledge
	var group errs.Group
	for _, gauge := range []struct {
		name, description string
		read              func() int64
	}{
		{"rill_configuration_version", "Version of the configuration in force.", d.configurationVersion},
		{"rill_contact_age_ms", "Milliseconds since the configuration was known to be the newest.", func() int64 { return k.ContactAge().Milliseconds() }},
		{"rill_targets", "Targets that are not leaving.", func() int64 { return int64(len(k.places.Targets())) }},
		{"rill_peers", "Other daemons that were heard of lately.", func() int64 { return int64(k.places.Peers()) }},
		{"rill_open_requests", "Requests that are open.", func() int64 { return d.edge.open.Load() }},
		{"rill_log_lines_dropped", "Log lines that found no room.", d.logs.Dropped},
	} {
		group.Add(metrics.Gauge(gauge.name, gauge.description, gauge.read))
	}
	return group.Err()
}

func (d *Daemon) configurationVersion() int64 {
	if catalog := d.knowledge.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// count takes the outcome of a request into the metrics.
func (d *Daemon) count(outcome relayer.Outcome) {
	metrics := d.observer.Metrics()
	metrics.Request(kindOf(outcome.Repeat), outcomeOf(outcome))
	metrics.Result(outcome.Result)
	for range outcome.Attempts {
		metrics.Attempt("sent")
	}
	if outcome.Result == relayer.ResultAnswered {
		prompt := outcome.Prompt
		metrics.Answer(prompt.Model, prompt.PromptTokens, prompt.PromptTokens-outcome.Read, prompt.OutputTokens, outcome.First)
	}
}

func kindOf(repeat cataloger.Repeat) string {
	switch repeat {
	case cataloger.RepeatFreely:
		return "idempotent"
	case cataloger.RepeatStream:
		return "stream"
	default:
		return "once"
	}
}

func outcomeOf(outcome relayer.Outcome) observer.Outcome {
	switch {
	case outcome.Result == relayer.ResultAnswered:
		return observer.OutcomeComplete
	case outcome.Result == relayer.ResultCallerLeft:
		return observer.OutcomeCancelled
	case outcome.NotRun:
		return observer.OutcomeNotRun
	default:
		return observer.OutcomeMayHaveRun
	}
}
