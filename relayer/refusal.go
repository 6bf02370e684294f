package relayer

import (
	"errors"
	"net/http"
	"time"
)

// Reason identifies the cause of a refusal or failure, in answers to callers, logs and metrics.
type Reason string

// The reasons of refusals and failures.
const (
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonNoContact: the daemon's configuration was last confirmed too long ago. See ContactAgeLimits.
	ReasonNoContact      Reason = "no_contact"
	ReasonStopping       Reason = "stopping"
	ReasonNoRoute        Reason = "no_route"
	ReasonUnknownKey     Reason = "unknown_key"
	ReasonMalformed      Reason = "malformed"
	ReasonTooLarge       Reason = "too_large"
	ReasonHeaderTooLarge Reason = "header_too_large"
	ReasonNoTarget       Reason = "no_target"
	// ReasonEngineMemory: the engines have no memory for the request beside those that they run.
	ReasonEngineMemory Reason = "engine_memory"
	// ReasonNotInTime: no target is expected to answer in time, or the deadline passed before any target ran the request.
	ReasonNotInTime Reason = "not_in_time"
	// ReasonShed: the last attempted target rejected the request, and no target has run it.
	ReasonShed Reason = "shed"
	// ReasonUnreachable: the daemon reaches no target, no other daemon took the request, and no target has run it.
	ReasonUnreachable Reason = "unreachable"
	// ReasonQuota: the quota of the request's account is used up.
	ReasonQuota Reason = "quota"
	// ReasonOverShare: the service is overloaded, and the account demands more than its share of it.
	ReasonOverShare Reason = "over_share"
	// ReasonBusy: the daemon has too many requests that other daemons passed on to it.
	ReasonBusy Reason = "busy"
	// ReasonNoMemory: the daemon has no memory for the request.
	ReasonNoMemory Reason = "no_memory"
	// ReasonBodyTimeout: the body of the request did not arrive in time.
	ReasonBodyTimeout Reason = "body_timeout"
	// ReasonUnknownOrigin: the caller takes a stream up again, and it is not known which version of the targets' software began it.
	ReasonUnknownOrigin Reason = "unknown_origin"
	// ReasonCrashesTargets: targets crashed while they ran this request before. See CrashAttributor.
	ReasonCrashesTargets Reason = "crashes_targets"
	// ReasonBroken: a target may have run the request, and its answer is missing or incomplete.
	ReasonBroken Reason = "broken"
	// ReasonReplacedWeights: the start timer cancelled the last attempt, and the request is not retried.
	ReasonReplacedWeights Reason = "replaced_weights"
	// ReasonDeadline: the deadline passed after a target may have run the request.
	ReasonDeadline Reason = "deadline"
)

// The results of requests that were not refused and did not fail.
const (
	ResultAnswered   = "answered"
	ResultCallerLeft = "caller_left"
)

// Refusal is the response that a caller gets in place of a target's answer.
type Refusal struct {
	Status int
	Reason Reason
	// NotRun is set if no target has run the request or will run it.
	NotRun bool
	// RetryAfter is the time after which the caller should retry; zero if the response does not state one.
	RetryAfter time.Duration
	// CloseConnection closes the caller's connection, so that a retry connects anew and can reach another
	// daemon.
	CloseConnection bool
}

const (
	// startupRetryAfter is the time within which a daemon without a configuration is expected to load one.
	startupRetryAfter = 300 * time.Millisecond
	// contactRetryAfter is the retry delay of a daemon that has not confirmed its configuration recently or that is
	// stopping. It is short, since the retry goes to another daemon.
	contactRetryAfter = 50 * time.Millisecond
)

// unavailable returns a refusal with status 503 of a request that no target has run.
func unavailable(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, NotRun: true, RetryAfter: retryAfter}
}

// unavailableHere returns the refusal of unavailable for a reason that concerns only this daemon. It also closes
// the caller's connection.
func unavailableHere(reason Reason, retryAfter time.Duration) *Refusal {
	refusal := unavailable(reason, retryAfter)
	refusal.CloseConnection = true
	return refusal
}

// ErrStopping is the cause with which the context of a request is cancelled when a stopping daemon no longer waits for
// its answer.
var ErrStopping = errors.New("the daemon is stopping")

// Stopping returns the refusal of a request that a stopping daemon no longer accepts.
func Stopping() Refusal { return *unavailableHere(ReasonStopping, contactRetryAfter) }

// Busy returns the refusal of a request of another daemon for which there is no room.
func Busy() Refusal { return *unavailableHere(ReasonBusy, contactRetryAfter) }

// NoMemory returns the refusal of a request for which the daemon has no memory.
func NoMemory(retryAfter time.Duration) Refusal { return *unavailableHere(ReasonNoMemory, retryAfter) }

// Local reports whether the refusal concerns only the daemon that refuses, so that another one may serve the request.
func (r Refusal) Local() bool { return r.CloseConnection || r.Reason == ReasonUnreachable }

// denied returns a refusal of a request that the configuration does not allow.
func denied(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason, NotRun: true}
}

// failed returns the response to a request that may have run.
func failed(status int, reason Reason) *Refusal {
	return &Refusal{Status: status, Reason: reason}
}
