package configurator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

func TestNotReadyAfterFleetRestartDuringOutage(t *testing.T) {
	testFleet(t, 9, func(t *testing.T, f *fleet) {
		revision := mustCommit(t, f, f.members[0], 0)
		f.platform.SetFaults(platformemulator.Faults{Outage: true})
		f.run(t, step{Kind: stepRestartAll, Count: 1})
		f.platform.SetFaults(platformemulator.Faults{Outage: true})
		time.Sleep(time.Minute)
		for _, m := range f.members {
			if m.live().Ready() {
				t.Errorf("daemon %d is ready without a configuration", m.index)
			}
		}
		f.platform.SetFaults(platformemulator.Faults{})
		f.waitReady(t)
		if shown := f.members[3].live().Digest().Revision; shown != revision {
			t.Errorf("restarted with revision %d, want %d", shown, revision)
		}
	})
}

// noPeers implements Peers and WatchRole for a daemon without peers that does not watch.
type noPeers struct{}

func (noPeers) HighestRevision(context.Context) (registrar.Revision, int, error) { return 0, 0, nil }
func (noPeers) Watches() bool                                                    { return false }

// fixedPeerRevision simulates a single peer at a fixed revision.
type fixedPeerRevision struct {
	noPeers
	revision atomic.Uint64
}

func (p *fixedPeerRevision) HighestRevision(context.Context) (registrar.Revision, int, error) {
	return registrar.Revision(p.revision.Load()), 1, nil
}

// newStandalone starts a Configurator that is not part of the fleet.
func newStandalone(t *testing.T, f *fleet, store configurator.Store, peers configurator.Peers) *configurator.Configurator {
	settings := (&member{fleet: newFleet(0), index: 1, conn: f.platform.Connection("alone")}).settings()
	settings.Store = store
	settings.Peers = peers
	settings.WatchRole = noPeers{}
	c, err := configurator.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestNotReadyBelowHighestPeerRevision(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		mustCommit(t, f, f.members[0], 0)
		backup := f.platform.Snapshot()
		revision := mustCommit(t, f, f.members[0], 1)
		entries := f.members[0].live().Entries(0, offerBytes)
		restored := newFleet(0)
		restored.platform.Restore(backup)
		peers := &fixedPeerRevision{}
		peers.revision.Store(uint64(revision))
		c := newStandalone(t, restored, restored.platform, peers)
		defer c.Close()
		time.Sleep(time.Minute)
		if c.Ready() {
			t.Errorf("ready at revision %d, but a peer has %d", c.Digest().Revision, revision)
		}
		if err := c.Offer(entries); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if !c.Ready() || c.Digest().Revision != revision {
			t.Errorf("ready=%v at revision %d after the peer offered %d", c.Ready(), c.Digest().Revision, revision)
		}
	})
}

// firstPageStore is a store whose listings fail after the first page.
type firstPageStore struct {
	configurator.Store
}

func (s firstPageStore) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if after != "" {
		return storer.Page{}, &storer.UnavailableError{Cause: errors.New("listing interrupted")}
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func TestPartialLogReadIsNotApplied(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		for range 7 {
			mustCommit(t, f, f.members[0], 0)
		}
		peers := &fixedPeerRevision{}
		c := newStandalone(t, f, firstPageStore{Store: f.platform}, peers)
		defer c.Close()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			peers.revision.Store(uint64(c.Digest().Revision))
			if c.Ready() {
				t.Errorf("ready at revision %d of 7", c.Digest().Revision)
				return
			}
		}
	})
}

func TestCorruptSnapshotPreventsTrimming(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		for range 12 {
			mustCommit(t, f, f.members[0], 0)
		}
		for range 600 {
			if _, err := f.platform.Get(t.Context(), "config/snapshot_latest"); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		page, err := f.platform.List(t.Context(), "config/snapshot/", "", 1)
		if err != nil || len(page.Items) != 1 {
			t.Errorf("no snapshot was written: %v, %v", page, err)
			return
		}
		part := page.Items[0]
		if _, err := f.platform.Swap(t.Context(), part.Key, []byte("broken"), part.Version, storer.NoLease); err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Minute)
		if _, err := f.platform.Get(t.Context(), "config/log/000000000001"); err != nil {
			t.Errorf("the log was trimmed although the snapshot is corrupt: %v", err)
		}
		for range 8 {
			mustCommit(t, f, f.members[0], 1)
		}
		time.Sleep(5 * time.Minute)
		if _, err := f.platform.Get(t.Context(), "config/log/000000000001"); err == nil {
			t.Error("the log was not trimmed after the next valid snapshot")
		}
		f.checkFinalState()
	})
}
