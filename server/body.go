package server

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// The copies of a body that its request holds: the text of a chat is decoded, and encoded again for engines.
const (
	chatCopies    = 3
	serviceCopies = 1
)

// readBody reads a body within MaxBodyBytes, BodyTimeout and Memory. A body that Memory has no room for even without other requests counts as too
// large. The share has to be released; it is nil with a refusal. While the daemon stops, it refuses the request instead. If reading fails, the
// read deadline stays on the connection, since the HTTP server goes on reading the rest of the body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, account string, copies int) (body []byte, share *reserver.Share, refusal *refuser.Refusal) {
	limit := min(s.settings.MaxBodyBytes, s.settings.Memory.LargestBody(copies))
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	control := http.NewResponseController(w)
	share, err := s.acquire(r, control, account, copies)
	var full *reserver.FullError
	if errors.As(err, &full) {
		return nil, nil, noMemory(full)
	}
	// The response writers of tests do not support deadlines. BodyTimeout is not enforced for them.
	_ = control.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	if share.Evicted() { // The deadline of the interruption is lost.
		_ = control.SetReadDeadline(time.Now())
	}
	stop := interruptAtShutdown(r.Context(), control)
	reader := http.MaxBytesReader(w, r.Body, limit)
	body, err = reserver.Body{Reader: reader, Length: r.ContentLength, Copies: copies, Share: share}.ReadAll(r.Context())
	stop()
	if refusal := s.bodyRefusal(w, r, err); refusal != nil {
		share.Release()
		return nil, nil, refusal
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, share, nil
}

// acquire takes memory for a body and its copies.
func (s *Server) acquire(r *http.Request, control *http.ResponseController, account string, copies int) (share *reserver.Share, err error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	return s.settings.Memory.Acquire(r.Context(), reserver.Claim{
		Account: account, Bytes: copies * reserver.FirstBytes(r.ContentLength),
		Interrupt: func() { _ = control.SetReadDeadline(time.Now()) }, // Fails only if the connection is closed.
	})
}

// bodyRefusal returns the refusal of a request whose body was read with an error or too late, or nil.
func (s *Server) bodyRefusal(w http.ResponseWriter, r *http.Request, err error) *refuser.Refusal {
	var tooMany *http.MaxBytesError
	var full *reserver.FullError
	switch {
	case err != nil && isShutDown(r.Context()):
		w.Header().Set("Connection", "close")
		return refuser.New(refuser.CodeLeaving, "the daemon stopped before the body had arrived").WithCause(err)
	case err == nil && s.draining.Load():
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return refuser.New(refuser.CodeLeaving, "the daemon is stopping").WithRetryAfter(leavingRetryAfter)
	case err == nil:
		return nil
	case errors.As(err, &full):
		return noMemory(full)
	case errors.As(err, &tooMany):
		return tooLarge(tooMany.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return refuser.New(refuser.CodeBodyTimeout, "the body did not arrive within %s", s.settings.BodyTimeout)
	}
	w.Header().Set("Connection", "close")
	return refuser.New(refuser.CodeBadRequest, "the body could not be read").WithCause(err)
}

func tooLarge(limit int64) *refuser.Refusal {
	return refuser.New(refuser.CodeTooLarge, "the body has more than %d bytes", limit)
}

func noMemory(full *reserver.FullError) *refuser.Refusal {
	return refuser.New(refuser.CodeNoMemory, "the daemon has no memory for the body").WithRetryAfter(full.RetryAfter).WithCause(full)
}

// writeBodyRefusal answers a request whose body was not read. A caller that goes on to send gets its connection closed.
func (s *Server) writeBodyRefusal(w http.ResponseWriter, r *http.Request, account string, refusal *refuser.Refusal) observer.OutcomeLabel {
	unread := refusal.Code == refuser.CodeTooLarge || refusal.Code == refuser.CodeNoMemory
	if unread {
		w.Header().Set("Connection", "close")
	}
	outcome := s.writeRefusal(w, account, refusal)
	if unread {
		s.drainer.Linger(w, r)
	}
	return outcome
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
