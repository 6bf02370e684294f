package attributor

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of causes with strikes.
	maxRecords = 4096
	// maxStrikes bounds the strikes of a cause; the oldest ones are dropped.
	maxStrikes = 16
	// retention is the age of a cause's last strike beyond which the cause is evicted first when there are maxRecords.
	retention = 2 * maxHold
)

// strike is a strike of one cause, without the cause.
type strike struct {
	incarnation uint64
	at          time.Time
}

// record is what is known of one cause.
type record struct {
	// strikes are in order of time. Each is later than completedAt, when the last answer was completed.
	strikes     []strike
	completedAt time.Time
	touchedAt   time.Time
	// trialAt is when this daemon last let a request through.
	trialAt time.Time
}

func (r *record) has(incarnation uint64) bool {
	return slices.ContainsFunc(r.strikes, func(s strike) bool { return s.incarnation == incarnation })
}

// recordTable contains the causes with strikes.
type recordTable map[Cause]*record

// add adds a strike. It reports whether that changed the record: whether the strike is the first of its incarnation and
// later than the last completed answer.
func (t recordTable) add(cause Cause, added strike, now time.Time) bool {
	r := t[cause]
	if r == nil {
		t.evictIfFull(now)
		r = &record{}
		t[cause] = r
	}
	if r.has(added.incarnation) || !added.at.After(r.completedAt) {
		return false
	}
	r.touchedAt = now
	at, _ := slices.BinarySearchFunc(r.strikes, added, func(a, b strike) int { return a.at.Compare(b.at) })
	r.strikes = slices.Insert(r.strikes, at, added)
	r.strikes = r.strikes[max(len(r.strikes)-maxStrikes, 0):]
	return true
}

// complete clears the strikes of a cause up to the time at which an answer was completed, and reports whether there were any.
func (t recordTable) complete(cause Cause, at, now time.Time) bool {
	r := t[cause]
	if r == nil || !at.After(r.completedAt) {
		return false
	}
	r.completedAt = at
	before := len(r.strikes)
	r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return !s.at.After(at) })
	if len(r.strikes) == before {
		return false
	}
	r.touchedAt = now
	return true
}

// completedSince reports whether an answer was completed at the time or later.
func (t recordTable) completedSince(cause Cause, at time.Time) bool {
	r := t[cause]
	return r != nil && !at.After(r.completedAt)
}

// evictIfFull deletes causes that were last changed longer than retention ago, and then arbitrary ones, if there are
// maxRecords.
func (t recordTable) evictIfFull(now time.Time) {
	if len(t) < maxRecords {
		return
	}
	for cause, r := range t {
		if now.Sub(r.touchedAt) > retention {
			delete(t, cause)
		}
	}
	for cause := range t {
		if len(t) < maxRecords {
			return
		}
		delete(t, cause)
	}
}

// countCrashes counts the strikes, which are in order of time; those within minCrashSpacing of the last one that counts
// do not count.
func countCrashes(strikes []strike) (count int) {
	var last time.Time
	for _, s := range strikes {
		if count == 0 || s.at.Sub(last) >= minCrashSpacing {
			count, last = count+1, s.at
		}
	}
	return count
}

// without returns the strikes whose incarnations are not among those of others.
func without(strikes, others []strike) (rest []strike) {
	for _, s := range strikes {
		if !slices.ContainsFunc(others, func(o strike) bool { return o.incarnation == s.incarnation }) {
			rest = append(rest, s)
		}
	}
	return rest
}

// maxIncarnations bounds the incarnations of which something is remembered.
const maxIncarnations = 1024

// incarnationTable tells which incarnations of targets have ended.
type incarnationTable struct {
	isListed func(incarnation uint64) bool
	// ended and checkedAt contain when an incarnation was found to have ended, and when its last check began.
	ended     map[uint64]time.Time
	checkedAt map[uint64]time.Time
}

func newIncarnationTable(isListed func(incarnation uint64) bool) incarnationTable {
	return incarnationTable{isListed: isListed, ended: make(map[uint64]time.Time), checkedAt: make(map[uint64]time.Time)}
}

func (t incarnationTable) hasEnded(incarnation uint64) bool {
	_, ended := t.ended[incarnation]
	return ended || !t.isListed(incarnation)
}

func (t incarnationTable) end(incarnation uint64, now time.Time) { remember(t.ended, incarnation, now) }

// checkPause is the time between two checks of an incarnation.
const checkPause = 200 * time.Millisecond

// beginCheck reports whether a check is needed: whether the incarnation is not known to have ended and there was no check
// lately.
func (t incarnationTable) beginCheck(incarnation uint64, now time.Time) bool {
	if t.hasEnded(incarnation) || now.Sub(t.checkedAt[incarnation]) < checkPause {
		return false
	}
	remember(t.checkedAt, incarnation, now)
	return true
}

// remember records a time, and forgets the oldest one if there are maxIncarnations.
func remember(times map[uint64]time.Time, incarnation uint64, now time.Time) {
	if _, known := times[incarnation]; !known && len(times) >= maxIncarnations {
		oldest, at := uint64(0), now
		for other, then := range times {
			if !then.After(at) {
				oldest, at = other, then
			}
		}
		delete(times, oldest)
	}
	times[incarnation] = now
}
