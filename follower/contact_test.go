package follower_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/follower"
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

