package streamer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const tracerName = "github.com/rosemaryrill/rosemaryrill/streamer"

// attempt is one run of a request at a target. Until openDone is closed, its fields belong to the
// goroutine that executes open, except info, which belongs to the goroutine of the request.
type attempt struct {
	streamer *Streamer
	target   Target
	weights  string
	runID    string
	info     Attempt

	ctx      context.Context
	cancel   context.CancelCauseFunc
	span     trace.Span
	release  func()
	openDone chan struct{}

	stream     Stream
	head       forwarder.Head
	firstEvent forwarder.Event
	// firstEventLatency is the time from the start of open to the first event.
	firstEventLatency time.Duration
	// openErr is the error of open. headVerified reports whether the head was received and accepted
	// by checkHead; such an attempt may be resumed although its open failed.
	openErr      error
	headVerified bool
	// hasAlternative reports whether another target could take the request now.
	hasAlternative func() bool
	// lastAllowed reports whether this attempt reaches MaxAttempts, so that no other may follow.
	lastAllowed bool
	// idleResumes counts the resumes since the last new token.
	idleResumes int
}

// startAttempt chooses a target and opens an attempt there in the background. The attempt is sent
// to results when its first event or an error has arrived.
func (r *requestState) startAttempt(ctx context.Context, hedge bool, results chan<- *attempt) (a *attempt, err error) {
	target, err := r.chooseTarget(ctx)
	if err != nil {
		return nil, err
	}
	a = r.newAttempt(ctx, target, hedge)
	r.attempts = append(r.attempts, a)
	r.streamer.counters.attempts.Add(1)
	if r.delivered > 0 {
		r.streamer.counters.continued.Add(1)
	}
	call := r.modelCall(a)
	r.streamer.workers.Go(func() {
		a.open(call)
		close(a.openDone)
		results <- a
	})
	return a, nil
}

// chooseTarget asks the chooser for a target. Once the answer has begun, it rejects targets with
// other weights, since the answer continues on the weights that began it.
func (r *requestState) chooseTarget(ctx context.Context) (target Target, err error) {
	previous := r.previousAttempts()
	for range r.streamer.settings.MaxAttempts {
		target, err = r.chooser.Choose(ctx, previous)
		if err != nil {
			return Target{}, &ChoiceError{Last: r.lastErr, Cause: err}
		}
		if target.Weights == "" {
			target.Weights = r.request.Weights
		}
		if r.answerBegun && target.Weights != r.answerWeights {
			mismatch := &IdentityMismatchError{
				Target: target.Name, Expected: Identity{Weights: r.answerWeights},
				Got: Identity{Weights: target.Weights},
			}
			previous = append(previous, Attempt{Target: target.Name, Weights: target.Weights, Err: mismatch})
			err = mismatch
			continue
		}
		return target, nil
	}
	return Target{}, &ChoiceError{Last: r.lastErr, Cause: err}
}

func (r *requestState) newAttempt(ctx context.Context, target Target, hedge bool) *attempt {
	runID := r.request.ID
	if n := len(r.attempts); n > 0 {
		// A separate run ID distinguishes this run's answer from a late answer of an earlier run.
		runID = fmt.Sprintf("%s~%d", runID, n+1)
	}
	ctx, span := r.streamer.settings.Tracer.Start(ctx, "target attempt", trace.WithAttributes(
		attribute.String("target", target.Name),
		attribute.String("run_id", runID),
		attribute.Int("from", r.delivered),
	))
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		streamer: r.streamer, target: target, weights: target.Weights, runID: runID,
		ctx: ctx, cancel: cancel, span: span, openDone: make(chan struct{}),
		hasAlternative: r.alternativeTo(target),
		lastAllowed:    len(r.attempts)+1 >= r.streamer.settings.MaxAttempts,
	}
	a.info = Attempt{
		Target: target.Name, RunID: runID, Sent: true, Started: time.Now(),
		Weights: target.Weights, Hedge: hedge, Running: true,
	}
	a.release = func() {}
	if tracker := r.streamer.settings.AttemptTracker; tracker != nil {
		a.release = tracker.Begin(target.Name)
	}
	a.cancelOnStall()
	return a
}

// alternativeTo returns a function that reports whether a target other than this one and those of the earlier attempts could
// take the request.
func (r *requestState) alternativeTo(target Target) func() bool {
	finder, tells := r.chooser.(AlternativeFinder)
	if !tells {
		return func() bool { return true }
	}
	tried := []string{target.Name}
	for _, earlier := range r.attempts {
		tried = append(tried, earlier.target.Name)
	}
	return func() bool { return finder.HasAlternative(tried) }
}

const (
	// stallCheckInterval is the time between two checks whether an attempt can leave a target that makes no progress.
	stallCheckInterval = 250 * time.Millisecond
	// maxStall is how long an attempt that cannot leave its target waits for progress. Sound targets may be silent for a
	// second or two.
	maxStall = 4 * time.Second
)

// cancelOnStall starts a goroutine that cancels the attempt when its target is reported as
// stalled and the request can go on elsewhere, or when it has been stalled for maxStall.
func (a *attempt) cancelOnStall() {
	if a.streamer.settings.StallDetector == nil {
		return
	}
	a.streamer.workers.Go(func() {
		for a.awaitStall() {
			stalledAt := time.Now()
			for a.isStalled() {
				if a.canLeave() || time.Since(stalledAt) >= maxStall {
					a.cancel(&StalledError{Target: a.target.Name})
					return
				}
				if !waiter.Sleep(a.ctx, stallCheckInterval) {
					return
				}
			}
		}
	})
}

// awaitStall waits until the target is reported as stalled. It returns false if the attempt ends before.
func (a *attempt) awaitStall() bool {
	select {
	case <-a.streamer.settings.StallDetector.Stalled(a.target.Name):
		return true
	case <-a.ctx.Done():
		return false
	}
}

// isStalled reports whether the target is reported as stalled now.
func (a *attempt) isStalled() bool {
	select {
	case <-a.streamer.settings.StallDetector.Stalled(a.target.Name):
		return true
	default:
		return false
	}
}

// canLeave reports whether the request could go on elsewhere if the attempt ended now.
func (a *attempt) canLeave() bool {
	return !a.lastAllowed && a.streamer.retryBudget.covers(attemptCost) && a.hasAlternative()
}

func (r *requestState) modelCall(a *attempt) forwarder.ModelCall {
	call := forwarder.ModelCall{
		RunID: a.runID, Account: r.request.Account, Model: r.request.Model, Weights: a.weights,
		Adapter: r.request.Adapter, Messages: r.request.Messages, MaxTokens: r.request.MaxTokens,
		Options:  r.request.Options,
		Priority: r.request.Priority, Deadline: r.request.Deadline,
	}
	if r.delivered > 0 {
		call.Continue = forwarder.Continuation{Text: r.text.String(), Tokens: r.delivered}
	}
	return call
}

// open starts the run at the target and waits for its first event.
func (a *attempt) open(call forwarder.ModelCall) {
	started := time.Now()
	stream, err := a.streamer.settings.Engines.Generate(a.ctx, a.target.Address, call)
	if err != nil {
		a.openErr = a.effectiveError(err)
		return
	}
	a.stream = stream
	a.head = stream.Head()
	if a.openErr = a.checkHead(); a.openErr != nil {
		return
	}
	a.headVerified = true
	a.firstEvent, a.openErr = a.next()
	a.firstEventLatency = time.Since(started)
}

// effectiveError returns the StalledError that cancelled the attempt, or else err.
func (a *attempt) effectiveError(err error) error {
	var stalled *StalledError
	if errors.As(context.Cause(a.ctx), &stalled) {
		return stalled
	}
	return err
}

// next reads the next event of the current stream and reports it as progress of the target.
func (a *attempt) next() (event forwarder.Event, err error) {
	event, err = a.stream.Next()
	if err != nil {
		return forwarder.Event{}, a.effectiveError(err)
	}
	if progress := a.streamer.settings.Progress; progress != nil {
		progress.ObserveProgress(a.target.Name, a.head.Incarnation)
	}
	return event, nil
}

// checkHead compares the weights and the incarnation that answered with the expected ones. It
// withdraws the cost of the next attempt from the retry budget before it returns a mismatch of the
// incarnation alone.
func (a *attempt) checkHead() error {
	expected := Identity{Weights: a.weights, Incarnation: a.target.Incarnation}
	got := Identity{Weights: a.head.Weights, Incarnation: a.head.Incarnation}
	if expected.Incarnation == "" {
		expected.Incarnation = got.Incarnation
	}
	if expected == got {
		return nil
	}
	a.streamer.counters.identityMismatches.Add(1)
	if hints := a.streamer.settings.Hints; hints != nil {
		hints.CorrectHint(a.target.Name, expected, got)
	}
	// A new incarnation with the same weights answers correctly but lacks the expected cache
	// entries. Its answer is accepted if the attempt limit or the retry budget allows no other.
	sameWeights := expected.Weights == got.Weights
	if sameWeights && (a.lastAllowed || !a.streamer.retryBudget.tryWithdraw(attemptCost)) {
		return nil
	}
	return &IdentityMismatchError{Target: a.target.Name, Expected: expected, Got: got}
}

// recordOpening copies the result of open into info.
func (a *attempt) recordOpening() {
	a.info.Incarnation = a.head.Incarnation
	a.info.CachedTokens = a.head.CachedTokens
	a.info.PromptTokens = a.head.PromptTokens
	if a.openErr == nil {
		a.info.FirstToken = a.firstEventLatency
	}
	if a.head.Weights != "" {
		a.info.Weights = a.head.Weights
	}
}

// end records why the attempt ended and releases its connection.
func (a *attempt) end(err error) {
	if !a.info.Running {
		return
	}
	a.info.Running = false
	if err != nil {
		a.info.recordError(err)
		a.reportFailure(err)
		a.span.SetStatus(codes.Error, err.Error())
	}
	if a.stream != nil {
		_ = a.stream.Close()
	}
	a.cancel(err)
	a.release()
	a.span.End()
}

// reportFailure passes the error to Settings.Failures, unless the streamer cancelled the attempt.
func (a *attempt) reportFailure(err error) {
	if failures := a.streamer.settings.Failures; failures != nil && context.Cause(a.ctx) == nil {
		failures.ObserveFailure(a.target.Name, err)
	}
}

// cancelRun cancels the run at its target. It takes at most CancelTimeout and also works after
// the context of the request has ended.
func (a *attempt) cancelRun() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), a.streamer.settings.CancelTimeout)
	defer cancel()
	// A run at an unreachable target may continue, but its answer is not read.
	_ = a.streamer.settings.Engines.Cancel(ctx, a.target.Address, a.runID)
}

// abandon ends an attempt whose open has not returned. A goroutine cancels its run after open has
// returned.
func (a *attempt) abandon(err error) {
	a.info.Running = false
	a.info.Err = err
	a.cancel(err)
	a.release()
	a.span.End()
	a.streamer.workers.Go(func() {
		<-a.openDone
		if a.stream != nil {
			_ = a.stream.Close()
		}
		a.cancelRun()
	})
}
