package delegator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// memoryAccount is the account of the requests that other daemons pass on, so that room is left for the own callers.
const memoryAccount = "other daemons"

// emptyMessage is an envelope without a message, which a refused request has in place of its own.
var emptyMessage = make([]byte, 5)

type shareKey struct{}

// intake is how a request got memory before its message was read.
type intake struct {
	share *reserver.Share
	// refusal is set if there was none.
	refusal *relayer.Refusal
}

// bounded takes memory for each request before its message is read. One for which there is none is handled without a message, so that it
// is refused as other requests are.
func (h *Handler) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := h.settings.Memory.AcquireMessage(w, r, memoryAccount)
		admission := &intake{share: share}
		var full *reserver.FullError
		if errors.As(err, &full) {
			refusal := relayer.NoMemory(full.RetryAfter)
			admission.refusal = &refusal
			w.Header().Set("Connection", "close")
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(emptyMessage)), int64(len(emptyMessage))
		}
		defer share.Release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), shareKey{}, admission)))
	})
}

// complete tells that the message with a body of a number of bytes has arrived whole. It returns a refusal if there is no memory for it.
func complete(ctx context.Context, bodyBytes int) (refusal *relayer.Refusal) {
	admission, ok := ctx.Value(shareKey{}).(*intake)
	if !ok {
		return nil
	}
	if admission.refusal != nil {
		return admission.refusal
	}
	if !admission.share.Complete(bodyBytes) {
		refusal := relayer.Busy()
		return &refusal
	}
	return nil
}
