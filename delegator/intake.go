package delegator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// memoryAccount is the account of the requests that daemons pass on to each other, so that room is left for the own callers.
const memoryAccount = "other daemons"

// sentCopies is how often a message holds the body that is passed on: the message itself, and the buffer in which it grows.
const sentCopies = 2

// acquire takes memory for the message with which a call is passed on.
func (d *Delegator) acquire(ctx context.Context, call *relayer.Call) (share *reserver.Share, err error) {
	if len(call.Body) == 0 {
		return nil, nil
	}
	share, err = d.settings.Memory.Acquire(ctx, reserver.Claim{Account: memoryAccount, Bytes: sentCopies * len(call.Body)})
	if err != nil {
		return nil, err
	}
	share.Complete(sentCopies * len(call.Body)) // It keeps its place.
	return share, nil
}

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
		var unsupported *reserver.FormError
		if errors.As(err, &unsupported) {
			http.Error(w, unsupported.Error(), http.StatusUnsupportedMediaType)
			return
		}
		if errors.As(err, &full) {
			message := r.Body
			defer func() { reserver.DiscardRefused(w, message) }()
			refusal := relayer.NoMemory(full.RetryAfter)
			admission.refusal = &refusal
			w.Header().Set("Connection", "close")
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(emptyMessage)), int64(len(emptyMessage))
		}
		defer share.Release()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), shareKey{}, admission)))
	})
}

// complete tells that a message has arrived whole. It returns a refusal if there is no memory for it.
func complete(ctx context.Context, message *hostingv1.RelayRequest) (refusal *relayer.Refusal) {
	admission, ok := ctx.Value(shareKey{}).(*intake)
	if !ok {
		return nil
	}
	if admission.refusal != nil {
		return admission.refusal
	}
	if !admission.share.Complete(len(message.GetBody()) + headerBytes(message.GetHeaders())) {
		refusal := relayer.Busy()
		return &refusal
	}
	return nil
}

// headerBytes returns what the headers of a request hold.
func headerBytes(headers []*hostingv1.Header) (bytes int) {
	for _, header := range headers {
		const ownFields = 2 // The header itself and its name.
		bytes += reserver.FieldBytes*(ownFields+len(header.GetValues())) + len(header.GetName())
		for _, value := range header.GetValues() {
			bytes += len(value)
		}
	}
	return bytes
}
