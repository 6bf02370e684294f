package delegator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/hosting/v1/hostingv1connect"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// maxMessageBytes bounds a request with its body.
const maxMessageBytes = 40 << 20

// Request is a request that another daemon passes on.
type Request struct {
	Method string
	// URI is the path with its query.
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Chunked   bool
	ArrivedAt time.Time
}

// HandlerSettings are the parameters of a Handler.
type HandlerSettings struct {
	// Serve handles a request and writes the answer. A refusal is written with WriteRefusal if w is a relayer.RefusalWriter.
	Serve func(ctx context.Context, w http.ResponseWriter, request Request)
	// MaxOpen bounds the requests of other daemons that are open at once, so that room is left for the own callers.
	MaxOpen int
	// Memory bounds the memory of the requests. Default: no bound.
	Memory *reserver.Memory
	Now    func() time.Time
}

// Handler serves the requests that other daemons pass on.
type Handler struct {
	settings HandlerSettings

	mu      sync.Mutex
	closing bool
	// cancels end the open requests. idle is closed once there is none after Drain was called.
	cancels map[*context.CancelCauseFunc]struct{}
	idle    chan struct{}
}

// NewHandler returns a Handler without requests.
func NewHandler(settings HandlerSettings) *Handler {
	return &Handler{settings: settings, cancels: make(map[*context.CancelCauseFunc]struct{}), idle: make(chan struct{})}
}

// HTTP returns the path and the handler that serve the requests.
func (h *Handler) HTTP() (path string, served http.Handler) {
	// Answers are not compressed, since the targets' answers are passed on as they come.
	path, relay := hostingv1connect.NewRelayServiceHandler(h, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression("gzip", nil, nil))
	return path, h.bounded(relay)
}

// answerTime is how long Drain waits for the answers to cancelled requests.
const answerTime = 300 * time.Millisecond

// Drain refuses further requests and waits for the open ones. Those that are open when ctx ends are cancelled with
// relayer.ErrStopping, which answers them.
func (h *Handler) Drain(ctx context.Context) {
	h.mu.Lock()
	alreadyClosing := h.closing
	h.closing = true
	if len(h.cancels) == 0 && !alreadyClosing {
		close(h.idle)
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
		return
	case <-ctx.Done():
	}
	h.mu.Lock()
	for cancel := range h.cancels {
		(*cancel)(relayer.ErrStopping)
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
	case <-time.After(answerTime):
	}
}

// begin counts a request, unless there are too many or the daemon stops.
func (h *Handler) begin(ctx context.Context) (requestCtx context.Context, end func(), refusal *relayer.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closing {
		refusal := relayer.Stopping()
		return nil, nil, &refusal
	}
	if len(h.cancels) >= h.settings.MaxOpen {
		refusal := relayer.Busy()
		return nil, nil, &refusal
	}
	requestCtx, cancel := context.WithCancelCause(ctx)
	h.cancels[&cancel] = struct{}{}
	return requestCtx, func() {
		cancel(nil)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.cancels, &cancel)
		if h.closing && len(h.cancels) == 0 {
			close(h.idle)
		}
	}, nil
}

// Relay handles a request of another daemon.
func (h *Handler) Relay(ctx context.Context, request *connect.Request[hostingv1.RelayRequest], stream *connect.ServerStream[hostingv1.RelayResponse]) error {
	w := &responseWriter{stream: stream, header: make(http.Header)}
	if refusal := complete(ctx, request.Msg); refusal != nil {
		w.WriteRefusal(*refusal)
		return w.err
	}
	ctx, end, refusal := h.begin(ctx)
	if refusal != nil {
		w.WriteRefusal(*refusal)
		return w.err
	}
	defer end()
	message := request.Msg
	h.settings.Serve(ctx, w, Request{
		Method: message.GetMethod(), URI: message.GetUri(), Host: message.GetHost(), Header: decodeHeaders(message.GetHeaders()),
		Body: message.GetBody(), Chunked: message.GetChunked(), ArrivedAt: h.settings.Now().Add(-milliseconds(message.GetAgeMs())),
	})
	return w.err
}

// responseWriter writes an answer or a refusal as messages.
type responseWriter struct {
	stream *connect.ServerStream[hostingv1.RelayResponse]
	header http.Header
	begun  bool
	err    error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	w.send(&hostingv1.RelayResponse{Part: &hostingv1.RelayResponse_Head{Head: &hostingv1.RelayHead{Status: uint32(status), Headers: encodeHeaders(w.header)}}})
}

// Write implements http.ResponseWriter. Each call sends a message.
func (w *responseWriter) Write(p []byte) (n int, err error) {
	w.WriteHeader(http.StatusOK)
	if len(p) > 0 {
		w.send(&hostingv1.RelayResponse{Part: &hostingv1.RelayResponse_Data{Data: p}})
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// FlushError does nothing, since nothing is held back. It lets http.ResponseController flush.
func (w *responseWriter) FlushError() error { return w.err }

// WriteRefusal implements relayer.RefusalWriter.
func (w *responseWriter) WriteRefusal(refusal relayer.Refusal) {
	w.begun = true
	w.send(&hostingv1.RelayResponse{Part: &hostingv1.RelayResponse_Refusal{Refusal: &hostingv1.RelayRefusal{
		Status: uint32(refusal.Status), Reason: string(refusal.Reason), NotRun: refusal.NotRun,
		RetryAfterMs: uint64(max(refusal.RetryAfter, 0).Milliseconds()), Local: refusal.Local(),
	}}})
}

func (w *responseWriter) send(message *hostingv1.RelayResponse) {
	if w.err == nil {
		w.err = w.stream.Send(message)
	}
}
