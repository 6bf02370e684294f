package dispatcher

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// storeAnswer ends a run that a service answered. The caller gets the answer before the outcome
// is stored on the platform; until then peers get the outcome from this daemon.
func (d *Dispatcher) storeAnswer(ctx context.Context, r *run, c claim, answer Answer) {
	r.finish(StateDone, answer, nil)
	outcome := c.intent
	outcome.setAnswer(answer)
	d.writeFinal(ctx, r, outcome, c.version)
}

// release ends a run whose call no target ran. It marks the intent as not run, so that a repeat may
// run.
func (d *Dispatcher) release(ctx context.Context, r *run, c claim, refusal *RefusedError) {
	r.finish(StateNotRun, Answer{}, refusal)
	released := c.intent
	released.state = StateNotRun
	d.writeFinal(ctx, r, released, c.version)
}

// retire ends a run whose key the service refuses from now on, and marks its record as retired.
func (d *Dispatcher) retire(ctx context.Context, r *run, c claim) {
	r.finish(StateNotRun, Answer{}, refuse(CodeKeyRetired, NotRun, nil))
	retired := c.intent
	retired.state = StateNotRun
	retired.retired = true
	d.writeFinal(ctx, r, retired, c.version)
}

// settleLostAnswer ends a run whose answer was lost. It retries the look-up of the key until the
// service reports whether the call ran or OutcomeGrace has passed since the caller's deadline. The
// outcome stays unknown if the service does not report that in time or does not support look-ups.
func (d *Dispatcher) settleLostAnswer(ctx context.Context, r *run, c claim, cause error) {
	retry := d.newBackoff()
	lookupUntil := r.call.Deadline.Add(d.settings.OutcomeGrace)
	for time.Now().Before(lookupUntil) {
		answer, state, err := d.lookup(ctx, &c.intent)
		if err == nil && state == LookupUnsupported {
			break
		}
		if err == nil && state == LookupRan {
			d.storeAnswer(ctx, r, c, answer)
			return
		}
		if err == nil && state == LookupNeverRuns {
			d.retire(ctx, r, c)
			return
		}
		if !retry.sleep(ctx) {
			break
		}
	}
	r.finish(StateMayHaveRun, Answer{}, refuse(CodeOutcomeUnknown, MayHaveRun, cause))
	unknown := c.intent
	unknown.state = StateMayHaveRun
	d.writeFinal(ctx, r, unknown, c.version)
}

// writeFinal replaces the intent of a run with its final record. It retries until the record is
// stored or superseded or the context ends. A version of zero means that the intent may never
// have been stored. An intent that the platform has lost is replaced as well, so each write takes the
// version of the last read: it may be lower than the one before, and zero if the key is gone. A stale
// read causes a conflict and another read.
func (d *Dispatcher) writeFinal(ctx context.Context, r *run, final record, version storer.Version) {
	retry := d.newBackoff()
	for {
		_, err := d.write(ctx, r.id.Key, &final, version)
		if err == nil {
			return
		}
		if !isUnavailable(err) {
			item, stored, err := d.read(ctx, r.id.Key)
			if err == nil && superseded(&final, &stored) {
				return
			}
			if isNotFound(err) {
				d.logger.Warn("dispatcher: the intent of a call is gone from the platform, or the read was stale", "request_id", final.requestID, "version", uint64(version))
			}
			if item.Version > 0 || isNotFound(err) {
				version = item.Version
			}
		}
		if !retry.sleep(ctx) {
			d.logger.Error("dispatcher: context ended before the outcome was stored", "state", final.state.String(), "request_id", final.requestID, "error", err)
			return
		}
	}
}

// superseded reports whether the final record need not be written, because the stored record is a
// final record of the same intent or belongs to another intent of the same or a later attempt. A
// final record in StateDone still replaces one of the same intent in another state. A stored
// record of an earlier attempt does not count: the read was stale or the intent was never stored.
func superseded(final, stored *record) bool {
	if stored.nonce != final.nonce {
		return stored.attempt >= final.attempt
	}
	if stored.state == StateRunning {
		return false
	}
	return stored.state == final.state || stored.state == StateDone || final.state != StateDone
}
