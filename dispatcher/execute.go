package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// noTargetRetryAfter is the RetryAfter of refusals with CodeNoTarget.
const noTargetRetryAfter = time.Second

// errSendDeadline reports that the call may no longer be sent, because the caller's deadline or the
// validity of its intent has passed.
var errSendDeadline = errors.New("the time limit for sending the call has passed")

// execute chooses a target, writes the intent, sends the call and stores the outcome. The context
// has the values of the caller's context, so that its trace continues, but is cancelled only when
// the dispatcher is closed.
func (d *Dispatcher) execute(ctx context.Context, r *run) {
	defer r.releaseMemory()
	defer d.remove(r)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.background, cancel)()
	target, err := d.choose(ctx, r, r.call.Deadline, nil)
	if err != nil {
		d.finishWithoutTarget(ctx, r, err)
		return
	}
	claimStarted := time.Now()
	c, ok := d.claimIntent(ctx, r, target)
	if !ok {
		return
	}
	notAfter := earlier(r.call.Deadline, claimStarted.Add(d.settings.IntentValidity))
	d.send(ctx, r, c, target, notAfter)
}

// choose returns a target that was not tried. It waits for one until the deadline.
func (d *Dispatcher) choose(ctx context.Context, r *run, deadline time.Time, tried []string) (target Target, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return d.settings.Chooser.Choose(ctx, r.call, tried)
}

// finishWithoutTarget ends a run for which no target was found: a repeat gets the stored outcome
// of its key, and any other call is refused.
func (d *Dispatcher) finishWithoutTarget(ctx context.Context, r *run, cause error) {
	callCtx, cancel := context.WithDeadline(ctx, r.call.Deadline)
	defer cancel()
	item, existing, err := d.read(callCtx, r.id.Key)
	if err == nil {
		_, claimable := d.followExisting(callCtx, r, claim{existing: existing, version: item.Version})
		if !claimable {
			return
		}
	}
	r.finish(StateNotRun, Answer{}, &RefusedError{
		Code:       CodeNoTarget,
		Run:        NotRun,
		RetryAfter: noTargetRetryAfter,
		Cause:      cause,
	})
}

// claimIntent writes the intent of the run. It reports false if the run has ended, because the
// key holds another intent or because the platform did not store this one.
func (d *Dispatcher) claimIntent(ctx context.Context, r *run, target Target) (c claim, ok bool) {
	callCtx, cancel := context.WithDeadline(ctx, r.call.Deadline)
	defer cancel()
	intent := d.newRecord(r, target)
	var version storer.Version
	for {
		c, err := d.writeIntent(callCtx, r, intent, version)
		if err != nil {
			d.refuseUnclaimed(ctx, r, err)
			return claim{}, false
		}
		if c.acquired {
			return c, true
		}
		newest, claimable := d.followExisting(callCtx, r, c)
		if !claimable {
			return claim{}, false
		}
		intent.attempt = newest.existing.attempt + 1
		version = newest.version
	}
}

func (d *Dispatcher) newRecord(r *run, target Target) record {
	return record{
		state:     StateRunning,
		daemon:    d.settings.Daemon,
		nonce:     r.id.Nonce,
		attempt:   1,
		digest:    r.digest,
		service:   r.call.Service,
		operation: r.call.Operation,
		key:       r.call.Key,
		account:   r.call.Account,
		requestID: r.call.RequestID,
		target:    target.Name,
		created:   time.Now(),
		deadline:  r.call.Deadline,
	}
}

// refuseUnclaimed ends a run whose intent is not known to be stored. Its call was not sent. An
// intent that may have been stored is marked as not run, so that a repeat does not wait for its
// outcome.
func (d *Dispatcher) refuseUnclaimed(ctx context.Context, r *run, cause error) {
	r.finish(StateNotRun, Answer{}, r.unclaimedRefusal(cause))
	var failed *claimError
	if errors.As(cause, &failed) && failed.mayBeWritten {
		released := failed.intent
		released.state = StateNotRun
		d.writeFinal(ctx, r, released, failed.version)
	}
}

// send sends the call to one target after another, until one of them ran it or may have run it.
func (d *Dispatcher) send(ctx context.Context, r *run, c claim, target Target, notAfter time.Time) {
	refusal := &RefusedError{Code: CodeDeadline, Run: NotRun, Cause: errSendDeadline}
	var tried []string
	for r.beginSend(notAfter) {
		answer, err := d.sendOnce(ctx, r, target)
		if err == nil {
			d.storeAnswer(ctx, r, c, answer)
			return
		}
		if !didNotRun(err) {
			d.settleLostAnswer(ctx, r, c, err)
			return
		}
		r.returnToWaiting()
		tried = append(tried, target.Name)
		target, err = d.choose(ctx, r, notAfter, tried)
		if err != nil {
			refusal = &RefusedError{Code: CodeNoTarget, Run: NotRun, RetryAfter: noTargetRetryAfter, Cause: err}
			break
		}
	}
	d.release(ctx, r, c, refusal)
}

// sendOnce sends the call to one target. It waits for the answer for OutcomeGrace beyond the
// caller's deadline, so that a late answer is still stored for a repeat.
func (d *Dispatcher) sendOnce(ctx context.Context, r *run, target Target) (answer Answer, err error) {
	ctx, cancel := context.WithDeadline(ctx, r.call.Deadline.Add(d.settings.OutcomeGrace))
	defer cancel()
	return d.settings.Sender.Send(ctx, target, r.call)
}

// didNotRun reports whether an error of a Sender means that the call did not run. Nothing else
// interprets these errors.
func didNotRun(err error) bool {
	var notSent *NotSentError
	var notRun *NotRunError
	return errors.As(err, &notSent) || errors.As(err, &notRun)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
