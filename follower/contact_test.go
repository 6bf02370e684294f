package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Guards against targets that are kept after their entries were removed on purpose (DRAIN): one watch is cut while the store is
// well, and the removal comes at once or long after that.
func TestCutWatchIsNoOutage(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Second} {
		withFollower(t, func(_ *follower.Follower, s *store, seen *sink) {
			time.Sleep(10 * time.Second)
			s.withLock(func() { s.down = true })
			time.Sleep(time.Second) // The watch that waits is answered; the next one fails.
			s.withLock(func() { s.down = false })
			time.Sleep(pause)
			s.changes <- putEvents("x")
			time.Sleep(time.Second)
			if _, last := seen.last(); last != "x, outage false" {
				t.Errorf("%s after one failed watch: %q", pause, last)
			}
		})
	}
}

// Guards against an outage that one of several followers does not notice, since its own calls fail at other times (LOST): entries
// that lapsed meanwhile would be dropped at once.
func TestOutageIsSeenByAllFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		contact := follower.NewContact(2 * time.Second)
		now := func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) }
		down := &store{revision: 10, down: true}
		well := &store{revision: 10, changes: make(chan storer.Events, 1)}
		seen := &sink{}
		first := follower.New(follower.Settings{Store: well, Prefix: "a/", Sink: seen, Wait: time.Second, Now: now, Contact: contact})
		first.Start(t.Context())
		time.Sleep(time.Millisecond)
		_ = first.Close()
		second := follower.New(follower.Settings{Store: down, Prefix: "b/", Sink: &sink{}, Wait: time.Second, Now: now, Contact: contact})
		second.Start(t.Context())
		time.Sleep(3 * time.Second)
		_ = second.Close()
		first = follower.New(follower.Settings{Store: well, Prefix: "a/", Sink: seen, Wait: time.Second, Now: now, Contact: contact})
		first.Start(t.Context())
		time.Sleep(time.Millisecond)
		_ = first.Close()
		if reset, _ := seen.last(); reset != "0 items, outage true" {
			t.Errorf("after an outage that another follower has seen: %q", reset)
		}
	})
}
