package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

const (
	// MaxWait is how long a request waits for its amount.
	MaxWait = 250 * time.Millisecond
	// lotLifetime is how long granted or refunded units can be used.
	lotLifetime = time.Second
	// usageWindow is the time over which usage is averaged, and aheadTime is the time whose usage is asked for ahead.
	usageWindow = 500 * time.Millisecond
	aheadTime   = 100 * time.Millisecond
	// overdraft is by how many tokens the bucket of a coordinator of most of the fleet may be overdrawn. Otherwise requests of
	// usual size would never find enough in the bucket of a small account whose small requests use up its quota.
	overdraft = 20_000
	// aheadReserve is the part of a full bucket that is not given away ahead.
	aheadReserve = 0.5
	// defaultRetryAfter is the retry delay while no coordinator is known to answer.
	defaultRetryAfter = 300 * time.Millisecond
	// maxRetryAfter bounds the retry delay, and isolatedRetryAfter is the delay if the amount can't become available as things are.
	maxRetryAfter      = time.Minute
	isolatedRetryAfter = 10 * time.Second
	// isolatedExtra is what a coordinator with half of the fleet or less adds to the burst before it takes its share of it, so
	// that requests of usual size can pass there. The shares add up, so all such coordinators together add no more.
	isolatedExtra = 100_000
)

// AccountHash identifies an account in messages.
type AccountHash uint64

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

// claim is what one daemon, or the requests of this one, want of an account.
type claim struct {
	child   *child
	account AccountHash
	lastTag uint64
	// from and total are those of Grant, and unseenSince is since when units are granted that the daemon is not known to have
	// seen, without that it saw any; zero if there are none.
	from, total uint64
	unseenSince clocker.Instant
	// debtMark and aheadMark are the totals after the last grant for a debt and ahead.
	debtMark, aheadMark uint64
	// wantedAt is when the daemon last wanted something.
	wantedAt clocker.Instant
	// decided are the needs that were granted or refused and that the daemon still tells.
	decided map[uint64]decision
}

// decision is the end of a need at the coordinator. grantedTotal is the total of the claim after the grant; zero if it was refused.
type decision struct {
	grantedTotal uint64
	retryAfter   time.Duration
}

// lot is an amount that can be used until it expires.
type lot struct {
	amount  uint64
	expires clocker.Instant
}

// account is what a daemon knows of the quota of one account.
type account struct {
	hash     AccountHash
	name     string
	rate     float64 // in units per second
	burst    float64
	inTokens bool

	// level is the level of the token bucket, and levelAt the fleet time up to which it was filled. They are used by the
	// coordinator that creates the account's units.
	level   float64
	levelAt time.Duration
	lots    []lot
	debt    uint64
	entries []*entry
	local   claim
	turn    uint64
	nextID  uint64

	// usedBefore and used are what was used in the last whole window and since windowAt. largest is the largest of those uses,
	// largestBefore that of the last window.
	used, usedBefore       uint64
	largest, largestBefore uint64
	windowAt               clocker.Instant
	// told is set if the last message to the coordinator said that something is wanted.
	told bool
	// aheadAt is when units were last asked for ahead.
	aheadAt clocker.Instant
	// retryAt is when the coordinator last expected an amount to be available.
	retryAt clocker.Instant

	usage Usage
}

// Usage counts what happened to the requests of an account at one daemon.
type Usage struct {
	// Used are the units that were acquired or charged, and Refunded those that were given back.
	Used, Refunded uint64
	// Granted are the units that were granted to other daemons.
	Granted uint64
	// Refused and Waited count requests of this daemon.
	Refused, Waited uint64
}

// terms are the conditions under which a coordinator grants units. They are zero at a daemon that gets its units from another.
type terms struct {
	creates  bool
	time     time.Duration
	share    float64
	majority bool
	// since is when the coordinator began to create units. While it is young, the others may not know it yet, and its share grows.
	since clocker.Instant
	young bool
}

// capacity is the capacity of the token bucket.
func (a *account) capacity(t terms) float64 {
	if t.majority || !a.inTokens {
		return a.burst * t.share
	}
	return (a.burst + isolatedExtra) * t.share
}

// fill adds the units that were created since the last call.
func (a *account) fill(t terms) {
	if !t.creates {
		return
	}
	a.level += a.rate * (t.time - a.levelAt).Seconds()
	a.levelAt = t.time
	a.level = min(a.level, a.capacity(t))
}

// inLots returns the units in unexpired lots.
func (a *account) inLots(now clocker.Instant) (sum uint64) {
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool { return !now.Before(l.expires) || l.amount == 0 })
	for _, l := range a.lots {
		sum += l.amount
	}
	return sum
}

// available returns the units that can be granted now. The caller has called fill.
func (a *account) available(t terms, now clocker.Instant) float64 {
	available := float64(a.inLots(now)) - float64(a.debt)
	if t.creates {
		available += a.level
	}
	return available
}

// threshold returns the units that must be available before an amount is granted. A coordinator of most of the fleet grants an
// amount beyond the capacity when the bucket is full.
func (a *account) threshold(amount uint64, t terms) float64 {
	if !t.creates || !t.majority {
		return float64(amount)
	}
	full := min(float64(amount), a.capacity(t)*(1-roundingTolerance))
	if !a.inTokens {
		return full
	}
	return min(full, max(float64(amount)-overdraft, 1))
}

// roundingTolerance is the relative error of a bucket that was filled in many small steps.
const roundingTolerance = 1e-6

// take takes units: from lots first, the oldest first. What they do not cover comes from the bucket or becomes a debt.
func (a *account) take(amount uint64, t terms, now clocker.Instant) {
	a.inLots(now)
	for i := range a.lots {
		part := min(a.lots[i].amount, amount)
		a.lots[i].amount -= part
		amount -= part
	}
	if t.creates {
		a.level -= float64(amount)
	} else {
		a.debt += amount
	}
}

// add adds granted or refunded units.
func (a *account) add(amount uint64, expires clocker.Instant) {
	repaid := min(a.debt, amount)
	a.debt -= repaid
	amount -= repaid
	if amount == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(a.lots, expires, func(l lot, expires clocker.Instant) int { return cmp.Compare(l.expires, expires) })
	a.lots = slices.Insert(a.lots, at, lot{amount: amount, expires: expires})
}

// count records a use, from which the amounts to ask for ahead follow.
func (a *account) count(amount uint64, now clocker.Instant) {
	a.rotate(now)
	a.used += amount
	a.largest = max(a.largest, amount)
}

func (a *account) rotate(now clocker.Instant) {
	age := now.Sub(a.windowAt)
	if age < usageWindow {
		return
	}
	a.usedBefore, a.largestBefore = a.used, a.largest
	if age >= 2*usageWindow {
		a.usedBefore, a.largestBefore = 0, 0
	}
	a.used, a.largest, a.windowAt = 0, 0, now
}

// ahead returns how many units should be at hand for requests to come: the usage of aheadTime, and enough for a large request. It
// is zero if they would not be used soon, or if they are so large a part of the quota that other daemons would miss them.
func (a *account) ahead(now clocker.Instant) uint64 {
	a.rotate(now)
	used := max(a.used, a.usedBefore)
	wanted := uint64(float64(used)*(aheadTime.Seconds()/usageWindow.Seconds())) + max(a.largest, a.largestBefore)
	if wanted > used || float64(wanted) > a.rate*aheadTime.Seconds() {
		return 0
	}
	return wanted
}

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
		if !now.Before(e.deadline) {
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

// aheadRefused reports whether units were asked for ahead lately and did not come.
func (a *account) aheadRefused(now clocker.Instant) bool {
	return a.aheadAt != 0 && now.Sub(a.aheadAt) < aheadTime/2
}
