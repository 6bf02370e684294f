package delegator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/delegator"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against a daemon that takes memory without bound for the messages in which it passes requests on, and for requests that read as if they may
// have run when there is none.
func TestDaemonWithoutMemoryPassesNothingOn(t *testing.T) {
	other := newDaemon(t, "other", "north", echo)
	memory := reserver.NewMemory(1 << 20)
	d := delegator.New(delegator.Settings{
		DataCentre: "north", Now: time.Now, Logger: slog.New(slog.DiscardHandler), Memory: memory,
		Header: func(call *relayer.Call) http.Header { return call.Header.Clone() },
	})
	t.Cleanup(func() { _ = d.Close() })
	d.SetPeers([]delegator.Daemon{other.Daemon})
	call := newCall()
	call.Body = make([]byte, 100<<10)
	held := memory.Hold("another", 1<<20)
	_, err := d.Send(t.Context(), service, call)
	var unsent *connector.UnsentError
	if !errors.As(err, &unsent) || other.count() > 0 {
		t.Errorf("without memory: %v, %d requests were passed on", err, other.count())
	}
	held.Release()
	answer, err := d.Send(t.Context(), service, call)
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
	if memory.Held() != 0 || other.count() != 1 {
		t.Errorf("%d bytes are still held, %d requests were passed on", memory.Held(), other.count())
	}
}

// newBounded returns a Delegator whose requests go to a daemon with a bounded memory.
func newBounded(t *testing.T, memory *reserver.Memory, serve func(context.Context, http.ResponseWriter, delegator.Request)) *delegator.Delegator {
	handler := delegator.NewHandler(delegator.HandlerSettings{MaxOpen: 2, Now: time.Now, Serve: serve, Memory: memory})
	mux := http.NewServeMux()
	mux.Handle(handler.HTTP())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return newDelegator(t, delegator.Daemon{Name: "full", DataCentre: "north", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
}

// Guards against a daemon without memory whose refusal of a request reads as one that may have run (ONCE), or that reads the request first.
func TestDaemonWithoutMemoryTakesNoRequests(t *testing.T) {
	memory := reserver.NewMemory(1 << 20)
	d := newBounded(t, memory, echo)
	call := newCall()
	call.Body = make([]byte, 300<<10)

	held := memory.Hold("another", 1<<20)
	_, err := d.Send(t.Context(), service, call)
	var unsent *connector.UnsentError
	var local *delegator.LocalRefusalError
	if !errors.As(err, &unsent) || !errors.As(err, &local) || local.Reason != "no_memory" {
		t.Errorf("without memory: %v", err)
	}
	held.Release()
	answer, err := d.Send(t.Context(), "another service", call)
	if err != nil || answer.Response == nil || answer.Response.Status != http.StatusTeapot {
		t.Fatalf("with memory: %+v, %v", answer, err)
	}
	answer.Close()
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		if memory.Held() == 0 {
			return
		}
	}
	t.Errorf("%d bytes are still held", memory.Held())
}

// Guards against requests that count as run since their daemon ran out of memory while it read their message.
func TestRequestsThatOutgrowMemoryWhileTheyAreReadAreNotRun(t *testing.T) {
	const memoryBytes, headers = 1 << 20, 20_000
	memory := reserver.NewMemory(memoryBytes)
	served := 0
	d := newBounded(t, memory, func(context.Context, http.ResponseWriter, delegator.Request) { served++ })
	call := newCall()
	for i := range headers {
		call.Header.Set(fmt.Sprint("X-", i), "v")
	}
	_, err := d.Send(t.Context(), service, call)
	var unsent *connector.UnsentError
	var local *delegator.LocalRefusalError
	if !errors.As(err, &unsent) || !errors.As(err, &local) || local.Reason != "no_memory" || served > 0 {
		t.Errorf("%v, served %d times", err, served)
	}
}

// Guards against requests that keep their memory for ever since their answer was aborted.
func TestAbortedRequestsGiveTheirMemoryBack(t *testing.T) {
	memory := reserver.NewMemory(1 << 20)
	d := newBounded(t, memory, func(context.Context, http.ResponseWriter, delegator.Request) { panic(http.ErrAbortHandler) })
	call := newCall()
	call.Body = make([]byte, 100<<10)
	if _, err := d.Send(t.Context(), service, call); err == nil {
		t.Error("an aborted answer counts as one")
	}
	for range 100 {
		if memory.Held() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are still held", memory.Held())
}
