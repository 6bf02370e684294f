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

// capacity is the capacity of the token bucket. A bucket that counts requests holds at least one, so that a small part of the fleet can pass
// requests at its part of the rate.
func (a *account) capacity(t terms) float64 {
	switch {
	case !a.inTokens:
		return max(a.burst*t.share, 1)
	case t.majority:
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

// aheadRefused reports whether units were asked for ahead lately and did not come.
func (a *account) aheadRefused(now clocker.Instant) bool {
	return a.aheadAt != 0 && now.Sub(a.aheadAt) < aheadTime/2
}
