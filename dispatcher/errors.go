package dispatcher

import (
	"fmt"
	"time"
)

// RunState reports whether a refused call may have run.
type RunState string

// The run states of a refusal. They apply only to the refused request: an earlier request with the
// same key may have run if the ledger could not be read.
const (
	NotRun     RunState = "not_run"
	MayHaveRun RunState = "may_have_run"
)

// The codes of refusals.
const (
	CodeBadKey              = "bad_idempotency_key"
	CodeKeyReused           = "key_reused"
	CodeKeyRetired          = "key_retired"
	CodeDeadline            = "deadline_exceeded"
	CodePlatformUnavailable = "platform_unavailable"
	CodeNoTarget            = "no_target"
	CodeOverloaded          = "overloaded"
	CodeStopping            = "stopping"
	CodeOutcomeUnknown      = "outcome_unknown"
	CodeOutcomeTooLarge     = "outcome_too_large"
)

// RefusedError is the refusal of a call.
type RefusedError struct {
	Code string
	Run  RunState
	// RetryAfter is the delay after which a repeat with the same key may succeed, or zero.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("refused: %s, %s", e.Code, e.Run)
	}
	return fmt.Sprintf("refused: %s, %s: %v", e.Code, e.Run, e.Cause)
}

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// NotSentError reports that no byte of the call was sent to the target.
type NotSentError struct {
	Cause error
}

// Error describes the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NotRunError reports that the target refused the call without running it.
type NotRunError struct {
	Cause error
}

// Error describes the cause.
func (e *NotRunError) Error() string { return fmt.Sprintf("refused by the target: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// LostAnswerError reports that at least a part of the call was sent and that its answer was lost.
type LostAnswerError struct {
	Cause error
}

// Error describes the cause.
func (e *LostAnswerError) Error() string { return fmt.Sprintf("answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Cause }

// refuse returns a refusal without a RetryAfter.
func refuse(code string, run RunState, cause error) *RefusedError {
	return &RefusedError{Code: code, Run: run, Cause: cause}
}
