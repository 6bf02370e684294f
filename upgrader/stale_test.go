package upgrader_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// stall makes a daemon read a stale copy: what changes from now on reaches it only after catchUp.
func (f *fleet) stall(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[name].stalled = true
}

// catchUp passes to a daemon what has changed since stall.
func (f *fleet) catchUp(name string) {
	d := f.daemons[name]
	f.mu.Lock()
	d.stalled = false
	missed := d.missed
	d.missed = nil
	f.mu.Unlock()
	d.applyEvents(missed)
}

// startStale starts a daemon that lists the keys of an earlier copy of the store, and then reads what has changed.
func (f *fleet) startStale(t *testing.T, name string) {
	f.mu.Lock()
	d := f.daemons[name]
	copied := slices.Collect(maps.Values(f.copied.items))
	var since []storer.Event
	for key, item := range f.items {
		if f.copied.items[key].Version != item.Version {
			since = append(since, storer.Event{Kind: storer.EventPut, Item: item})
		}
	}
	for key := range f.copied.items {
		if _, exists := f.items[key]; !exists {
			since = append(since, storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: f.revision}})
		}
	}
	d.stalled, d.missed = true, since
	f.mu.Unlock()
	d.upgrader.Reset(copied, false)
	d.upgrader.Start(t.Context())
}

// Guards against holders whose orders follow each other too soon because the next one reads a stale copy of who held the lock last
// (ONE): a daemon sees that the lock is free, and takes it when it is free once more.
func TestStaleReaderKeepsTakeOverDelay(t *testing.T) {
	runInVirtualTime(t, 12, func(f *fleet) {
		f.setWanted(2)
		time.Sleep(time.Second)
		first := f.holder()
		var others []string
		for _, name := range []string{"a", "b", "c"} {
			if name != first {
				others = append(others, name)
			}
		}
		f.mu.Lock()
		f.blocked[others[0]] = true // It sees that the lock becomes free, and can't take it.
		f.mu.Unlock()
		_ = f.daemons[first].upgrader.Close()
		time.Sleep(50 * time.Millisecond)
		f.stall(others[0])
		time.Sleep(4 * time.Second) // The other one takes the lock and sends orders.
		f.setWanted(3)
		time.Sleep(time.Second)
		_ = f.daemons[others[1]].upgrader.Close()
		f.mu.Lock()
		delete(f.blocked, others[0])
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		f.catchUp(others[0])
		time.Sleep(10 * time.Second)
		if versions := f.versions(); !slices.Equal(versions, []int64{3}) {
			t.Errorf("the engines have versions %v", versions)
		}
	}, "a", "b", "c")
}

// Holders that come, go, are cut off and read stale copies, in any order: the orders of two of them are apart by the take-over delay.
func TestOrdersKeepTakeOverDelayWithStaleReaders(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			kind   string
			daemon string
			pause  time.Duration
		}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.SampledFrom([]string{"weights", "close", "cut off", "stall", "stall", "catch up", "copy", "join"}).Draw(rt, "kind"),
				rapid.SampledFrom(names).Draw(rt, "daemon"),
				time.Duration(rapid.IntRange(20, 1500).Draw(rt, "pause")) * time.Millisecond,
			}
		}), 4, 16).Draw(rt, "steps")
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(8, names...)
			started := map[string]bool{"a": true, "b": true, "c": true, "d": true}
			for name := range started {
				f.daemons[name].upgrader.Reset(nil, false)
				f.daemons[name].upgrader.Start(t.Context())
			}
			f.copyStore()
			time.Sleep(time.Second)
			for i, s := range steps {
				holder := f.holder()
				switch {
				case s.kind == "weights":
					f.setWanted(int64(i) + 2)
				case s.kind == "close" && holder != "":
					_ = f.daemons[holder].upgrader.Close()
				case s.kind == "cut off" && holder != "":
					f.isolate(holder)
					time.Sleep(leaseTTL)
					f.expireLease(holder)
				case s.kind == "stall":
					f.stall(s.daemon)
				case s.kind == "catch up":
					f.catchUp(s.daemon)
				case s.kind == "copy":
					f.copyStore()
				case s.kind == "join" && !started[s.daemon]:
					started[s.daemon] = true
					f.startStale(t, s.daemon)
				}
				time.Sleep(s.pause)
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
