package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// unreachableRetryAfter is the retry delay for requests whose targets this daemon does not reach, and that no other daemon takes.
const unreachableRetryAfter = 300 * time.Millisecond

// Delegator passes calls on to other daemons.
type Delegator interface {
	// Send passes a call on and returns once the head of its answer or its refusal has arrived. The error is a
	// connector.UnsentError if no daemon took the call.
	Send(ctx context.Context, service string, call *Call) (*DelegatedAnswer, error)
}

// DelegatedAnswer is the answer of another daemon to a call that was passed on to it. It has to be closed.
type DelegatedAnswer struct {
	// Daemon is the name of the daemon that took the call.
	Daemon string
	// Refusal is set if the daemon refused the call, or failed before there was a part of an answer.
	Refusal *Refusal
	// Response is the answer of a target, whose body ends with io.EOF only if it is complete. Body ends it.
	Response *connector.Response
	Body     io.Closer
}

// Close ends the answer, also at the other daemon.
func (a *DelegatedAnswer) Close() {
	if a.Body != nil {
		_ = a.Body.Close() // The answer is complete or not needed.
	}
}

// RefusalWriter is implemented by writers that take a refusal as such, in place of the response to a caller.
type RefusalWriter interface{ WriteRefusal(refusal Refusal) }

// mayDelegate reports whether the request may be passed on. One that was passed on stays where it is.
func (r *relayedRequest) mayDelegate() bool {
	return r.relayer.settings.Delegator != nil && !r.call.Delegated
}

// handOver passes the request on if it would be refused since this daemon reaches no target. See delegate.
func (r *relayedRequest) handOver(ctx context.Context, refusal *Refusal) (taken bool, delegatedRefusal *Refusal) {
	if refusal == nil || refusal.Reason != ReasonUnreachable {
		return false, nil
	}
	return r.delegate(ctx)
}

// delegate passes the request on to another daemon, since this one reaches no target, and forwards the answer. taken is false if no
// daemon took it. A request that was taken is not sent again: the other daemon has made all attempts that its route allows.
func (r *relayedRequest) delegate(ctx context.Context) (taken bool, refusal *Refusal) {
	if !r.mayDelegate() || ctx.Err() != nil {
		return false, nil
	}
	r.refundQuota() // The other daemon takes the cost from the quota.
	answer, err := r.relayer.settings.Delegator.Send(ctx, r.service, r.delegatedCall())
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		r.cause = err
		return false, nil
	}
	r.delegated = true
	if err != nil {
		r.runs++
		return true, r.delegationFailure(ctx, err)
	}
	defer answer.Close()
	r.delegatedTo = answer.Daemon
	if answer.Refusal != nil {
		if !answer.Refusal.NotRun {
			r.runs++
		}
		return true, answer.Refusal
	}
	r.runs++
	if r.forwardDelegated(ctx, answer.Response) == answered {
		return true, nil
	}
	return true, r.delegationFailure(ctx, r.cause)
}

// delegatedCall returns the call with the place from which its stream goes on.
func (r *relayedRequest) delegatedCall() *Call {
	call := *r.call
	if r.lastEventID != "" {
		call.LastEventID, call.Resumes = r.lastEventID, r.firstID()
	}
	return &call
}

// forwardDelegated forwards the answer of another daemon.
func (r *relayedRequest) forwardDelegated(ctx context.Context, response *connector.Response) attemptResult {
	choice := placer.Choice{Attempt: placer.Unplaced()}
	answer := r.relayer.settings.Codec.Answer(response.Status, response.Header)
	if r.headWritten {
		return r.resumeStream(ctx, choice, response, answer)
	}
	r.status, r.sealed = response.Status, answer.Sealed
	if r.route.CallKind == cataloger.CallStream && response.Status == http.StatusOK {
		return r.forwardStream(ctx, choice, response)
	}
	return r.forwardPlain(ctx, choice, response)
}

// delegationFailure returns the response to a request that was passed on and may have run, and whose answer is missing or incomplete.
func (r *relayedRequest) delegationFailure(ctx context.Context, cause error) *Refusal {
	r.cause = cause
	switch {
	case r.stopping():
		return failed(http.StatusBadGateway, ReasonStopping)
	case ctx.Err() != nil:
		return failed(http.StatusGatewayTimeout, ReasonDeadline)
	}
	return failed(http.StatusBadGateway, ReasonBroken)
}
