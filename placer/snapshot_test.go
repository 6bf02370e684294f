package placer_test

import (
	"fmt"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against a daemon that starts and places prompts as if no target or store held them.
func TestSnapshotTellsSharedParts(t *testing.T) {
	f := newFixture(t, 4)
	f.addStore(0)
	for i := range 6 {
		choice := f.choose(longCall(fmt.Sprint(i)))
		choice.Attempt.RecordFirstEvent()
		choice.Attempt.Finish()
	}
	f.reportStored(longCall("stored"))
	started := f.newPlacer(4)
	started.SetCacheStores([]placer.CacheStore{{Name: placer.CacheStoreName, Address: storeAddress, DataCentre: "north", CacheTokens: 4_000_000, LinkBitsPerSecond: 42e9}})
	snapshot := f.placer.Snapshot(100)
	if len(snapshot) != 7 || snapshot[0].Target != 1 {
		t.Errorf("snapshot %+v", snapshot)
	}
	if bounded := f.placer.Snapshot(3); len(bounded) != 3 {
		t.Errorf("%d holdings, want 3", len(bounded))
	}
	started.Import("peer", placer.PeerUpdate{LoadsOmitted: true, Holdings: snapshot})
	for _, prompt := range []string{"0", "5", "stored"} {
		if choice, err := started.Choose(longCall(prompt), nil); err != nil || choice.SharedRead != 0 {
			t.Errorf("prompt %s: %d shared tokens are read again, cause %s, %v", prompt, choice.SharedRead, choice.ReadCause, err)
		}
	}
}
