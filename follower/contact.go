package follower

import (
	"cmp"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

const (
	// DefaultMinOutage is the shortest time without an answer in which a lease can expire whose owner renews it every 1.2 s and
	// may miss two renewals but not three: the last renewal before the outage is up to one interval old.
	DefaultMinOutage = 2400 * time.Millisecond
	// minFailing is how long calls must fail for an outage that is shorter. The call that follows a failed one comes much
	// sooner.
	minFailing = 500 * time.Millisecond
	// recoveryWindow is the time after an outage in which Sink is still called with afterOutage set.
	recoveryWindow = 2 * time.Second
)

// Contact records when the store last answered a daemon, in any of its calls. It tells an outage of the store, in which leases
// may expire, from a call that failed alone: a watch may be cut, or its connection may fall silent, while the store is well.
type Contact struct {
	minOutage time.Duration

	mu         sync.Mutex
	answeredAt clocker.Instant
	// failedAt is when the first call failed since answeredAt; zero if none has.
	failedAt clocker.Instant
	// recoveredAt is the end of the last outage, or of the last restore of the store from a copy.
	recoveredAt clocker.Instant
}

// NewContact returns a Contact without an answer. A time without answers in which calls fail counts as an
// outage if it is as long as minOutage, or if they have failed for minFailing.
func NewContact(minOutage time.Duration) *Contact { return &Contact{minOutage: minOutage} }

// answer records that the store answered a call at a time.
func (c *Contact) answer(at clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at <= c.answeredAt {
		return
	}
	if c.isOut(at) {
		c.recoveredAt = at
	}
	c.answeredAt, c.failedAt = at, 0
}

// fail records that a call failed.
func (c *Contact) fail(at clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = cmp.Or(c.failedAt, at)
}

// restore records that the store has come back from a copy, which counts as an outage.
func (c *Contact) restore(at clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredAt = max(c.recoveredAt, at)
}

// afterOutage reports whether an outage lasts or ended less than recoveryWindow ago.
func (c *Contact) afterOutage(now clocker.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isOut(now) || c.recoveredAt != 0 && now.Sub(c.recoveredAt) < recoveryWindow
}

// isOut reports whether the time without an answer until now is an outage. The caller holds mu.
func (c *Contact) isOut(now clocker.Instant) bool {
	if c.failedAt == 0 || c.answeredAt == 0 {
		return false
	}
	return now.Sub(c.failedAt) >= minFailing || now.Sub(c.answeredAt) >= c.minOutage
}

// answerAge returns the time since the last answer; zero before the first.
func (c *Contact) answerAge(now clocker.Instant) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt == 0 {
		return 0
	}
	return now.Sub(c.answeredAt)
}
