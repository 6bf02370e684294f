package reserver

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

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

type shareKey struct{}

// MessageShare returns the share of the message that a request with the context brings, or nil if it has none.
func MessageShare(ctx context.Context) *Share {
	share, _ := ctx.Value(shareKey{}).(*Share)
	return share
}

// Handler returns a handler that takes memory for each message before it is read. If there is none, it answers with status 503 and closes the
// connection.
func (m *Memory) Handler(next http.Handler, account string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := m.AcquireMessage(w, r, account)
		var full *FullError
		var unsupported *FormError
		if errors.As(err, &unsupported) {
			http.Error(w, unsupported.Error(), http.StatusUnsupportedMediaType)
			return
		}
		if errors.As(err, &full) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", strconv.FormatFloat(math.Ceil(full.RetryAfter.Seconds()), 'f', 0, 64))
			w.WriteHeader(http.StatusServiceUnavailable)
			DiscardRefused(w, r.Body)
			return
		}
		defer share.Release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), shareKey{}, share)))
	})
}
