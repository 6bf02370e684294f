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
