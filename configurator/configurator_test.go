package configurator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// testFleet runs a scenario against a fleet in virtual time and reports violations afterwards.
func testFleet(t *testing.T, size int, scenario func(t *testing.T, f *fleet)) {
	t.Helper()
	var f *fleet
	synctest.Test(t, func(t *testing.T) {
		f = newFleet(size)
		defer f.close()
		f.waitReady(t)
		scenario(t, f)
	})
	f.reportViolations(t)
}

// mustCommit commits a change of a pair of accounts through a daemon.
func mustCommit(t *testing.T, f *fleet, m *member, account int) registrar.Revision {
	t.Helper()
	before := len(f.accepted)
	f.commit(t.Context(), m, account, 0)
	if len(f.accepted) != before+1 {
		t.Fatalf("the commit failed: %v", f.rejected)
	}
	return f.accepted[before].revision
}

func activeAlarms(c *configurator.Configurator) map[configurator.AlarmKind]bool {
	active := map[configurator.AlarmKind]bool{}
	for _, alarm := range c.Alarms() {
		if alarm.Active {
			active[alarm.Kind] = true
		}
	}
	return active
}

func TestCommitSurvivesTenMinuteOutage(t *testing.T) {
	testFleet(t, 9, func(t *testing.T, f *fleet) {
		mustCommit(t, f, f.members[0], 0)
		revision := mustCommit(t, f, f.members[2], 1)
		f.platform.SetFaults(platformemulator.Faults{Outage: true})
		time.Sleep(propagationLimit)
		for _, m := range f.members {
			if shown := m.live().Digest().Revision; shown < revision {
				t.Errorf("daemon %d is at revision %d, but %d was accepted", m.index, shown, revision)
			}
		}
		f.rolling(step{Count: 2, Wait: 4 * time.Second})
		for _, m := range f.members {
			if c := m.live(); !c.Ready() || c.Digest().Revision < revision {
				t.Errorf("after its restart daemon %d has ready=%v at revision %d", m.index, c.Ready(), c.Digest().Revision)
			}
		}
		time.Sleep(10 * time.Minute)
		f.checkFinalState()
	})
}

func TestLostEntriesAreRecreatedAfterRestore(t *testing.T) {
	testFleet(t, 9, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot()
		for i := range 3 {
			mustCommit(t, f, f.members[i], i)
		}
		time.Sleep(propagationLimit)
		before := f.members[8].live().Digest()
		f.platform.Restore(backup)
		f.commit(t.Context(), f.members[4], 3, 0)
		var behind *configurator.BehindError
		if err := f.rejected["change-4"]; !errors.As(err, &behind) {
			t.Errorf("commit on a restored platform: got %v, want a BehindError", err)
		}
		time.Sleep(5 * time.Second)
		if got := f.members[8].live().Digest(); got != before {
			t.Errorf("digest after the restore: %v, want %v", got, before)
		}
		time.Sleep(time.Minute)
		for _, m := range f.members[:2] {
			if activeAlarms(m.live())[configurator.AlarmBehind] {
				t.Errorf("daemon %d still has an active alarm: %v", m.index, m.live().Alarms())
			}
		}
		mustCommit(t, f, f.members[4], 3)
		f.checkFinalState()
	})
}

// TestForkIsRejectedWithAlarm restores an older backup while the fleet cannot reach the platform, and
// lets another daemon commit on top of it. The daemons of the fleet must keep their own log and
// reject this second one.
func TestForkIsRejectedWithAlarm(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot()
		mustCommit(t, f, f.members[0], 0)
		time.Sleep(propagationLimit)
		known := f.members[0].live().Digest()
		for _, m := range f.members {
			m.conn.SetFaults(platformemulator.Faults{Partitioned: true})
		}
		f.platform.Restore(backup)
		otherFleet := newFleet(0)
		otherFleet.platform = f.platform
		otherMember := &member{fleet: otherFleet, index: 7}
		otherMember.start()
		for !otherMember.live().Ready() {
			time.Sleep(100 * time.Millisecond)
		}
		for i := range 3 {
			otherFleet.commit(t.Context(), otherMember, i, 0)
		}
		for _, m := range f.members {
			m.conn.SetFaults(platformemulator.Faults{})
		}
		time.Sleep(time.Minute)
		for _, m := range f.members[:2] {
			c := m.live()
			if c.Digest() != known || !activeAlarms(c)[configurator.AlarmFork] {
				t.Errorf("daemon %d has digest %v with alarms %v, want %v and a fork alarm", m.index, c.Digest(), c.Alarms(), known)
			}
		}
		var fork *configurator.ForkError
		offered := map[string][]configurator.Entry{
			"known revision": otherMember.live().Entries(0, 1),
			"successor":      otherMember.live().Entries(1, 1),
		}
		for name, entries := range offered {
			err := f.members[2].live().Offer(entries)
			if !errors.As(err, &fork) || f.members[2].live().Digest() != known {
				t.Errorf("%s of a fork: got %v, want a ForkError", name, err)
			}
		}
		state, err := otherMember.live().EncodeState()
		if err != nil {
			t.Error(err)
		}
		if err := f.members[2].live().OfferState(state); !errors.As(err, &fork) {
			t.Errorf("offered state of a fork: got %v, want a ForkError", err)
		}
		otherMember.shutdown()
	})
}

// TestCommitOnTrimmedKeyFails pauses a daemon during a commit until the log has been trimmed beyond
// the revision that it writes. Its create then succeeds because the earlier entry at that key was
// deleted, and must not count as a commit.
func TestCommitOnTrimmedKeyFails(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		slow := f.members[2]
		mustCommit(t, f, slow, 0)
		slow.setPaused(true, platformemulator.Faults{})
		slowDaemon := slow.live()
		result := make(chan error, 1)
		var revision registrar.Revision
		unblock := make(chan struct{})
		f.commits.Go(func() {
			blocked := &blockedStore{Store: slow.conn, unblock: unblock}
			var err error
			revision, err = commitWithStore(t, blocked, slow)
			result <- err
		})
		time.Sleep(20 * time.Second)
		for i := range 24 {
			mustCommit(t, f, f.members[i%2], 1)
			time.Sleep(time.Second)
		}
		if _, err := f.platform.Get(t.Context(), "config/log/000000000001"); err != nil {
			t.Errorf("revision 1 was trimmed too early: %v", err)
		}
		time.Sleep(2 * time.Minute)
		if _, err := f.platform.Get(t.Context(), "config/log/000000000002"); err == nil {
			t.Error("revision 2 was not trimmed")
		}
		close(unblock)
		var base *configurator.BaseError
		if err := <-result; !errors.As(err, &base) || base.Current != 25 {
			t.Errorf("got revision %d and %v, want a BaseError at revision 25", revision, err)
		}
		if _, err := f.platform.Get(t.Context(), "config/log/000000000002"); err == nil {
			t.Error("the misplaced entry was not deleted")
		}
		slow.setPaused(false, platformemulator.Faults{})
		time.Sleep(propagationLimit)
		if slowDaemon.Digest() != f.members[0].live().Digest() {
			t.Errorf("the daemon did not catch up: %v", slowDaemon.Alarms())
		}
	})
}

// blockedStore delays creates until unblock is closed.
type blockedStore struct {
	configurator.Store
	unblock chan struct{}
}

func (s *blockedStore) Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error) {
	<-s.unblock
	return s.Store.Create(ctx, key, value, lease)
}

// commitWithStore commits through a separate Configurator that uses the given store and does not
// watch it.
func commitWithStore(t *testing.T, store configurator.Store, m *member) (registrar.Revision, error) {
	settings := (&member{fleet: newFleet(0), index: 1, conn: m.conn}).settings()
	settings.Store = store
	settings.Peers = noPeers{}
	settings.WatchRole = noPeers{}
	settings.IsolatedPollInterval, settings.PollEvery = time.Hour, time.Hour
	c, err := configurator.New(settings)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	for !c.Ready() {
		time.Sleep(100 * time.Millisecond)
	}
	return c.Commit(t.Context(), c.Digest().Revision, pairChange(3, "paused"))
}

func TestCommitErrors(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		c := f.members[0].live()
		for i := range 9 {
			mustCommit(t, f, f.members[0], i%2)
		}
		current := c.Digest().Revision
		var overlap *configurator.OverlapError
		_, err := c.Commit(t.Context(), current-1, pairChange(0, "late"))
		if !errors.As(err, &overlap) || overlap.Overlaps[0].Author != "operator" || overlap.Overlaps[0].Revision != current {
			t.Errorf("overlap: got %v", err)
		}
		if _, err = c.Commit(t.Context(), current-1, pairChange(2, "other objects")); err != nil {
			t.Errorf("rebase onto other objects: got %v", err)
		}
		var base *configurator.BaseError
		if _, err = c.Commit(t.Context(), 0, pairChange(3, "old base")); !errors.As(err, &base) {
			t.Errorf("old base: got %v", err)
		}
		if _, err = c.Commit(t.Context(), current+9, pairChange(3, "future base")); !errors.As(err, &base) {
			t.Errorf("future base: got %v", err)
		}
		var invalid *configurator.InvalidError
		incomplete := registrar.Change{Remove: []registrar.Reference{{Kind: registrar.KindAccount, Name: "account-0" + pairSuffix}}}
		if _, err = c.Commit(t.Context(), c.Digest().Revision, incomplete); !errors.As(err, &invalid) {
			t.Errorf("half a change: got %v", err)
		}
		var malformed *configurator.MalformedError
		if err = c.Offer([]configurator.Entry{[]byte("{")}); !errors.As(err, &malformed) {
			t.Errorf("malformed entry: got %v", err)
		}
		var gap *configurator.GapError
		newest := c.Entries(c.Digest().Revision-1, 1)
		fresh := &member{fleet: newFleet(0), index: 5, conn: f.platform.Connection("fresh")}
		fresh.conn.SetFaults(platformemulator.Faults{Partitioned: true})
		fresh.start()
		if err = fresh.live().Offer(newest); !errors.As(err, &gap) {
			t.Errorf("gap: got %v", err)
		}
		var notReady *configurator.NotReadyError
		if _, err = fresh.live().Commit(t.Context(), 0, pairChange(0, "early")); !errors.As(err, &notReady) {
			t.Errorf("not ready: got %v", err)
		}
		fresh.shutdown()
	})
}

// TestPlatformCallRate checks upper bounds on the platform calls of an idle fleet and of a fleet
// with one change per second.
func TestPlatformCallRate(t *testing.T) {
	testFleet(t, 9, func(t *testing.T, f *fleet) {
		before := sumCalls(f.platform.Calls())
		time.Sleep(10 * time.Minute)
		idle := sumCalls(f.platform.Calls()) - before
		before += idle
		for i := range 600 {
			mustCommit(t, f, f.members[i%9], i%4)
			time.Sleep(time.Second)
		}
		busy := sumCalls(f.platform.Calls()) - before
		t.Logf("platform calls of 9 daemons in 600 s: idle %d, one change per second %d, by kind %v", idle, busy, f.platform.Calls())
		time.Sleep(5 * time.Minute)
		page, err := f.platform.List(t.Context(), "config/", "", 0)
		t.Logf("keys left after 600 changes: %d, %v", len(page.Items), err)
		if len(page.Items) > 60 {
			t.Errorf("%d keys are left after 600 changes", len(page.Items))
		}
		if idle > 3*600 {
			t.Errorf("an idle fleet made %d calls in 600 s", idle)
		}
		if busy > 20*600 {
			t.Errorf("a busy fleet made %d calls in 600 s", busy)
		}
	})
}

func sumCalls(calls map[platformemulator.Call]int) int {
	sum := 0
	for _, count := range calls {
		sum += count
	}
	return sum
}
