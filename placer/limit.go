package placer

import (
	"math"
	"time"

	"github.com/rosemaryrill/rosemaryrill/ranker"
)

const (
	// minLimit is the number of requests a second that a target gets that named a smaller limit, so that its answers can
	// tell when that ends.
	minLimit = 0.25
	// limitAnnouncementInterval is the time between two announcements of a limit that this daemon goes on observing, for
	// peers that have started or missed one.
	limitAnnouncementInterval = time.Second
	// endAnnouncements is how many times the end of a limit is announced, since messages may be lost.
	endAnnouncements = 3
	// maxLimitRetryAfter bounds the retry delay while all targets of a service are at their limits, since another daemon may
	// send to them before this one.
	maxLimitRetryAfter = time.Second
)

// RateLimit is the number of requests a second that a target takes from all daemons together.
type RateLimit struct {
	Target TargetHash
	// Limited is set if there is a limit; PerSecond has no meaning otherwise.
	Limited   bool
	PerSecond float64
	// Age is the time since an answer of the target told it.
	Age time.Duration
}

// rateLimit is the limit of a target and this daemon's share of it. The first daemons by rank share a limit, one for each
// whole request a second and at least one, so that no share is so small that the first request of each daemon after a
// pause would add up to a multiple of the limit.
type rateLimit struct {
	limited   bool
	perSecond float64
	// observedAt is when an answer told the limit, or its end, to this daemon or to a peer.
	observedAt time.Time
	// tokens is the number of requests that this daemon may send, at most one, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// announcedAt is when this daemon last announced what it observed itself, and pending how many times it still will.
	announcedAt time.Time
	pending     int
}

// observe records what an answer told at a time. It reports whether that is newer than what was known.
func (l *rateLimit) observe(limited bool, perSecond float64, at, now time.Time) bool {
	if !at.After(l.observedAt) {
		return false
	}
	if limited && !l.limited {
		l.tokens, l.refilledAt = 0, now
	}
	l.limited, l.perSecond, l.observedAt = limited, perSecond, at
	return true
}

// share returns the number of requests a second that the daemon at a position among a number of daemons may send.
func (l *rateLimit) share(position, daemons int) float64 {
	sharing := min(max(int(l.perSecond), 1), daemons)
	if position >= sharing {
		return 0
	}
	return max(l.perSecond, minLimit) / float64(sharing)
}

// wait returns the time until a request may be sent with a share of the limit, at most maxLimitRetryAfter.
func (l *rateLimit) wait(share float64, now time.Time) time.Duration {
	if share == 0 {
		return maxLimitRetryAfter
	}
	l.tokens = min(l.tokens+share*now.Sub(l.refilledAt).Seconds(), 1)
	l.refilledAt = now
	missing := math.Ceil((1 - l.tokens) / share * float64(time.Second))
	return min(time.Duration(missing), maxLimitRetryAfter)
}

// take counts a request.
func (l *rateLimit) take() {
	if l.limited {
		l.tokens--
	}
}

// limitWait returns the time until this daemon may send a request to the target, at most maxLimitRetryAfter; zero if it may
// now.
func (p *Placer) limitWait(t *target, now time.Time) time.Duration {
	if !t.limit.limited {
		return 0
	}
	position := ranker.Position(p.settings.Name, p.peerNames, uint64(t.hash))
	return t.limit.wait(t.limit.share(position, len(p.peerNames)+1), now)
}

// RecordRateLimit records the limit that an answer of the target named, in requests a second.
func (a *Attempt) RecordRateLimit(perSecond float64) {
	a.updateTarget(func(t *target, now time.Time) {
		wasLimited, before := t.limit.limited, t.limit.perSecond
		if t.limit.observe(true, perSecond, now, now) && (!wasLimited || before != perSecond || now.Sub(t.limit.announcedAt) >= limitAnnouncementInterval) {
			t.limit.pending = 1
		}
	})
}

// RecordNoRateLimit records that an answer named no limit. That ends a known one only if the request was sent after the
// limit was last told, since the target may have written the answer before it named a limit.
func (a *Attempt) RecordNoRateLimit() {
	a.updateTarget(func(t *target, now time.Time) {
		if t.limit.limited && a.chosenAt.After(t.limit.observedAt) && t.limit.observe(false, 0, now, now) {
			t.limit.pending = endAnnouncements
		}
	})
}

// exportLimits returns the limits that are to be announced.
func (p *Placer) exportLimits(now time.Time) (limits []RateLimit) {
	for _, t := range p.targets {
		if t.limit.pending == 0 {
			continue
		}
		t.limit.pending--
		t.limit.announcedAt = now
		limits = append(limits, RateLimit{Target: t.hash, Limited: t.limit.limited, PerSecond: t.limit.perSecond, Age: now.Sub(t.limit.observedAt)})
	}
	return limits
}

// importLimits records the limits that a peer announces.
func (p *Placer) importLimits(limits []RateLimit, now time.Time) {
	for _, limit := range limits {
		if t := p.byHash[limit.Target]; t != nil {
			t.limit.observe(limit.Limited, limit.PerSecond, now.Add(-limit.Age), now)
		}
	}
}
