// Package completer serves model calls: it plans which targets a call may use, admits the call
// within the limits, runs it over as many attempts as it needs, and reports the outcome of each
// attempt to the router, the quarantine and the metrics.
//
// # Usage
//
//	c := completer.New(completer.Settings{Admission: admission, Planner: pools, AttemptRunner: streams})
//	err := c.Complete(ctx, request, sink)
//	refusal := refuser.From(err)
//
// Every error of Complete is a *refuser.Refusal that says whether any part of the call may have
// run.
package completer

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("completer")

const (
	priorityInteractive = 10
	priorityDeferrable  = 0
)

// Class is the scheduling class of a call. It depends on whether the caller waits for the answer.
type Class = router.Class

// Head is the metadata that a sink receives before the first event.
type Head = streamer.Head

// Event is one chunk of an answer.
type Event = streamer.Event

// Sink receives the head and the events of an answer.
type Sink = streamer.Sink

// Request is a model call as the caller sent it.
type Request struct {
	ID      string
	Account string
	// Model is the model's name, followed by "@version" if only that version may answer.
	Model     string
	Messages  []hasher.Message
	MaxTokens int
	// Options is a JSON object of additional fields for the engine, or empty.
	Options string
	Class   Class
	// ArrivedAt is when the call arrived.
	ArrivedAt time.Time
	Deadline  time.Time
}

// Admission waits until a call may start within the limits, or rejects it.
type Admission interface {
	Admit(ctx context.Context, request limiter.Request) (release func(), err error)
}

// Planner plans which targets a call may use.
type Planner interface {
	Plan(query pooler.Query) (*pooler.Plan, error)
}

// AttemptRunner runs the attempts of a call and delivers the answer to the sink.
type AttemptRunner interface {
	Run(ctx context.Context, request streamer.Request, chooser streamer.TargetChooser, sink streamer.Sink) (streamer.Outcome, error)
}

// Quarantine blocks calls that have crashed targets, so that they do not crash more of them.
type Quarantine interface {
	// Begin asks whether the call may start at the target. It returns an error if the call may
	// not; a quarantiner.PinnedError names the only target where it may run. The caller
	// reports the outcome of the attempt through end.
	Begin(ctx context.Context, fingerprint quarantiner.Fingerprint, target, incarnation string) (end func(quarantiner.Outcome), err error)
}

// BlockMover transfers cached blocks to a target that lacks them, concurrently with the calls.
type BlockMover interface {
	Move(move router.Move)
}

// Metrics records calls, routing decisions, attempts and answers.
type Metrics interface {
	BeginRequest(kind string) (end func())
	RecordDecision(took time.Duration)
	CountAttempt(result string)
	RecordAnswer(model string, promptTokens, cachedTokens, tokens int, firstToken time.Duration)
}

// Settings are the parameters of a Completer.
type Settings struct {
	Admission Admission
	// SelectorAdmission limits the traffic of each selector. Its requests name the selector in the field
	// Account. Nil means no limits.
	SelectorAdmission Admission
	Planner           Planner
	AttemptRunner     AttemptRunner
	Quarantine        Quarantine
	// Crashes finds out which messages crash targets. Nil means that none is refused.
	Crashes    CrashAttributor
	BlockMover BlockMover
	Metrics    Metrics
	Tracer     trace.Tracer
	Log        *slog.Logger
}

// Completer serves model calls.
type Completer struct {
	settings Settings
}

// New returns a Completer. SelectorAdmission, Quarantine, BlockMover, Metrics, Tracer and Log are
// optional.
func New(settings Settings) *Completer {
	if settings.Tracer == nil {
		settings.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	if settings.Quarantine == nil {
		settings.Quarantine = noQuarantine{}
	}
	if settings.Metrics == nil {
		settings.Metrics = noMetrics{}
	}
	return &Completer{settings: settings}
}

// Complete runs the call until its answer is complete, the deadline passes or no target is
// left. The sink receives the events in order.
func (c *Completer) Complete(ctx context.Context, request Request, sink Sink) (err error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	end := c.settings.Metrics.BeginRequest("chat")
	defer end()
	plan, err := c.settings.Planner.Plan(pooler.Query{
		Account:   request.Account,
		Model:     request.Model,
		Messages:  request.Messages,
		MaxTokens: request.MaxTokens,
		Class:     request.Class,
	})
	if err != nil {
		return planRefusal(err)
	}
	release, err := c.admit(ctx, request, plan)
	if err != nil {
		return AdmissionRefusal(err)
	}
	defer release()
	return c.run(ctx, request, plan, sink)
}

func (c *Completer) admit(ctx context.Context, request Request, plan *pooler.Plan) (release func(), err error) {
	ctx, span := c.settings.Tracer.Start(ctx, "queue")
	defer span.End()
	return c.settings.Admission.Admit(ctx, limiter.Request{
		Account:  request.Account,
		Class:    request.Class,
		Tokens:   plan.Request.PromptTokens + request.MaxTokens,
		Deadline: request.Deadline,
	})
}

func (c *Completer) run(ctx context.Context, request Request, plan *pooler.Plan, sink Sink) error {
	targets := &chooser{completer: c, plan: plan, fingerprint: fingerprint(request), causes: sharedMessageCauses(request), inFlight: make(map[string]*inFlightAttempt)}
	defer targets.finishRemaining()
	recorder := &recordingSink{Sink: sink, chooser: targets}
	outcome, err := c.settings.AttemptRunner.Run(ctx, streamer.Request{
		ID:        request.ID,
		Account:   request.Account,
		Model:     plan.Model.Name,
		Adapter:   plan.Adapter(),
		Messages:  forwarderMessages(request.Messages),
		MaxTokens: request.MaxTokens,
		Options:   request.Options,
		Priority:  priority(request.Class),
		Deadline:  request.Deadline,
	}, targets, recorder)
	c.countAttempts(outcome)
	targets.finishAttempts(outcome.Attempts)
	if err != nil {
		return runRefusal(ctx, err)
	}
	c.settings.Metrics.RecordAnswer(plan.Model.Name, recorder.head.PromptTokens, recorder.head.CachedTokens,
		outcome.Delivered, recorder.beganAt.Sub(request.ArrivedAt))
	return nil
}

// countAttempts counts the attempts by result. The streamer has already reported failures of
// the targets, at the end of each attempt.
func (c *Completer) countAttempts(outcome streamer.Outcome) {
	for _, attempt := range outcome.Attempts {
		c.settings.Metrics.CountAttempt(attemptResult(attempt))
		if attempt.Err != nil {
			c.settings.Log.Debug("completer: attempt failed", "target", attempt.Target, "delivered", attempt.Delivered, "error", attempt.Err)
		}
	}
}

// fingerprint returns a hash that is the same for equal calls of an account, so that the
// quarantine recognizes a repeated call without storing its prompt.
func fingerprint(request Request) quarantiner.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{request.Model, request.Options, hasher.Prompt(request.Messages)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	return quarantiner.NewFingerprint(request.Account, [sha256.Size]byte(hash.Sum(nil)))
}

func forwarderMessages(messages []hasher.Message) []forwarder.Message {
	mapped := make([]forwarder.Message, 0, len(messages))
	for _, message := range messages {
		mapped = append(mapped, forwarder.Message{Role: message.Role, Content: message.Content})
	}
	return mapped
}

func priority(class Class) int {
	if class == router.ClassDeferrable {
		return priorityDeferrable
	}
	return priorityInteractive
}
