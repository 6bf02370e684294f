package completer

import (
	"context"
	"errors"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// planRefusal converts an error of Planner.Plan to a refusal.
func planRefusal(err error) *refuser.Refusal {
	var unknown *pooler.UnknownModelError
	var denied *pooler.DeniedError
	var tooLong *pooler.TooLongError
	switch {
	case errors.As(err, &unknown):
		return refuser.New(refuser.CodeUnknownModel, "%s", unknown.Error())
	case errors.As(err, &denied):
		return refuser.New(refuser.CodeForbidden, "%s", denied.Error())
	case errors.As(err, &tooLong):
		return refuser.New(refuser.CodeTooLarge, "%s", tooLong.Error())
	}
	return refuser.New(refuser.CodeInternal, "the call could not be planned").WithCause(err)
}

// AdmissionRefusal converts an error of Admission.Admit to a refusal. The call was not run.
func AdmissionRefusal(err error) error {
	var limit *limiter.LimitError
	var shed *limiter.ShedError
	var deadline *limiter.DeadlineError
	switch {
	case errors.As(err, &limit):
		return refuser.New(refuser.CodeLimitReached, "the account is beyond its limits").WithRetryAfter(limit.RetryAfter).WithCause(err)
	case errors.As(err, &shed):
		return refuser.New(refuser.CodeOverloaded, "too many calls wait").WithCause(err)
	case errors.As(err, &deadline), errors.Is(err, context.DeadlineExceeded):
		return refuser.New(refuser.CodeDeadlineExceeded, "the deadline passed before the call could start").WithCause(err)
	case errors.Is(err, context.Canceled):
		return refuser.New(refuser.CodeCancelled, "the caller went away").WithCause(err)
	}
	return refuser.New(refuser.CodeInternal, "the call could not be admitted").WithCause(err)
}

// runRefusal converts the error of an incomplete run to a refusal that says whether any part of
// the call may have run.
func runRefusal(ctx context.Context, err error) error {
	refusal := incompleteRefusal(ctx, err)
	var incomplete *streamer.IncompleteError
	if errors.As(err, &incomplete) && !incomplete.MayHaveRun {
		return refusal.WithCause(err)
	}
	return refusal.WithMayHaveRun().WithCause(err)
}

// incompleteRefusal returns the refusal for an incomplete run. The caller adds whether any part of
// the call may have run.
func incompleteRefusal(ctx context.Context, err error) *refuser.Refusal {
	var none *router.NoTargetError
	var refusal *refuser.Refusal
	var quarantined *quarantiner.QuarantinedError
	var pinned *quarantiner.PinnedError
	var limited *selectorLimitError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &limited):
		return refuser.From(AdmissionRefusal(limited.cause))
	case errors.As(err, &quarantined):
		return refuser.New(refuser.CodeQuarantined, "targets crashed while this call ran").WithRetryAfter(quarantined.RetryAfter)
	case pooler.IsPlanError(err):
		return planRefusal(err)
	case errors.As(err, &pinned):
		return refuser.New(refuser.CodeNoTarget, "copies of the call run at a target that takes no more").WithRetryAfter(noTargetRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuser.New(refuser.CodeDeadlineExceeded, "the deadline passed before the answer was complete")
	case errors.Is(ctx.Err(), context.Canceled):
		return refuser.New(refuser.CodeCancelled, "the caller went away")
	case errors.As(err, &none):
		return refuser.New(refuser.CodeNoTarget, "no target can take the call").WithRetryAfter(noTargetRetryAfter)
	}
	return refuser.New(refuser.CodeIncomplete, "the answer could not be completed")
}

// attemptResult returns the metric label of an attempt's result.
func attemptResult(attempt streamer.Attempt) string {
	switch {
	case attempt.Err == nil:
		return "complete"
	case attempt.Refused:
		return "refused"
	case !attempt.Sent:
		return "not_sent"
	case attempt.ConnectionLost:
		return "connection_lost"
	}
	return "broken"
}
