package router

import (
	"math"
	"time"
)

const (
	// peerCorrelation is the part of the calls of another daemon that is expected to follow this
	// daemon's choices while no report tells, since both see the same reports.
	peerCorrelation = 0.4
	// callsDeviation is the standard deviation of the number of calls at a target from what
	// is expected.
	callsDeviation = 1.5
	// maxExponent keeps the exponential function within range.
	maxExponent = 30
)

// SetPeers tells how many daemons send to the pool, this one included.
func (r *Router) SetPeers(daemons int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Daemons = max(daemons, 1)
}

// peerFactor is how many calls all daemons are expected to have sent for each call of this one.
func (r *Router) peerFactor() float64 {
	return 1 + peerCorrelation*float64(r.settings.Daemons-1)
}

// scaleForPeers is the work that a call of this daemon stands for.
func (r *Router) scaleForPeers(work time.Duration) time.Duration {
	return time.Duration(r.peerFactor() * float64(work))
}

// reportedCalls is the number of calls by the last report, less those that have ended since.
func (t *target) reportedCalls() int {
	return max(t.load.Running+t.load.Waiting-t.finishedCalls, 0)
}

// ownCalls is the number of calls that this daemon has sent since the last report.
func (t *target) ownCalls() int {
	total := 0
	for i := range t.sentCalls {
		if !t.sentCalls[i].done {
			total++
		}
	}
	return total
}

// knownCalls is the number of knownCalls that the target is known to have.
func (t *target) knownCalls() int { return t.reportedCalls() + t.ownCalls() }

// updateMeanCalls sums up the calls of the eligible targets.
func (r *Router) updateMeanCalls() {
	s := &r.scratch
	reported, known, count := 0, 0, 0
	for column := range s.eligible.all() {
		t := r.byColumn[column]
		reported += t.reportedCalls()
		known += t.knownCalls()
		count++
	}
	s.meanReported = float64(reported) / float64(max(count, 1))
	s.meanCalls = float64(known) / float64(max(count, 1))
}

// expectedCalls is the number of calls that the target is expected to have by now. A report says
// less the older it is: the difference to the mean fades with the time that calls hold a slot.
func (r *Router) expectedCalls(t *target, now time.Time) float64 {
	mean := r.scratch.meanReported
	decay := math.Exp(-now.Sub(t.measuredAt).Seconds() / max(r.serviceTime.value.Seconds(), minServiceSeconds))
	return mean + (float64(t.reportedCalls())-mean)*decay + float64(t.ownCalls())*r.peerFactor()
}

// minServiceSeconds keeps the fading of reports defined.
const minServiceSeconds = 0.001

// slotWait is the expected time until a slot is free: the mean over a spread of possible numbers
// of calls, so that it grows smoothly as the slots fill up.
func (r *Router) slotWait(t *target, now time.Time) time.Duration {
	if t.Slots <= 0 {
		return 0
	}
	excess := (r.expectedCalls(t, now) + 1 - float64(t.Slots)) / callsDeviation
	callsAhead := callsDeviation * math.Log1p(math.Exp(min(excess, maxExponent)))
	if excess > maxExponent {
		callsAhead = excess * callsDeviation
	}
	return time.Duration(callsAhead * float64(r.serviceTime.value) / float64(t.Slots))
}

// holdTime is how long a deferrable call is kept back before the next decision: about as long as
// it takes for the next load report to come.
const holdTime = 250 * time.Millisecond

// hold is how long a deferrable call should be kept back from a target whose slots are filling
// up.
func (r *Router) hold(class Class, t *target, now time.Time) time.Duration {
	if class != ClassDeferrable || t.Slots <= 0 {
		return 0
	}
	deferrableSlots := float64(t.Slots) * (1 - r.settings.InteractiveReserve)
	if r.expectedCalls(t, now)+1 <= max(deferrableSlots, 1) {
		return 0
	}
	return holdTime
}

// wait is the expected time before the target starts on another call.
func (r *Router) wait(t *target, now time.Time) time.Duration {
	wait := max(t.busyUntil.Sub(now), r.slotWait(t, now))
	if t.DataCentre != r.settings.DataCentre {
		wait += r.settings.RemoteCost
	}
	return wait
}
