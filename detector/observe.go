package detector

import (
	"slices"
	"time"
)

// minRefusalSpacing is the minimum time between two refused connections that count as two.
const minRefusalSpacing = 100 * time.Millisecond

// Begin records the start of a call of this daemon to a target. The returned function records the
// end of the call; only its first call has an effect.
func (d *Detector) Begin(target string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recordFor(target)
	if r.callsInFlight == 0 {
		r.busySince = time.Now()
	}
	r.callsInFlight++
	ended := false
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !ended {
			ended = true
			r.callsInFlight--
		}
	}
}

// ObserveProgress records that an incarnation of a target sent part of an answer.
func (d *Detector) ObserveProgress(target, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := d.recordFor(target)
	if r.observeIncarnation(incarnation, now) {
		return
	}
	r.unansweredPolls = nil
	r.observeProgress(now)
	d.updateStatus(r, now)
}

// ObserveReport records the answer to a poll that was sent at the given time. A fresh poll opened
// a new connection.
func (d *Detector) ObserveReport(target string, report Report, sent time.Time, fresh bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := d.recordFor(target)
	if r.observeIncarnation(report.Incarnation, now) {
		return
	}
	r.forgetAnsweredPolls(sent)
	if fresh {
		r.refusedSince = time.Time{}
	}
	if report.Leaving {
		r.markLeaving(ReasonSelfReport)
	}
	r.applyReport(report, now)
	d.updateStatus(r, now)
}

// forgetAnsweredPolls removes the answered poll and all earlier ones from unansweredPolls.
func (r *record) forgetAnsweredPolls(sent time.Time) {
	r.unansweredPolls = slices.DeleteFunc(r.unansweredPolls, func(at time.Time) bool { return !at.After(sent) })
}

// applyReport compares a report with the previous one and stores it. A higher counter is progress. A
// report without work also counts as progress while no call of this daemon is in flight.
func (r *record) applyReport(report Report, now time.Time) {
	if report.Progress < r.progress {
		// The answer is older than one that was already applied.
		return
	}
	idle := report.Running == 0 && report.Waiting == 0
	switch {
	case report.Progress > r.progress:
		r.observeProgress(now)
	case idle && r.callsInFlight == 0:
		r.observeProgress(now)
	case !idle && r.reportedBusySince.IsZero():
		r.reportedBusySince = now
	}
	r.progress = report.Progress
	r.report = report
	r.version++
}

// ObserveRefused records that a target refused a connection. The first refusal makes the target
// suspect. A later one, after at least minRefusalSpacing, makes it leaving.
func (d *Detector) ObserveRefused(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	r := d.recordFor(target)
	if r.refusedSince.IsZero() {
		r.refusedSince = now
		r.nextPoll = now.Add(minRefusalSpacing)
	}
	if now.Sub(r.refusedSince) >= minRefusalSpacing {
		r.markLeaving(ReasonRefused)
	}
	d.updateStatus(r, now)
}

// ObserveLeaving records that a target refused a call because it is leaving.
func (d *Detector) ObserveLeaving(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recordFor(target)
	r.markLeaving(ReasonSelfReport)
	d.updateStatus(r, time.Now())
}

// ObserveHostList records whether the platform's host list shows a target as leaving. Only the
// change to leaving counts, since the list lags and may still show a target as leaving after a
// newer incarnation has started. When the list no longer shows the target as leaving, the target
// stays leaving unless the leaving incarnation was only presumed.
func (d *Detector) ObserveHostList(target string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recordFor(target)
	if leaving && !r.hostListLeaving {
		r.markLeaving(ReasonHostList)
	}
	if !leaving && r.incarnationPresumed {
		r.leavingReason, r.incarnationPresumed = ReasonNone, false
	}
	r.hostListLeaving = leaving
	d.updateStatus(r, time.Now())
}

// ObserveDrain records whether the operator's drain label is set. Unlike the other kinds of
// leaving, a drain can be revoked for the same incarnation.
func (d *Detector) ObserveDrain(target string, drained bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recordFor(target)
	r.drained = drained
	d.updateStatus(r, time.Now())
}
