package forwarder

import (
	"fmt"
	"net/netip"
	"time"
)

// NotSentError means that no byte of the request was sent to the target, so the call did
// not run.
type NotSentError struct {
	Target netip.AddrPort
	Cause  error
}

// Error describes the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError means that the target responded that it did not run the call.
type RefusedError struct {
	Target netip.AddrPort
	Status int
	// Code is the target's error code, such as "full" or "leaving".
	Code string
}

// Error returns the status and the code.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the call with status %d %q", e.Target, e.Status, e.Code)
}

// BrokenError means that the call failed after the target may have started to run it.
type BrokenError struct {
	Target netip.AddrPort
	Cause  error
	// Sent reports whether a byte of the request may have been sent.
	Sent bool
	// ConnectionLost reports whether the connection failed, as it does when the target crashes.
	// It is false if this side cancelled the call or its wait timed out.
	ConnectionLost bool
}

// Error describes the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("call to %s failed after it may have started: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// MismatchedResponseError means that a response carried the ID of another request. The response is
// discarded; the call itself may have run.
type MismatchedResponseError struct {
	Target netip.AddrPort
	Wanted string
	Got    string
}

// Error returns both request IDs.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("%s answered request %q instead of %q", e.Target, e.Got, e.Wanted)
}

// TimeoutError means that a response or an event did not arrive in time.
type TimeoutError struct {
	// Wait names what was awaited, such as "answer" or "event".
	Wait  string
	After time.Duration
}

// Error returns what was awaited and for how long.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("no %s within %s", e.Wait, e.After)
}

// Timeout marks the error as a timeout, as the method of net.Error does.
func (e *TimeoutError) Timeout() bool { return true }

// StatusError means that a target responded with an unexpected status.
type StatusError struct {
	Status int
	Code   string
}

// Error returns the status and the code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected status %d %q", e.Status, e.Code)
}

// FailedRunError means that the target aborted a run before it finished.
type FailedRunError struct {
	// Code is the target's error code, such as "deadline_passed".
	Code string
}

// Error returns the code.
func (e *FailedRunError) Error() string {
	return fmt.Sprintf("the target aborted the run: %q", e.Code)
}

// MalformedError means that a response, or the path of a request, is not valid.
type MalformedError struct {
	Part string
}

// Error returns the invalid part.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s", e.Part)
}

// NotFoundError means that the target does not have the requested run or cached blocks.
type NotFoundError struct {
	Target netip.AddrPort
	Name   string
}

// Error returns the target and what was requested.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s does not have %q", e.Target, e.Name)
}

// StaleFencingTokenError means that the target has seen a higher fencing token. The order was not
// executed.
type StaleFencingTokenError struct {
	Target  netip.AddrPort
	Sent    uint64
	Highest uint64
}

// Error returns both fencing tokens.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("%s refused fencing token %d, it has seen %d", e.Target, e.Sent, e.Highest)
}
