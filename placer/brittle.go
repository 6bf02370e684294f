package placer

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/ranker"
)

const (
	// brittlePause is how long a brittle target gets nothing from a daemon after it refused a request of that daemon. Refusals
	// count by the second.
	brittlePause = 1100 * time.Millisecond
	// extraInterval is the least time between two requests of a daemon beyond its part of a brittle target's slots. It exceeds the
	// time in which the others learn of the first one.
	extraInterval = 150 * time.Millisecond
	// extraFraction is the fraction of a brittle target's slots up to which such requests are sent.
	extraFraction = 0.5
	// brittleRetryAfter is the retry delay while the slots of a brittle target are taken.
	brittleRetryAfter = 100 * time.Millisecond
)

// brittleness is what the targets of a service say of the refusals that they can bear.
type brittleness struct {
	// refusals is the number of requests that a target can refuse in a second, to all daemons together, without a crash.
	refusals float64
	// observedAt is when an answer last told it.
	observedAt time.Time
}

// RecordBrittle records that an answer called the targets of the service brittle, with the number of requests that each can refuse in
// a second without a crash.
func (a *Attempt) RecordBrittle(refusals float64) {
	a.updateTarget(func(t *target, now time.Time) {
		p := a.placer
		if _, known := p.brittle[t.Service]; !known {
			p.settings.Logger.Info("targets are brittle", "service", t.Service, "refusals_per_second", refusals, "id", t.ID)
		}
		p.brittle[t.Service] = brittleness{refusals: refusals, observedAt: now}
	})
}

// RecordNotBrittle records that an answer did not call the targets brittle. That ends an earlier statement only if the request was sent
// after it, since the target may have written the answer before.
func (a *Attempt) RecordNotBrittle() {
	a.updateTarget(func(t *target, _ time.Time) {
		p := a.placer
		if known, brittle := p.brittle[t.Service]; brittle && a.chosenAt.After(known.observedAt) {
			delete(p.brittle, t.Service)
			p.settings.Logger.Info("targets are no longer brittle", "service", t.Service, "id", t.ID)
		}
	})
}

// brittleWait returns the time until this daemon may send a request to the target if it is brittle; zero if it may now. All daemons
// together keep to the slots, so that the target has nothing to refuse: each has a part of them, since it learns too late what the
// others send. While few are taken as far as is known, some daemons use a little more.
func (p *Placer) brittleWait(t *target, now time.Time) time.Duration {
	known, brittle := p.brittle[t.Service]
	if !brittle {
		return 0
	}
	if wait := t.refusedAt.Add(brittlePause).Sub(now); wait > 0 {
		return wait
	}
	if t.localWork.requests < p.slotsOf(t) {
		return 0
	}
	used := t.requestCount(t.combinedWork(), now)
	wait := t.extraAt.Add(extraInterval).Sub(now)
	if wait > 0 || float64(used) >= extraFraction*float64(t.Slots) || !p.mayUseMore(t, known.refusals, now) {
		return max(wait, brittleRetryAfter)
	}
	return 0
}

// mayUseMore reports whether this daemon is among those that may use more than their parts of the slots in this second. They are so few
// that the target can refuse a request of each, and others in each second.
func (p *Placer) mayUseMore(t *target, refusals float64, now time.Time) bool {
	users := max(int(refusals/2), 1)
	return ranker.Position(p.settings.Name, p.peerNames, uint64(t.hash)+uint64(now.Unix())) < users
}

// slotsOf returns this daemon's part of the target's slots. The first daemons by rank share what is left after an even division.
func (p *Placer) slotsOf(t *target) int {
	daemons := len(p.peerNames) + 1
	part := t.Slots / daemons
	if ranker.Position(p.settings.Name, p.peerNames, uint64(t.hash)) < t.Slots%daemons {
		part++
	}
	return part
}

// noteExtra records a request beyond this daemon's part of a brittle target's slots.
func (p *Placer) noteExtra(t *target, now time.Time) {
	if _, brittle := p.brittle[t.Service]; brittle && t.localWork.requests >= p.slotsOf(t) {
		t.extraAt = now
	}
}
