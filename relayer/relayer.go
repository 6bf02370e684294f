// Package relayer forwards callers' requests to targets and the targets' answers back to the callers.
//
// For each request it checks whether the configuration allows it, chooses targets, decides after a failed
// attempt whether to retry, and answers the caller. A request on a route that forbids retries is sent
// again only if no byte of it was sent or its target reported that it did not run it. If the daemon reaches no target, the request is
// passed on to another daemon. Refusal.NotRun is set
// only if no target can have run the request.
//
// # Usage
//
//	r := relayer.New(relayer.Settings{Configuration: configuration, Placer: placer, Targets: connector, Codec: codec})
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

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Call is a caller's request with its complete body.
type Call struct {
	ID     string
	Method string
	URI    string
	Path   string
	Host   string
	// Header holds the headers to forward, without hop-by-hop headers and those that the daemon sets.
	Header  http.Header
	Body    []byte
	Chunked bool
	// Key is the API key; empty if the caller sent none.
	Key string
	// Timeout is the timeout that the caller set for the request; zero if it set none.
	Timeout time.Duration
	// Prompt is the description of the prompt in the caller's headers.
	Prompt Prompt
	// LastEventID is the id of the event after which the caller takes a stream up again; empty for a new stream. Resumes is the
	// id of the request that brought the stream's first event, as far as the caller tells it.
	LastEventID string
	Resumes     string
	ArrivedAt   time.Time
	// Delegated is set if another daemon, which reaches no target, passed the call on.
	Delegated bool
	// ReleaseBody, if set, is called once no attempt can need the body any more, at the end of the call at the latest.
	ReleaseBody func()
}

// Prompt describes the prompt of a model call.
type Prompt struct {
	Model        string
	PromptTokens int
	// OutputTokens is the expected length of the answer, and MaxOutputTokens the largest that the caller allows.
	OutputTokens    int
	MaxOutputTokens int
	// TokensCounted is set if the caller stated the numbers of tokens.
	TokensCounted bool
	Parts         []placer.Part
}

// Load is what a target reports of its load.
type Load struct {
	// Reported is set if the target reports its load; the other fields have no meaning otherwise.
	Reported bool
	// Running and Waiting are the numbers of running and waiting requests, and Slots is the number that may run at once.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes at the target at this moment, in percent of its usual time; zero if it does not report it.
	WorkPercent int
}

// Requests returns the number of running and waiting requests.
func (l Load) Requests() int { return l.Running + l.Waiting }

// Attempt contains what the codec sends to a target in addition to the call.
type Attempt struct {
	Target placer.Target
	// Account is the name of the client account; empty on anonymous routes.
	Account string
	// Remaining is the time that remains until the deadline.
	Remaining time.Duration
	// Weights is the version of the weights that the target is expected to serve; zero for services without a model.
	Weights int64
	// CacheNamespace and Weights form the cache salt: requests share cached parts only if both are equal.
	CacheNamespace string
	// FetchFrom is the address from which the target may fetch cached parts of the prompt.
	FetchFrom netip.AddrPort
	// SaveTo is the address to which the target sends the cached parts that it has computed.
	SaveTo netip.AddrPort
	// Urgency is the scheduling priority at the target; zero is the most urgent.
	Urgency int
	// LastEventID is the id of the last event that the caller has; empty if the stream starts at its beginning.
	LastEventID string
}

// Answer contains what the status and the headers of a target's answer report.
type Answer struct {
	// NotRun is set if the target did not run the request.
	NotRun bool
	// Sealed is set if the answer bears the mark of a target that ran the request.
	Sealed bool
	// Unproven is set for a success without that mark, and Unnamed if the answer names no request.
	Unproven, Unnamed bool
	// OtherTarget is set if another target than the chosen one answered at the address.
	OtherTarget bool
	// OtherWeights is set if the target serves another version of the weights than expected.
	OtherWeights bool
	// Weights is the version of the weights that the target serves; zero if it reports none.
	Weights int64
	// Load is the load of the target as it reports it.
	Load Load
	// RateLimit is the number of requests a second that the target takes from all daemons together; negative if it names
	// none.
	RateLimit float64
	// Brittle is the number of requests that the target can turn away in a second without a crash; negative if it names none.
	Brittle float64
	// Leaving is set if the target says that it is leaving.
	Leaving bool
	// RetryAfter is how long the target, which turned the request away, wants no requests of this daemon; zero if it asked for
	// no time. OddRetryAfter is the text with which it asked if that is no time.
	RetryAfter    time.Duration
	OddRetryAfter string
}

// Codec translates calls and answers to and from the HTTP headers of the platform.
type Codec interface {
	// Request encodes the request that an attempt sends to its target.
	Request(call *Call, attempt Attempt) connector.Request
	// Answer decodes the status and the headers of a target's answer.
	Answer(status int, header http.Header) Answer
	// Refuse writes a refusal to the caller.
	Refuse(w http.ResponseWriter, refusal Refusal)
}

// TargetClient sends one request to a target, without retries.
type TargetClient interface {
	// Send returns once the head of the answer has arrived. Its error is a connector.UnsentError if no byte
	// of the request was sent.
	Send(ctx context.Context, address netip.AddrPort, request connector.Request) (*connector.Response, error)
}

// Placer chooses targets.
type Placer interface {
	// Choose returns a target for the call, without those whose ids are excluded.
	Choose(call placer.Call, excluded []string) (placer.Choice, error)
}

// Configuration provides the daemon's copy of the configuration.
type Configuration interface {
	// Catalog returns the newest accepted configuration, or nil before the first one.
	Catalog() *cataloger.Catalog
	// ContactAge returns the time since the configuration was last confirmed to be the newest.
	ContactAge() time.Duration
}

// RetryBudget limits the retries of all daemons together to a fraction of their requests.
type RetryBudget interface {
	// Deposit credits the budget of a service for one request.
	Deposit(service string)
	// TryWithdraw withdraws the credit for one retry from the budget of a service, and reports whether there was enough.
	TryWithdraw(service string) bool
}

// CrashAttributor finds out which causes in requests crash targets: a request as a whole, or a shared part of its prompt.
type CrashAttributor interface {
	// Verdict tells whether a request with these causes is to be refused, since they crash targets.
	Verdict(causes []attributor.Cause) attributor.Verdict
	// RecordBroken records that the connection to an incarnation of a target broke while it ran a request with these
	// causes. The incarnation is identified by its placer.TargetHash.
	RecordBroken(causes []attributor.Cause, incarnation uint64, address netip.AddrPort)
	// RecordCompletion records that the answer to a request with these causes is complete.
	RecordCompletion(causes []attributor.Cause)
}

// Origins knows which version of the targets' software began each stream.
type Origins interface {
	// Record records the version of the software that began a stream, just before the caller gets the first event.
	Record(stream recorder.Stream, software string)
	// Find returns the only version at which a stream can go on. known is false if it cannot be told.
	Find(ctx context.Context, stream recorder.Stream) (software string, known bool)
}

// Settings are the parameters of a Relayer. Origins, Quotas, Admission, Delegator, Crashes, Logger, Tracer and Observe are optional.
type Settings struct {
	Configuration Configuration
	Placer        Placer
	Targets       TargetClient
	Codec         Codec
	RetryBudget   RetryBudget
	// Memory bounds the memory of incomplete answers. Default: no bound of all together.
	Memory *reserver.Budget
	// Origins tells where streams may go on that callers take up again. Default: at any target.
	Origins Origins
	// Quotas bounds what the requests of accounts consume. Default: no bound.
	Quotas Quotas
	// Admission sheds requests of accounts beyond their shares of overloaded services. Default: none are shed.
	Admission Admission
	// Delegator passes calls on whose targets this daemon does not reach. Default: they are refused.
	Delegator Delegator
	Crashes   CrashAttributor
	Logger    *slog.Logger
	// Tracer creates a span for each request and for each of its attempts.
	Tracer trace.Tracer
	// ContactAgeLimits is called for each request, since the limits may change while the daemon runs.
	ContactAgeLimits func() ContactAgeLimits
	// Observe is called with the outcome of each request.
	Observe func(Outcome)
}

// ContactAgeLimits are limits on Configuration.ContactAge beyond which requests are refused.
type ContactAgeLimits struct {
	// KeyUse is the contact age up to which a key may be used. Beyond it no request with a key is sent, since the
	// key may have been revoked.
	KeyUse time.Duration
	// Denial is the contact age up to which a request with an unknown route or key is denied as unknown. Beyond it
	// the route or key may be newer than the daemon's configuration, so the request is refused as retryable.
	Denial time.Duration
}

// Outcome describes a finished request for metrics.
type Outcome struct {
	CallKind cataloger.CallKind
	// Result is ResultAnswered, ResultCallerLeft or a Reason.
	Result string
	// NotRun is set if no target can have run the request.
	NotRun   bool
	Attempts int
	// TimeToFirstEvent is the time from the arrival of the request to the first event or, for an answer that is not
	// a stream, until its body or the first maxBufferedBody bytes of it were read.
	TimeToFirstEvent time.Duration
	Total            time.Duration
	// PrefillTokens is the number of prompt tokens that the target was expected to prefill.
	PrefillTokens int
	// SharedRead is the number of tokens of shared parts among them, and ReadCause why the target had to read them.
	SharedRead int
	ReadCause  placer.ReadCause
	Prompt     Prompt
}

// Relayer forwards requests to targets. Its methods are safe for concurrent use.
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

// Relay forwards the call and writes the answer. It panics with http.ErrAbortHandler if an answer whose head
// was written cannot be completed, so that the server closes the connection and the caller can tell that the
// answer is incomplete.
func (r *Relayer) Relay(ctx context.Context, w http.ResponseWriter, call *Call) {
	request := &relayedRequest{relayer: r, call: call, writer: w, ctx: ctx, rateLimit: -1}
	endSpan := request.traceRequest()
	request.relay()
	request.report()
	endSpan()
	if request.abort {
		panic(http.ErrAbortHandler)
	}
}
