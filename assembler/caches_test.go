package assembler_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against stores of which no daemon learns what they hold, or that they are down, since only one of several is polled.
func TestAllCacheStoresArePolled(t *testing.T) {
	f := newFleet(t, 1)
	const stores = 3
	var polls [stores]atomic.Int64
	for i := range stores {
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			polls[i].Add(1)
			_, _ = fmt.Fprintf(w, `{"bootEpoch":1,"next":0,"events":[]}`)
		}))
		f.cacheStores = append(f.cacheStores, netip.MustParseAddrPort(store.Listener.Addr().String()))
		if i == 0 {
			store.Close()
			continue
		}
		t.Cleanup(store.Close)
	}
	f.configure(nil, validKey)
	f.await("polls of each store that is up", func() bool { return polls[1].Load() > 0 && polls[2].Load() > 0 })
	f.await("log line of the store that is down", func() bool {
		log := f.daemons[0].log.String()
		return strings.Contains(log, `"msg":"state of cache store changed"`) && strings.Contains(log, `"store":"store/cache-0","usable":false`)
	})
}

// Guards against a daemon that starts and lets engines read again what others of them hold. Each prompt is used once, since the
// daemon knows what it has placed itself.
func TestStartingDaemonLearnsWhatEnginesHold(t *testing.T) {
	f := newFleet(t, 1)
	const prompts = 40
	ask := func(d *daemon, prompt int, id string) {
		f.call(d, http.MethodPost, "/ask/x", id, "prompt "+id, "X-Model", model, "X-Token-Count", "2050,6", "X-Prompt-Prefix", fmt.Sprint("book-", prompt, ":2000,0", id, ":50"))
	}
	for i := range prompts {
		ask(f.daemons[0], i, fmt.Sprint("before-", i))
	}
	started, next := f.start(1), 0
	f.await("a prompt that another daemon has placed isn't read again", func() bool {
		id := fmt.Sprint("after-", next)
		ask(started, next%prompts, id)
		next++
		_, line, _ := strings.Cut(started.log.String(), `"id":"`+id+`"`)
		line, _, _ = strings.Cut(line, "\n")
		return next <= prompts && strings.Contains(line, `"shared_read":0,`)
	})
}
