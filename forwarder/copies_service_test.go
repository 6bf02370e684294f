package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

const notRun = "HTTP/1.1 503 Service Unavailable\nRill-Not-Run: true\n"

// Guards against a late copy of a service's answer that is taken for the answer to the next call (REFUSED, MIXED).
func TestLateCopyOfAnswerIsNotTakenForCall(t *testing.T) {
	for name, answer := range map[string]string{
		"refusal with the former id": notRun + "Rill-Request-Id: one\n" + emptyBody,
		"refusal without an id":      notRun + emptyBody,
		"answer with the former id":  "HTTP/1.1 200 OK\nRill-Request-Id: one\nContent-Length: 3\n\none",
		"answer without an id":       "HTTP/1.1 200 OK\nContent-Length: 3\n\none",
	} {
		for second, own := range map[string]string{"with": "Rill-Request-Id: two\n", "without": ""} {
			t.Run(name+", then one "+second, func(t *testing.T) {
				target := newCopyingTarget(t, answer, "HTTP/1.1 200 OK\n"+own+"Content-Length: 3\n\ntwo")
				client := newClient(t, forwarder.Settings{})
				call := forwarder.ServiceCall{RequestID: "one", Method: http.MethodGet, Path: "/stock", Idempotent: true}
				_, _ = client.CallService(t.Context(), target.address, call)
				call.RequestID = "two"
				got, err := client.CallService(t.Context(), target.address, call)
				if isNotRun(err) || err == nil && string(got.Body) != "two" {
					t.Errorf("a call that the service ran: %q, %v", got.Body, err)
				}
			})
		}
	}
}

// Guards against connections to a service that names the requests in its answers being opened for each call.
func TestServiceThatNamesRequestsKeepsItsConnections(t *testing.T) {
	target := newCopyingTarget(t, "HTTP/1.1 200 OK\nRill-Request-Id: one\nContent-Length: 3\n\none")
	client := newClient(t, forwarder.Settings{})
	call := forwarder.ServiceCall{RequestID: "one", Method: http.MethodGet, Path: "/stock", Idempotent: true}
	for range 3 {
		if got, err := client.CallService(t.Context(), target.address, call); err != nil || string(got.Body) != "one" {
			t.Fatalf("%q, %v", got.Body, err)
		}
	}
	if target.reusedCount() != 1 {
		t.Errorf("%d of the last two calls used a connection again, want one", target.reusedCount())
	}
}
