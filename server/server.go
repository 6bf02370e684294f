// Package server serves the callers' port of a daemon: model calls in the OpenAI format, HTTP
// calls to services, and health checks.
//
// It authenticates callers, bounds the size of their requests and the time to receive them, validates
// them, and writes answers and refusals. A Completer executes the model calls, an Invoker the service calls.
//
// # Usage
//
//	s, err := server.New(server.Settings{
//		Configuration: configuration,
//		Completer:     completer,
//		Invoker:       invoker,
//	})
//	go s.Serve(listener)
//	s.Leave()             // Tells load balancers and callers to send no more requests.
//	err = s.Shutdown(ctx) // Cancels open requests when the context ends.
//	err = s.Close()
package server

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/drainer"
	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Error is the class of all errors of this package.
var Error = errs.Class("server")

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxElements    = 100_000
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultDeadline       = 2 * time.Minute
	// answerTimeout is how long a caller may leave a piece of its answer unread.
	answerTimeout = 30 * time.Second
	// maxDeadline bounds the deadline that a request may set in its header.
	maxDeadline = time.Hour
)

// Configuration provides the objects in force.
type Configuration interface {
	Current() *registrar.Snapshot
}

// Completer executes model calls and writes their answers to the sink.
type Completer interface {
	Complete(ctx context.Context, request completer.Request, sink completer.Sink) error
}

// Invoker executes calls to services, as opposed to models, and returns their answers.
type Invoker interface {
	Invoke(ctx context.Context, request invoker.Request) (invoker.Answer, error)
}

// Readiness reports why the daemon may not take traffic yet.
type Readiness interface {
	// NotReady returns the reasons why the daemon may not take traffic, or nothing if it may.
	NotReady() []string
}

// Settings are the parameters of a Server. Zero values are replaced by the defaults.
type Settings struct {
	Configuration Configuration
	Completer     Completer
	Invoker       Invoker
	Readiness     Readiness
	// OnRefusal, if set, is called with each refusal. The account is empty if the request was not
	// authenticated.
	OnRefusal func(account string, refusal *refuser.Refusal)
	// OnRequestEnd, if set, is called with the kind of each request (chat, models or service) and
	// its outcome.
	OnRequestEnd func(kind string, outcome observer.OutcomeLabel)
	// Metrics, if set, serves /metrics.
	Metrics http.Handler
	Tracer  trace.Tracer
	Log     *slog.Logger
	// TLS, if set, encrypts the callers' port.
	TLS *tls.Config
	// MaxBodyBytes bounds a request's body; 8 MiB by default.
	MaxBodyBytes int64
	// MaxListElements bounds the elements of all lists in a chat, such as messages and their parts; 100,000 by default.
	MaxListElements int
	// MaxHeaderBytes bounds a request's headers; 32 KiB by default.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to receive the headers; 5 s by default.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to receive the body; 30 s by default.
	BodyTimeout time.Duration
	// Memory bounds the memory of all open requests together. Default: no bound.
	Memory *reserver.Memory
	// MaxConnections bounds the connections that are open at once. Default: no bound.
	MaxConnections int
	// DefaultDeadline applies to requests without a deadline header; 2 minutes by default.
	DefaultDeadline time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.MaxListElements == 0 {
		s.MaxListElements = defaultMaxElements
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if s.HeaderTimeout == 0 {
		s.HeaderTimeout = defaultHeaderTimeout
	}
	if s.BodyTimeout == 0 {
		s.BodyTimeout = defaultBodyTimeout
	}
	if s.DefaultDeadline == 0 {
		s.DefaultDeadline = defaultDeadline
	}
	if s.OnRequestEnd == nil {
		s.OnRequestEnd = func(string, observer.OutcomeLabel) {}
	}
	if s.Tracer == nil {
		s.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	return s
}

// Server serves the callers' port.
type Server struct {
	settings   Settings
	http       *http.Server
	propagator propagation.TextMapPropagator
	leaving    atomic.Bool
	// draining is set once Shutdown refuses further calls.
	draining atomic.Bool
	// drainer tracks the connections. It cancels all open requests with errShutdown when the context of Shutdown ends or
	// on Close.
	drainer      *drainer.Drainer
	openRequests sync.WaitGroup
}

// writeTimeout limits the time for writing the answers of cancelled requests whose handlers have returned.
const writeTimeout = time.Second

// errShutdown is the cancellation cause of requests that Shutdown or Close cancels.
var errShutdown = errors.New("the daemon is shutting down")

// New returns a Server.
func New(settings Settings) (s *Server, err error) {
	defer Error.WrapP(&err)
	if settings.Configuration == nil || settings.Completer == nil || settings.Invoker == nil {
		return nil, errs.New("configuration, completer and invoker are needed")
	}
	s = &Server{settings: settings.withDefaults(), propagator: otel.GetTextMapPropagator()}
	if largest := s.settings.Memory.LargestBody(chatCopies); s.settings.MaxBodyBytes > largest {
		s.settings.Log.Warn("larger bodies are allowed than there is memory for", "limit", s.settings.MaxBodyBytes, "largest_chat", largest)
	}
	s.http = &http.Server{
		Handler:           markHandlerStarted(limitUnreadBodies(s.Handler())),
		ConnContext:       contextWithConnection,
		ConnState:         resetIdleConnection,
		ReadHeaderTimeout: s.settings.HeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    s.settings.MaxHeaderBytes,
		TLSConfig:         s.settings.TLS,
		HTTP2:             newHTTP2Config(),
		ErrorLog:          slog.NewLogLogger(s.settings.Log.Handler(), slog.LevelDebug),
	}
	drain := drainer.Settings{
		AbortCause: errShutdown, Logger: s.settings.Log, MaxConnections: s.settings.MaxConnections, WriteTimeout: answerTimeout,
	}
	if s.settings.Memory != nil {
		drain.Heads, drain.EndStalled = s.settings.Memory, s.settings.Memory.EvictStalled
		drain.Streams, drain.RefuseStream = s.settings.Memory, s.refuseStream
	}
	s.drainer = drainer.New(s.http, drain)
	return s, nil
}

// Handler returns the handler of the callers' port.
func (s *Server) Handler() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = true
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.POST("/v1/chat/completions", s.authenticated("chat", s.chat))
	router.GET("/v1/models", s.authenticated("models", s.models))
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, "/services/:service/*path", s.authenticated("service", s.service))
	}
	router.GET("/healthz", s.serveLiveness)
	router.GET("/readyz", s.serveReadiness)
	if s.settings.Metrics != nil {
		router.Handler(http.MethodGet, "/metrics", s.settings.Metrics)
	}
	router.NotFound = s.refusalHandler(refuser.CodeNotFound, "no such path")
	router.MethodNotAllowed = s.refusalHandler(refuser.CodeMethodNotAllowed, "the path does not take this method")
	return router
}

func (s *Server) refusalHandler(code refuser.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeRefusal(w, "", refuser.New(code, "%s", message))
	})
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) (err error) {
	defer Error.WrapP(&err)
	listener = s.drainer.Track(listener)
	if s.settings.TLS != nil {
		err = s.http.ServeTLS(listener, "", "")
	} else {
		err = s.http.Serve(jsonErrorListener{listener})
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave makes /readyz fail, so that load balancers send no new requests. Requests that still
// arrive are served; their answers announce the end of the connection.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.drainer.Leave()
}

// Shutdown answers all requests that have arrived, also on connections that are still in the listener's queue, closes
// connections between requests, and stops accepting once no request is open. Calls that are open are served. Those whose body
// was not read yet are refused as not run, since they might not end in time. When the context ends, Shutdown cancels the
// requests that are still open; their callers receive a refusal or, in a stream that has started, an error event.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer Error.WrapP(&err)
	s.Leave()
	s.draining.Store(true)
	s.drainer.Drain(ctx)
	s.awaitCancelled()
	return s.drainer.Close()
}

// Close cancels all open requests, waits for them and closes the connections.
func (s *Server) Close() (err error) {
	defer Error.WrapP(&err)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	s.drainer.Drain(cancelled)
	s.awaitCancelled()
	return s.drainer.Close()
}

// Connections returns the number of connections that are open, that made room for others and that were closed since there were too many.
func (s *Server) Connections() (open, displaced, refused int64) { return s.drainer.Connections() }

// awaitCancelled waits until the handlers of cancelled requests have returned, which may take longer than the drain waits,
// and until their answers are written.
func (s *Server) awaitCancelled() {
	s.openRequests.Wait()
	if s.drainer.OpenRequests() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.drainer.Drain(ctx)
}

// caller identifies the client account of a request, with the configuration in force when the
// request arrived.
type caller struct {
	account   *registrar.Account
	snapshot  *registrar.Snapshot
	requestID string
}

// handler serves an authenticated request and returns its outcome.
type handler func(w http.ResponseWriter, r *http.Request, parameters httprouter.Params, c caller) observer.OutcomeLabel

// authenticated wraps a handler. For each request it starts a span, looks up the client account of
// the bearer key, calls the handler and reports the outcome.
func (s *Server) authenticated(kind string, next handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
		s.openRequests.Add(1)
		defer s.openRequests.Done()
		ctx, cancel := s.requestContext(r)
		defer cancel()
		ctx, span := s.settings.Tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("kind", kind)))
		defer span.End()
		requestID := uuid.NewString()
		w.Header().Set(headerRequestID, requestID)
		snapshot := s.settings.Configuration.Current()
		account, refusal := authenticate(snapshot, r.Header.Get("Authorization"))
		if refusal != nil {
			s.writeRefusal(w, "", refusal)
			s.settings.OnRequestEnd(kind, observer.OutcomeNotRun)
			return
		}
		span.SetAttributes(attribute.String("account", account.Name), attribute.String("request_id", requestID))
		outcome := next(w, r.WithContext(ctx), parameters, caller{account: account, snapshot: snapshot, requestID: requestID})
		s.settings.OnRequestEnd(kind, outcome)
	}
}

// requestContext returns a context that continues the caller's trace. It is cancelled when the
// caller disconnects or, with the cause errShutdown, when the daemon cancels its open requests.
func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := s.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return context.WithCancel(ctx)
}

const bearerPrefix = "Bearer "

func authenticate(snapshot *registrar.Snapshot, authorization string) (account *registrar.Account, refusal *refuser.Refusal) {
	if snapshot == nil {
		return nil, refuser.New(refuser.CodeNotReady, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok || key == "" {
		return nil, refuser.New(refuser.CodeUnauthenticated, "the header Authorization: Bearer KEY is needed")
	}
	account, ok = snapshot.AccountByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return nil, refuser.New(refuser.CodeUnauthenticated, "the key belongs to no client account")
	}
	return account, nil
}
