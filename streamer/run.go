package streamer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// requestState is the state of one request, from its first attempt to the end of its answer.
type requestState struct {
	streamer *Streamer
	request  Request
	chooser  TargetChooser
	sink     Sink

	attempts      []*attempt
	lastErr       error
	answerBegun   bool
	answerWeights string
	// delivered counts the tokens that reached the sink, and text contains them.
	delivered  int
	text       strings.Builder
	finish     string
	duplicates int
	gaps       int
}

// execute makes attempts until the answer is complete or an error ends the request.
func (r *requestState) execute(ctx context.Context) error {
	for {
		a, err := r.openAttempt(ctx)
		if err == nil {
			err = r.deliverAnswer(ctx, a)
		}
		if err == nil {
			return nil
		}
		r.lastErr = err
		if endsRequest(ctx, err) {
			return err
		}
		if err := r.allowRetry(err); err != nil {
			return err
		}
	}
}

// allowRetry returns nil if another attempt may follow the error, or else the error that ends the
// request.
func (r *requestState) allowRetry(err error) error {
	if len(r.attempts) >= r.streamer.settings.MaxAttempts {
		return err
	}
	// checkHead withdraws the budget itself for a mismatch of the incarnation alone.
	var mismatch *IdentityMismatchError
	budgetWithdrawn := errors.As(err, &mismatch) && mismatch.Expected.Weights == mismatch.Got.Weights
	if budgetWithdrawn || needsNoBudget(err) || r.streamer.retryBudget.tryWithdraw(attemptCost) {
		return nil
	}
	r.streamer.counters.overBudget.Add(1)
	return &BudgetError{Cause: err}
}

// openAttempt starts an attempt, and a hedge when its first token is late. It returns the first
// attempt that receives an event. If the last pending attempt fails after its head was verified, it
// returns that one, which may be resumed.
func (r *requestState) openAttempt(ctx context.Context) (winner *attempt, err error) {
	results := make(chan *attempt, r.streamer.settings.MaxAttempts)
	first, err := r.startAttempt(ctx, false, results)
	if err != nil {
		return nil, err
	}
	pending := []*attempt{first}
	hedgeDue := r.hedgeTimer()
	for len(pending) > 0 {
		select {
		case a := <-results:
			pending = slices.DeleteFunc(pending, func(other *attempt) bool { return other == a })
			a.recordOpening()
			if a.openErr == nil || (a.headVerified && len(pending) == 0) {
				r.abandonLosers(a, pending)
				return a, nil
			}
			err = r.endFailedOpening(ctx, a)
			if endsRequest(ctx, err) {
				r.abandonAll(pending, err)
				return nil, err
			}
		case <-hedgeDue:
			hedgeDue = nil
			if hedge := r.startHedge(ctx, results); hedge != nil {
				pending = append(pending, hedge)
			}
		case <-ctx.Done():
			r.abandonAll(pending, ctx.Err())
			return nil, ctx.Err()
		}
	}
	return nil, err
}

// hedgeTimer returns a channel that fires when the hedge is due, or nil if the request must not
// be hedged.
func (r *requestState) hedgeTimer() <-chan time.Time {
	delay := r.hedgeDelay()
	if delay <= 0 || r.answerBegun || len(r.attempts) >= r.streamer.settings.MaxAttempts {
		return nil
	}
	return time.After(delay)
}

// hedgeDelay returns how long to wait for the first token before a hedge. A value of zero or less
// means no hedge.
func (r *requestState) hedgeDelay() time.Duration {
	settings := r.streamer.settings
	delay := settings.HedgeAfter
	if settings.HedgeFraction <= 0 || r.request.Deadline.IsZero() {
		return delay
	}
	deadlineDelay := time.Duration(settings.HedgeFraction * float64(time.Until(r.request.Deadline)))
	if delay <= 0 {
		return deadlineDelay
	}
	return min(delay, deadlineDelay)
}

// startHedge starts a second attempt if the retry budget allows it, or returns nil.
func (r *requestState) startHedge(ctx context.Context, results chan<- *attempt) *attempt {
	if !r.streamer.retryBudget.tryWithdraw(attemptCost) {
		r.streamer.counters.overBudget.Add(1)
		return nil
	}
	a, err := r.startAttempt(ctx, true, results)
	if err != nil {
		return nil
	}
	r.streamer.counters.hedges.Add(1)
	return a
}

// abandonLosers ends the attempts that are still being opened when another one has been selected.
func (r *requestState) abandonLosers(winner *attempt, losers []*attempt) {
	if winner.info.Hedge && len(losers) > 0 {
		r.streamer.counters.hedgesWon.Add(1)
	}
	r.abandonAll(losers, &HedgeLostError{Winner: winner.target.Name})
}

func (r *requestState) abandonAll(attempts []*attempt, err error) {
	for _, a := range attempts {
		a.abandon(err)
	}
}

// endFailedOpening ends an attempt that failed before its first event, and cancels its run in the
// background if the target may have started it.
func (r *requestState) endFailedOpening(ctx context.Context, a *attempt) error {
	err := a.openErr
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	var mismatched *forwarder.MismatchedResponseError
	if errors.As(err, &mismatched) {
		r.streamer.counters.mismatchedResponses.Add(1)
	}
	a.end(a.openErr)
	if a.info.MayHaveRun() {
		r.streamer.workers.Go(a.cancelRun)
	}
	return err
}

// deliverAnswer passes the events of an attempt to the sink and resumes its stream when it breaks.
// It returns nil once the answer is complete.
func (r *requestState) deliverAnswer(ctx context.Context, a *attempt) error {
	event, err := a.firstEvent, a.openErr
	for {
		if err == nil {
			err = r.deliver(a, event)
		}
		if err == nil && r.finish != "" {
			a.end(nil)
			return nil
		}
		if err != nil {
			err = r.resumeStream(ctx, a, err)
		}
		if err != nil {
			return r.endAttempt(ctx, a, err)
		}
		event, err = a.next()
	}
}

// deliver passes an event to the sink if it starts at the next position. It drops events whose
// tokens were delivered before and returns a GapError for any other position.
func (r *requestState) deliver(a *attempt, event forwarder.Event) error {
	end := event.Position + event.Tokens
	if event.Finish == "" && end <= r.delivered {
		r.duplicates++
		r.streamer.counters.duplicates.Add(1)
		return nil
	}
	if event.Position != r.delivered {
		r.gaps++
		r.streamer.counters.gaps.Add(1)
		return &GapError{Expected: r.delivered, Position: event.Position}
	}
	if err := r.beginAnswer(a); err != nil {
		return err
	}
	if err := r.sink.Deliver(Event(event)); err != nil {
		return &SinkError{Cause: err}
	}
	r.text.WriteString(event.Text)
	r.delivered = end
	r.finish = event.Finish
	a.info.Delivered += event.Tokens
	if event.Tokens > 0 {
		a.idleResumes = 0
	}
	return nil
}

// beginAnswer calls Sink.Begin before the first event and fixes the weights of the answer.
func (r *requestState) beginAnswer(a *attempt) error {
	if r.answerBegun {
		return nil
	}
	r.answerBegun = true
	r.answerWeights = a.head.Weights
	err := r.sink.Begin(Head{
		Target: a.target.Name, Incarnation: a.head.Incarnation, Weights: a.head.Weights,
		CachedTokens: a.head.CachedTokens, PromptTokens: a.head.PromptTokens,
	})
	if err != nil {
		return &SinkError{Cause: err}
	}
	return nil
}

// endAttempt ends an attempt that can't be resumed. It cancels the run before another target
// continues the answer, or in the background if the request has ended.
func (r *requestState) endAttempt(ctx context.Context, a *attempt, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	a.end(err)
	var notSent *forwarder.NotSentError
	switch {
	case errors.As(err, &notSent):
		// The target accepts no connection, so the run can't be cancelled.
	case ctx.Err() != nil:
		r.streamer.workers.Go(a.cancelRun)
	default:
		a.cancelRun()
	}
	return err
}
