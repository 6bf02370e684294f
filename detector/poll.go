package detector

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// Up to smallSetTargets targets are each polled at least every smallSetMaxInterval, even if
	// that exceeds PollsPerSecond, so that a target that freezes while idle is detected in time.
	smallSetTargets     = 32
	smallSetMaxInterval = 400 * time.Millisecond
)

// pollInterval returns the time between two regular polls of each target at which all polls
// together stay within PollsPerSecond, except for small sets. The lock is held.
func (d *Detector) pollInterval() time.Duration {
	count := 0
	for name, r := range d.records {
		if r.addressKnown && d.settings.ShouldPoll(name) {
			count++
		}
	}
	bounded := time.Duration(float64(count) / d.settings.PollsPerSecond * float64(time.Second))
	if count <= smallSetTargets {
		bounded = min(bounded, smallSetMaxInterval)
	}
	return max(d.settings.PollInterval, bounded)
}

// pollIfDue starts a poll of a target if its next poll is due. The lock is held.
func (d *Detector) pollIfDue(r *record, now time.Time, interval time.Duration) {
	if d.settings.Poller == nil || !r.addressKnown || r.pollsInFlight >= maxPollsInFlight {
		return
	}
	urgent := d.isUrgent(r, now)
	if !urgent && !d.settings.ShouldPoll(r.target.Name) {
		return
	}
	due := r.nextPoll
	if urgent {
		due = earlier(due, r.lastPoll.Add(d.settings.UrgentInterval))
	}
	if now.Before(due) {
		return
	}
	r.lastPoll = now
	r.nextPoll = now.Add(jitter(interval))
	d.startPoll(r, now)
}

// isUrgent reports whether a target is polled at UrgentInterval, because a call of this daemon
// waits there, a poll is unanswered or a connection was refused.
func (d *Detector) isUrgent(r *record, now time.Time) bool {
	if !r.refusedSince.IsZero() && r.leavingReason == ReasonNone {
		return true
	}
	if r.status.State == Down || r.leavingReason != ReasonNone {
		return false
	}
	if len(r.unansweredPolls) > 0 && now.Sub(r.unansweredPolls[0]) >= d.settings.UrgentInterval {
		return true
	}
	return r.callsInFlight > 0 && now.Sub(later(r.busySince, r.lastProgress)) >= d.settings.ProbeAfter
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// jitter randomizes an interval so that the polls of the daemons do not coincide.
func jitter(interval time.Duration) time.Duration {
	return interval + time.Duration((rand.Float64()*2-1)*jitterFraction*float64(interval))
}

// startPoll polls a target in a new goroutine. The lock is held.
func (d *Detector) startPoll(r *record, now time.Time) {
	if len(r.unansweredPolls) < maxUnansweredPolls {
		r.unansweredPolls = append(r.unansweredPolls, now)
	}
	r.pollsInFlight++
	d.pollCount++
	target, fresh := r.target, !r.refusedSince.IsZero()
	d.workers.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, d.settings.PollTimeout)
		defer cancel()
		report, err := d.settings.Poller.Poll(ctx, target, fresh)
		d.mu.Lock()
		r.pollsInFlight--
		d.mu.Unlock()
		d.handlePollResult(target.Name, report, err, now, fresh)
	})
}

// handlePollResult records the result of a poll. A poll that failed stays unanswered.
func (d *Detector) handlePollResult(target string, report Report, err error, sent time.Time, fresh bool) {
	if d.ctx.Err() != nil {
		return
	}
	var refused *RefusedError
	switch {
	case err == nil:
		d.ObserveReport(target, report, sent, fresh)
		if d.settings.OnReport != nil {
			d.settings.OnReport(target, report)
		}
	case errors.As(err, &refused):
		d.ObserveRefused(target)
	}
}
