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

// storeCopy is a copy of the state of the fleet's store.
type storeCopy struct {
	items    map[string]storer.Item
	revision storer.Version
}

// inEra returns the lease that has the id of another lease in an era.
func inEra(lease storer.LeaseID, era storer.Era) storer.LeaseID {
	number, err := lease.Number()
	if err != nil {
		return lease
	}
	return storer.NewLeaseID(era, number)
}

// moved returns the version of a revision in an era.
func moved(version storer.Version, era storer.Era) storer.Version {
	version, err := storer.NewVersion(era, version.Revision())
	if err != nil {
		panic(err)
	}
	return version
}

// ofOtherEra reports whether the transaction refers to another era. The caller holds mu.
func (f *fleet) ofOtherEra(transaction storer.Transaction) bool {
	return slices.ContainsFunc(transaction.Puts, func(put storer.Put) bool { return put.Lease != storer.NoLease && put.Lease.Era() != f.era }) ||
		slices.ContainsFunc(transaction.Conditions, func(c storer.Condition) bool { return c.Version != 0 && c.Version.Era() != f.era })
}

func (d *daemon) isBehind() bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.behind
}

// copyStore remembers the state of the store for restore.
func (f *fleet) copyStore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.copied = storeCopy{items: maps.Clone(f.items), revision: f.revision}
}

// bound reports whether the store has a key that is bound to the lease. The caller holds mu.
func (f *fleet) bound(lease storer.LeaseID) bool {
	for _, item := range f.items {
		if item.Lease == lease {
			return true
		}
	}
	return false
}

// grant returns a lease whose id was not used before. The caller holds mu.
func (f *fleet) grant() storer.LeaseID {
	f.granted++
	return storer.NewLeaseID(f.era, 1000+f.granted)
}

// expireCopied returns a function that deletes the keys that a restore has brought back with their leases, which nobody
// renews, unless the store has been restored once more.
func (f *fleet) expireCopied(era storer.Era) func() {
	copied := maps.Clone(f.items)
	return func() {
		f.mu.Lock()
		var events []storer.Event
		for key, item := range copied {
			if f.era == era && item.Lease != storer.NoLease && f.items[key].Version == item.Version {
				delete(f.items, key)
				f.revision++
				events = append(events, storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: f.revision}})
			}
		}
		f.mu.Unlock()
		f.notify(events)
	}
}

// restore brings the store back to the copied state. The ids of the daemons' leases are given out again: each one gets that
// of another daemon, unless the copy has it. The last renewals of the leases were sent right before. A daemon learns of the restore from the keys
// after keysDelay, and from its renewal after leaseDelay.
func (f *fleet) restore(keysDelay, leaseDelay func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.revision = moved(f.copied.revision, f.era)
	f.items = make(map[string]storer.Item)
	for key, item := range f.copied.items {
		item.Version, item.Lease = moved(item.Version, f.era), inEra(item.Lease, f.era)
		f.items[key] = item
	}
	names := slices.Sorted(maps.Keys(f.daemons))
	leases := make([]storer.LeaseID, len(names))
	for i := range names {
		leases[i] = inEra(f.daemons[names[(i+1)%len(names)]].lease, f.era)
		if f.bound(leases[i]) {
			leases[i] = f.grant()
		}
	}
	time.AfterFunc(leaseTTL, f.expireCopied(f.era))
	for i, name := range names {
		d := f.daemons[name]
		d.behind, d.unrenewedSince = true, time.Now()
		time.AfterFunc(keysDelay(), d.list)
		time.AfterFunc(leaseDelay(), func() { d.replaceLease(leases[i]) })
	}
}

// list passes the keys to the daemon as after a restore.
func (d *daemon) list() {
	d.applying.Lock()
	defer d.applying.Unlock()
	d.fleet.mu.Lock()
	d.behind = false
	items := slices.Collect(maps.Values(d.fleet.items))
	d.fleet.mu.Unlock()
	d.upgrader.Reset(items, true)
}

// replaceLease gives the daemon a lease in place of its lost one.
func (d *daemon) replaceLease(lease storer.LeaseID) {
	d.fleet.mu.Lock()
	d.lease, d.leaseHeld, d.unrenewedSince = lease, true, time.Time{}
	d.fleet.mu.Unlock()
	d.upgrader.Wake()
}

// Guards against two holders of the update lock, tokens that fall, and weights that are never replaced (ONE, VERSION, CONFIG):
// the store comes back from copies of any age, its leases' ids are given out again, and the daemons learn of it one by one.
func TestOrdersKeepTakeOverDelayAcrossRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 8).Draw(rt, "steps")
		delays := rapid.SliceOfN(rapid.IntRange(1, 690), 64, 64).Draw(rt, "delays")
		at := 0
		delay := func() time.Duration {
			at++
			return time.Duration(delays[at%len(delays)]) * time.Millisecond
		}
		var problems []string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(6, "a", "b", "c", "d")
			f.era = 1
			f.revision = moved(10, 1)
			for _, d := range f.daemons {
				d.lease = inEra(d.lease, 1)
			}
			f.copyStore()
			f.start(t.Context())
			time.Sleep(time.Second)
			wanted := int64(1)
			for _, step := range steps {
				switch step {
				case 0:
					wanted++
					f.setWanted(wanted)
				case 1:
					f.copyStore()
				case 2:
					f.expireHolder()
				default:
					f.restore(delay, delay)
					time.Sleep(time.Second)
				}
				time.Sleep(2 * delay())
			}
			wanted++
			f.setWanted(wanted)
			time.Sleep(25 * time.Second)
			if versions := f.versions(); !slices.Equal(versions, []int64{wanted}) {
				problems = append(problems, "the engines do not get the last weights")
			}
			f.close()
			synctest.Wait()
			problems = append(problems, f.violations...)
		})
		if len(problems) > 0 {
			rt.Fatal(strings.Join(problems, "\n"))
		}
	})
}

// expireHolder lets the lease of the holder end, and gives it a new one later.
func (f *fleet) expireHolder() {
	name := f.holder()
	if name == "" {
		return
	}
	f.isolate(name)
	time.Sleep(leaseTTL)
	f.expireLease(name)
	f.mu.Lock()
	delete(f.isolated, name)
	d, lease := f.daemons[name], f.grant()
	f.mu.Unlock()
	d.list()
	d.replaceLease(lease)
}
