package observer

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// OutcomeLabel is how a request of a caller ended, as an attribute of metrics.
type OutcomeLabel string

// The outcomes of a request.
const (
	OutcomeComplete   OutcomeLabel = "complete"
	OutcomeIncomplete OutcomeLabel = "incomplete"
	OutcomeNotRun     OutcomeLabel = "not_run"
	OutcomeMayHaveRun OutcomeLabel = "may_have_run"
	OutcomeCancelled  OutcomeLabel = "cancelled"
)

// Metrics are the metric instruments of a daemon.
type Metrics struct {
	requests     metric.Int64Counter
	attempts     metric.Int64Counter
	results      metric.Int64Counter
	tokens       metric.Int64Counter
	cachedTokens metric.Int64Counter
	promptTokens metric.Int64Counter
	sharedReads  metric.Int64Counter
	crossings    metric.Int64Counter
	crossedBytes metric.Int64Counter
	firstToken   metric.Float64Histogram
	decision     metric.Float64Histogram
	active       metric.Int64UpDownCounter
	controlBytes metric.Int64Counter
	wireBytes    metric.Int64Counter
	meter        metric.Meter
}

func newMetrics(meter metric.Meter) (m *Metrics, err error) {
	var group errs.Group
	counter := func(name, description string) metric.Int64Counter {
		instrument, err := meter.Int64Counter(name, metric.WithDescription(description))
		group.Add(err)
		return instrument
	}
	histogram := func(name, description string, bounds ...float64) metric.Float64Histogram {
		instrument, err := meter.Float64Histogram(name, metric.WithDescription(description),
			metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
		group.Add(err)
		return instrument
	}
	m = &Metrics{
		requests:     counter("rill_requests", "Requests of callers by kind and outcome."),
		attempts:     counter("rill_attempts", "Attempts at targets by result."),
		results:      counter("rill_results", "Requests of callers on a hosting platform by result."),
		tokens:       counter("rill_tokens", "Generated tokens that were delivered."),
		cachedTokens: counter("rill_cached_tokens", "Prompt tokens that engines took from their cache."),
		promptTokens: counter("rill_prompt_tokens", "Prompt tokens of all requests."),
		sharedReads:  counter("rill_shared_tokens_read", "Tokens of shared prompt parts that targets were expected to read, by cause."),
		crossings:    counter("rill_crossings", "Requests that were sent to another data centre, by data centre and reason, if that is weighed."),
		crossedBytes: counter("rill_crossed_bytes", "Expected bytes of these requests and their answers, by data centre and reason."),
		controlBytes: counter("rill_control_bytes", "Bytes between daemons by direction."),
		wireBytes:    counter("rill_wire_bytes", "Bytes of the daemon's own connections, headers included, by peer and direction."),
		firstToken: histogram("rill_first_token", "Time from the request to the first token.",
			0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
		decision: histogram("rill_decision", "Time of a routing decision.",
			0.000002, 0.000005, 0.00001, 0.00002, 0.00005, 0.0001, 0.001),
		meter: meter,
	}
	m.active, err = meter.Int64UpDownCounter("rill_active_requests", metric.WithDescription("Requests in progress."))
	group.Add(err)
	return m, group.Err()
}

// CountRequestByOutcome counts an ended request of a caller by its kind and outcome.
func (m *Metrics) CountRequestByOutcome(kind string, outcome OutcomeLabel) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("outcome", string(outcome))))
}

// BeginRequest counts a request as in progress until the returned function is called.
func (m *Metrics) BeginRequest(kind string) (end func()) {
	attributes := metric.WithAttributes(attribute.String("kind", kind))
	m.active.Add(context.Background(), 1, attributes)
	return func() { m.active.Add(context.Background(), -1, attributes) }
}

// CountAttempt counts an attempt at a target by its result.
func (m *Metrics) CountAttempt(result string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// CountRequestByResult counts an ended request of a caller on a hosting platform by its result, such
// as the reason of a refusal. CountRequestByOutcome counts the same request in another metric.
func (m *Metrics) CountRequestByResult(result string) {
	m.results.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// RecordAnswer records the token counts and the time to first token of an engine's answer.
func (m *Metrics) RecordAnswer(model string, promptTokens, cachedTokens, tokens int, firstToken time.Duration) {
	attributes := metric.WithAttributes(attribute.String("model", model))
	m.promptTokens.Add(context.Background(), int64(promptTokens), attributes)
	m.cachedTokens.Add(context.Background(), int64(cachedTokens), attributes)
	m.tokens.Add(context.Background(), int64(tokens), attributes)
	m.firstToken.Record(context.Background(), firstToken.Seconds(), attributes)
}

// CountSharedRead counts tokens of shared prompt parts that a target was expected to read, by the cause.
func (m *Metrics) CountSharedRead(cause string, tokens int) {
	m.sharedReads.Add(context.Background(), int64(tokens), metric.WithAttributes(attribute.String("cause", cause)))
}

// CountCrossing counts a request that is sent to another data centre, and the bytes that it is expected to move.
func (m *Metrics) CountCrossing(dataCentre, reason string, bytes int) {
	attributes := metric.WithAttributes(attribute.String("data_centre", dataCentre), attribute.String("reason", reason))
	m.crossings.Add(context.Background(), 1, attributes)
	m.crossedBytes.Add(context.Background(), int64(bytes), attributes)
}

// RecordDecision records the duration of a routing decision.
func (m *Metrics) RecordDecision(took time.Duration) {
	m.decision.Record(context.Background(), took.Seconds())
}

// ControlBytes counts bytes sent to or received from other daemons.
func (m *Metrics) ControlBytes(direction string, bytes int) {
	m.controlBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(attribute.String("direction", direction)))
}

// WireBytes counts bytes, headers included, on connections that this daemon opened to peers of
// the kind to.
func (m *Metrics) WireBytes(to, direction string, bytes int) {
	m.wireBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("to", to), attribute.String("direction", direction)))
}

// Gauge registers a gauge whose value is read at each collection of the metrics.
func (m *Metrics) Gauge(name, description string, read func() int64) (err error) {
	defer Error.WrapP(&err)
	_, err = m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return err
}

// LabelledTotals registers a counter whose values are read at each collection of the metrics, by the value of a label.
func (m *Metrics) LabelledTotals(name, description, label string, read func(observe func(value string, total int64))) (err error) {
	defer Error.WrapP(&err)
	_, err = m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			read(func(value string, total int64) {
				observer.Observe(total, metric.WithAttributes(attribute.String(label, value)))
			})
			return nil
		}))
	return err
}
