package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/admitter"
	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// MaxAttempts bounds the attempts of one request at one daemon, including those that targets reject.
	MaxAttempts = 4
	// responseMargin is the time before the deadline that is reserved for sending the answer to the caller.
	responseMargin = 10 * time.Millisecond
	// shedRetryAfter is the retry delay for requests that no target has run and for which the placer returned no
	// delay.
	shedRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the shortest retry delay for a request that no target can answer in time. It is
	// also the lower bound of firstEventLimit.
	minRetryAfter = 100 * time.Millisecond
	// maxObjectiveRatio bounds the expected time to the first event with which a stream is still sent, as a multiple
	// of the route's objective.
	maxObjectiveRatio = 1.5
	// minObjective is the objective of a request that is late already.
	minObjective = 10 * time.Millisecond
	// maxResumeWait is how long a stream that broke off waits for a target, and resumeInterval the time between two choices.
	maxResumeWait  = 2 * time.Second
	resumeInterval = 100 * time.Millisecond
)

// relayedRequest is the state of one request from its arrival to its end.
type relayedRequest struct {
	relayer *Relayer
	call    *Call
	writer  http.ResponseWriter
	ctx     context.Context

	route    *cataloger.Route
	account  *cataloger.Account
	service  string
	deadline time.Time
	// cacheNamespace is the namespace of the cached parts, by the same configuration as account.
	cacheNamespace string

	// charged is the account whose quota was charged for an attempt that no target has run yet, and chargedCost by how much.
	// chargedAt is when, and chargedRuns is the value of runs then.
	charged     *cataloger.Account
	chargedCost float64
	chargedAt   time.Time
	chargedRuns int

	// shareAsked is set once Admission was asked, and admitted is the request as it was admitted, until its outcome is recorded.
	shareAsked bool
	admitted   *admitter.Request

	// attempts counts the attempts, and runs those that a target may have run.
	attempts     int
	runs         int
	triedTargets []string
	// brokenAt is when the last attempt ended without a whole answer, and waitingSince since when a stream that broke off waits
	// for a target; zero if neither is so.
	brokenAt     time.Time
	waitingSince time.Time
	// lastEventID is the id of the last event that was forwarded to the caller.
	lastEventID string
	// software is the version of the targets' software that began the stream; empty while any may begin it.
	software string
	// delegated is set once another daemon took the request, and delegatedTo is that daemon's name as far as it is known.
	delegated   bool
	delegatedTo string
	// takenUp is the stream that the caller takes up, once it is known which version began it.
	takenUp recorder.Stream
	// headWritten is set once the status and the headers of an answer were forwarded. head are the headers of that answer, and
	// sealed is set if it bears the mark of a target.
	headWritten bool
	head        http.Header
	sealed      bool
	// abort makes Relay panic with http.ErrAbortHandler.
	abort bool
	// causes are what may crash targets: the request as a whole, and then the shared parts of its prompt. crashing is the
	// one for which it was refused.
	causes   []attributor.Cause
	crashing attributor.Cause
	// startTimer is the timer of the current attempt; nil for services without a model.
	startTimer *startTimer
	// firstEventAt is the time of the first event of the current attempt; zero before it.
	firstEventAt time.Time

	// The fields below are for logs, traces and metrics.
	result           string
	target           string
	version          int64
	choice           placer.Choice
	timeToFirstEvent time.Duration
	status           int
	// rateLimit is the limit that the last answer named; negative if it named none.
	rateLimit float64
	cause     error
}

// attemptResult is the way in which one attempt ended.
type attemptResult int

const (
	// answered: an answer was forwarded, or the caller closed the connection during it.
	answered attemptResult = iota
	// unsent: no byte of the request was sent to the target.
	unsent
	// rejected: the target reported that it did not run the request.
	rejected
	// broken: the request may have run, and its answer is missing or incomplete.
	broken
	// failedAtTarget: the target ran the request and answered that it failed.
	failedAtTarget
	// unexplained: the answer does not show that it is the target's, or its status promises callers that the request was not
	// run, but the target did not say so.
	unexplained
	// notResumed: the answer to the resumption of a stream is not the rest of that stream.
	notResumed
	// startTimeout: the start timer cancelled the attempt, since the target's weights had been replaced for too long.
	startTimeout
	// abandoned: the caller closed the connection or the deadline passed.
	abandoned
)

// String returns the name of the result in traces, where it is the value of the attribute "verdict".
func (r attemptResult) String() string {
	return [...]string{"answered", "unsent", "disowned", "broken", "failed_there", "unexplained", "not_resumed", "taken_back", "abandoned"}[r]
}

// relay sends the request to one target after another until it is answered or refused.
func (r *relayedRequest) relay() {
	if refusal := r.admit(); refusal != nil {
		r.finish(refusal)
		return
	}
	if !r.call.Delegated { // The daemon that passed it on has deposited for it.
		r.relayer.settings.RetryBudget.Deposit(r.service)
	}
	ctx, cancel := context.WithDeadline(r.ctx, r.deadline)
	defer cancel()
	defer r.refundQuota()
	for {
		ended, refusal := r.tryTarget(ctx)
		if !ended && refusal == nil {
			refusal = r.readmit() // The configuration may have changed meanwhile.
		}
		if refusal != nil {
			r.finish(refusal)
		}
		if ended || refusal != nil {
			return
		}
	}
}

// tryTarget sends the request to one target. It reports whether the request has ended: with an answer, or with the returned
// refusal.
func (r *relayedRequest) tryTarget(ctx context.Context) (ended bool, refusal *Refusal) {
	if refusal := r.acquireQuota(ctx); refusal != nil {
		return true, refusal
	}
	if refusal := r.admitShare(); refusal != nil {
		return true, refusal
	}
	choice, refusal := r.choose()
	if taken, delegatedRefusal := r.handOver(ctx, refusal); taken {
		return true, delegatedRefusal
	}
	if refusal != nil && r.awaitTarget(ctx) {
		return false, nil
	}
	if refusal != nil {
		return true, refusal
	}
	r.waitingSince = time.Time{}
	endSpan := r.traceAttempt(ctx, choice)
	runsBefore := r.runs
	result, attempted := r.attempt(ctx, choice)
	if r.runs > runsBefore {
		r.spendQuota()
	}
	endSpan(result)
	if result == answered {
		return true, nil
	}
	r.brokenAt = time.Now()
	r.logAttempt(result, attempted)
	refusal = r.decideRetry(ctx, result, attempted)
	if taken, delegatedRefusal := r.handOver(ctx, refusal); taken {
		return true, delegatedRefusal
	}
	return refusal != nil, refusal
}

// logAttempt logs an attempt whose answer was not forwarded completely. The lines of one request tell on which grounds it was sent
// again or refused.
func (r *relayedRequest) logAttempt(result attemptResult, choice placer.Choice) {
	r.relayer.settings.Logger.Info("attempt without an answer",
		"id", r.call.ID, "attempt", r.attempts, "target", choice.Target.ID, "address", addressText(choice.Target.Address),
		"result", result.String(), "runs", r.runs, "cause", errorText(r.cause))
}

// awaitTarget waits shortly for a target to take the rest of an answer of which a part was forwarded: its caller can no longer
// be told to come back. It returns false once the request has waited for maxResumeWait.
func (r *relayedRequest) awaitTarget(ctx context.Context) bool {
	if !r.headWritten {
		return false
	}
	if r.waitingSince.IsZero() {
		r.waitingSince = time.Now()
	}
	return time.Since(r.waitingSince) < maxResumeWait && waiter.Sleep(ctx, resumeInterval)
}

// choose returns a target that is expected to answer in time, or a refusal if there is none.
func (r *relayedRequest) choose() (choice placer.Choice, refusal *Refusal) {
	choice, err := r.relayer.settings.Placer.Choose(r.placerCall(), r.triedTargets)
	var noTarget *placer.NoTargetError
	var notInTime *placer.NotInTimeError
	var unreachable *placer.UnreachableError
	switch {
	case err == nil:
		return choice, nil
	case errors.As(err, &unreachable):
		r.cause = err
		return placer.Choice{}, unavailable(ReasonUnreachable, unreachableRetryAfter)
	case errors.As(err, &noTarget) && noTarget.Full:
		r.cause = err
		return placer.Choice{}, unavailable(ReasonEngineMemory, noTarget.RetryAfter)
	case errors.As(err, &noTarget):
		return placer.Choice{}, unavailable(ReasonNoTarget, noTarget.RetryAfter)
	case errors.As(err, &notInTime):
		r.choice.Expected = notInTime.Expected
		return placer.Choice{}, unavailable(ReasonNotInTime, max(notInTime.Expected-notInTime.Limit, minRetryAfter))
	default:
		r.cause = err
		return placer.Choice{}, unavailable(ReasonNoTarget, shedRetryAfter)
	}
}

// firstEventLimit returns the longest expected time to the first event with which the request is still sent;
// zero means no limit. Requests that are expected to begin later would lengthen the targets' queues, so that
// further requests would miss the objective too. A request that may have run can't be refused any more, so its limit counts
// from the end of the last attempt. Once an event was forwarded there is none.
func (r *relayedRequest) firstEventLimit() time.Duration {
	if r.route.CallKind != cataloger.CallStream || r.route.LatencyObjective <= 0 || r.headWritten {
		return 0
	}
	since := r.call.ArrivedAt
	if r.runs > 0 {
		since = r.brokenAt
	}
	elapsed := time.Since(since)
	return max(time.Duration(maxObjectiveRatio*float64(r.route.LatencyObjective))-elapsed, minRetryAfter)
}

// objectiveLeft returns the time within which the request is on time by its route's objective, at least minObjective; zero if there
// is none.
func (r *relayedRequest) objectiveLeft() time.Duration {
	if r.route.LatencyObjective <= 0 {
		return 0
	}
	return max(r.route.LatencyObjective-time.Since(r.call.ArrivedAt), minObjective)
}

// placerCall describes the request to the placer.
func (r *relayedRequest) placerCall() placer.Call {
	prompt := r.call.Prompt
	return placer.Call{
		Service: r.service, Model: prompt.Model, Software: r.software, CacheNamespace: r.cacheNamespace,
		Parts: prompt.Parts, PromptTokens: prompt.PromptTokens, OutputTokens: prompt.OutputTokens,
		Urgency: r.urgency(), FirstEventLimit: r.firstEventLimit(), Objective: r.objectiveLeft(), BodyBytes: len(r.call.Body),
		TimeLeft: max(time.Until(r.deadline)-responseMargin, time.Nanosecond),
	}
}

// decideRetry returns nil if the request is sent again after an attempt whose answer was not forwarded completely,
// and otherwise the response to the caller.
func (r *relayedRequest) decideRetry(ctx context.Context, result attemptResult, choice placer.Choice) *Refusal {
	r.triedTargets = append(r.triedTargets, choice.Target.ID)
	switch {
	case r.stopping() && r.runs > 0:
		return failed(http.StatusBadGateway, ReasonStopping)
	case r.stopping():
		refusal := Stopping()
		return &refusal
	case ctx.Err() != nil && r.runs > 0:
		return failed(http.StatusGatewayTimeout, ReasonDeadline)
	case ctx.Err() != nil:
		return unavailable(ReasonNotInTime, shedRetryAfter)
	case result == failedAtTarget:
		return nil // reserveRetry has already withdrawn from the retry budget.
	case result == unsent && r.attempts < MaxAttempts:
		return nil
	case result == unsent && r.runs == 0:
		return unavailable(ReasonUnreachable, shedRetryAfter)
	case result == rejected && r.runs == 0:
		if r.attempts < MaxAttempts && r.relayer.settings.RetryBudget.TryWithdraw(r.service) {
			return nil
		}
		return unavailable(ReasonShed, shedRetryAfter)
	}
	if result == broken {
		r.recordBroken(choice.Target)
	}
	mayRetry := r.route.Retryable() && r.mayGoOn() && r.runs < r.route.MaxAttempts && r.attempts < MaxAttempts
	if mayRetry && r.relayer.settings.RetryBudget.TryWithdraw(r.service) {
		return nil
	}
	if result == startTimeout {
		return failed(http.StatusBadGateway, ReasonReplacedWeights)
	}
	return failed(http.StatusBadGateway, ReasonBroken)
}

// mayGoOn reports whether another attempt can go on where the last one ended. Once a part of an answer was forwarded, that
// needs a stream with an event to resume after.
func (r *relayedRequest) mayGoOn() bool {
	return !r.headWritten || r.route.CallKind == cataloger.CallStream && r.lastEventID != ""
}

// finish ends the request with a refusal, or aborts the connection if the head of an answer was already
// written. If the request may have run, a refusal with NotRun set is replaced by a failure with the same reason.
func (r *relayedRequest) finish(refusal *Refusal) {
	r.recordRefusal(refusal.Reason)
	if r.headWritten {
		r.abort = true
		r.result = string(refusal.Reason)
		return
	}
	if refusal.NotRun && r.runs > 0 {
		refusal = failed(http.StatusBadGateway, refusal.Reason)
	}
	r.refuse(refusal)
}

// refuse writes the refusal, unless the caller has closed the connection.
func (r *relayedRequest) refuse(refusal *Refusal) {
	r.result = string(refusal.Reason)
	r.status = refusal.Status
	if r.ctx.Err() != nil && !r.stopping() {
		r.result = ResultCallerLeft
		r.abort = true
		return
	}
	if writer, ok := r.writer.(RefusalWriter); ok {
		writer.WriteRefusal(*refusal)
		return
	}
	r.relayer.settings.Codec.Refuse(r.writer, *refusal)
}

// stopping reports whether the request was cancelled because the daemon stops. Its caller is still there.
func (r *relayedRequest) stopping() bool { return errors.Is(context.Cause(r.ctx), ErrStopping) }
