package connector

import (
	"errors"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

// upload is the writing of a request.
type upload struct {
	// result receives the result of the write.
	result chan error
	// failure is the result once end has received it.
	failure  error
	received bool
}

func newUpload() *upload { return &upload{result: make(chan error, 1)} }

// end returns the result of the write. One that still waits for the target fails.
func (u *upload) end(conn *connection) error {
	if !u.received {
		_ = conn.SetWriteDeadline(dialer.ExpiredDeadline) // Fails only if the connection is closed, which ends the write too.
		u.failure, u.received = <-u.result, true
	}
	return u.failure
}

// succeeded reports whether the whole request was written, without waiting for that.
func (u *upload) succeeded() bool {
	if u.received {
		return u.failure == nil
	}
	select {
	case u.failure = <-u.result:
		u.received = true
		return u.failure == nil
	default:
		return false
	}
}

// RequestSent reports whether the whole request was written, so that nothing refers to its body any more.
func (r *Response) RequestSent() bool { return r.upload != nil && r.upload.succeeded() }

// verifyEnd returns an error if the end of the connection, at which the body ends, does not show that the body is whole. A target that
// has read the whole request has acknowledged all of it before it ends the connection.
func (r *Response) verifyEnd() error {
	if r.Delimited || r.connection == nil {
		return nil
	}
	if err := r.upload.end(r.connection); err != nil {
		return errors.Join(dialer.ErrEndedDuringUpload, err)
	}
	if !dialer.Acknowledged(r.connection.Conn) {
		return dialer.ErrEndedDuringUpload
	}
	return nil
}
