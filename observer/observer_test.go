package observer_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/observer"
)

func TestDebugLogsAreEnabledPerComponent(t *testing.T) {
	var output bytes.Buffer
	o, err := observer.New(context.Background(), observer.Settings{
		Log: observer.LogSettings{Output: &output, DebugComponents: []string{"router"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = o.Close() }()
	o.Log("router").Debug("router: chosen")
	o.Log("orders").Debug("orders: sent")
	o.Log("orders").Info("orders: stored")
	got := output.String()
	if !strings.Contains(got, "router: chosen") || strings.Contains(got, "orders: sent") || !strings.Contains(got, "orders: stored") {
		t.Fatalf("logged %q", got)
	}
}

func TestMetricsAreServed(t *testing.T) {
	o, err := observer.New(context.Background(), observer.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = o.Close() }()
	o.Metrics().CountRequestByOutcome("chat", observer.OutcomeComplete)
	o.Metrics().RecordAnswer("m", 100, 80, 5, time.Second)
	if err := o.Metrics().Gauge("rill_revision", "Revision in force.", func() int64 { return 7 }); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	o.MetricsHandler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`rill_requests_total{`, `outcome="complete"`, `rill_cached_tokens_total`, "rill_revision{"} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}
