// Package relayer takes a caller's request to a target and the target's answer back.
//
// One run decides everything about one request: whether it is allowed, where it is sent, what may
// be sent again, and what the caller is told. A request of a route that forbids repetition is never
// sent again unless its target said that it did not run it, and a refusal that says "not run" is
// given only where no target has run it.
//
// # Usage
//
//	r := relayer.New(relayer.Settings{Knowledge: knowledge, Places: placer, Targets: connector, Codec: codec})
//	r.Relay(ctx, writer, call)
package relayer

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Call is a caller's request, read whole.
type Call struct {
	ID     string
	Method string
	URI    string
	Path   string
	Host   string
	// Header holds what is passed on; what concerns one connection or is the daemon's to set is
	// left out.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Key is empty where the caller gave none.
	Key string
	// Patience is how long the caller waits; zero where it did not say.
	Patience time.Duration
	// Prompt is what the caller said of the prompt.
	Prompt Prompt
	// LastEvent is the event after which the caller wants a stream to go on.
	LastEvent string
	Arrived   time.Time
}

// Prompt describes the prompt of a model call.
type Prompt struct {
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []placer.Part
}

// Attempt is what is told to the target beside the call.
type Attempt struct {
	Target placer.Target
	// Account is the name of the client account; empty on anonymous routes.
	Account string
	// Left is the time until the deadline.
	Left time.Duration
	// Weights are expected of the target; zero expects none.
	Weights int64
	// Wall and Weights name the cache that the request may use.
	Wall string
	// FetchFrom is where the target may fetch parts of the prompt.
	FetchFrom netip.AddrPort
	// SaveTo is where the target sends the parts that it has read.
	SaveTo netip.AddrPort
	// Urgency ranks requests at the target; zero is the most urgent.
	Urgency int
	// After is the last event that the caller has; empty for a whole stream.
	After string
}

// Answer is what the head of a target's answer says beside its status.
type Answer struct {
	// NotRun says that the target did not run the request.
	NotRun bool
	// OtherTarget says that another target has the address.
	OtherTarget bool
	// OtherWeights says that the target has other weights than expected.
	OtherWeights bool
	// Weights are those of the target; zero where it names none.
	Weights int64
	// Requests counts what the target has in hand; negative where it does not tell.
	Requests int
}

// Codec translates between calls and the targets' form of HTTP.
type Codec interface {
	Request(call *Call, attempt Attempt) connector.Request
	Answer(status int, header http.Header) Answer
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// Targets sends requests.
type Targets interface {
	Send(ctx context.Context, address netip.AddrPort, request connector.Request) (*connector.Response, error)
}

// Places chooses targets.
type Places interface {
	Choose(call placer.Call, excluded []string) (placer.Choice, error)
}

// Knowledge is what the daemon knows of the configuration.
type Knowledge interface {
	// Catalog returns the newest accepted configuration, or nil before the first.
	Catalog() *cataloger.Catalog
	// ContactAge is the time since the configuration was last known to be the newest.
	ContactAge() time.Duration
}

// Budget bounds the repetition of requests over all daemons.
type Budget interface {
	// Deposit counts a request to a service.
	Deposit(service string)
	// Withdraw asks to send a request of the service once more.
	Withdraw(service string) bool
}

// Strikes counts the targets that broke while they ran a request.
type Strikes interface {
	Convicted(fingerprint uint64) bool
	Strike(fingerprint, incarnation uint64)
}

// Settings are the parameters of a Relayer. All but Logger, Tracer and Strikes are needed.
type Settings struct {
	Knowledge Knowledge
	Places    Places
	Targets   Targets
	Codec     Codec
	Budget    Budget
	Strikes   Strikes
	Logger    *slog.Logger
	// Tracer makes a span for each request and each of its attempts.
	Tracer trace.Tracer
	// Bounds are asked for with each request, since settings may change.
	Bounds func() Bounds
	// Observe takes the outcome of each request.
	Observe func(Outcome)
}

// Bounds limit what is done without contact to the platform's store.
type Bounds struct {
	// Key is the age of contact beyond which no request with a key is sent.
	Key time.Duration
	// Denial is the age of contact beyond which an unknown route or key may be newer than the
	// daemon's configuration.
	Denial time.Duration
}

// Outcome is how a request ended, for metrics.
type Outcome struct {
	Repeat   cataloger.Repeat
	Result   string
	NotRun   bool
	Attempts int
	First    time.Duration
	Total    time.Duration
	// Read and Prompt are the prompt tokens that the target was expected to read, and all of them.
	Read   int
	Prompt Prompt
}

// Relayer relays requests. Its methods are safe for concurrent use.
type Relayer struct {
	settings Settings
}

// New returns a Relayer.
func New(settings Settings) *Relayer {
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	if settings.Tracer == nil {
		settings.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if settings.Observe == nil {
		settings.Observe = func(Outcome) {}
	}
	return &Relayer{settings: settings}
}

// Relay answers the call. It panics with http.ErrAbortHandler where an answer that has begun
// cannot be ended truthfully, so that the caller sees a broken answer.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, call *Call) {
	u := &run{relayer: r, call: call, writer: w, ctx: ctx}
	endSpan := u.traceRequest()
	u.relay()
	u.report()
	endSpan()
	if u.abort {
		panic(http.ErrAbortHandler)
	}
}
