package commander_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
)

// leaderKey names the leader on the platform.
const leaderKey = "duties/" + dataCentre + "/commander"

// takeOverTime is longer than a lease, the wait of a new leader and one poll take together.
const takeOverTime = 20 * time.Second

// restoreFleet runs a scenario with two hosts and one engine that checks fencing tokens.
func restoreFleet(t *testing.T, scenario func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{platform: platformemulator.New(platformemulator.Settings{}), maxLoads: 2, reached: map[string]int{}}
		f.engines = []*engine{{name: "engine", loadTime: time.Second}}
		f.configure("v1")
		stop := make(chan struct{})
		var reports sync.WaitGroup
		reports.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					f.sampleReports()
				}
			}
		})
		scenario(t, f)
		for _, h := range f.hosts {
			h.c.Close()
		}
		close(stop)
		reports.Wait()
	})
}

// add starts a host and waits until it leads or has seen a leader.
func (f *fleet) add(name string) *host {
	h := f.start(name, nil)
	f.hosts = append(f.hosts, h)
	time.Sleep(takeOverTime)
	return h
}

// stop closes a host and takes it out of the fleet.
func (f *fleet) stop(h *host) {
	h.c.Close()
	f.hosts = slices.DeleteFunc(f.hosts, func(other *host) bool { return other == h })
}

func (f *fleet) weightsOf(e *engine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return e.weights
}

func (f *fleet) tokenOf(e *engine) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return e.highestToken
}

// TestRestoredStoreNeverGivesOneLeaseToTwoLeaders guards against two leaders that hold one lease, whose
// ID the restored store has given out again.
func TestRestoredStoreNeverGivesOneLeaseToTwoLeaders(t *testing.T) {
	for offset := time.Duration(0); offset < 5*time.Second; offset += 500 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			restoreFleet(t, func(t *testing.T, f *fleet) { checkOneLeader(t, f, offset) })
		})
	}
}

// checkOneLeader restores the platform at an offset to the polls of the second host. The first leader
// is cut off until the second host has bound the leader key.
func checkOneLeader(t *testing.T, f *fleet, offset time.Duration) {
	backup := f.platform.Snapshot().WithoutLeases()
	first := f.add("first")
	second := f.add("second")
	if !first.c.IsLeader() || second.c.IsLeader() {
		t.Fatal("the first host does not lead alone")
	}
	time.Sleep(offset)
	first.conn.SetFaults(platformemulator.Faults{Partitioned: true})
	f.platform.Restore(backup)
	for f.leaderUnknown() {
		time.Sleep(10 * time.Millisecond)
	}
	first.conn.SetFaults(platformemulator.Faults{})
	both := 0
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if first.c.IsLeader() && second.c.IsLeader() {
			both++
		}
	}
	if both > 0 {
		t.Errorf("both hosts were leaders in %d of 300 samples", both)
	}
	if !second.c.IsLeader() {
		t.Error("the second host did not become the leader")
	}
}

func (f *fleet) leaderUnknown() bool {
	_, err := f.platform.Get(context.Background(), leaderKey)
	return err != nil
}

// TestFencingTokenRisesAcrossRestore guards against a new leader that uses the token of an earlier one
// again, since the restored store counts from its copy.
func TestFencingTokenRisesAcrossRestore(t *testing.T) {
	restoreFleet(t, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot().WithoutLeases()
		first := f.add("first")
		f.add("second")
		before := f.tokenOf(f.engines[0])
		f.configure("v2")
		f.stop(first)
		f.platform.Restore(backup)
		time.Sleep(2 * takeOverTime)
		if f.weightsOf(f.engines[0]) != "weights-v2" {
			t.Errorf("the engine has %q after the restore", f.weightsOf(f.engines[0]))
		}
		if after := f.tokenOf(f.engines[0]); after <= before {
			t.Errorf("the new leader ordered with token %d, the old one with %d", after, before)
		}
	})
}

// TestOrdersGoOnAfterManyLostFencingTokens guards against orders that pause for one lease after the
// other until the restored store has counted up to the token that the engine has seen.
func TestOrdersGoOnAfterManyLostFencingTokens(t *testing.T) {
	restoreFleet(t, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot().WithoutLeases()
		for range 100 {
			if _, err := f.platform.Grant(t.Context(), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		first := f.add("first")
		before := f.tokenOf(f.engines[0])
		f.stop(first)
		f.configure("v2")
		f.platform.Restore(backup)
		// A host that has seen no leader learns the token from the engine.
		f.add("second")
		time.Sleep(2 * takeOverTime)
		if f.weightsOf(f.engines[0]) != "weights-v2" {
			t.Errorf("the engine has %q after the restore", f.weightsOf(f.engines[0]))
		}
		if after := f.tokenOf(f.engines[0]); after <= before {
			t.Errorf("the new leader ordered with token %d, the old one with %d", after, before)
		}
	})
}

// TestImpossibleFencingTokenOfEngineCausesNoGrants guards against leases that are requested without end
// because a faulty engine names a fencing token that the platform will never reach.
func TestImpossibleFencingTokenOfEngineCausesNoGrants(t *testing.T) {
	restoreFleet(t, func(t *testing.T, f *fleet) {
		f.engines[0].highestToken = 1 << 62
		f.add("first")
		before := f.platform.Calls()[platformemulator.CallGrant]
		time.Sleep(2 * time.Minute)
		if grants := f.platform.Calls()[platformemulator.CallGrant] - before; grants > 24 {
			t.Errorf("%d leases were requested in two minutes", grants)
		}
	})
}
