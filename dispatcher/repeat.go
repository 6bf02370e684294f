package dispatcher

import (
	"context"
	"time"
)

// peerTimeout bounds one look-up and one request to a peer. The platform is read again after each
// request to a peer.
const peerTimeout = time.Second

// followExisting waits for the outcome of the intent that is already stored under the run's key,
// and ends the run with that outcome or at the caller's deadline. It reports true, with the newest
// record, if the call did not run under that intent, so that the key can be claimed again.
func (d *Dispatcher) followExisting(ctx context.Context, r *run, c claim) (newest claim, claimable bool) {
	retry := d.newBackoff()
	orphan := IntentID{}
	for {
		if c.existing.digest != r.digest {
			r.finish(StateNotRun, Answer{}, refuse(CodeKeyReused, NotRun, nil))
			return claim{}, false
		}
		if c.existing.state == StateNotRun && !c.existing.retired {
			r.setOtherMayHaveRun(false)
			return c, true
		}
		r.setOtherMayHaveRun(true)
		id := IntentID{Key: r.id.Key, Nonce: c.existing.nonce}
		state := d.resolve(ctx, r, &c.existing, id == orphan)
		if r.isDone() {
			return claim{}, false
		}
		if state == StateNotHeld {
			orphan = id
		}
		if !retry.sleep(ctx) {
			r.finish(StateMayHaveRun, Answer{}, refuse(CodeOutcomeUnknown, MayHaveRun, ctx.Err()))
			return claim{}, false
		}
		d.reread(ctx, r, &c)
	}
}

// reread reads the record again and replaces the one in c unless the read returned an older one.
func (d *Dispatcher) reread(ctx context.Context, r *run, c *claim) {
	item, existing, err := d.read(ctx, r.id.Key)
	if err == nil && item.Version >= c.version {
		c.existing = existing
		c.version = item.Version
	}
}

// resolve ends the run if the outcome of the existing intent can be determined now, from the
// record, from the daemon that wrote the intent or by a look-up. It returns the state of the intent
// as that daemon reports it. An intent is orphaned if its daemon no longer holds it.
func (d *Dispatcher) resolve(ctx context.Context, r *run, existing *record, orphaned bool) State {
	if d.finishFromRecord(r, existing.state, existing) {
		return existing.state
	}
	state := existing.state
	if existing.state == StateRunning && !orphaned {
		state = d.askHolder(ctx, r, existing)
	}
	if r.isDone() || state == StateNotRun {
		return state
	}
	// A look-up makes the service refuse a key that has not run, so none is made while the intent's
	// daemon may still send the call.
	runningAtHolder := state == StateRunning && !orphaned
	if runningAtHolder && time.Since(existing.created) < 2*d.settings.IntentValidity {
		return state
	}
	if d.resolveByLookup(ctx, r, existing) {
		return state
	}
	if orphaned || state == StateMayHaveRun {
		r.finish(StateMayHaveRun, Answer{}, refuse(CodeOutcomeUnknown, MayHaveRun, nil))
	}
	return state
}

// finishFromRecord ends the run with the result in the existing record. It reports false if the
// record does not decide the result.
func (d *Dispatcher) finishFromRecord(r *run, state State, existing *record) bool {
	switch {
	case state == StateDone && existing.tooLarge:
		r.finish(StateMayHaveRun, Answer{}, refuse(CodeOutcomeTooLarge, MayHaveRun, nil))
	case state == StateDone:
		r.finish(StateDone, existing.answer(), nil)
	case state == StateNotRun && existing.retired:
		r.finish(StateNotRun, Answer{}, refuse(CodeKeyRetired, NotRun, nil))
	default:
		return false
	}
	return true
}

// askHolder asks the daemon that wrote the existing intent for its outcome, and ends the run if
// the intent is done. It returns StateRunning if the daemon does not respond.
func (d *Dispatcher) askHolder(ctx context.Context, r *run, existing *record) State {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	id := IntentID{Key: r.id.Key, Nonce: existing.nonce}
	answer, state, err := d.askDaemon(ctx, existing.daemon, id)
	if err != nil {
		return StateRunning
	}
	if state == StateDone {
		answer.Repeated = true
		r.finish(StateDone, answer, nil)
	}
	return state
}

// askDaemon waits for the outcome of an intent at this daemon or at a peer. Without Settings.Peers it
// assumes that an intent of a peer is running.
func (d *Dispatcher) askDaemon(ctx context.Context, daemon string, id IntentID) (answer Answer, state State, err error) {
	if daemon == d.settings.Daemon {
		return d.Outcome(ctx, id)
	}
	if d.settings.Peers == nil {
		return Answer{}, StateRunning, nil
	}
	return d.settings.Peers.Outcome(ctx, daemon, id)
}

// resolveByLookup looks up the key of an intent without outcome at its service, and ends the run if
// the service reports whether the call ran. It returns false if the look-up failed or is not
// supported. The look-up is safe while the intent's daemon may still send the call, since a service
// that answers LookupNeverRuns refuses the key from then on.
func (d *Dispatcher) resolveByLookup(ctx context.Context, r *run, existing *record) bool {
	answer, state, err := d.lookup(ctx, existing)
	if err != nil {
		return false
	}
	switch state {
	case LookupRan:
		answer.Repeated = true
		r.finish(StateDone, answer, nil)
		return true
	case LookupNeverRuns:
		r.finish(StateNotRun, Answer{}, refuse(CodeKeyRetired, NotRun, nil))
		return true
	case LookupRunning:
		return true
	case LookupUnsupported:
	}
	return false
}

// lookup asks the service of a record whether it ran the call with the key.
func (d *Dispatcher) lookup(ctx context.Context, r *record) (answer Answer, state LookupState, err error) {
	if d.settings.Lookup == nil {
		return Answer{}, LookupUnsupported, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return d.settings.Lookup.Lookup(ctx, r.service, r.account, r.key)
}
