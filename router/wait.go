package router

import (
	"math"
	"time"
)

const (
	// peerOverlap is the fraction of another daemon's calls that is expected to go to the
	// targets that this daemon chooses until the next report, since both see the same reports.
	peerOverlap = 0.4
	// callsDeviation is the standard deviation of the number of calls at a target from the
	// expected number.
	callsDeviation = 1.5
	// maxExponent is the exponent above which log(1+exp(x)) is taken as x to avoid an overflow.
	maxExponent = 30
)

// SetDaemonCount sets the number of daemons that send to the pool, this one included.
func (r *Router) SetDaemonCount(daemons int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settings.Daemons = max(daemons, 1)
}

// peerFactor returns the number of calls that all daemons are expected to have sent for each call
// of this one.
func (r *Router) peerFactor() float64 {
	return 1 + peerOverlap*float64(r.settings.Daemons-1)
}

// scaleForPeers scales the work of one call of this daemon by the calls that its peers are
// expected to have sent as well.
func (r *Router) scaleForPeers(work time.Duration) time.Duration {
	return time.Duration(r.peerFactor() * float64(work))
}

// reportedCalls returns the number of calls in the last report, less those that have ended since.
func (t *target) reportedCalls() int {
	return max(t.load.Running+t.load.Waiting-t.finishedCalls, 0)
}

// ownCalls returns the number of calls that this daemon has sent since the last report and that
// have not ended.
func (t *target) ownCalls() int {
	total := 0
	for i := range t.sentCalls {
		if !t.sentCalls[i].done {
			total++
		}
	}
	return total
}

// knownCalls returns the number of calls that the target is known to have.
func (t *target) knownCalls() int { return t.reportedCalls() + t.ownCalls() }

// updateMeanCalls computes the mean numbers of reported and of known calls of the eligible targets.
func (r *Router) updateMeanCalls() {
	s := &r.scratch
	reported, known, count := 0, 0, 0
	for column := range s.eligible.all() {
		t := r.byColumn[column]
		reported += t.reportedCalls()
		known += t.knownCalls()
		count++
	}
	s.meanReportedCalls = float64(reported) / float64(max(count, 1))
	s.meanKnownCalls = float64(known) / float64(max(count, 1))
}

// expectedCalls returns the number of calls that the target is expected to have now. The deviation
// of its report from the mean decays exponentially with the report's age; the time constant is the
// average time that a call holds a slot.
func (r *Router) expectedCalls(t *target, now time.Time) float64 {
	mean := r.scratch.meanReportedCalls
	decay := math.Exp(-now.Sub(t.measuredAt).Seconds() / max(r.serviceTime.value.Seconds(), minServiceSeconds))
	return mean + (float64(t.reportedCalls())-mean)*decay + float64(t.ownCalls())*r.peerFactor()
}

// minServiceSeconds is the lower bound of the time constant in expectedCalls, which avoids a
// division by zero.
const minServiceSeconds = 0.001

// slotWait returns the expected time until a slot is free. It approximates the mean wait over a
// distribution of the number of calls, so that the wait grows smoothly as the slots fill up.
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

// deferralTime is how long a deferrable call is held back before the next decision. It is about the
// time until the next load report.
const deferralTime = 250 * time.Millisecond

// deferral returns how long a deferrable call should be held back because the target has no free
// slots beyond those reserved for interactive calls, or zero if the call may be sent now.
func (r *Router) deferral(class Class, t *target, now time.Time) time.Duration {
	if class != ClassDeferrable || t.Slots <= 0 {
		return 0
	}
	deferrableSlots := float64(t.Slots) * (1 - r.settings.InteractiveReserve)
	if r.expectedCalls(t, now)+1 <= max(deferrableSlots, 1) {
		return 0
	}
	return deferralTime
}

// wait returns the expected time before the target starts on another call. It includes
// Settings.RemoteLatency if the target is in another data centre.
func (r *Router) wait(t *target, now time.Time) time.Duration {
	wait := max(t.busyUntil.Sub(now), r.slotWait(t, now))
	if t.DataCentre != r.settings.DataCentre {
		wait += r.settings.RemoteLatency
	}
	return wait
}
