package quarantiner

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	// Completed means that the target sent its complete answer.
	Completed Outcome = iota
	// Cancelled means that the caller or the router stopped the run.
	Cancelled
	// NotStarted means that the target did not start the run or certainly no longer runs it, so
	// that the call may run at another target at once.
	NotStarted
	// Broken means that the connection to the target broke, or that the target made no progress.
	Broken
)

const (
	// pollInterval is the pause between two checks of whether a waiting call may run.
	pollInterval = 50 * time.Millisecond
	// retryAfter is the RetryAfter of refused calls that may be allowed to run soon.
	retryAfter = 2 * time.Second
)

// Begin requests permission to run the call at the target. The returned function must be called
// once with the outcome of the run, before the outcome is returned to the caller and before the
// call runs again at another target. For a watched call Begin waits until an isolated run is
// granted or the context ends. It returns a QuarantinedError for a call that must not run, a
// PinnedError for one that must run at another target, and a TargetDownError if connections to the
// target broke while a watched call waited for it.
func (q *Quarantiner) Begin(ctx context.Context, fingerprint Fingerprint, target, incarnation string) (release func(Outcome), err error) {
	defer Error.WrapP(&err)
	r := &run{fingerprint: fingerprint, targetIncarnation: TargetIncarnation{Target: target, Incarnation: incarnation}}
	pendingUntil := time.Now().Add(q.settings.PendingWait)
	for {
		verdict, pending := q.verdict(fingerprint)
		started := false
		switch {
		case verdict == Run:
			started, err = q.beginUnrestricted(ctx, r)
		case verdict == Isolate:
			started, err = q.beginIsolated(ctx, r)
		case !pending || time.Now().After(pendingUntil):
			err = q.refusal(fingerprint)
		}
		if err != nil {
			return nil, err
		}
		if started {
			return func(outcome Outcome) { q.finish(r, outcome) }, nil
		}
		if !waiter.Sleep(ctx, pollInterval) {
			return nil, q.refusal(fingerprint)
		}
	}
}

func (q *Quarantiner) verdict(fingerprint Fingerprint) (verdict Verdict, pending bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.strikes.verdict(fingerprint)
}

// refusal returns the error for a call that may not run now.
func (q *Quarantiner) refusal(fingerprint Fingerprint) *QuarantinedError {
	q.mu.Lock()
	defer q.mu.Unlock()
	refusal := &QuarantinedError{Fingerprint: fingerprint}
	if e := q.strikes.unexpired(fingerprint); e != nil {
		refusal.Crashes, _ = e.countActive()
	}
	if verdict, pending := q.strikes.verdict(fingerprint); verdict != Refuse || pending {
		refusal.RetryAfter = retryAfter
	}
	return refusal
}

// beginUnrestricted starts a call whose verdict is Run. The run is registered before its pin is
// requested, so that a round of the isolator between the two steps includes the run.
func (q *Quarantiner) beginUnrestricted(ctx context.Context, r *run) (started bool, err error) {
	if err := q.register(r); err != nil {
		return false, err
	}
	if r.usesPin {
		if pinned := q.requestPin(ctx, r); pinned != "" && pinned != r.targetIncarnation.Target {
			q.unregister(r)
			return false, &PinnedError{Target: pinned}
		}
	}
	if verdict, _ := q.verdict(r.fingerprint); verdict != Run {
		q.unregister(r)
		q.unpin(r, NotStarted)
		return false, nil
	}
	return true, nil
}

// register adds the run to the table. It returns a PinnedError instead if a copy of a call that has
// not completed yet runs at another target.
func (q *Quarantiner) register(r *run) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.usesPin = false
	if q.hasCompleted(r.fingerprint) {
		q.runs.add(r)
		return nil
	}
	for _, other := range q.runs.running(r.fingerprint) {
		if other.targetIncarnation.Target != r.targetIncarnation.Target {
			return &PinnedError{Target: other.targetIncarnation.Target}
		}
	}
	q.runs.add(r)
	r.usesPin = !q.settings.DisablePinning
	return nil
}

func (q *Quarantiner) unregister(r *run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs.remove(r)
}

// beginIsolated starts a watched call if the isolator grants it.
func (q *Quarantiner) beginIsolated(ctx context.Context, r *run) (started bool, err error) {
	requestedAt := time.Now()
	err = q.requestGrant(ctx, r)
	if errors.Is(err, errNotGranted) || err != nil && ctx.Err() == nil {
		return false, nil
	}
	if err != nil {
		return false, q.refusal(r.fingerprint)
	}
	started, err = q.startGranted(ctx, r, requestedAt)
	if !started {
		q.unregister(r)
		q.announceEnd(q.background, r.fingerprint, nil)
	}
	return started, err
}

// startGranted registers a granted run and requests its pin. A daemon that has already cleared the
// strikes of the call runs copies without a grant; the pin prevents it from running them at other
// targets at the same time.
func (q *Quarantiner) startGranted(ctx context.Context, r *run, requestedAt time.Time) (started bool, err error) {
	if err := q.registerGranted(r); err != nil {
		return false, err
	}
	if r.usesPin {
		if pinned := q.requestPin(ctx, r); pinned != "" && pinned != r.targetIncarnation.Target {
			return false, nil
		}
	}
	if verdict, _ := q.verdict(r.fingerprint); verdict == Refuse || time.Since(requestedAt) > grantValidity {
		q.unpin(r, NotStarted)
		return false, nil
	}
	return true, nil
}

// registerGranted adds a granted run to the table. It returns a TargetDownError instead if
// connections to the target broke while the call waited.
func (q *Quarantiner) registerGranted(r *run) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.strikes.anyActive(r.targetIncarnation) {
		return &TargetDownError{Target: r.targetIncarnation.Target}
	}
	r.usesPin = !q.settings.DisablePinning
	r.granted = true
	q.runs.add(r)
	return nil
}

// finish processes the outcome of a run. It announces changed strikes to the peers before it
// returns, and only then releases the pin.
func (q *Quarantiner) finish(r *run, outcome Outcome) {
	var changed []strikeUpdate
	q.mu.Lock()
	switch outcome {
	case Completed:
		q.runs.remove(r)
		changed = q.strikes.clear(r.fingerprint)
		q.recordCompletion(r.fingerprint)
	case Broken:
		q.runs.linger(r)
		changed = q.strikes.add(r.fingerprint, r.targetIncarnation, r.strikeLevel())
	case Cancelled:
		q.runs.linger(r)
	case NotStarted:
		q.runs.remove(r)
	}
	q.mu.Unlock()
	if r.granted {
		q.announceEnd(q.background, r.fingerprint, changed)
	} else {
		q.announce(q.background, changed)
	}
	q.unpin(r, outcome)
}

// hasCompleted reports whether a run of the call completed less than Settings.Expiry ago. The
// caller holds the lock.
func (q *Quarantiner) hasCompleted(fingerprint Fingerprint) bool {
	at, ok := q.completed[fingerprint]
	return ok && time.Since(at) < q.settings.Expiry
}

// recordCompletion records that a run of the call completed. It evicts an arbitrary entry if the
// table is full. The caller holds the lock.
func (q *Quarantiner) recordCompletion(fingerprint Fingerprint) {
	for other := range q.completed {
		if len(q.completed) < q.settings.MaxEntries {
			break
		}
		delete(q.completed, other)
	}
	q.completed[fingerprint] = time.Now()
}
