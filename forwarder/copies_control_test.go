package forwarder_test

import (
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// Guards against a late copy of another answer that says of an order, a look-up or a cancellation what did not happen.
func TestLateCopyIsNotTakenForControlCall(t *testing.T) {
	const notFound = "HTTP/1.1 404 Not Found\nContent-Length: 0\n\n"
	const done = "HTTP/1.1 200 OK\nContent-Length: 16\n\n{\"state\":\"done\"}"
	const ran = "HTTP/1.1 200 OK\nContent-Length: 25\n\n{\"status\":200,\"body\":\"ok\"}"
	client := newClient(t, forwarder.Settings{})
	poll := func(target *copyingTarget) { _, _ = client.Load(t.Context(), target.address) }
	target := newCopyingTarget(t, notFound, strings.Replace(ran, "25", "26", 1))
	poll(target)
	if answer, err := client.Lookup(t.Context(), target.address, "/lookup", "a", "k"); err != nil || answer.State != forwarder.LookupRan {
		t.Errorf("a call that ran: %+v, %v", answer, err)
	}
	target = newCopyingTarget(t, done, strings.Replace(done, "done\"}", "load\"}", 1))
	poll(target)
	if state, err := client.Order(t.Context(), target.address, forwarder.Order{Kind: forwarder.OrderLoadVersion}); err != nil || state == forwarder.OrderDone {
		t.Errorf("an order that is being carried out: %q, %v", state, err)
	}
	target = newCopyingTarget(t, notFound, "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n")
	poll(target)
	if err := client.Cancel(t.Context(), target.address, "r"); err == nil {
		t.Error("a run that was not cancelled counts as cancelled")
	}
}
