package detector

import "time"

// record contains the observations of one target and the status derived from them.
type record struct {
	target Target
	// addressKnown reports whether SetTargets named the target, so that it can be polled.
	addressKnown bool

	incarnation string
	// progress is the highest known progress counter of the incarnation. lastProgress is when the
	// target last made progress.
	progress     uint64
	report       Report
	lastProgress time.Time

	// callsInFlight counts the calls of this daemon that have not ended. busySince is when the
	// count last rose from zero.
	callsInFlight int
	busySince     time.Time
	// unansweredPolls are the send times of the polls without an answer, oldest first.
	unansweredPolls []time.Time
	// reportedBusySince is when reports began to show work without progress.
	reportedBusySince time.Time
	// refusedSince is when the target first refused a connection. It is zero again after a
	// fresh connection or a newer incarnation.
	refusedSince time.Time
	// stallReason is why the target counts as stalled, and stalledSince is when that began. The
	// reason stays until the target makes progress, even if the call that waited there is cancelled.
	stallReason  Reason
	stalledSince time.Time

	// leavingReason is why the target is leaving, and leavingIncarnation is the incarnation that
	// leaves.
	leavingReason      Reason
	leavingIncarnation string
	// incarnationPresumed reports whether the host list showed the target as leaving before its
	// incarnation was known, so that leavingIncarnation is an assumption.
	incarnationPresumed bool
	hostListLeaving     bool
	drained             bool

	status Status
	// stalledSignalClosed reports whether stalledSignal is closed because the target has stalled. A
	// target that is leaving may have stalled too.
	stalledSignalClosed bool
	stalledSignal       chan struct{}
	nextPoll            time.Time
	lastPoll            time.Time
	pollsInFlight       int
	// version grows with each change that must be sent to peers.
	version uint64
}

func newRecord(name string, now time.Time) *record {
	return &record{
		target:        Target{Name: name},
		lastProgress:  now,
		status:        Status{Since: now, LastProgress: now},
		stalledSignal: make(chan struct{}),
	}
}

// observeProgress records that the target made progress at the given time.
func (r *record) observeProgress(at time.Time) {
	if at.After(r.lastProgress) {
		r.lastProgress = at
	}
	r.reportedBusySince = time.Time{}
	if !at.Before(r.stalledSince) {
		r.stallReason = ReasonNone
	}
}

// markStalled records that the target has stalled, unless it is already marked.
func (r *record) markStalled(reason Reason, now time.Time) {
	if r.stallReason == ReasonNone {
		r.stallReason, r.stalledSince = reason, now
	}
}

// observeIncarnation records an incarnation that was observed at the given time. It reports whether
// the incarnation is older than the known one, in which case its observations are ignored.
func (r *record) observeIncarnation(incarnation string, now time.Time) (outdated bool) {
	if incarnation == "" || incarnation == r.incarnation {
		return false
	}
	if incarnation < r.incarnation {
		return true
	}
	r.incarnation = incarnation
	r.progress = 0
	r.report = Report{}
	r.refusedSince = time.Time{}
	r.stallReason = ReasonNone
	r.endLeaving(incarnation)
	r.observeProgress(now)
	return false
}

// endLeaving removes the leaving mark if the given incarnation is newer than the leaving one. If the
// host list showed the target as leaving before any incarnation was known, the given one is presumed
// to be the leaving one.
func (r *record) endLeaving(incarnation string) {
	switch {
	case r.leavingReason == ReasonNone:
	case r.leavingReason == ReasonHostList && r.leavingIncarnation == "":
		r.leavingIncarnation = incarnation
		r.incarnationPresumed = true
	case incarnation > r.leavingIncarnation:
		r.leavingReason = ReasonNone
		r.incarnationPresumed = false
	}
}

// markLeaving records that the current incarnation is leaving, unless the target is already marked.
func (r *record) markLeaving(reason Reason) {
	if r.leavingReason != ReasonNone {
		return
	}
	r.leavingReason = reason
	r.leavingIncarnation = r.incarnation
}

// overdue returns ReasonUnanswered if the target missed the deadline for the answer to a poll,
// ReasonNoProgress if it missed the deadline for progress, and ReasonNone otherwise.
func (r *record) overdue(now time.Time, settings *Settings) Reason {
	if len(r.unansweredPolls) > 0 && now.Sub(r.unansweredPolls[0]) >= settings.AnswerDeadline {
		return ReasonUnanswered
	}
	if r.callsInFlight > 0 && now.Sub(later(r.busySince, r.lastProgress)) >= settings.ProgressDeadline {
		return ReasonNoProgress
	}
	reported := later(r.reportedBusySince, r.lastProgress)
	if !r.reportedBusySince.IsZero() && now.Sub(reported) >= settings.ProgressDeadline+settings.LoadLag {
		return ReasonNoProgress
	}
	return ReasonNone
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// evaluate derives the state and its reason from the observations.
func (r *record) evaluate(now time.Time, settings *Settings) (state State, reason Reason) {
	switch {
	case r.drained:
		return Leaving, ReasonDrain
	case r.leavingReason != ReasonNone:
		return Leaving, r.leavingReason
	case r.stallReason != ReasonNone:
		reason = r.stallReason
	case !r.refusedSince.IsZero():
		reason = ReasonRefused
	default:
		return Live, ReasonNone
	}
	downDue := r.status.State == Suspect && now.Sub(r.status.Since) >= settings.DownAfter
	if downDue || r.status.State == Down {
		return Down, reason
	}
	return Suspect, reason
}

// updateStatus updates the status of a target and publishes a Change if its state or its incarnation
// has changed. The lock is held.
func (d *Detector) updateStatus(r *record, now time.Time) {
	d.resetAfterPause(now)
	if overdue := r.overdue(now, &d.settings); overdue != ReasonNone {
		r.markStalled(overdue, now)
	}
	r.signalStalled(r.stallReason != ReasonNone)
	state, reason := r.evaluate(now, &d.settings)
	before := r.status
	r.status.Incarnation = r.incarnation
	r.status.LastProgress = r.lastProgress
	if state == before.State && r.incarnation == before.Incarnation {
		return
	}
	if state != before.State {
		r.status.State, r.status.Reason, r.status.Since = state, reason, now
	}
	r.version++
	d.settings.Logger.Info("detector: target changed state or incarnation",
		"target", r.target.Name, "state", state.String(), "reason", string(r.status.Reason))
	d.publish(Change{Target: r.target.Name, Before: before, After: r.status})
}

// signalStalled closes stalledSignal when the target stalls, and replaces it by an open one
// when the target makes progress again.
func (r *record) signalStalled(stalled bool) {
	switch {
	case stalled && !r.stalledSignalClosed:
		close(r.stalledSignal)
	case !stalled && r.stalledSignalClosed:
		r.stalledSignal = make(chan struct{})
	}
	r.stalledSignalClosed = stalled
}

// resetAfterPause restarts all deadlines after a pause of this daemon, during which it could not
// observe progress of any target. The lock is held.
func (d *Detector) resetAfterPause(now time.Time) {
	if now.Sub(d.lastTick) < maxTicksMissed*d.settings.Tick {
		return
	}
	d.settings.Logger.Warn("detector: this daemon was paused", "pause", now.Sub(d.lastTick))
	d.lastTick = now
	for _, r := range d.records {
		r.unansweredPolls = nil
		r.lastProgress = now
		r.reportedBusySince = time.Time{}
	}
}
