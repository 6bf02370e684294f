package router_test

import (
	"testing"

	"github.com/rosemaryrill/rosemaryrill/router"
)

// newWarmRouter returns a router that has sent a number of calls with different prefixes.
func newWarmRouter(t testing.TB, c *clock, calls int) (*router.Router, *router.TargetSet) {
	r, allowed := newRouter(t, c, 6)
	for number := range uint64(calls) {
		wanted := request(number, 5, allowed)
		attempt := r.RecordSent(wanted, route(t, r, wanted))
		attempt.RecordAnswer(router.Answer{Incarnation: "1"})
		attempt.Finish()
	}
	return r, allowed
}

func TestImportAddsHintsOfPeer(t *testing.T) {
	c := newClock()
	peer, allowed := newWarmRouter(t, c, 20)
	receiver, _ := newRouter(t, c, 6)
	if err := receiver.Import(peer.Export(1 << 20)); err != nil {
		t.Fatal(err)
	}
	for number := range uint64(20) {
		want, got := route(t, peer, request(number, 5, allowed)), route(t, receiver, request(number, 5, allowed))
		if got.Target != want.Target || got.CachedTokens != want.CachedTokens || got.CachedTokens == 0 {
			t.Fatalf("prefix %d: the peer chooses %s with %d tokens cached, the importing router %s with %d",
				number, want.Target, want.CachedTokens, got.Target, got.CachedTokens)
		}
	}
}

func TestImportDropsHintsOfOtherIncarnations(t *testing.T) {
	c := newClock()
	peer, allowed := newWarmRouter(t, c, 20)
	receiver, _ := newRouter(t, c, 6)
	for _, name := range names(6) {
		receiver.ObserveLoad(name, router.Load{Incarnation: "2"}, c.now)
	}
	if err := receiver.Import(peer.Export(1 << 20)); err != nil {
		t.Fatal(err)
	}
	for number := range uint64(20) {
		if got := route(t, receiver, request(number, 5, allowed)); got.CachedTokens != 0 {
			t.Fatalf("prefix %d: %d tokens expected at a later incarnation", number, got.CachedTokens)
		}
	}
}

func TestExportIsBounded(t *testing.T) {
	peer, _ := newWarmRouter(t, newClock(), 100)
	for _, bound := range []int{0, 100, 500, 5000} {
		if size := len(peer.Export(bound)); size > bound {
			t.Errorf("%d bytes exported, the bound is %d", size, bound)
		}
	}
}

func FuzzImport(f *testing.F) {
	c := newClock()
	peer, _ := newWarmRouter(f, c, 5)
	f.Add(peer.Export(1 << 20))
	f.Fuzz(func(t *testing.T, message []byte) {
		receiver, allowed := newRouter(t, c, 6)
		// Import may accept or reject any message, but it must neither panic nor prevent decisions.
		_ = receiver.Import(message)
		route(t, receiver, request(1, 5, allowed))
	})
}

func TestDeferrableCallsLeaveSlotsFree(t *testing.T) {
	c := newClock()
	r, allowed := newRouter(t, c, 1)
	wanted := request(1, 1, allowed)
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 6}, c.now)
	if hold := route(t, r, wanted).Hold; hold != 0 {
		t.Fatalf("an interactive call is held for %s", hold)
	}
	wanted.Class = router.ClassDeferrable
	if hold := route(t, r, wanted).Hold; hold <= 0 {
		t.Fatal("a deferrable call takes one of the last slots")
	}
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 2}, c.now)
	if hold := route(t, r, wanted).Hold; hold != 0 {
		t.Fatalf("a deferrable call is held for %s with free slots", hold)
	}
}

func BenchmarkExport(b *testing.B) {
	peer, _ := newWarmRouter(b, newClock(), 1000)
	for b.Loop() {
		peer.Export(14_000)
	}
	b.ReportMetric(float64(len(peer.Export(1<<20)))/float64(peer.KnownPrefixes()), "bytes/prefix")
}

// TestReportMeasuredAtSendTimeKeepsCallCounted guards against a call that is not counted: a report
// measured at the time of a send may have been made before the call arrived.
func TestReportMeasuredAtSendTimeKeepsCallCounted(t *testing.T) {
	c := newClock()
	r, allowed := newRouter(t, c, 1)
	wanted := request(1, 2, allowed)
	wanted.Class = router.ClassDeferrable
	sent := request(2, 2, allowed)
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 5}, c.now)
	for range 2 {
		r.RecordSent(sent, route(t, r, sent))
	}
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 5}, c.now)
	if hold := route(t, r, wanted).Hold; hold <= 0 {
		t.Error("a deferrable call is not held, although calls sent at the time of the report take the slots")
	}
}
