package relayer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The names of the spans of a request: one from its arrival to its end, and one for each attempt.
const (
	SpanRequest = "request"
	SpanAttempt = "attempt"
)

// traceRequest begins the span of the request. The returned function ends it.
func (u *run) traceRequest() (end func()) {
	ctx, span := u.relayer.settings.Tracer.Start(u.ctx, SpanRequest, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", u.call.ID)))
	u.ctx = ctx
	return func() {
		if u.route != nil {
			span.SetAttributes(attribute.String("route", u.route.Name))
		}
		span.SetAttributes(
			attribute.String("result", u.result), attribute.Int("status", u.status),
			attribute.Int("sends", u.sends), attribute.Int("runs", u.runs))
		if u.result != ResultAnswered {
			span.SetStatus(codes.Error, u.result)
		}
		span.End()
	}
}

// traceAttempt begins the span of an attempt. The returned function ends it with the verdict.
func (u *run) traceAttempt(ctx context.Context, choice placer.Choice) (end func(verdict)) {
	_, span := u.relayer.settings.Tracer.Start(ctx, SpanAttempt, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("target", choice.Target.ID), attribute.Int64("weights", choice.Version),
			attribute.Int64("expected_ms", choice.Expected.Milliseconds())))
	return func(ended verdict) {
		span.SetAttributes(attribute.String("verdict", ended.String()))
		if ended != answered {
			span.SetStatus(codes.Error, ended.String())
		}
		span.End()
	}
}
