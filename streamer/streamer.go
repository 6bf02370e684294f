// Package streamer executes one model request in as many attempts as it needs and delivers each
// token of the answer once and in order.
//
// Every event of an answer has a position. When a stream breaks, the streamer resumes it after
// the last delivered token at the same target. If that fails, it cancels the run and continues
// at another target with the same weights, from the delivered tokens. An answer is complete when
// the engine sends a finish reason; the end of a connection alone never completes it.
//
// # Usage
//
// A daemon has one Streamer. A TargetChooser supplies the targets and a Sink receives the answer:
//
//	streams := streamer.New(streamer.Settings{Engines: streamer.NewEngineClient(client)})
//	defer streams.Close()
//	outcome, err := streams.Run(ctx, request, chooser, sink)
//	var incomplete *streamer.IncompleteError
//	if errors.As(err, &incomplete) {
//		// Report that the answer ends after incomplete.Delivered tokens, and whether any
//		// target may have run the request (incomplete.MayHaveRun).
//	}
//
// The outcome lists the attempts and what was observed of their targets.
package streamer

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// Error is the class of all errors of this package.
var Error = errs.Class("streamer")

// Defaults of Settings.
const (
	DefaultMaxAttempts   = 8
	DefaultMaxResumes    = 3
	DefaultResumeTimeout = 500 * time.Millisecond
	DefaultResumePause   = 20 * time.Millisecond
	DefaultCancelTimeout = 300 * time.Millisecond
	DefaultRetryRatio    = 0.2
	DefaultRetryBurst    = 20
)

// Request is one model request of a caller.
type Request struct {
	ID        string
	Account   string
	Model     string
	Weights   string
	Adapter   string
	Messages  []forwarder.Message
	MaxTokens int
	// Options is a JSON object of further fields for the engine, or empty.
	Options string
	// Priority is passed on to the engine; higher ones run first.
	Priority int
	// Deadline ends the request. Zero means no deadline.
	Deadline time.Time
}

// Target is an engine to which an attempt is sent.
type Target struct {
	Name    string
	Address netip.AddrPort
	// Weights names the version of the weights that the target must run. Empty means
	// Request.Weights.
	Weights string
	// Incarnation is the incarnation whose cache contains the entries for which the target was
	// chosen. Empty accepts any.
	Incarnation string
}

// TargetChooser selects the target of the next attempt. It receives the earlier attempts, including
// those that are still running, and returns an error if no target is left.
type TargetChooser interface {
	Choose(ctx context.Context, tried []Attempt) (target Target, err error)
}

// AlternativeFinder is a TargetChooser that tells whether another target could take a request. An attempt at a target that
// makes no progress is given up only for another one: a sound target may be silent for a while. With a TargetChooser that
// doesn't tell, it is given up at once.
type AlternativeFinder interface {
	// HasAlternative reports whether a target other than the named ones could take the request now. It may be called from
	// any goroutine.
	HasAlternative(tried []string) bool
}

// Head describes the source of the answer and is passed to the sink before the first event. A
// forwarder.Head describes one run; a Head describes the attempt whose event is delivered first, and
// names its target.
type Head struct {
	Target       string
	Incarnation  string
	Weights      string
	CachedTokens int
	PromptTokens int
}

// Event is a part of the answer.
type Event struct {
	// Position is the position of the event's first token in the answer, counted from zero.
	Position int
	Tokens   int
	Text     string
	// Finish is the engine's finish reason in the last event, and empty in all others.
	Finish string
}

// Sink receives the answer. Begin is called once, before the first event, and Deliver for each
// event. An error of either method ends the request.
type Sink interface {
	Begin(head Head) (err error)
	Deliver(event Event) (err error)
}

// Stream reads the events of one answer.
type Stream interface {
	Head() forwarder.Head
	Next() (event forwarder.Event, err error)
	Close() (err error)
}

// EngineClient starts, resumes and cancels runs at targets.
type EngineClient interface {
	Generate(ctx context.Context, target netip.AddrPort, call forwarder.ModelCall) (stream Stream, err error)
	Resume(ctx context.Context, target netip.AddrPort, runID string, from int) (stream Stream, err error)
	Cancel(ctx context.Context, target netip.AddrPort, runID string) (err error)
}

// StallDetector reports stalled targets. Stalled returns a channel that is closed when the target is
// suspected of making no progress.
type StallDetector interface {
	Stalled(target string) <-chan struct{}
}

// ProgressObserver is notified of each event that a target sends.
type ProgressObserver interface {
	ObserveProgress(target, incarnation string)
}

// AttemptTracker is notified of the start of each attempt. The returned function is called at the
// end of the attempt.
type AttemptTracker interface {
	Begin(target string) (end func())
}

// FailureObserver is notified of the error of each attempt that ends early, unless the streamer
// cancelled it.
type FailureObserver interface {
	ObserveFailure(target string, err error)
}

// Identity is the part of a target's state on which a cache hint depends.
type Identity struct {
	Weights     string
	Incarnation string
}

// HintCorrector is notified when a target answers with another identity than expected.
type HintCorrector interface {
	CorrectHint(target string, expected, got Identity)
}

// Settings configure a Streamer. Zero values are replaced by the defaults. Engines is required; the
// other interfaces may be nil.
type Settings struct {
	Engines        EngineClient
	StallDetector  StallDetector
	Progress       ProgressObserver
	AttemptTracker AttemptTracker
	Failures       FailureObserver
	Hints          HintCorrector
	// MaxAttempts bounds the attempts of one request, hedges included. Resumes of an attempt do not
	// count.
	MaxAttempts int
	// MaxResumes bounds how often a stream is resumed in a row without a new token.
	MaxResumes int
	// ResumeTimeout bounds the wait for a resumed stream. ResumePause is the delay before each
	// further resume without a new token.
	ResumeTimeout time.Duration
	ResumePause   time.Duration
	// CancelTimeout bounds the call that cancels a run at its target.
	CancelTimeout time.Duration
	// RetryRatio is the amount that each request adds to the retry budget; a new attempt costs
	// 1 and a resume 0.1. RetryBurst is the initial and the maximum budget.
	RetryRatio float64
	RetryBurst float64
	// HedgeAfter is how long a request waits for its first token before a second target is
	// tried. Zero disables this delay.
	HedgeAfter time.Duration
	// HedgeFraction is the fraction of the time left to the deadline that a request waits for its
	// first token before a second target is tried. The shorter of this delay and HedgeAfter
	// applies. Zero disables this delay.
	HedgeFraction float64
	// Tracer creates a span for each attempt. The default is the global tracer provider's.
	Tracer trace.Tracer
	// Logger receives the log. The default discards it.
	Logger *slog.Logger
}

func (s Settings) withDefaults() Settings {
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MaxResumes = cmp.Or(s.MaxResumes, DefaultMaxResumes)
	s.ResumeTimeout = cmp.Or(s.ResumeTimeout, DefaultResumeTimeout)
	s.ResumePause = cmp.Or(s.ResumePause, DefaultResumePause)
	s.CancelTimeout = cmp.Or(s.CancelTimeout, DefaultCancelTimeout)
	s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
	s.RetryBurst = cmp.Or(s.RetryBurst, DefaultRetryBurst)
	if s.Tracer == nil {
		s.Tracer = otel.Tracer(tracerName)
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	return s
}

// Streamer executes requests. It is safe for concurrent use.
type Streamer struct {
	settings    Settings
	retryBudget *retryBudget
	workers     conc.WaitGroup
	counters    counters
}

// New returns a streamer.
func New(settings Settings) *Streamer {
	settings = settings.withDefaults()
	return &Streamer{
		settings:    settings,
		retryBudget: newRetryBudget(settings.RetryRatio, settings.RetryBurst),
	}
}

// Close waits for the background goroutines, such as those that cancel runs, to finish. It is called
// after all calls of Run have returned.
func (s *Streamer) Close() (err error) {
	s.workers.Wait()
	return nil
}

// Run executes a request until its answer is complete, or returns an IncompleteError.
func (s *Streamer) Run(ctx context.Context, request Request, chooser TargetChooser, sink Sink) (outcome Outcome, err error) {
	defer Error.WrapP(&err)
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	s.retryBudget.deposit()
	s.counters.requests.Add(1)
	r := &requestState{streamer: s, request: request, chooser: chooser, sink: sink}
	err = r.execute(ctx)
	if err != nil {
		s.counters.incomplete.Add(1)
		err = r.incompleteError(err)
	}
	return r.outcome(), err
}
