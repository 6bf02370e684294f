package reserver

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

const (
	// messageCopies is how often a message is held while it is received and decoded: the buffer, which doubles as it grows, and the message.
	messageCopies = 3
	// maxMessageBytes is the size beyond which no service reads a message, whatever length is announced.
	maxMessageBytes = 64 << 20
)

// messageReader counts what is read of a message that is decoded from its body.
type messageReader struct {
	io.ReadCloser
	ctx   context.Context
	share *Share
	// reserved is how much of the body has been acquired; a body with a known length has all of it.
	reserved int64
	read     int64
}

// Read implements io.Reader. A body without a known length is reserved in steps.
func (r *messageReader) Read(p []byte) (n int, err error) {
	if r.read >= r.reserved {
		step := max(r.reserved, firstStepBytes)
		if err := r.share.Grow(r.ctx, messageCopies*int(step)); err != nil {
			return 0, err
		}
		r.reserved += step
	}
	n, err = r.ReadCloser.Read(p[:min(int64(len(p)), r.reserved-r.read)])
	r.read += int64(n)
	r.share.Received(n)
	if err == io.EOF && !r.share.Complete(messageCopies*int(r.read)) {
		return n, &FullError{}
	}
	return n, err
}

// AcquireMessage takes memory for a message that is the body of a request, and makes the request's body count as it is read.
func (m *Memory) AcquireMessage(w http.ResponseWriter, r *http.Request, account string) (share *Share, err error) {
	if m == nil || r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	first, reserved := int64(firstStepBytes), int64(firstStepBytes)
	if r.ContentLength >= 0 {
		first, reserved = min(r.ContentLength, maxMessageBytes), math.MaxInt64
	}
	control := http.NewResponseController(w)
	share, err = m.Acquire(r.Context(), Claim{
		Account: account, Bytes: messageCopies * int(first),
		Interrupt: func() { _ = control.SetReadDeadline(dialer.ExpiredDeadline) }, // Fails only if the connection is closed.
	})
	if err != nil {
		return nil, err
	}
	r.Body = &messageReader{ReadCloser: r.Body, ctx: r.Context(), share: share, reserved: reserved}
	return share, nil
}

const (
	// discardTime and discardBytes bound what is read of a message that was refused.
	discardTime  = 500 * time.Millisecond
	discardBytes = 8 << 20
)

// DiscardRefused sends the refusal that was written and reads the rest of the refused message for a short time: a sender whose write fails might
// not look at the refusal.
func DiscardRefused(w http.ResponseWriter, message io.Reader) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, message, discardBytes) // It ends with the message or at the deadline.
}

// Handler returns a handler that takes memory for each message before it is read. If there is none, it answers with status 503 and closes the
// connection.
func (m *Memory) Handler(next http.Handler, account string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := m.AcquireMessage(w, r, account)
		var full *FullError
		if errors.As(err, &full) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(full.RetryAfter.Seconds()), 'f', 0, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			DiscardRefused(w, r.Body)
			return
		}
		defer share.Release()
		next.ServeHTTP(w, r)
	})
}
