package delegator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// MemoryAccount is the account of the memory for the messages of other daemons, so that room is left for the own callers.
const MemoryAccount = "other daemons"

// sentCopies is how often a message holds the body that is passed on: the message itself, and the buffer in which it grows.
const sentCopies = 2

// acquire takes memory for the message with which a call is passed on.
func (d *Delegator) acquire(ctx context.Context, call *relayer.Call) (share *reserver.Share, err error) {
	if len(call.Body) == 0 {
		return nil, nil
	}
	share, err = d.settings.Memory.Acquire(ctx, reserver.Claim{Account: MemoryAccount, Bytes: sentCopies * len(call.Body)})
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

// bounded takes memory for each request before its message is read, and for what is decoded of it. One for which there is none is handled
// without a message, so that it is refused as other requests are.
func (h *Handler) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		share, err := h.settings.Memory.AcquireMessage(w, r, MemoryAccount)
		var full *reserver.FullError
		var unsupported *reserver.FormError
		switch {
		case errors.As(err, &unsupported):
			http.Error(w, unsupported.Error(), http.StatusUnsupportedMediaType)
			return
		case errors.As(err, &full):
			refuseMessage(next, w, r, full.RetryAfter)
			return
		}
		defer share.Release() // Also if the answer is aborted by a panic.
		body := &intakeBody{ReadCloser: r.Body}
		r.Body = body
		serveIntake(next, &intakeWriter{ResponseWriter: w, body: body}, r, &intake{share: share})
		if body.full {
			share.Release() // Nothing is kept while the rest of the message is read.
			clear(w.Header())
			refuseMessage(next, w, r, body.retryAfter)
		}
	})
}

func serveIntake(next http.Handler, w http.ResponseWriter, r *http.Request, admission *intake) {
	next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), shareKey{}, admission)))
}

// refuseMessage refuses a request whose message was not read to its end, and reads the rest of it for a moment.
func refuseMessage(next http.Handler, w http.ResponseWriter, r *http.Request, retryAfter time.Duration) {
	message := r.Body
	refusal := relayer.NoMemory(retryAfter)
	w.Header().Set("Connection", "close")
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(emptyMessage)), int64(len(emptyMessage))
	serveIntake(next, w, r, &intake{refusal: &refusal})
	reserver.DiscardRefused(w, message)
}

// intakeBody is the message of a request. It tells whether the message could not be read for lack of memory, in which case nothing of it was decoded.
type intakeBody struct {
	io.ReadCloser
	full       bool
	retryAfter time.Duration
}

// Read implements io.Reader.
func (b *intakeBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	var full *reserver.FullError
	var tooLarge *reserver.TooLargeError
	if errors.As(err, &full) {
		b.full, b.retryAfter = true, full.RetryAfter
	} else if errors.As(err, &tooLarge) {
		b.full = true
	}
	return n, err
}

// intakeWriter drops what is written since a message could not be read for lack of memory: such a request gets a refusal instead.
type intakeWriter struct {
	http.ResponseWriter
	body *intakeBody
}

// WriteHeader implements http.ResponseWriter.
func (w *intakeWriter) WriteHeader(status int) {
	if !w.body.full {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *intakeWriter) Write(p []byte) (n int, err error) {
	if w.body.full {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *intakeWriter) Flush() {
	if !w.body.full {
		_ = http.NewResponseController(w.ResponseWriter).Flush() // The sender may have left.
	}
}

// Unwrap returns the writer of the server to http.ResponseController.
func (w *intakeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

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
