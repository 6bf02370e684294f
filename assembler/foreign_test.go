package assembler_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// foreignCalls is the number of calls of each kind that are open at once, in each of foreignRounds.
	foreignCalls  = 8
	foreignRounds = 40
	// maxForeignRequests is how many requests may reach a program that is no target, from two daemons: some at once before the
	// first answer, and few afterwards.
	maxForeignRequests = 12
)

// entryOfAnotherWriter returns an entry for an address, without the named fields.
func entryOfAnotherWriter(address string, without ...string) map[string]any {
	entry := map[string]any{
		"service": "services", "address": address, "zone": "north", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 1,
	}
	for _, name := range without {
		delete(entry, name)
	}
	return entry
}

// Guards against requests that another writer's entry draws to a program that is no target, and that end with its 404 (DENIED): an
// entry without a field names no target, and answers that don't show whose they are reach no caller and draw no further work.
func TestEntryOfAnotherWriterDrawsNoWork(t *testing.T) {
	for name, c := range map[string]struct {
		without []string
		most    int64
	}{
		"fields missing": {[]string{"version", "coldRemainingMs", "seq"}, 0},
		"sound entry":    {nil, maxForeignRequests},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			program := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				w.WriteHeader(http.StatusNotFound)
			}))
			defer program.Close()
			f := newFleet(t, 2)
			f.store.Put("servers/agent-7", entryOfAnotherWriter(program.Listener.Addr().String(), c.without...))
			time.Sleep(time.Second) // The daemons read the entry.
			var denied, failed atomic.Int64
			for i := range foreignRounds {
				var round conc.WaitGroup
				for k := range foreignCalls { // At once, so that each target gets some.
					round.Go(func() {
						id := fmt.Sprint("f", i, "-", k)
						order := f.call(f.daemons[k%2], http.MethodPost, "/order/a", id, "wheel")
						lookUp := f.call(f.daemons[k%2], http.MethodGet, "/look/a", "l"+id, "")
						if order.status == http.StatusNotFound || lookUp.status == http.StatusNotFound {
							denied.Add(1)
						}
						if lookUp.status != http.StatusOK {
							failed.Add(1)
							t.Logf("look-up %s: status %d, error %v, Retry-After %q", id, lookUp.status, lookUp.err, lookUp.header.Get("Retry-After"))
						}
					})
				}
				round.Wait()
			}
			if failed.Load() > 0 {
				t.Errorf("%d look-ups failed, which may be sent again", failed.Load())
			}
			if denied.Load() > 0 || requests.Load() > c.most {
				t.Errorf("%d calls were denied, %d requests reached the program", denied.Load(), requests.Load())
			}
		})
	}
}
