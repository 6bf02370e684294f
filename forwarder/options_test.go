package forwarder_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// TestGenerateSendsOptions checks that the fields of ModelCall.Options are part of the request
// that the engine receives.
func TestGenerateSendsOptions(t *testing.T) {
	bodies := make(chan []byte, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- body
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer engine.Close()
	client := forwarder.New(forwarder.Settings{})
	defer func() { _ = client.Close() }()
	call := forwarder.ModelCall{RunID: "r", Model: "m", MaxTokens: 3, Options: `{"temperature":0.5,"stop":["x"]}`}
	if _, err := client.Generate(t.Context(), netip.MustParseAddrPort(engine.Listener.Addr().String()), call); err == nil {
		t.Error("a refused call succeeded")
	}
	var got struct {
		Model       string
		Temperature float64
		Stop        []string
	}
	if err := json.Unmarshal(<-bodies, &got); err != nil || got.Model != "m" || got.Temperature != 0.5 || len(got.Stop) != 1 {
		t.Errorf("engine received %+v, %v", got, err)
	}
}
