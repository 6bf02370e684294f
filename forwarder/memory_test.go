package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

const (
	// smallHost is the memory of a small host in bytes, of which a client's incomplete answers get a part.
	smallHost = 256e6
	// endlessCalls is how many calls are open at once to a target whose answers come without end.
	endlessCalls = 60
)

// Guards against a target in trouble whose bytes without end fill a daemon's memory (processes that end): the limit of each answer
// alone does not bound them together.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	piece := []byte(strings.Repeat("x", 256<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rill-Request", r.Header.Get("X-Rill-Request"))
		for range 48 { // Less than the limit of one answer.
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
		<-r.Context().Done()
	}))
	defer server.Close()
	client := forwarder.New(forwarder.Settings{HeaderTimeout: 5 * time.Second, ControlTimeout: 5 * time.Second})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	most := uint64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most = max(most, stats.HeapAlloc)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	var group conc.WaitGroup
	for range endlessCalls {
		group.Go(func() {
			call := forwarder.ServiceCall{Method: http.MethodGet, Path: "/", RequestID: "r", Idempotent: true}
			if answer, err := client.CallService(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()), call); err == nil {
				t.Errorf("an answer without end counts as whole: status %d, %d bytes", answer.Status, len(answer.Body))
			}
		})
	}
	group.Wait()
	cancel()
	<-done
	if most > smallHost {
		t.Errorf("%.0f MB in use, the host has %.0f MB", float64(most)/1e6, smallHost/1e6)
	}
}

// Guards against moves of cached blocks that fail for the bound on incomplete answers, which is smaller than two exports of the
// allowed size.
func TestExportsOfAllowedSizeAreRead(t *testing.T) {
	const exportBytes = 32 << 20
	content := bytes.Repeat([]byte("x"), exportBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Rill-Request", r.Header.Get("X-Rill-Request"))
		_, _ = w.Write(content) // The client reports what is missing.
	}))
	defer server.Close()
	client := forwarder.New(forwarder.Settings{MaxImportBytes: exportBytes})
	defer func() { _ = client.Close() }()
	var group conc.WaitGroup
	for range 3 {
		group.Go(func() {
			data, err := client.Export(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), "a", "w1", nil)
			if err != nil || !bytes.Equal(data, content) {
				t.Errorf("%d bytes of %d: %v", len(data), exportBytes, err)
			}
		})
	}
	group.Wait()
}
