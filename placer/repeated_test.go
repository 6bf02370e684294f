package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Counts the shared tokens that are read again under the load of the bank, in three situations. The bounds are shares of the
// shared tokens of all requests.
func TestSharedPartsAreSeldomReadAgain(t *testing.T) {
	for name, c := range map[string]struct {
		disturb  func(s *sim)
		maxShare float64
	}{
		"calm":        {func(*sim) {}, 0.05},
		"new weights": {func(s *sim) { s.changeWeights(3 * time.Second) }, 0.05},
		"half of the daemons restart": {func(s *sim) {
			for i := range simDaemons / 2 {
				s.daemons[i] = s.newDaemon(i)
				s.at(s.now.Add(500*time.Millisecond), func() {
					s.daemons[i].Import("informant", placer.PeerUpdate{LoadsOmitted: true, Holdings: s.daemons[simDaemons-1].Snapshot(2048)})
				})
			}
		}, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSim(1)
			s.load(45, true)
			s.load(778, false)
			s.run(8 * time.Second)
			s.first, s.again, s.requests, s.waits = 0, 0, 0, 0
			c.disturb(s)
			s.run(5 * time.Second)
			t.Logf("%d requests, %d k shared tokens read at first, %d k again, first event after %d ms", s.requests, s.first/1000, s.again/1000, s.waits/max(s.requests, 1))
			if share := float64(s.again) / float64(max(s.requests, 1)*simShared); share > c.maxShare || s.requests < 150 {
				t.Errorf("%.3f of the shared tokens of %d requests are read again, at most %.3f expected", share, s.requests, c.maxShare)
			}
		})
	}
}

// Guards against daemons that all fetch from one store at once, since each knows only its own fetches: a second daemon has prompts
// read while the fetches that a first one has begun fill the store's link.
func TestFetchesOfPeersFillLinkOfStore(t *testing.T) {
	f := newFixture(t, 8)
	peer := f.newPlacer(8)
	for _, p := range []*placer.Placer{f.placer, peer} {
		p.SetCacheStores(threeStores(0))
		for i := range 200 {
			report(p, threeStores(0)[0].Address, longCall(fmt.Sprint(i)))
		}
	}
	for i := range 20 {
		if _, err := peer.Choose(longCall(fmt.Sprint(i)), nil); err != nil {
			t.Fatal(err)
		}
	}
	f.placer.Import("peer", peer.Export())
	busy := f.choose(longCall("100"))
	busy.Attempt.Finish()
	f.now = f.now.Add(10 * time.Second)
	f.placer.Import("peer", peer.Export())
	idle := f.choose(longCall("101"))
	if busy.ReadCause != placer.ReadElsewhere || idle.SharedRead != 0 {
		t.Errorf("while the link is busy %q, later %d shared tokens are read, cause %q", busy.ReadCause, idle.SharedRead, idle.ReadCause)
	}
	idle.Attempt.Finish()
	f.now = f.now.Add(10 * time.Second)
	if update := f.placer.Export(); len(update.Loads) > 0 {
		t.Errorf("work is told after all transfers have ended: %+v", update.Loads)
	}
}

// Guards against copies that push other prompts out of the caches, although the holder is free soon. The holder is busy for
// less than the prefill of the prompt.
func TestRequestWaitsForHolderInPlaceOfCopy(t *testing.T) {
	f := newFixture(t, 2)
	for i := range 8 { // Fill the cache of the other engine.
		f.choose(longCall(fmt.Sprint(i)), "e0").Attempt.Finish()
	}
	first := f.choose(longCall("hot"), "e1")
	first.Attempt.RecordFirstEvent()
	first.Attempt.Finish()
	for i := range 3 {
		if next := f.choose(longCall("hot")); next.Target.ID != "e0" {
			t.Errorf("request %d goes to %s", i, next.Target.ID)
		}
	}
}

// Guards against prompts that are read again since the modelled cache is smaller than the real one. It counts parts of single calls
// twice. While an engine's evictions are told, they decide.
func TestToldEvictionsDecideWhatIsHeld(t *testing.T) {
	f := newFixture(t, 1)
	evict := placer.CacheEvents{Changes: []placer.CacheChange{{Key: 5}}}
	for i := range 12 {
		f.placer.ObserveCache("e0", evict)
		f.choose(longCall(fmt.Sprint(i))).Attempt.Finish()
	}
	if held := f.choose(longCall("0")); held.SharedRead != 0 {
		t.Errorf("%d tokens are read of a prompt whose eviction wasn't told", held.SharedRead)
	}
	f.now = f.now.Add(time.Minute)
	f.choose(longCall("last")).Attempt.Finish()
	if forgotten := f.choose(longCall("3")); forgotten.ReadCause != placer.ReadEvicted {
		t.Errorf("without events, %d tokens are read, cause %q", forgotten.SharedRead, forgotten.ReadCause)
	}
}
