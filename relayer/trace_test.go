package relayer_test

import (
	"testing"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// The span of each attempt names its target and its result. Its parent is the span of the request, which
// names the result of the request.
func TestEachAttemptIsASpanOfItsRequest(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	h := newHarness(broken, good)
	h.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	relayOnce(t, h, "/often/")
	spans := recorder.Ended()
	if len(spans) != 3 || spans[0].Name() != relayer.SpanAttempt || spans[1].Name() != relayer.SpanAttempt || spans[2].Name() != relayer.SpanRequest {
		t.Fatalf("%d spans", len(spans))
	}
	verdicts := []string{"broken", "answered"}
	for i, attempt := range spans[:2] {
		seen := attribute.NewSet(attempt.Attributes()...)
		target, _ := seen.Value("target")
		verdict, _ := seen.Value("verdict")
		if attempt.Parent().SpanID() != spans[2].SpanContext().SpanID() || target.AsString() != h.attemptTargets[i] || verdict.AsString() != verdicts[i] {
			t.Errorf("attempt %d: %v", i, attempt.Attributes())
		}
	}
	request := attribute.NewSet(spans[2].Attributes()...)
	id, _ := request.Value("request_id")
	result, _ := request.Value("result")
	if id.AsString() != "1" || result.AsString() != relayer.ResultAnswered {
		t.Errorf("request: %v", spans[2].Attributes())
	}
}
