package observer

import (
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// TracingTransport returns a function that wraps a transport. The wrapped transport starts a client
// span for each request with a sampled trace and propagates the trace context. Requests without a
// trace, such as those of background tasks, start no span.
func (o *Observer) TracingTransport(name string) func(http.RoundTripper) http.RoundTripper {
	return func(base http.RoundTripper) http.RoundTripper {
		return &tracedTransport{base: base, name: name, tracer: o.Tracer()}
	}
}

type tracedTransport struct {
	base   http.RoundTripper
	name   string
	tracer trace.Tracer
}

// RoundTrip implements http.RoundTripper.
func (t *tracedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !trace.SpanFromContext(request.Context()).IsRecording() {
		return t.base.RoundTrip(request)
	}
	ctx, span := t.tracer.Start(request.Context(), t.name, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("address", request.URL.Host), attribute.String("method", request.Method)))
	defer span.End()
	request = request.Clone(ctx)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	response, err := t.base.RoundTrip(request)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return response, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t *tracedTransport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
