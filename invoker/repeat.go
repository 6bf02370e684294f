package invoker

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// maxAttempts bounds the attempts of one idempotent call, including the hedge.
const maxAttempts = 4

// hedgedCall is an idempotent call with its attempts. At first one attempt runs; if there is no
// response after hedgeDelay, another one starts beside it. The first response is returned to the
// caller.
type hedgedCall struct {
	invoker *Invoker
	request Request
	results chan attemptResult
	tried   []string
	running int
	// anyMayHaveRun reports whether a target may have run the call in an attempt that failed.
	anyMayHaveRun bool
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	answer Answer
	err    error
}

// invokeIdempotent sends an idempotent call to one target after another until one responds, and
// hedges it after hedgeDelay.
func (i *Invoker) invokeIdempotent(ctx context.Context, request Request) (answer Answer, err error) {
	h := &hedgedCall{invoker: i, request: request, results: make(chan attemptResult, maxAttempts)}
	var attempts conc.WaitGroup
	defer attempts.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := h.startAttempt(ctx, &attempts, false); err != nil {
		return Answer{}, idempotentRefusal(ctx, h.anyMayHaveRun, err)
	}
	hedgeTimer := time.After(h.hedgeDelay())
	for {
		select {
		case <-hedgeTimer:
			hedgeTimer = nil
			// If no other target or no retry budget is left, the first attempt continues alone.
			_ = h.startAttempt(ctx, &attempts, true)
		case ended := <-h.results:
			if ended.err == nil {
				return ended.answer, nil
			}
			if err := h.handleFailure(ctx, &attempts, ended.err); err != nil {
				return Answer{}, idempotentRefusal(ctx, h.anyMayHaveRun, err)
			}
		}
	}
}

// hedgeDelay returns the time after which a second attempt starts.
func (h *hedgedCall) hedgeDelay() time.Duration {
	return time.Duration(h.invoker.settings.HedgeFraction * float64(time.Until(h.request.Deadline)))
}

// handleFailure starts another attempt after a failed one, unless an attempt is still running. It
// returns an error if no attempt is running and none may start.
func (h *hedgedCall) handleFailure(ctx context.Context, attempts *conc.WaitGroup, failure error) error {
	h.running--
	h.anyMayHaveRun = h.anyMayHaveRun || mayHaveRun(failure)
	switch {
	case h.running > 0:
		return nil
	case ctx.Err() != nil, len(h.tried) >= maxAttempts:
		return failure
	}
	err := h.startAttempt(ctx, attempts, mayHaveRun(failure))
	if err != nil {
		return errors.Join(err, failure)
	}
	return nil
}

// startAttempt starts an attempt at a target that was not tried yet. If needsBudget is set, as it is
// for a hedge and after an attempt that may have run the call, the retry budget must allow it.
func (h *hedgedCall) startAttempt(ctx context.Context, attempts *conc.WaitGroup, needsBudget bool) error {
	settings := h.invoker.settings
	if len(h.tried) >= maxAttempts {
		return refuser.New(refuser.CodeAnswerLost, "the answer of the call was lost")
	}
	target, err := settings.Targets.choose(ctx, h.request.Account, h.request.Service, h.tried)
	if err != nil {
		return err
	}
	if needsBudget && !settings.AllowRetry() {
		return refuser.New(refuser.CodeOverloaded, "too many calls are being repeated")
	}
	h.tried = append(h.tried, target.Name)
	h.running++
	attempts.Go(func() {
		answer, err := h.invoker.sendAttempt(ctx, target, h.request)
		h.results <- attemptResult{answer: answer, err: err}
	})
	return nil
}

// sendAttempt sends an idempotent call to one target. A 503 response without the header that reports
// the call as not run is an error, so that another target may be tried.
func (i *Invoker) sendAttempt(ctx context.Context, target Target, request Request) (answer Answer, err error) {
	ctx, span := i.settings.Tracer.Start(ctx, "target")
	defer span.End()
	got, err := i.settings.Targets.call(ctx, target, forwarder.ServiceCall{
		RequestID:   request.ID,
		Account:     request.Account,
		Method:      request.Method,
		Path:        request.Path,
		Query:       request.Query,
		ContentType: request.ContentType,
		Key:         request.Key,
		Body:        request.Body,
		Idempotent:  true,
	})
	if i.settings.Metrics != nil {
		i.settings.Metrics.CountAttempt(metricResult(err))
	}
	if err != nil {
		return Answer{}, err
	}
	if got.Status == http.StatusServiceUnavailable {
		return Answer{}, &forwarder.StatusError{Status: got.Status, Code: "unavailable"}
	}
	return Answer{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

// mayHaveRun reports whether the target may have run the call of a failed attempt.
func mayHaveRun(err error) bool {
	var notSent *forwarder.NotSentError
	var refused *forwarder.RefusedError
	return !errors.As(err, &notSent) && !errors.As(err, &refused)
}

func metricResult(err error) string {
	switch {
	case err == nil:
		return "complete"
	case mayHaveRun(err):
		return "broken"
	}
	return "not_sent"
}
