package relayer_test

import (
	"testing"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// Each hop of a request is a span: which target was tried, how that ended, and how all of it ended.
func TestEachAttemptIsASpanOfItsRequest(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	w := newWorld(broken, good)
	w.tracer = sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	relayOnce(t, w, "/often/")
	spans := recorder.Ended()
	if len(spans) != 3 || spans[0].Name() != relayer.SpanAttempt || spans[1].Name() != relayer.SpanAttempt || spans[2].Name() != relayer.SpanRequest {
		t.Fatalf("%d spans", len(spans))
	}
	verdicts := []string{"broken", "answered"}
	for i, attempt := range spans[:2] {
		seen := attribute.NewSet(attempt.Attributes()...)
		target, _ := seen.Value("target")
		verdict, _ := seen.Value("verdict")
		if attempt.Parent().SpanID() != spans[2].SpanContext().SpanID() || target.AsString() != w.sent[i] || verdict.AsString() != verdicts[i] {
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
