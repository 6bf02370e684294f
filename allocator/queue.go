package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

// Waiter is a request that waits for its amount.
type Waiter struct {
	// Done is closed once the request has its amount or is refused. The other fields have no meaning before.
	Done       chan struct{}
	Granted    bool
	RetryAfter time.Duration

	account *account
	amount  uint64
}

// entry is a need in the queue of an account: that of a waiter, or one that another daemon told.
type entry struct {
	claim  *claim
	waiter *Waiter
	// idThere is the id of the need at the daemon that told it, and id that by which this daemon tells it.
	idThere, id uint64
	amount      uint64
	// held is the part of the amount that was set aside for the need.
	held     uint64
	deadline clocker.Instant
	// told is set once the need was told to the coordinator.
	told bool
	// tag orders the needs of an account so that those who wait take turns.
	tag uint64
}

func (e *entry) missing() uint64 { return e.amount - e.held }

// enqueue adds a need. Those who wait take turns: the next need of one comes after the first of the others.
func (a *account) enqueue(e *entry) {
	e.claim.lastTag = max(e.claim.lastTag, a.turn) + 1
	e.tag = e.claim.lastTag
	a.nextID++
	e.id = a.nextID
	at, _ := slices.BinarySearchFunc(a.entries, e.tag+1, func(other *entry, tag uint64) int { return cmp.Compare(other.tag, tag) })
	a.entries = slices.Insert(a.entries, at, e)
}

// serve grants the needs at the head of the queue for which there are units, and refuses those whose time is over.
func (a *account) serve(t terms, now clocker.Instant) {
	a.fill(t)
	for len(a.entries) > 0 {
		e := a.entries[0]
		if a.available(t, now) < a.threshold(e.missing(), t) && !now.Before(e.deadline) {
			a.refuse(e, a.wait(e, t, now), now)
			continue
		}
		if a.available(t, now) < a.threshold(e.missing(), t) {
			a.hold(e, t, now)
			break
		}
		a.grant(e, t, now)
	}
	for _, e := range slices.Clone(a.entries) {
		if !now.Before(e.deadline) {
			a.refuse(e, a.wait(e, t, now), now)
		}
	}
}

// hold sets the units aside that are there for the first need, so that only the rest of it is asked for.
func (a *account) hold(e *entry, t terms, now clocker.Instant) {
	if t.creates || a.debt > 0 {
		return
	}
	part := min(a.inLots(now), e.missing())
	a.take(part, t, now)
	e.held += part
}

func (a *account) grant(e *entry, t terms, now clocker.Instant) {
	a.take(e.missing(), t, now)
	a.remove(e)
	a.turn = max(a.turn, e.tag-1)
	a.count(e.amount, now)
	if e.waiter != nil {
		a.usage.Used += e.amount
		e.waiter.Granted = true
		close(e.waiter.Done)
		return
	}
	a.give(e.claim, e.amount, now)
	e.claim.decide(e.idThere, decision{grantedTotal: e.claim.total})
}

func (c *claim) decide(id uint64, decided decision) {
	if c.decided == nil {
		c.decided = make(map[uint64]decision)
	}
	c.decided[id] = decided
}

// give numbers further units for another daemon.
func (a *account) give(c *claim, amount uint64, now clocker.Instant) {
	a.usage.Granted += amount
	c.total += amount
	if c.unseenSince == 0 {
		c.unseenSince = now
	}
	c.child.changed(c)
}

// refuse removes a need that can't be granted in time. What was held for it can be used by others.
func (a *account) refuse(e *entry, retryAfter time.Duration, now clocker.Instant) {
	a.remove(e)
	if e.held > 0 {
		a.add(e.held, now.Add(lotLifetime))
	}
	retryAfter = min(retryAfter, maxRetryAfter)
	if e.waiter != nil {
		a.usage.Refused++
		e.waiter.RetryAfter = retryAfter
		close(e.waiter.Done)
		return
	}
	e.claim.decide(e.idThere, decision{retryAfter: retryAfter})
	e.claim.child.changed(e.claim)
}

func (a *account) remove(e *entry) {
	a.entries = slices.DeleteFunc(a.entries, func(other *entry) bool { return other == e })
}

// wait returns the time until a need of the queue is expected to be granted.
func (a *account) wait(e *entry, t terms, now clocker.Instant) time.Duration {
	if !t.creates {
		if left := a.retryAt.Sub(now); left > 0 {
			return left
		}
		return defaultRetryAfter
	}
	before := 0.0
	for _, other := range a.entries {
		if other.tag < e.tag {
			before += min(float64(other.missing()), a.capacity(t))
		}
	}
	return a.waitFor(before+a.threshold(e.missing(), t)-a.available(t, now), e.missing(), t)
}

// waitFor returns the time until the bucket has gained units, for a need of an amount.
func (a *account) waitFor(units float64, amount uint64, t terms) time.Duration {
	switch {
	case t.young:
		return defaultRetryAfter
	case t.share <= 0: // This daemon has just started, and the others do not know it yet.
		return announcementDelay
	case a.threshold(amount, t) > a.capacity(t):
		return isolatedRetryAfter
	}
	seconds := min(max(units, 0)/(a.rate*t.share), maxRetryAfter.Seconds())
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
