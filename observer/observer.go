// Package observer provides the logs, metrics and traces of a daemon.
//
// # Usage
//
//	o, err := observer.New(ctx, observer.Settings{
//		Service: "rilld",
//		Log:     observer.LogSettings{Output: os.Stderr, DebugComponents: []string{"router"}},
//	})
//	defer o.Close()
//	log := o.Log("router")
//	ctx, span := o.Tracer().Start(ctx, "route")
//	http.Handle("/metrics", o.MetricsHandler())
//
// Traces are exported by OTLP over HTTP if an endpoint is set. The W3C trace context is propagated
// in any case.
package observer

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Error is the class of all errors of this package.
var Error = errs.Class("observer")

const flushTimeout = 2 * time.Second

// Settings are the parameters of an Observer.
type Settings struct {
	// Service is the service name of the program in metrics and traces.
	Service string
	// Instance and DataCentre identify the daemon in metrics and traces.
	Instance   string
	DataCentre string
	Log        LogSettings
	// TraceEndpoint is the URL of an OTLP collector; if it is empty, no traces are exported.
	TraceEndpoint string
	// SampleRatio is the fraction of new traces that are sampled, from 0 to 1; 0 by default. Traces
	// that a caller started keep the caller's sampling decision.
	SampleRatio float64
	// Spans, if set, is an additional span processor, for tests.
	Spans sdktrace.SpanProcessor
}

// Observer provides the loggers, the metric instruments and the tracer of one process.
type Observer struct {
	loggers        *loggers
	registry       *prometheus.Registry
	meterProvider  *metric.MeterProvider
	tracerProvider *sdktrace.TracerProvider
	metrics        *Metrics
}

// New returns an Observer and sets the global propagator of OpenTelemetry to the W3C trace context.
// It opens no connection unless TraceEndpoint is set.
func New(ctx context.Context, settings Settings) (o *Observer, err error) {
	defer Error.WrapP(&err)
	o = &Observer{
		loggers:  newLoggers(settings.Log),
		registry: prometheus.NewRegistry(),
	}
	processResource := resource.NewSchemaless(
		attribute.String("service.name", settings.Service),
		attribute.String("service.instance.id", settings.Instance),
		attribute.String("data_centre", settings.DataCentre),
	)
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(o.registry))
	if err != nil {
		return nil, err
	}
	o.meterProvider = metric.NewMeterProvider(metric.WithReader(exporter), metric.WithResource(processResource))
	if o.metrics, err = newMetrics(o.meterProvider.Meter("rosemaryrill")); err != nil {
		return nil, err
	}
	if o.tracerProvider, err = newTracerProvider(ctx, settings, processResource); err != nil {
		return nil, err
	}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return o, nil
}

func newTracerProvider(ctx context.Context, settings Settings, processResource *resource.Resource) (provider *sdktrace.TracerProvider, err error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(processResource),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.SampleRatio))),
	}
	if settings.Spans != nil {
		options = append(options, sdktrace.WithSpanProcessor(settings.Spans))
	}
	if settings.TraceEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.TraceEndpoint))
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	return sdktrace.NewTracerProvider(options...), nil
}

// Log returns the logger of a component.
func (o *Observer) Log(component string) *slog.Logger {
	return o.loggers.forComponent(component)
}

// Tracer returns the tracer of the process.
func (o *Observer) Tracer() trace.Tracer {
	return o.tracerProvider.Tracer("rosemaryrill")
}

// Metrics returns the instruments of the process.
func (o *Observer) Metrics() *Metrics {
	return o.metrics
}

// MetricsHandler serves the metrics in the Prometheus text format.
func (o *Observer) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(o.registry, promhttp.HandlerOpts{})
}

// Close flushes pending spans and shuts the providers down, within at most 2 s.
func (o *Observer) Close() (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return errs.Combine(o.tracerProvider.Shutdown(ctx), o.meterProvider.Shutdown(ctx))
}
