package relayer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The names of a request's spans: SpanRequest lasts from its arrival to its end and is the parent of a SpanAttempt
// for each attempt.
const (
	SpanRequest = "request"
	SpanAttempt = "attempt"
)

// traceRequest starts the span of the request. The returned function ends it.
func (r *relayedRequest) traceRequest() (end func()) {
	ctx, span := r.relayer.settings.Tracer.Start(r.ctx, SpanRequest, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", r.call.ID)))
	r.ctx = ctx
	return func() {
		if r.route != nil {
			span.SetAttributes(attribute.String("route", r.route.Name))
		}
		span.SetAttributes(
			attribute.String("result", r.result), attribute.Int("status", r.status),
			attribute.Int("sends", r.attempts), attribute.Int("runs", r.runs))
		if r.result != ResultAnswered {
			span.SetStatus(codes.Error, r.result)
		}
		span.End()
	}
}

// traceAttempt starts the span of an attempt. The returned function ends it and records the result.
func (r *relayedRequest) traceAttempt(ctx context.Context, choice placer.Choice) (end func(attemptResult)) {
	_, span := r.relayer.settings.Tracer.Start(ctx, SpanAttempt, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("target", choice.Target.ID), attribute.Int64("weights", choice.Version),
			attribute.Int64("expected_ms", choice.Expected.Milliseconds())))
	return func(result attemptResult) {
		span.SetAttributes(attribute.String("verdict", result.String()))
		if result != answered {
			span.SetStatus(codes.Error, result.String())
		}
		span.End()
	}
}
