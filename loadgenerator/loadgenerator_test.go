package loadgenerator_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/loadgenerator"
)

// handlerTransport passes requests to a handler without a network.
type handlerTransport struct {
	handler http.Handler
}

func (t handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

func settings(handler http.Handler) loadgenerator.Settings {
	return loadgenerator.Settings{
		URLs: []string{"http://daemon"}, Keys: []string{"key"}, Model: "model",
		Rate: 50, Duration: 2 * time.Second, PromptTokens: 64, MaxTokens: 4,
		Client: &http.Client{Transport: handlerTransport{handler: handler}},
	}
}

func TestRunAgainstEngineEmulator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := engineemulator.New(engineemulator.Settings{Weights: []string{"weights"}, Slots: 64})
		defer func() { _ = engine.Close() }()
		result, err := loadgenerator.Run(t.Context(), settings(withRequestID(engine)))
		if err != nil {
			t.Fatal(err)
		}
		if !result.Counts.AnswersCorrect() || result.Counts.Complete == 0 || result.Counts.Complete != result.Counts.Requests {
			t.Errorf("counts are %+v", result.Counts)
		}
		if result.FirstToken.Count != int64(result.Counts.Complete) || result.BetweenTokens.Count == 0 {
			t.Errorf("times are %+v and %+v", result.FirstToken, result.BetweenTokens)
		}
	})
}

func withRequestID(next http.Handler) http.Handler {
	var calls atomic.Int64
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Rill-Request-Id", time.Unix(calls.Add(1), 0).String())
		next.ServeHTTP(w, r)
	})
}

// TestRunKeepsScheduleDuringStall checks that requests are started when they are due while the fleet answers none for
// 5 s, and that latencies count from the due time.
func TestRunKeepsScheduleDuringStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inFlight, maxInFlight atomic.Int64
		stalled := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			time.Sleep(5 * time.Second)
			inFlight.Add(-1)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"error":{"code":"no_target","run":"not_run"}}`))
		})
		result, err := loadgenerator.Run(t.Context(), settings(stalled))
		if err != nil {
			t.Fatal(err)
		}
		if maxInFlight.Load() != int64(result.Counts.Requests) {
			t.Errorf("%d of %d requests were in flight at once", maxInFlight.Load(), result.Counts.Requests)
		}
		if result.Total.P50 < 4900*time.Millisecond || result.Total.Max > 5100*time.Millisecond {
			t.Errorf("answers that took 5 s were measured as %+v", result.Total)
		}
		if result.Codes["no_target"] != result.Counts.Requests {
			t.Errorf("refusals are %v", result.Codes)
		}
	})
}

func TestRunCountsLostAndMixedAnswers(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		lost, mixed bool
	}{
		{"cut", "data: {\"choices\":[{\"delta\":{\"content\":\"\"}}]}\n\n", true, false},
		{"crossed", "data: {\"choices\":[{\"delta\":{\"content\":\"other\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(c.body)) })
				result, err := loadgenerator.Run(t.Context(), settings(handler))
				if err != nil {
					t.Fatal(err)
				}
				counts := result.Counts
				if counts.AnswersCorrect() || (counts.Lost == counts.Requests) != c.lost || (counts.Mixed == counts.Requests) != c.mixed {
					t.Errorf("counts are %+v", counts)
				}
			})
		})
	}
}

// TestRunCountsDoubledOrders checks that orders that the service executed twice are counted although both answers are
// the same.
func TestRunCountsDoubledOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := make(map[string]int)
		mux := http.NewServeMux()
		mux.HandleFunc("POST /services/orders/place", func(w http.ResponseWriter, r *http.Request) {
			runs[r.Header.Get("Idempotency-Key")]++
			_, _ = w.Write([]byte(`{"order":1}`))
		})
		mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) {
			body := `{"keys":{"other/1":7`
			for key := range runs {
				body += `,"demo/` + key + `":2`
			}
			_, _ = w.Write([]byte(body + "}}"))
		})
		s := settings(mux)
		s.Rate = 5
		s.Shares = loadgenerator.Shares{Orders: 1}
		s.ServiceURL = "http://service"
		result, err := loadgenerator.Run(t.Context(), s)
		if err != nil {
			t.Fatal(err)
		}
		if len(runs) == 0 || result.Counts.Doubled != len(runs) || result.Counts.AnswersCorrect() {
			t.Errorf("%d orders ran twice, counts are %+v", len(runs), result.Counts)
		}
	})
}

func TestRunNamesMissingSetting(t *testing.T) {
	var missing *loadgenerator.MissingSettingError
	_, err := loadgenerator.Run(t.Context(), loadgenerator.Settings{URLs: []string{"http://daemon"}})
	if !errors.As(err, &missing) || missing.Field != "Keys" {
		t.Errorf("error is %v", err)
	}
}
