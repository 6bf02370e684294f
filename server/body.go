package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// readBody reads a body within MaxBodyBytes and BodyTimeout. While the daemon stops, it refuses the request instead. If
// reading fails, the read deadline stays on the connection, since the HTTP server goes on reading the rest of the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, refusal *refuser.Refusal) {
	control := http.NewResponseController(w)
	// The response writers of tests do not support deadlines. BodyTimeout is not enforced for them.
	_ = control.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	stop := interruptAtShutdown(r.Context(), control)
	body, err := readAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes), r.ContentLength)
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case err != nil && isShutDown(r.Context()):
		w.Header().Set("Connection", "close")
		return nil, refuser.New(refuser.CodeLeaving, "the daemon stopped before the body had arrived").WithCause(err)
	case err == nil && s.draining.Load():
		_ = control.SetReadDeadline(time.Time{})
		return nil, refuser.New(refuser.CodeLeaving, "the daemon is stopping").WithRetryAfter(leavingRetryAfter)
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refuser.New(refuser.CodeTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, refuser.New(refuser.CodeBodyTimeout, "the body did not arrive within %s", s.settings.BodyTimeout)
	}
	w.Header().Set("Connection", "close")
	return nil, refuser.New(refuser.CodeBadRequest, "the body could not be read").WithCause(err)
}

// leavingRetryAfter is short, since the retry goes to another daemon.
const leavingRetryAfter = 100 * time.Millisecond

// interruptAtShutdown ends the reading of a body when the daemon cancels its open requests. The caller calls stop when it
// has read the body, which waits for an interruption that has begun.
func interruptAtShutdown(ctx context.Context, control *http.ResponseController) (stop func()) {
	interrupted := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		if isShutDown(ctx) {
			_ = control.SetReadDeadline(time.Now())
		}
	})
	return func() {
		if !cancel() {
			<-interrupted
		}
	}
}

// isShutDown reports whether the shutdown of the daemon cancelled the request.
func isShutDown(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShutdown)
}

// maxPreallocatedBytes bounds the buffer that is allocated from an unverified Content-Length.
const maxPreallocatedBytes = 1 << 20

// readAll reads a body into a buffer preallocated from the Content-Length, so that the buffer of
// a long body is not reallocated and copied repeatedly as it grows.
func readAll(reader io.Reader, contentLength int64) (body []byte, err error) {
	capacity := min(max(contentLength, 0), maxPreallocatedBytes)
	buffer := bytes.NewBuffer(make([]byte, 0, capacity+bytes.MinRead))
	_, err = buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}

// deadline returns the deadline of a request from its header, or from the default.
func (s *Server) deadline(r *http.Request, now time.Time) (deadline time.Time, refusal *refuser.Refusal) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(s.settings.DefaultDeadline), nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	limit := maxDeadline.Milliseconds()
	if err != nil || milliseconds <= 0 || milliseconds > limit {
		return time.Time{}, refuser.New(refuser.CodeBadRequest,
			"the header %s takes a whole number of milliseconds from 1 to %d", headerDeadline, limit)
	}
	return now.Add(time.Duration(milliseconds) * time.Millisecond), nil
}
