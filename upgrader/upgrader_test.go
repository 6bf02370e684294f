package upgrader_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/seeder"
	"github.com/rosemaryrill/rosemaryrill/upgrader"
)

func TestMain(m *testing.M) { seeder.Main(m) }

func TestAllEnginesGetNewWeights(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(12 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) {
			t.Errorf("after 12 s the engines have versions %v", versions)
		}
		if len(f.orders) != 12 {
			t.Errorf("%d orders for 12 engines", len(f.orders))
		}
	}, "a", "b", "c")
}

// An engine skips the versions that are superseded before its update starts.
func TestSupersededVersionsAreSkipped(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		for version := int64(2); version <= 5; version++ {
			f.setWanted(version)
			time.Sleep(time.Second)
		}
		time.Sleep(16 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{5}) {
			t.Errorf("the engines have versions %v", versions)
		}
		if len(f.orders) > 22 {
			t.Errorf("%d orders for four versions at 12 engines", len(f.orders))
		}
	}, "a", "b")
}

func TestOtherDaemonsDivertRequestsBeforeFirstOrder(t *testing.T) {
	runInVirtualTime(t, 4, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(300 * time.Millisecond)
		holder := f.holder()
		for name, d := range f.daemons {
			f.mu.Lock()
			excluded := len(d.upgrading)
			f.mu.Unlock()
			if excluded == 0 {
				t.Errorf("%s does not exclude the targets that %s updates", name, holder)
			}
		}
		if len(f.orders) > 0 {
			t.Error("an order was sent before the other daemons could stop sending requests to the engine")
		}
	}, "a", "b", "c")
}

func TestClosedHolderReleasesLock(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(2 * time.Second)
		first := f.holder()
		_ = f.daemons[first].upgrader.Close()
		time.Sleep(15 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) || f.holder() == first {
			t.Errorf("15 s after %s was closed the engines have versions %v, the holder is %s", first, versions, f.holder())
		}
	}, "a", "b", "c")
}

func TestIsolatedHolderSendsNoOrders(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(2 * time.Second)
		first := f.holder()
		f.isolate(first)
		time.Sleep(leaseTTL)
		f.expireLease(first)
		time.Sleep(20 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) {
			t.Errorf("the engines have versions %v", versions)
		}
	}, "a", "b", "c")
}

// Guards against weights that are never replaced after the store was away while it kept the leases (VERSION): the holder
// steps down since it cannot know that its lease goes on, and the lock's key, which nobody else may replace, stays.
func TestHolderTakesLockBackAfterPausedLease(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(time.Second)
		holder := f.daemons[f.holder()]
		for name := range f.daemons {
			f.isolate(name)
		}
		f.mu.Lock()
		holder.leaseHeld = false
		f.mu.Unlock()
		time.Sleep(2 * leaseTTL)
		f.mu.Lock()
		holder.leaseHeld = true
		clear(f.isolated)
		for _, d := range f.daemons {
			d.unrenewedSince = time.Time{}
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) {
			t.Errorf("the engines have versions %v, the lock belongs to %q", versions, f.holder())
		}
	}, "a", "b", "c")
}

// The take-over delay counts from the former holder's last order. If the next holder waited for a whole delay after
// the deletion of the lock's key, the engines would not load new weights in time when two successive holders of the
// update lock are suspended.
func TestNextHolderSubtractsIdleTimeFromTakeOver(t *testing.T) {
	runInVirtualTime(t, 18, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(time.Second)
		first, isolatedAt := f.suspendHolder()
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, order := range f.orders {
			if order.holder != first {
				if after := order.at.Sub(isolatedAt); after > takeOverDelay+upgrader.MaxOrderLeaseAge+1200*time.Millisecond {
					t.Errorf("the next holder sent its first order %s after the former one was isolated", after)
				}
				return
			}
		}
		t.Error("the next holder sent no order")
	}, "a", "b", "c")
}

// Successive holders are suspended, so each next one waits out the take-over delay. What has to happen before its first order
// has to be done within that delay: engines are drained and asked for their reports, so that the order goes out as soon as
// it is allowed.
func TestNextHolderOrdersWhenTakeOverDelayEnds(t *testing.T) {
	// longestAcquisition is the longest time for which a daemon leaves a free lock, and callTime that of its calls.
	const longestAcquisition, callTime = 520 * time.Millisecond, 100 * time.Millisecond
	for range 20 {
		runInVirtualTime(t, 18, func(f *fleet) {
			f.setWanted(2)
			time.Sleep(time.Second)
			first, isolatedAt := f.suspendHolder()
			time.Sleep(4 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			at := slices.IndexFunc(f.orders, func(order receivedOrder) bool { return order.holder != first })
			if at < 0 {
				t.Fatal("the next holder sent no order")
			}
			if after := f.orders[at].at.Sub(isolatedAt); after > takeOverDelay+upgrader.MaxOrderLeaseAge+longestAcquisition+callTime {
				t.Errorf("the next holder sent its first order %s after the former one was isolated", after)
			}
		}, "a", "b", "c")
	}
}

// If the answer to the commit that acquires the update lock is lost, the daemon recognises its own write in the
// store's events.
func TestLostAnswerToLockAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, "a", "b")
		f.lostCommitAnswers = 3
		f.start(t.Context())
		f.setWanted(2)
		time.Sleep(12 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) {
			t.Errorf("the engines have versions %v, the holder is %q", versions, f.holder())
		}
		f.close()
		synctest.Wait()
		if len(f.violations) > 0 {
			t.Error(strings.Join(f.violations, "\n"))
		}
	})
}

// A quarter of the engines becomes unreachable right before new weights are declared. The updates of the
// other engines must not wait for them.
func TestUnreachableEnginesDoNotDelayOthers(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.mu.Lock()
		for _, id := range []string{"e00", "e01", "e02"} {
			f.engines[id].unreachable = true
		}
		f.mu.Unlock()
		f.setWanted(2)
		time.Sleep(8 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, e := range f.engines {
			if e.finishLoad(); !e.unreachable && e.version != 2 {
				t.Errorf("%s was not updated while other engines were unreachable", id)
			}
		}
	}, "a", "b")
}

func TestLostOrderAnswerIsResolvedByReport(t *testing.T) {
	runInVirtualTime(t, 2, func(f *fleet) {
		f.mu.Lock()
		f.engines["e00"].loseAnswer = true
		f.mu.Unlock()
		f.setWanted(2)
		time.Sleep(6 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) || len(f.orders) != 2 {
			t.Errorf("the engines have versions %v after %d orders", versions, len(f.orders))
		}
	}, "a")
}

// Random sequences of new wanted versions, closed holders and isolated holders cause no violation in checkOrder.
func TestOrdersOfSuccessiveHoldersKeepTakeOverDelay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 8).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(6, "a", "b", "c", "d")
			f.start(t.Context())
			time.Sleep(time.Second)
			for i, step := range steps {
				holder := f.holder()
				switch {
				case step == 0 || holder == "":
					f.setWanted(int64(i) + 2)
				case step == 1:
					_ = f.daemons[holder].upgrader.Close()
				case step == 2:
					f.isolate(holder)
					time.Sleep(leaseTTL)
					f.expireLease(holder)
				}
				time.Sleep(700 * time.Millisecond)
			}
			f.close()
			synctest.Wait()
			problems = f.violations
		})
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "\n"))
		}
	})
}

func TestHalfOfEnginesKeepServing(t *testing.T) {
	runInVirtualTime(t, 3, func(f *fleet) {
		f.setWanted(2)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			f.mu.Lock()
			for name, d := range f.daemons {
				excluded := 0
				for _, upgrading := range d.upgrading {
					if upgrading {
						excluded++
					}
				}
				if excluded > 1 {
					t.Errorf("%s sends no requests to %d of 3 engines", name, excluded)
				}
			}
			f.mu.Unlock()
		}
		if versions := f.versions(); !slices.Equal(versions, []int64{2}) {
			t.Errorf("the engines have versions %v", versions)
		}
	}, "a", "b")
}

func TestSelectUpdatesTakesOldestVersionFirst(t *testing.T) {
	target := func(id string, version int64) placer.Target {
		return placer.Target{ID: id, Versions: map[string]int64{model: version}}
	}
	next := upgrader.SelectUpdates([]placer.Target{
		target("a", 3), target("b", 1), target("c", 2), target("d", 1), target("e", 3), {ID: "plain"},
	}, func(string) int64 { return 3 }, func(id string) bool { return id == "d" }, upgrader.Progress{Upgrading: 1, Loading: 1})
	if len(next) != 1 || next[0].Target.ID != "b" {
		t.Errorf("selected %+v", next)
	}
}

// Only the holder of the update lock keeps a lease, since renewals of the other daemons' leases would be needless store calls.
func TestOnlyHolderWantsLease(t *testing.T) {
	runInVirtualTime(t, 4, func(f *fleet) {
		time.Sleep(2 * time.Second)
		holder := f.holder()
		f.mu.Lock()
		defer f.mu.Unlock()
		for name, d := range f.daemons {
			if d.wantsLease != (name == holder) {
				t.Errorf("daemon %s wants its lease: %v, the holder is %s", name, d.wantsLease, holder)
			}
		}
	}, "a", "b", "c")
}
