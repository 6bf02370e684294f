package launcher_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
)

const (
	orderPath = "/services/orders/place"
	// longOrderBytes is the size of an order that does not fit into the buffers of both sockets.
	longOrderBytes = 6 << 20
)

// Guards against a part of an answer that reaches its caller as the whole one, and stays in the ledger for the repeats, since the service
// answered a long call at once, without a length, and reset the connection (MIXED). The service didn't run the call, and says so when it
// is asked for the key.
func TestAnswerCutDuringUploadIsNoOutcome(t *testing.T) {
	fleet := start(t)
	fleet.Service.SetFaults(serviceemulator.Faults{EarlyAnswer: 100})
	order := fmt.Appendf(nil, `{"item":%q}`, bytes.Repeat([]byte("w"), longOrderBytes))
	for i := range 10 {
		key := fmt.Sprint("long-", i)
		if result := caller(fleet, i%2).PlaceOrder(t.Context(), orderPath, key, order); result.Verdict != checker.Refused {
			t.Errorf("%s: %s %d %q, run %q", key, result.Verdict, result.Status, result.Body, result.Run)
		}
	}
	fleet.Service.SetFaults(serviceemulator.Faults{})
	for i := range 10 {
		if result := caller(fleet, i%2).PlaceOrder(t.Context(), orderPath, fmt.Sprint("long-", i), order); strings.HasPrefix(result.Body, "e") {
			t.Errorf("a repeat got %d %q", result.Status, result.Body)
		}
	}
}

// Guards against three digits that are no status and reach a caller, or its repeat, as the outcome of its order (MIXED). The
// service tells the true outcome when it is asked for the key.
func TestNumberThatIsNoStatusIsNoOutcome(t *testing.T) {
	fleet := start(t)
	for _, status := range []string{"000", "099", "101", "600"} {
		fleet.Service.SetFaults(serviceemulator.Faults{Status: status})
		key := "odd-" + status
		for i := range 2 { // The second is a repeat, at another daemon.
			result := caller(fleet, i).PlaceOrder(t.Context(), orderPath, key, []byte(`{"item":"wheel"}`))
			if told := result.Status == http.StatusOK && strings.Contains(result.Body, `"order"`); !told && result.Verdict != checker.Refused {
				t.Errorf("status %s: %s %d %q, run %q", status, result.Verdict, result.Status, result.Body, result.Run)
			}
		}
	}
	for key, runs := range fleet.Service.Runs() {
		if runs > 1 {
			t.Errorf("the order %s ran %d times", key, runs)
		}
	}
}
