package assembler_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

// restoreOutage is how long the store is away before it comes back from a copy.
const restoreOutage = 500 * time.Millisecond

// restore lets the store come back from a copy, while daemons and targets run on.
func (f *fleet) restore(from *hostingemulator.Copy) {
	f.store.SetFaults(hostingemulator.StoreFaults{Outage: true})
	time.Sleep(restoreOutage)
	f.store.Restore(from)
	f.store.SetFaults(hostingemulator.StoreFaults{})
}

// awaitWeights waits until all engines have a version of the weights.
func (f *fleet) awaitWeights(version int64) {
	f.t.Helper()
	f.await(fmt.Sprintf("weights %d on all engines", version), func() bool {
		for _, engine := range f.engines {
			if engine.Version() != version {
				return false
			}
		}
		return true
	})
}

// Guards against what operators and targets write after a restore of the store and daemons do not take over (CONFIG): a
// route that is added, a key that is taken away, a target that leaves, new weights.
func TestChangesAfterRestoreAreInForce(t *testing.T) {
	f := newFleet(t, 5)
	old := f.store.Copy()
	f.configure([]string{"early"}, validKey, "key-3")
	f.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	f.awaitWeights(2)
	for _, d := range f.daemons {
		f.await("route before the restore", func() bool { return f.call(d, http.MethodGet, "/early/a", "e", "").status == 200 })
	}
	acknowledged := f.store.Copy()
	f.restore(old)
	for _, d := range f.daemons {
		if r := f.call(d, http.MethodGet, "/early/a", "back", ""); r.status != 200 {
			t.Errorf("a route that was confirmed before the restore: %+v", r)
		}
	}
	f.store.RestorePrefix("op/", acknowledged)
	f.store.RestorePrefix("servers/", acknowledged)
	f.configure([]string{"early", "late"}, validKey)
	for _, d := range f.daemons {
		f.await("route after the restore", func() bool { return f.call(d, http.MethodGet, "/late/a", "l", "").status == 200 })
		if r := f.call(d, http.MethodGet, "/look/a", "gone", "", "Authorization", "Token key-3"); r.status != 401 {
			t.Errorf("a key that was taken away: %+v", r)
		}
	}
	f.services[0].Drain()
	time.Sleep(time.Second)
	before := len(f.services[0].Runs())
	for i := range 20 {
		f.call(f.daemons[i%len(f.daemons)], http.MethodPost, "/order/a", fmt.Sprint("o", i), "")
	}
	if after := len(f.services[0].Runs()); after != before {
		t.Errorf("a target that leaves got %d requests", after-before)
	}
	f.store.Put("op/version/"+model, map[string]any{"model": model, "version": 3})
	f.awaitWeights(3)
}

// Guards against a daemon that starts with an older configuration than the others have in force (CONFIG): the store has come
// back from a copy, and the operators have not written again yet. A confirmed route must not be refused, and a key that was
// taken away must not be accepted.
func TestDaemonThatStartsAfterRestoreKnowsConfirmedConfiguration(t *testing.T) {
	f := newFleet(t, 2)
	f.configure(nil, validKey, "key-3")
	old := f.store.Copy()
	f.configure([]string{"new"}, validKey)
	for _, d := range f.daemons {
		f.await("new route", func() bool { return f.call(d, http.MethodGet, "/new/a", "n", "").status == 200 })
	}
	f.restore(old)
	f.await("entries of the daemons", func() bool {
		return f.store.Value("rill/hosts/daemon-0") != "" && f.store.Value("rill/hosts/daemon-1") != ""
	})
	started := f.start(2)
	for i := range 10 {
		if r := f.call(started, http.MethodGet, "/new/a", fmt.Sprint("c", i), ""); r.status != 200 {
			t.Errorf("a confirmed route: %+v", r)
		}
		if r := f.call(started, http.MethodGet, "/look/a", fmt.Sprint("k", i), "", "Authorization", "Token key-3"); r.status != 401 {
			t.Errorf("a key that was taken away: %+v", r)
		}
	}
	f.configure([]string{"new", "newer"}, validKey)
	f.await("newer route", func() bool { return f.call(started, http.MethodGet, "/newer/a", "n", "").status == 200 })
}
