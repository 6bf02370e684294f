package streamer

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// IncompleteError reports that a request ended before the engine sent a finish reason.
type IncompleteError struct {
	// Delivered counts the tokens that reached the sink.
	Delivered int
	// MayHaveRun is false only when no target ran any part of the request.
	MayHaveRun bool
	Cause      error
}

// Error returns the number of delivered tokens and the cause.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("answer incomplete after %d tokens: %v", e.Delivered, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// IdentityMismatchError reports that a target answered with other weights or as another incarnation than
// expected.
type IdentityMismatchError struct {
	Target   string
	Expected Identity
	Got      Identity
}

// Error returns the target and both identities.
func (e *IdentityMismatchError) Error() string {
	return fmt.Sprintf("%s answered as %+v instead of %+v", e.Target, e.Got, e.Expected)
}

// GapError reports an event whose position does not follow the delivered tokens.
type GapError struct {
	Expected int
	Position int
}

// Error returns both positions.
func (e *GapError) Error() string {
	return fmt.Sprintf("event at position %d instead of %d", e.Position, e.Expected)
}

// StalledError reports that an attempt was cancelled because its target made no progress.
type StalledError struct {
	Target string
}

// Error returns the target.
func (e *StalledError) Error() string { return fmt.Sprintf("%s makes no progress", e.Target) }

// HedgeLostError reports that another attempt of a hedged request was selected.
type HedgeLostError struct {
	Winner string
}

// Error returns the target of the selected attempt.
func (e *HedgeLostError) Error() string {
	return fmt.Sprintf("hedged request: %s was faster", e.Winner)
}

// BudgetError reports that the retry budget did not allow another attempt.
type BudgetError struct {
	Cause error
}

// Error returns the error of the attempt that was not retried.
func (e *BudgetError) Error() string { return fmt.Sprintf("retry budget is spent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Cause }

// SinkError reports that the sink returned an error.
type SinkError struct {
	Cause error
}

// Error returns the error of the sink.
func (e *SinkError) Error() string { return fmt.Sprintf("sink failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *SinkError) Unwrap() error { return e.Cause }

// ChoiceError reports that the chooser found no target for another attempt.
type ChoiceError struct {
	// Last is the error of the last attempt, or nil if there was none.
	Last  error
	Cause error
}

// Error returns the error of the choice, without that of the last attempt.
func (e *ChoiceError) Error() string { return fmt.Sprintf("no target left: %v", e.Cause) }

// Unwrap returns the error of the choice and that of the last attempt.
func (e *ChoiceError) Unwrap() []error {
	if e.Last == nil {
		return []error{e.Cause}
	}
	return []error{e.Cause, e.Last}
}

// Error codes in the answers of engines.
const (
	codeDeadline = "deadline_passed"
	codeLeaving  = "leaving"
	codeIDInUse  = "request_id_in_use"
)

// endsRequest reports whether an error ends the request, so that no other target is tried.
func endsRequest(ctx context.Context, err error) bool {
	var sink *SinkError
	var refused *forwarder.RefusedError
	var failed *forwarder.FailedRunError
	var choice *ChoiceError
	switch {
	case ctx.Err() != nil, errors.As(err, &sink), errors.As(err, &choice):
		return true
	case errors.As(err, &refused):
		malformed := refused.Status == http.StatusBadRequest && refused.Code != codeIDInUse
		return malformed || refused.Code == codeDeadline
	case errors.As(err, &failed):
		return failed.Code == codeDeadline
	}
	return false
}

// needsNoBudget reports whether an attempt that failed with the error caused no work at its
// target, so that the next attempt needs no retry budget.
func needsNoBudget(err error) bool {
	var notSent *forwarder.NotSentError
	var refused *forwarder.RefusedError
	switch {
	case errors.As(err, &notSent):
		return true
	case errors.As(err, &refused):
		return refused.Code == codeLeaving || refused.Status == http.StatusConflict
	}
	return false
}

// resumable reports whether the run may still be active at its target after the error.
func resumable(ctx context.Context, err error) bool {
	var stalled *StalledError
	var failed *forwarder.FailedRunError
	var mismatch *IdentityMismatchError
	var sink *SinkError
	if ctx.Err() != nil {
		return false
	}
	return !errors.As(err, &stalled) && !errors.As(err, &failed) &&
		!errors.As(err, &mismatch) && !errors.As(err, &sink)
}

// incompleteError wraps the cause in an IncompleteError.
func (r *requestState) incompleteError(cause error) error {
	return &IncompleteError{
		Delivered: r.delivered, MayHaveRun: r.outcome().MayHaveRun(), Cause: cause,
	}
}
