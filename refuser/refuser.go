// Package refuser defines the errors that callers receive in place of an answer. Each has a code, and reports
// whether the request may have run.
//
// # Usage
//
//	return refuser.New(refuser.CodeUnknownModel, "model %q is not declared", name)
//
// A Refusal reports the request as not run unless it was returned by MayHaveRun. On the callers' port it is sent as
//
//	{"error":{"code":"unknown_model","message":"...","run":"not_run"}}
package refuser

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Run reports whether a refused request may have run at a target.
type Run string

// The values of Run.
const (
	NotRun     Run = "not_run"
	MayHaveRun Run = "may_have_run"
)

// Code is the machine-readable reason of a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest            Code = "bad_request"
	CodeBadIdempotencyKey     Code = "bad_idempotency_key"
	CodeIdempotencyKeyMissing Code = "idempotency_key_missing"
	CodeIdempotencyKeyReused  Code = "idempotency_key_reused"
	CodeUnauthenticated       Code = "unauthenticated"
	CodeForbidden             Code = "forbidden"
	CodeUnknownModel          Code = "unknown_model"
	CodeUnknownService        Code = "unknown_service"
	CodeUnknownOperation      Code = "unknown_operation"
	CodeNotFound              Code = "not_found"
	CodeMethodNotAllowed      Code = "method_not_allowed"
	CodeTooLarge              Code = "too_large"
	CodeBodyTimeout           Code = "body_timeout"
	CodeHeaderTimeout         Code = "header_timeout"
	CodeHeaderTooLarge        Code = "header_too_large"
	CodeLimitReached          Code = "limit_reached"
	CodeOverloaded            Code = "overloaded"
	CodeNoMemory              Code = "no_memory"
	CodeDeadlineExceeded      Code = "deadline_exceeded"
	CodeQuarantined           Code = "quarantined"
	CodeNoTarget              Code = "no_target"
	CodeNotReady              Code = "not_ready"
	CodeLeaving               Code = "leaving"
	CodePlatformUnavailable   Code = "platform_unavailable"
	CodeIncomplete            Code = "incomplete"
	CodeAnswerLost            Code = "answer_lost"
	CodeCancelled             Code = "cancelled"
	CodeInternal              Code = "internal"
)

// statusCancelled is nginx's non-standard status for a client that closed its request.
const statusCancelled = 499

var statuses = map[Code]int{
	CodeBadRequest:            http.StatusBadRequest,
	CodeBadIdempotencyKey:     http.StatusBadRequest,
	CodeIdempotencyKeyMissing: http.StatusBadRequest,
	CodeIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	CodeUnauthenticated:       http.StatusUnauthorized,
	CodeForbidden:             http.StatusForbidden,
	CodeUnknownModel:          http.StatusNotFound,
	CodeUnknownService:        http.StatusNotFound,
	CodeUnknownOperation:      http.StatusNotFound,
	CodeNotFound:              http.StatusNotFound,
	CodeMethodNotAllowed:      http.StatusMethodNotAllowed,
	CodeTooLarge:              http.StatusRequestEntityTooLarge,
	CodeBodyTimeout:           http.StatusRequestTimeout,
	CodeHeaderTimeout:         http.StatusRequestTimeout,
	CodeHeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	CodeLimitReached:          http.StatusTooManyRequests,
	CodeOverloaded:            http.StatusServiceUnavailable,
	CodeNoMemory:              http.StatusServiceUnavailable,
	CodeDeadlineExceeded:      http.StatusGatewayTimeout,
	CodeQuarantined:           http.StatusUnprocessableEntity,
	CodeNoTarget:              http.StatusServiceUnavailable,
	CodeNotReady:              http.StatusServiceUnavailable,
	CodeLeaving:               http.StatusServiceUnavailable,
	CodePlatformUnavailable:   http.StatusServiceUnavailable,
	CodeIncomplete:            http.StatusBadGateway,
	CodeAnswerLost:            http.StatusBadGateway,
	CodeCancelled:             statusCancelled,
	CodeInternal:              http.StatusInternalServerError,
}

// Refusal is the error that a caller receives.
type Refusal struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is the time after which the caller may retry; zero if it is unknown.
	RetryAfter time.Duration
	// Cause is logged and not shown to the caller; it may be nil.
	Cause error
}

// New returns a refusal of a request that was not run.
func New(code Code, format string, arguments ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, arguments...), Run: NotRun}
}

// WithMayHaveRun returns a copy that reports that the request may have run.
func (r *Refusal) WithMayHaveRun() *Refusal {
	changed := *r
	changed.Run = MayHaveRun
	return &changed
}

// WithCause returns a copy with the cause.
func (r *Refusal) WithCause(cause error) *Refusal {
	changed := *r
	changed.Cause = cause
	return &changed
}

// WithRetryAfter returns a copy that asks the caller to retry after the given time.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	changed := *r
	changed.RetryAfter = wait
	return &changed
}

// Error returns the code, the message, whether the request may have run, and the cause if there is one.
func (r *Refusal) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s: %s (%s): %v", r.Code, r.Message, r.Run, r.Cause)
	}
	return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Run)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error {
	return r.Cause
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// From returns the refusal that the error wraps. For any other error it returns a refusal with CodeInternal and
// MayHaveRun, since such an error does not show whether the request has run.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return New(CodeInternal, "an internal error occurred").WithMayHaveRun().WithCause(err)
}
