package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// maxBufferedBody is the size up to which the body of an answer that is not a stream is read completely before
// it is forwarded: if the connection breaks while it is read, the request can still be retried or refused.
const maxBufferedBody = 256 << 10

// attempt sends the request to the chosen target and forwards the answer. It returns the result and the choice.
func (r *relayedRequest) attempt(ctx context.Context, choice placer.Choice) (result attemptResult, attempted placer.Choice) {
	defer choice.Attempt.Finish()
	r.attempts++
	r.target, r.version, r.choice = choice.Target.ID, choice.Version, choice
	r.startTimer, r.firstEventAt = nil, time.Time{}
	if choice.Version > 0 {
		timedCtx, timer := newStartTimer(ctx, choice.Attempt)
		defer timer.release()
		ctx, r.startTimer = timedCtx, timer
	}
	request := r.relayer.settings.Codec.Request(r.call, r.newAttempt(choice))
	request.PeerTimeout = r.peerTimeout()
	response, err := r.relayer.settings.Targets.Send(ctx, choice.Target.Address, request)
	if err != nil {
		return r.classifySendError(ctx, choice, err), choice
	}
	defer func() { _ = response.Close() }() // Close reports no error of its own; errors come from reading the body.
	answer := r.relayer.settings.Codec.Answer(response.Status, response.Header)
	if answer.Unproven || answer.Unnamed && r.call.ID != "" {
		r.runs++
		r.cause = fmt.Errorf("%w: status %d", errNoIdentity, response.Status)
		choice.Attempt.RecordForeignAnswer()
		return unexplained, choice
	}
	r.recordTargetState(choice, answer)
	if answer.NotRun {
		r.discardBody(response)
		return rejected, choice
	}
	r.runs++
	if !r.headWritten {
		r.status, r.sealed = response.Status, answer.Sealed
	}
	if promisesNotRun(response.Status) {
		r.cause = fmt.Errorf("status %d without a statement that the request was not run", response.Status)
		return unexplained, choice
	}
	if r.headWritten {
		return r.resumeStream(ctx, choice, response, answer), choice
	}
	if r.route.CallKind == cataloger.CallStream && response.Status == http.StatusOK {
		return r.forwardStream(ctx, choice, response), choice
	}
	return r.forwardPlain(ctx, choice, response), choice
}

// repeatablePeerTimeout is the peer timeout of calls that may run twice at the same time.
const repeatablePeerTimeout = 1500 * time.Millisecond

// peerTimeout returns how long the target may be unreachable. A call that may run twice goes on elsewhere soon. A stream must not:
// its former target may only be silent, and still work on it.
func (r *relayedRequest) peerTimeout() time.Duration {
	if r.route.CallKind == cataloger.CallIdempotent {
		return repeatablePeerTimeout
	}
	return connector.DefaultPeerTimeout
}

// errNoIdentity is the cause if an answer does not show that the chosen target gave it to this request. It may come from
// another program at the target's address, or be a late copy of another answer.
var errNoIdentity = errors.New("the answer does not show that it is the target's to this request")

// promisesNotRun reports whether callers take a status as a promise that the request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// newAttempt returns the Attempt from which the codec encodes the request to the chosen target.
func (r *relayedRequest) newAttempt(choice placer.Choice) Attempt {
	attempt := Attempt{
		Target:         choice.Target,
		Remaining:      time.Until(r.deadline),
		Weights:        choice.Version,
		CacheNamespace: r.cacheNamespace,
		FetchFrom:      choice.FetchFrom,
		SaveTo:         choice.SaveTo,
		Urgency:        r.urgency(),
		LastEventID:    r.call.LastEventID,
	}
	if r.lastEventID != "" {
		attempt.LastEventID = r.lastEventID
	}
	if r.account != nil {
		attempt.Account = r.account.Name
	}
	return attempt
}

// routePriorityLevels is the number of distinct route priorities within one account priority. Larger
// route priorities count as the last one.
const routePriorityLevels = 3

// urgency returns the scheduling priority of the request; zero is the most urgent. Requests are ordered by the
// priority of the account, if that has one, and then by the priority of the route.
func (r *relayedRequest) urgency() int {
	rank := min(r.route.Priority, routePriorityLevels-1)
	if r.account != nil && r.account.Priority != nil {
		rank += routePriorityLevels * *r.account.Priority
	}
	return min(rank, placer.Urgencies-1)
}

// classifySendError returns the result of an attempt for which Send returned an error.
func (r *relayedRequest) classifySendError(ctx context.Context, choice placer.Choice, err error) attemptResult {
	r.cause = err
	var notSent *connector.UnsentError
	if errors.As(err, &notSent) {
		if ctx.Err() == nil {
			choice.Attempt.RecordConnectionFailure()
			choice.Attempt.RecordUnreachable()
		}
		return unsent
	}
	r.runs++
	return r.classifyIncomplete(ctx, choice)
}

// classifyIncomplete returns the result of an attempt that may have run and whose answer is missing or
// incomplete.
func (r *relayedRequest) classifyIncomplete(ctx context.Context, choice placer.Choice) attemptResult {
	switch {
	case startTimedOut(ctx):
		r.cause = context.Cause(ctx)
		choice.Attempt.RecordCancellation()
		return startTimeout
	case ctx.Err() != nil:
		return abandoned
	}
	choice.Attempt.RecordConnectionFailure()
	return broken
}

// recordTargetState passes what the head of an answer reports to the placer: the load of the target, its rate
// limit, the version of its weights, and whether it refused the request, asks for time, is leaving or is gone.
func (r *relayedRequest) recordTargetState(choice placer.Choice, answer Answer) {
	if answer.Load.Reported {
		choice.Attempt.RecordLoad(placer.LoadReport{Requests: answer.Load.Requests(), WorkPercent: answer.Load.WorkPercent})
	}
	r.rateLimit = answer.RateLimit
	switch {
	case answer.OtherTarget: // What it says of a limit concerns the other target.
	case answer.RateLimit >= 0:
		choice.Attempt.RecordRateLimit(answer.RateLimit)
	case !answer.NotRun:
		choice.Attempt.RecordNoRateLimit()
	}
	switch {
	case answer.OtherTarget: // Nor does what it says of its brittleness.
	case answer.Brittle >= 0:
		choice.Attempt.RecordBrittle(answer.Brittle)
	case !answer.NotRun:
		choice.Attempt.RecordNotBrittle()
	}
	switch {
	case answer.OtherTarget:
		choice.Attempt.RecordTargetGone()
	case answer.Weights > 0:
		choice.Attempt.RecordVersion(answer.Weights)
	}
	if answer.Leaving {
		choice.Attempt.RecordLeaving()
	}
	if answer.RetryAfter > 0 {
		choice.Attempt.RecordPause(answer.RetryAfter)
	}
	if answer.OddRetryAfter != "" {
		choice.Attempt.RecordOddPause(answer.OddRetryAfter)
	}
	if answer.NotRun && !answer.OtherTarget && !answer.OtherWeights {
		choice.Attempt.RecordRefusal()
	}
}

// recordFirstEvent reports the first event of an attempt to the placer and stops the start timer.
func (r *relayedRequest) recordFirstEvent(choice placer.Choice) {
	choice.Attempt.RecordFirstEvent()
	if r.firstEventAt.IsZero() {
		r.firstEventAt = time.Now()
	}
	r.recordBeginning()
	if r.route.CallKind == cataloger.CallStream {
		r.software = choice.Target.Software
	}
	if r.startTimer != nil {
		r.startTimer.stop()
	}
}

// discardBody reads up to maxBufferedBody bytes of the body, so that the connection can be reused.
func (r *relayedRequest) discardBody(response *connector.Response) {
	if _, err := io.CopyN(io.Discard, response.Body, maxBufferedBody); err != nil && !errors.Is(err, io.EOF) {
		r.cause = err
	}
}

// forwardPlain forwards an answer that is not an event stream. A body of up to maxBufferedBody bytes is
// read completely first, if there is memory for it.
func (r *relayedRequest) forwardPlain(ctx context.Context, choice placer.Choice, response *connector.Response) attemptResult {
	var buffer bytes.Buffer
	body := r.relayer.settings.Memory.Reader(response.Body)
	defer func() { _ = body.Close() }() // It returns no error.
	_, err := io.CopyN(&buffer, body, maxBufferedBody)
	complete := errors.Is(err, io.EOF)
	var exceeded *reserver.ExceededError
	if err != nil && !complete && !errors.As(err, &exceeded) {
		return r.classifyBodyError(ctx, choice, err)
	}
	r.recordFirstEvent(choice)
	r.timeToFirstEvent = time.Since(r.call.ArrivedAt)
	if complete && response.Status < http.StatusMultipleChoices {
		choice.Attempt.RecordAnswer()
	}
	if complete && response.Status >= http.StatusInternalServerError && r.reserveRetry() {
		return failedAtTarget
	}
	r.writeHead(response)
	r.releaseBody(response)
	if _, err := r.writer.Write(buffer.Bytes()); err != nil {
		return r.abortOnWriteError(err)
	}
	if !complete {
		buffer = bytes.Buffer{} // Its memory is free again.
		body.Hold(0)
		if _, err := io.Copy(r.writer, response.Body); err != nil {
			return r.classifyBodyError(ctx, choice, err)
		}
	}
	r.result = ResultAnswered
	r.recordCompletion(response.Status, response.Delimited)
	return answered
}

// releaseBody gives up the body of a request whose answer is forwarded and can't be repeated, since a caller that reads slowly may keep the
// answer open for long. One that is still being sent to the target is kept.
func (r *relayedRequest) releaseBody(response *connector.Response) {
	if r.call.ReleaseBody != nil && response.RequestSent() {
		r.call.Body = nil
		r.call.ReleaseBody()
	}
}

// reserveRetry reports whether a request that failed at the target may be sent to another target, and
// withdraws from the retry budget if so. If it returns false, forwardPlain forwards the failure to the caller.
func (r *relayedRequest) reserveRetry() bool {
	return !r.delegated && r.route.Retryable() && r.runs < r.route.MaxAttempts && r.attempts < MaxAttempts &&
		r.relayer.settings.RetryBudget.TryWithdraw(r.service)
}

// classifyBodyError returns the result of an attempt whose body could not be read to its end.
func (r *relayedRequest) classifyBodyError(ctx context.Context, choice placer.Choice, err error) attemptResult {
	r.cause = err
	return r.classifyIncomplete(ctx, choice)
}

// writeHead forwards the status and the headers of an answer, except the hop-by-hop headers.
func (r *relayedRequest) writeHead(response *connector.Response) {
	r.headWritten, r.head = true, response.Header
	header := r.writer.Header()
	for name, values := range response.Header {
		if !connector.IsHopByHop(name) {
			header[name] = values
		}
	}
	if _, hasType := header["Content-Type"]; !hasType {
		header["Content-Type"] = nil // A nil value keeps net/http from detecting a type.
	}
	header["Date"] = response.Header["Date"]
	r.writer.WriteHeader(response.Status)
}

// abortOnWriteError ends the request after a write to the caller failed.
func (r *relayedRequest) abortOnWriteError(err error) attemptResult {
	r.cause = err
	r.result = ResultCallerLeft
	r.abort = true
	return answered
}
