package assembler_test

import (
	"net/http"
	"testing"
)

// Guards against a confirmed configuration that comes back older (CONFIG): the only daemon that a starting one can ask has
// itself started after the restore.
func TestSecondStarterKnowsConfirmedConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(nil, validKey, "key-3")
	old := f.store.Copy()
	f.configure([]string{"new"}, validKey)
	f.await("new route", func() bool { return f.call(f.daemons[0], http.MethodGet, "/new/a", "n", "").status == 200 })
	f.restore(old)
	f.await("entry of the daemon", func() bool { return f.store.Value("rill/hosts/daemon-0") != "" })
	first := f.start(1)
	if r := f.call(first, http.MethodGet, "/new/a", "c1", ""); r.status != 200 {
		t.Fatalf("first starter: %+v", r)
	}
	f.await("entry of the starter", func() bool { return f.store.Value("rill/hosts/daemon-1") != "" })
	if err := f.daemons[0].Shutdown(); err != nil {
		t.Error(err)
	}
	if r := f.call(first, http.MethodGet, "/new/a", "c2", ""); r.status != 200 {
		t.Fatalf("first starter later: %+v", r)
	}
	second := f.start(2)
	for range 3 {
		if r := f.call(second, http.MethodGet, "/new/a", "c3", ""); r.status != 200 {
			t.Errorf("second starter, confirmed route: %+v", r)
		}
		if r := f.call(second, http.MethodGet, "/look/a", "k", "", "Authorization", "Token key-3"); r.status != 401 {
			t.Errorf("second starter, key taken away: %+v", r)
		}
	}
}
