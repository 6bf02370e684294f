package configurator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// repairLimit is how soon changes must be accepted again after a restore: the time until the platform
// counts as behind, and the time in which an accepted change spreads.
const repairLimit = configurator.DefaultBehindAfter + propagationLimit

// TestChangesAreAcceptedSoonAfterRestoreWithoutLeases guards against changes that are refused until
// some daemon has noticed that the maintenance lease is gone as well.
func TestChangesAreAcceptedSoonAfterRestoreWithoutLeases(t *testing.T) {
	for i := range 10 {
		size := 3 + 6*(i%2)
		testFleet(t, size, func(t *testing.T, f *fleet) {
			time.Sleep(time.Minute)
			backup := f.platform.Snapshot().WithoutLeases()
			for i := range 3 {
				mustCommit(t, f, f.members[i], i)
			}
			time.Sleep(propagationLimit)
			f.platform.Restore(backup)
			restored := time.Now()
			for len(f.accepted) == 3 && time.Since(restored) < 2*time.Minute {
				f.commit(t.Context(), f.members[size/2], 3, 0)
				time.Sleep(100 * time.Millisecond)
			}
			if took := time.Since(restored); took > repairLimit {
				t.Errorf("%d daemons: the first change was accepted %v after the restore, want at most %v", size, took, repairLimit)
			}
			f.checkFinalState()
		})
	}
}

// TestDaemonThatLacksTheNewestRevisionDoesNotForkTheLog guards against a second entry under the
// revision of an accepted one, by a daemon that had not received that one when the store lost it.
func TestDaemonThatLacksTheNewestRevisionDoesNotForkTheLog(t *testing.T) {
	for _, size := range []int{3, 9} {
		testFleet(t, size, func(t *testing.T, f *fleet) {
			backup := f.platform.Snapshot().WithoutLeases()
			late := f.members[2]
			late.setPaused(true, f.platform.Faults())
			mustCommit(t, f, f.members[0], 0)
			f.platform.Restore(backup)
			late.setPaused(false, f.platform.Faults())
			// A caller that gives up at once must not get a second revision 1 either.
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			f.commit(ctx, late, 1, 0)
			f.commit(t.Context(), late, 2, 0)
			f.checkFinalState()
		})
	}
}

// gossipingStore lets a peer's entries arrive during each read of the log.
type gossipingStore struct {
	configurator.Store
	arrive func()
}

func (s gossipingStore) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	page, err := s.Store.List(ctx, prefix, after, limit)
	s.arrive()
	return page, err
}

// TestEntryThatArrivesDuringReadIsNotTakenAsRead guards against an entry that is written after one that the
// store has lost, by a daemon that got the lost one from a peer while it read the log.
func TestEntryThatArrivesDuringReadIsNotTakenAsRead(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		var late *configurator.Configurator
		var arrives atomic.Bool
		settings := f.members[2].settings()
		settings.Store = gossipingStore{f.platform.Connection("late"), func() {
			if arrives.Load() {
				f.exchange(late, f.members[0].live())
			}
		}}
		late, err := configurator.New(settings)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = late.Close() }()
		time.Sleep(10 * time.Second)
		backup := f.platform.Snapshot().WithoutLeases()
		mustCommit(t, f, f.members[0], 0)
		f.platform.Restore(backup)
		arrives.Store(true)
		if _, err := late.Commit(t.Context(), 0, pairChange(1, "late")); err != nil {
			t.Log(err)
		}
		f.checkFinalState()
	})
}

// TestLeaseGivenOutAgainIsNotRenewed guards against a maintenance leader that keeps the lease of another
// daemon alive after that one has died, because the restored store gave the ID out again.
func TestLeaseGivenOutAgainIsNotRenewed(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot().WithoutLeases()
		time.Sleep(time.Minute)
		held, err := f.platform.Get(t.Context(), configurator.DefaultMaintenanceKey)
		if err != nil {
			t.Fatal(err)
		}
		f.platform.Restore(backup)
		lease, err := f.platform.Grant(t.Context(), configurator.DefaultMaintenanceTTL)
		if err != nil || lease.ID != held.Lease {
			t.Fatalf("got lease %v, %v, want %q again", lease, err, held.Lease)
		}
		if _, err := f.platform.Create(t.Context(), "stranger", nil, lease.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * configurator.DefaultMaintenanceTTL)
		if _, err := f.platform.Get(t.Context(), "stranger"); err == nil {
			t.Error("the key of a daemon that does not renew its lease still exists")
		}
		if _, err := f.platform.Get(t.Context(), configurator.DefaultMaintenanceKey); err != nil {
			t.Errorf("there is no maintenance leader: %v", err)
		}
	})
}
