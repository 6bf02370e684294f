package storer

import "fmt"

// NotFoundError reports that a key or a lease does not exist.
type NotFoundError struct {
	Key string
}

// Error describes the missing key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%q does not exist", e.Key)
}

// ConflictError reports that a conditional write found another version than the expected one.
// The write did not take effect.
type ConflictError struct {
	Key      string
	Expected Version
	Current  Version
}

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%q has version %d, expected %d", e.Key, e.Current, e.Expected)
}

// UnavailableError reports that the platform could not be reached or did not serve the call, or
// that the client did not send it. A write that fails with it did not take effect.
type UnavailableError struct {
	Cause error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// UnknownOutcomeError reports that a write was sent without a usable response: it may have
// taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

// Error describes the write.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write to %q unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// ValueTooLargeError reports that a value is larger than MaxValueBytes. The write did not take
// effect.
type ValueTooLargeError struct {
	Key   string
	Bytes int
}

// Error describes the value.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, at most %d are allowed", e.Key, e.Bytes, MaxValueBytes)
}

// StatusError reports the HTTP status of a failed call. It is returned by itself for a 4xx
// status that has no error type of its own, and is the cause of another error otherwise.
type StatusError struct {
	Status int
}

// Error describes the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}
