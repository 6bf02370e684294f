package placer_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// threeStores returns stores in three data centres, in another order at each call with another shift.
func threeStores(shift int) (stores []placer.CacheStore) {
	for i := range 3 {
		at := (i + shift) % 3
		stores = append(stores, placer.CacheStore{
			Name: fmt.Sprint(placer.CacheStoreName, "/", at), DataCentre: []string{"north", "south", "west"}[at], CacheTokens: 4_000_000, LinkBitsPerSecond: 42e9,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 9, byte(at)}), 80),
		})
	}
	return stores
}

// storeNameAt returns the name of the store of threeStores at an address.
func storeNameAt(address netip.AddrPort) string {
	return fmt.Sprint(placer.CacheStoreName, "/", address.Addr().As4()[3])
}

// report makes the store at the address report that it holds the shared part of a prompt.
func report(p *placer.Placer, address netip.AddrPort, call placer.Call) {
	part := call.Parts[0]
	p.ObserveCache(storeNameAt(address), placer.CacheEvents{
		Changes: []placer.CacheChange{{Key: placer.PartKey(model, call.CacheNamespace, 1, part.ID), Tokens: part.Tokens}},
	})
}

// Guards against daemons that keep prompts in different stores, so that none finds what another has saved.
func TestDaemonsAgreeOnStoreOfPrompt(t *testing.T) {
	f := newFixture(t, 2)
	other := f.newPlacer(2)
	f.placer.SetCacheStores(threeStores(0))
	other.SetCacheStores(threeStores(1))
	prompts := make(map[netip.AddrPort]int)
	for i := range 300 {
		call := longCall(fmt.Sprint(i))
		mine := f.choose(call)
		mine.Attempt.Finish()
		theirs, err := other.Choose(call, nil)
		if err != nil || theirs.SaveTo != mine.SaveTo {
			t.Fatalf("prompt %d is saved to %s and %s, %v", i, mine.SaveTo, theirs.SaveTo, err)
		}
		theirs.Attempt.Finish()
		prompts[mine.SaveTo]++
	}
	for address, count := range prompts {
		if len(prompts) != 3 || count < 60 {
			t.Errorf("store %s keeps %d of 300 prompts", address, count)
		}
	}
}

// A daemon learns from the one that polls a store what the store holds, and fetches it there after the engines restarted.
func TestPartsAreFetchedFromStoreThatHoldsThem(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.newPlacer(2)
	f.placer.SetCacheStores(threeStores(0))
	peer.SetCacheStores(threeStores(2))
	for i := range 12 {
		call := longCall(fmt.Sprint(i))
		saved := f.choose(call)
		saved.Attempt.Finish()
		report(peer, saved.SaveTo, call)
		f.placer.Import("peer", peer.Export())
		f.restartEngines(2)
		f.now = f.now.Add(time.Minute)
		if choice := f.choose(call); choice.FetchFrom != saved.SaveTo || choice.SaveTo.IsValid() {
			t.Errorf("prompt %d was saved to %s, but is fetched from %s and saved to %s", i, saved.SaveTo, choice.FetchFrom, choice.SaveTo)
		}
	}
}

// Guards against fetches from a store that is down, each of which delays a request by some hundred ms, and against its
// prompts being saved nowhere meanwhile.
func TestPromptsOfStoreThatIsDownMoveToNext(t *testing.T) {
	f := newFixture(t, 1)
	poller := f.newPlacer(1)
	f.placer.SetCacheStores(threeStores(0))
	poller.SetCacheStores(threeStores(0))
	call := longCall("book")
	home := f.choose(call).SaveTo
	report(f.placer, home, call)
	for range 2 {
		poller.ObserveStorePoll(storeNameAt(home), placer.CacheEvents{}, errors.New("refused"))
	}
	f.placer.Import("poller", poller.Export())
	f.restartEngines(1)
	moved := f.choose(call)
	if moved.FetchFrom.IsValid() || !moved.SaveTo.IsValid() || moved.SaveTo == home {
		t.Errorf("while %s is down, the prompt is fetched from %s and saved to %s", home, moved.FetchFrom, moved.SaveTo)
	}
	if theirs, err := poller.Choose(call, nil); err != nil || theirs.SaveTo != moved.SaveTo {
		t.Errorf("saved to %s, by the daemon that polls the store to %s, %v", moved.SaveTo, theirs.SaveTo, err)
	}
	if counts := f.placer.StoreCounts(); counts != (placer.StoreCounts{Configured: 3, Down: 1}) {
		t.Errorf("counted %+v", counts)
	}
	poller.ObserveStorePoll(storeNameAt(home), placer.CacheEvents{Incarnation: "1"}, nil)
	f.placer.Import("poller", poller.Export())
	f.now = f.now.Add(time.Second)
	f.restartEngines(1)
	if back := f.choose(call); back.FetchFrom != home {
		t.Errorf("after %s came back with its parts, the prompt is fetched from %s", home, back.FetchFrom)
	}
}

// Guards against fetches across lost links between data centres: the daemon that polls the store reaches it, but isn't heard.
func TestStoreOfSilentDataCentreIsNotUsed(t *testing.T) {
	f := newFixture(t, 1)
	poller := f.newPlacer(1)
	f.placer.SetCacheStores(threeStores(0))
	poller.SetCacheStores(threeStores(0))
	call := longCall("book")
	home := f.choose(call).SaveTo
	report(f.placer, home, call)
	for i, want := range []bool{true, false, true} {
		if want {
			poller.ObserveStorePoll(storeNameAt(home), placer.CacheEvents{Incarnation: "1"}, nil)
			f.placer.Import("poller", poller.Export())
		}
		f.restartEngines(1)
		if choice := f.choose(call); (choice.FetchFrom == home) != want {
			t.Errorf("step %d: fetched from %s, the store is %s", i, choice.FetchFrom, home)
		}
		f.now = f.now.Add(30 * time.Second)
	}
}

// Guards against fetches of parts that a store lost in a restart, at the daemon that polls it and at the others.
func TestStoreThatRestartedHoldsNothing(t *testing.T) {
	f := newFixture(t, 1)
	poller := f.newPlacer(1)
	call := longCall("book")
	for _, p := range []*placer.Placer{f.placer, poller} {
		p.SetCacheStores(threeStores(0))
	}
	home := f.choose(call).SaveTo
	for _, incarnation := range []string{"1", "2"} {
		poller.ObserveStorePoll(storeNameAt(home), placer.CacheEvents{Incarnation: incarnation}, nil)
		if incarnation == "1" {
			report(poller, home, call)
		}
		f.placer.Import("poller", poller.Export())
	}
	f.restartEngines(1)
	f.now = f.now.Add(10 * time.Second)
	for _, p := range []*placer.Placer{f.placer, poller} {
		if choice, err := p.Choose(call, nil); err != nil || choice.FetchFrom.IsValid() || choice.SaveTo != home {
			t.Errorf("fetched from %s and saved to %s, the home %s is empty, %v", choice.FetchFrom, choice.SaveTo, home, err)
		}
	}
}

// A store that is declared beside others keeps its parts. A store that is removed isn't used any more.
func TestStoresAreAddedAndRemoved(t *testing.T) {
	f := newFixture(t, 1)
	stores := threeStores(0)
	only := stores[0]
	only.Name = placer.CacheStoreName
	f.placer.SetCacheStores([]placer.CacheStore{only})
	call := longCall("book")
	f.choose(call).Attempt.Finish()
	f.reportStored(call)
	f.restartEngines(1)
	f.placer.SetCacheStores(stores)
	if choice := f.choose(call); choice.FetchFrom != only.Address {
		t.Errorf("fetched from %s, want %s", choice.FetchFrom, only.Address)
	}
	f.now = f.now.Add(time.Second)
	f.restartEngines(1)
	f.placer.SetCacheStores(stores[1:])
	if choice := f.choose(call); choice.FetchFrom.IsValid() || !choice.SaveTo.IsValid() || choice.SaveTo == only.Address {
		t.Errorf("fetched from %s and saved to %s after %s was removed", choice.FetchFrom, choice.SaveTo, only.Address)
	}
}

// Daemons of the previous build name the only store by the hash 1, and know no state of it.
func TestOnlyStoreIsToldAsBefore(t *testing.T) {
	f := newFixture(t, 1)
	f.addStore(0)
	for range 3 {
		f.placer.ObserveStorePoll(placer.CacheStoreName, placer.CacheEvents{}, errors.New("refused"))
	}
	f.reportStored(longCall("book"))
	want := placer.Holding{Target: 1, Key: placer.PartKey(model, "", 1, "book"), Tokens: 13_000}
	if update := f.placer.Export(); len(update.Holdings) != 1 || update.Holdings[0] != want {
		t.Errorf("told %+v, want %+v", update.Holdings, want)
	}
	if !f.choose(longCall("book")).FetchFrom.IsValid() {
		t.Error("the only store isn't used after failed polls")
	}
}

// Of two stores that hold a prompt, the engine fetches from the one that takes less time.
func TestPartsAreFetchedFromStoreInSameDataCentre(t *testing.T) {
	f := newFixture(t, 1)
	stores := threeStores(0)
	f.placer.SetCacheStores(stores)
	call := longCall("book")
	for _, store := range stores[1:] {
		report(f.placer, store.Address, call)
	}
	report(f.placer, stores[0].Address, call)
	if choice := f.choose(call); choice.FetchFrom != stores[0].Address {
		t.Errorf("fetched from %s, %s is in the same data centre", choice.FetchFrom, stores[0].Address)
	}
}

// localOnly is a price at which no cached tokens move between data centres.
type localOnly struct{ placer.Crossing }

func (localOnly) Choose(balancer.Request, []balancer.Option) (index int, chosen bool) { return 0, true }

func (localOnly) WorthMoving(int, time.Duration, time.Duration) bool { return false }
func (localOnly) RecordAnswer(string)                                {}

// Guards against saves that cost more than they are worth, from which no target of the data centre may fetch later.
func TestPricedPartsAreSavedInSameDataCentre(t *testing.T) {
	f := newFixture(t, 2)
	f.placer = placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return f.now }, VersionBound: versionBound, Crossing: localOnly{}})
	f.placer.SetEngines(map[string]placer.Engine{service: {CacheTokens: 100_000, TokenBytes: 18_000, LinkBitsPerSecond: 180e9}})
	f.placer.SetTargets(targets(2, 1))
	f.placer.SetCacheStores(threeStores(0))
	for i := range 12 {
		choice := f.choose(longCall(fmt.Sprint(i)))
		choice.Attempt.Finish()
		if choice.SaveTo != threeStores(0)[0].Address {
			t.Errorf("prompt %d is saved to %s, not in the target's data centre", i, choice.SaveTo)
		}
		f.now = f.now.Add(time.Second)
	}
}
