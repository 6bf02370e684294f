package assembler

import (
	"context"
	"log/slog"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
)

// createObserver creates the daemon's observer for logs, metrics and traces, and the logger.
func (d *Daemon) createObserver(ctx context.Context) (err error) {
	settings := d.settings
	d.observer, err = observer.New(ctx, observer.Settings{
		Service: "rilld", Instance: settings.Name, DataCentre: settings.DataCentre,
		Log: observer.LogSettings{
			Output: d.logWriter, Level: settings.Log.Level, Levels: settings.Log.Parts, DebugComponents: settings.DebugComponents,
			JSON: settings.Log.Format == loader.LogJSON,
		},
		TraceEndpoint: settings.Telemetry.OTLPEndpoint, SampleRatio: settings.Telemetry.SampleRatio,
	})
	if err != nil {
		return err
	}
	d.logger = d.loggerFor("assembler")
	return nil
}

// loggerFor returns the logger of a component, which adds the component's name to each line.
func (d *Daemon) loggerFor(component string) *slog.Logger {
	return d.observer.Log(component).With("part", component)
}

// registerGauges registers the gauges, whose values are read at each scrape of the metrics.
func (d *Daemon) registerGauges() error {
	metrics := d.observer.Metrics()
	v := d.view
	var group errs.Group
	for _, gauge := range []struct {
		name, description string
		read              func() int64
	}{
		{"rill_configuration_version", "Version of the configuration in force.", d.configurationVersion},
		{"rill_contact_age_ms", "Milliseconds since the configuration was known to be the newest.", func() int64 { return v.ContactAge().Milliseconds() }},
		{"rill_targets", "Targets that are not leaving.", func() int64 { return int64(len(v.placer.Targets())) }},
		{"rill_unreachable_targets", "Targets to which this daemon cannot open connections.", func() int64 { return int64(v.placer.UnreachableCount()) }},
		{"rill_cache_stores", "Stores of cached prompt parts that are configured.", func() int64 { return int64(v.placer.StoreCounts().Configured) }},
		{"rill_cache_stores_down", "Stores of cached prompt parts that are known to be down; always 0 if only one is configured.", func() int64 { return int64(v.placer.StoreCounts().Down) }},
		{"rill_peers", "Other daemons that are registered, or that were heard of lately if these are more.", func() int64 { return int64(d.broadcaster.PeerCount()) }},
		{"rill_open_requests", "Requests that are open.", func() int64 { return int64(d.edge.drainer.OpenRequests()) }},
		{"rill_short_services", "Services that are overloaded, so that accounts are held to their shares.", v.admitter.ShortServices},
		{"rill_panics", "Panics of background tasks since the start.", supervisor.Panics},
		{"rill_log_lines_dropped", "Log lines that found no room.", d.logWriter.Dropped},
	} {
		group.Add(metrics.Gauge(gauge.name, gauge.description, gauge.read))
	}
	group.Add(d.registerQuotaMetrics())
	for _, gauge := range d.memory.Gauges(d.edge.drainer.Connections) {
		group.Add(metrics.Gauge(gauge.Name, gauge.Description, gauge.Read))
	}
	return group.Err()
}

func (d *Daemon) configurationVersion() int64 {
	if catalog := d.view.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// recordOutcome updates the metrics with the outcome of a request. The request is counted in two
// metrics, once by its kind and outcome label and once by its result.
func (d *Daemon) recordOutcome(outcome relayer.Outcome) {
	metrics := d.observer.Metrics()
	metrics.CountRequestByOutcome(kindLabel(outcome.CallKind), outcomeLabel(outcome))
	metrics.CountRequestByResult(outcome.Result)
	for range outcome.Attempts {
		metrics.CountAttempt("sent")
	}
	if outcome.SharedRead > 0 && outcome.Attempts > 0 {
		metrics.CountSharedRead(string(outcome.ReadCause), outcome.SharedRead)
	}
	if outcome.Result == relayer.ResultAnswered {
		prompt := outcome.Prompt
		// OutputTokens is the answer length that the caller expects or allows, not the actual one.
		metrics.RecordAnswer(prompt.Model, prompt.PromptTokens, prompt.PromptTokens-outcome.PrefillTokens, prompt.OutputTokens, outcome.TimeToFirstEvent)
	}
}

func kindLabel(kind cataloger.CallKind) string {
	switch kind {
	case cataloger.CallIdempotent:
		return "idempotent"
	case cataloger.CallStream:
		return "stream"
	default:
		return "once"
	}
}

func outcomeLabel(outcome relayer.Outcome) observer.OutcomeLabel {
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
