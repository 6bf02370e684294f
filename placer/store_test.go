package placer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

var storeAddress = netip.MustParseAddrPort("10.9.9.9:80")

// idleLinkInterval is an interval between two transfers that leaves the store's link mostly idle.
const idleLinkInterval = 200 * time.Millisecond

// addStore adds a store of cached parts, which transfers the shared part of a longCall in 46 ms, and peers.
func (f *fixture) addStore(peers int) {
	f.placer.SetCacheStores([]placer.CacheStore{{Name: placer.CacheStoreName, Address: storeAddress, DataCentre: "north", CacheTokens: 4_000_000, LinkBitsPerSecond: 42e9}})
	f.importFromPeers(peers)
}

func (f *fixture) importFromPeers(peers int) {
	for i := range peers {
		f.placer.Import(fmt.Sprint("peer", i), placer.PeerUpdate{})
	}
}

// restartEngines replaces the engines by new incarnations with empty caches. The store keeps its parts.
func (f *fixture) restartEngines(engines int) {
	restarted := targets(engines, 1)
	for i := range restarted {
		restarted[i].Started = f.now
	}
	f.placer.SetTargets(restarted)
}

// reportStored makes the store report that it holds the shared part of a prompt.
func (f *fixture) reportStored(call placer.Call) {
	part := call.Parts[0]
	f.placer.ObserveCache(placer.CacheStoreName, placer.CacheEvents{
		Changes: []placer.CacheChange{{Key: placer.PartKey(model, call.CacheNamespace, 1, part.ID), Tokens: part.Tokens}},
	})
}

// Prompts that the engines no longer hold are requested again while nine daemons use the store at a low rate. Their
// prefill takes an engine a few hundred ms, a fetch from the store 50 ms.
func TestPartsAreFetchedFromIdleStore(t *testing.T) {
	const peers = 8
	f := newFixture(t, 4)
	f.addStore(peers)
	for i := range 8 {
		f.choose(longCall(fmt.Sprint(i))).Attempt.Finish()
		f.reportStored(longCall(fmt.Sprint(i)))
		f.now = f.now.Add(10 * idleLinkInterval)
		f.importFromPeers(peers)
	}
	f.restartEngines(4)
	for i := range 3 {
		choice := f.choose(longCall(fmt.Sprint(i)))
		choice.Attempt.Finish()
		if choice.FetchFrom != storeAddress {
			t.Errorf("prompt %d was not fetched from the store: %d tokens to prefill, expected after %s", i, choice.PrefillTokens, choice.Expected)
		}
		f.now = f.now.Add(idleLinkInterval)
		f.importFromPeers(peers)
	}
}

// All daemons fetch prompts at once. Prompts whose fetch would wait long for the link are prefilled instead.
func TestMostPromptsAreNotFetchedFromBusyStore(t *testing.T) {
	const peers = 8
	f := newFixture(t, 16)
	f.addStore(peers)
	const prompts = 60
	for i := range prompts {
		f.choose(longCall(fmt.Sprint(i))).Attempt.Finish()
		f.reportStored(longCall(fmt.Sprint(i)))
		f.now = f.now.Add(time.Second)
		f.importFromPeers(peers)
	}
	f.restartEngines(16)
	fetched := 0
	for i := range prompts {
		choice := f.choose(longCall(fmt.Sprint(i)))
		choice.Attempt.RecordFirstEvent()
		choice.Attempt.Finish()
		if choice.FetchFrom == storeAddress {
			fetched++
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	// In 0.6 s the store's link transfers 13 prompts, fewer than two for each of nine daemons.
	if fetched == 0 || fetched > prompts/3 {
		t.Errorf("one of nine daemons fetched %d of %d prompts within 0.6 s", fetched, prompts)
	}
}

// A part that the store did not accept is prefilled and saved again rather than fetched from the store.
func TestSavedPartsCountAfterStoreReportsThem(t *testing.T) {
	f := newFixture(t, 2)
	f.addStore(0)
	first := f.choose(longCall("book"))
	first.Attempt.Finish()
	f.restartEngines(2)
	second := f.choose(longCall("book"))
	second.Attempt.Finish()
	if first.SaveTo != storeAddress || second.FetchFrom.IsValid() {
		t.Errorf("the first request saves to %s, the second fetches from %s", first.SaveTo, second.FetchFrom)
	}
	if second.SaveTo.IsValid() {
		t.Error("a part on its way to the store was sent again")
	}
	f.now = f.now.Add(time.Minute)
	f.restartEngines(2)
	if third := f.choose(longCall("book")); third.SaveTo != storeAddress {
		t.Error("a part that did not reach the store was not sent again")
	}
}
