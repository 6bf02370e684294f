package invoker

import (
	"context"
	"errors"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// dispatcherCodes maps the dispatcher's codes to those that callers see.
var dispatcherCodes = map[string]refuser.Code{
	dispatcher.CodeBadKey:              refuser.CodeBadIdempotencyKey,
	dispatcher.CodeKeyReused:           refuser.CodeIdempotencyKeyReused,
	dispatcher.CodeKeyRetired:          refuser.CodeIdempotencyKeyReused,
	dispatcher.CodeDeadline:            refuser.CodeDeadlineExceeded,
	dispatcher.CodePlatformUnavailable: refuser.CodePlatformUnavailable,
	dispatcher.CodeNoTarget:            refuser.CodeNoTarget,
	dispatcher.CodeOverloaded:          refuser.CodeOverloaded,
	dispatcher.CodeStopping:            refuser.CodeLeaving,
	dispatcher.CodeOutcomeUnknown:      refuser.CodeAnswerLost,
	dispatcher.CodeOutcomeTooLarge:     refuser.CodeAnswerLost,
}

var dispatcherMessages = map[refuser.Code]string{
	refuser.CodeBadIdempotencyKey:    "the header Idempotency-Key takes 1 to 255 visible ASCII characters",
	refuser.CodeIdempotencyKeyReused: "the idempotency key was used for another call",
	refuser.CodeDeadlineExceeded:     "the deadline passed before the call was answered",
	refuser.CodePlatformUnavailable:  "the platform cannot be reached, so that the call cannot be kept from running twice",
	refuser.CodeNoTarget:             "no target can take the call",
	refuser.CodeOverloaded:           "too many calls are in progress",
	refuser.CodeLeaving:              "the daemon is stopping",
	refuser.CodeAnswerLost:           "the answer of the call was lost",
}

// dispatcherRefusal converts an error of the dispatcher to a refusal. The refusal is marked with
// MayHaveRun unless the dispatcher reports that the call did not run.
func dispatcherRefusal(err error) error {
	var refused *dispatcher.RefusedError
	if !errors.As(err, &refused) {
		return refuser.New(refuser.CodeInternal, "an internal error occurred").WithMayHaveRun().WithCause(err)
	}
	code, ok := dispatcherCodes[refused.Code]
	if !ok {
		code = refuser.CodeInternal
	}
	refusal := refuser.New(code, "%s", dispatcherMessages[code]).WithRetryAfter(refused.RetryAfter).WithCause(err)
	if refused.Run == dispatcher.NotRun {
		return refusal
	}
	return refusal.WithMayHaveRun()
}

// idempotentRefusal converts the error of an idempotent call to a refusal.
func idempotentRefusal(ctx context.Context, anyMayHaveRun bool, err error) error {
	var refusal *refuser.Refusal
	switch {
	case errors.As(err, &refusal):
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal = refuser.New(refuser.CodeDeadlineExceeded, "the deadline passed before the call was answered")
	case errors.Is(ctx.Err(), context.Canceled):
		refusal = refuser.New(refuser.CodeCancelled, "the caller went away")
	default:
		refusal = refuser.New(refuser.CodeAnswerLost, "the answer of the call was lost")
	}
	refusal = refusal.WithCause(err)
	if anyMayHaveRun {
		return refusal.WithMayHaveRun()
	}
	return refusal
}
