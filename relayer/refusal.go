package relayer

import (
	"net/http"
	"time"
)

// Reason says why a request was refused or failed.
type Reason string

// The reasons.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonNoContact       Reason = "no_contact"
	ReasonStopping        Reason = "stopping"
	ReasonNoRoute         Reason = "no_route"
	ReasonUnknownKey      Reason = "unknown_key"
	ReasonMalformed       Reason = "malformed"
	ReasonTooLarge        Reason = "too_large"
	ReasonHeaderTooLarge  Reason = "header_too_large"
	ReasonNoTarget        Reason = "no_target"
	ReasonNotInTime       Reason = "not_in_time"
	ReasonShed            Reason = "shed"
	ReasonUnreachable     Reason = "unreachable"
	ReasonCrashesTargets  Reason = "crashes_targets"
	ReasonBroken          Reason = "broken"
	ReasonReplacedWeights Reason = "replaced_weights"
	ReasonDeadline        Reason = "deadline"
)

// The results of requests that were not refused and did not fail.
const (
	ResultAnswered   = "answered"
	ResultCallerLeft = "caller_left"
)

// Refusal is what a caller is told instead of a target's answer.
type Refusal struct {
	Status int
	Reason Reason
	// NotRun says that no target has run the request or will.
	NotRun bool
	// RetryAfter is when the caller should come back; zero says nothing.
	RetryAfter time.Duration
	// CloseConnection sends the caller to another daemon.
	CloseConnection bool
}

const (
	// settleTime is when a daemon that knows no configuration is expected to know one.
	settleTime = 300 * time.Millisecond
	// contactRetry lets a caller come back through another daemon.
	contactRetry = 50 * time.Millisecond
)

func notRun(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, NotRun: true, RetryAfter: retryAfter}
}

func elsewhere(reason Reason, retryAfter time.Duration) *Refusal {
	refusal := notRun(reason, retryAfter)
	refusal.CloseConnection = true
	return refusal
}

// Stopping refuses a request that comes too late to a daemon that stops.
func Stopping() Refusal { return *elsewhere(ReasonStopping, contactRetry) }

func denied(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, NotRun: true}
}

func failed(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason}
}
