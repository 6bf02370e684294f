// Package invoker handles calls to plain services. An idempotent call is retried at other targets
// within a retry budget and hedged, that is sent to a second target, if there is no answer after
// part of the time to its deadline. All other calls go through the dispatcher, which runs each at
// most once.
//
// # Usage
//
//	i := invoker.New(invoker.Settings{
//		Configuration: configuration, Admission: admission, Ledger: ledger, Targets: targets,
//	})
//	answer, err := i.Invoke(ctx, request)
//	refusal := refuser.From(err)
package invoker

import (
	"cmp"
	"context"
	"crypto/sha256"
	"log/slog"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("invoker")

// DefaultHedgeFraction is the default of Settings.HedgeFraction.
const DefaultHedgeFraction = 0.5

// Request is a caller's call to a service.
type Request struct {
	ID      string
	Account string
	Service string
	Method  string
	// Path is relative to the service.
	Path        string
	Query       string
	ContentType string
	// Key is the caller's Idempotency-Key, or empty.
	Key  string
	Body []byte
	// Memory is what Body takes; it may be nil.
	Memory   dispatcher.Memory
	Deadline time.Time
}

// Answer is the service's answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Repeated reports whether the response is the stored answer to an earlier call with the
	// same key.
	Repeated bool
}

// Configuration returns the current snapshot of the operators' objects.
type Configuration interface {
	Current() *registrar.Snapshot
}

// Admission admits calls within the limits. The release function must be called when an admitted
// call has ended.
type Admission interface {
	Admit(ctx context.Context, request limiter.Request) (release func(), err error)
}

// Ledger runs non-idempotent calls at most once. A dispatcher.Dispatcher implements it.
type Ledger interface {
	Dispatch(ctx context.Context, call dispatcher.Call) (dispatcher.Answer, error)
}

// Metrics tracks the calls that are running and counts attempts by result. BeginRequest is called
// when a caller's request starts, with the kind of the request, and end when it has ended.
type Metrics interface {
	BeginRequest(kind string) (end func())
	CountAttempt(result string)
}

// Settings are the parameters of an Invoker.
type Settings struct {
	Configuration Configuration
	Admission     Admission
	// SelectorAdmission admits calls within the limits of selectors. Its requests carry the name of a
	// selector as their account. It may be nil.
	SelectorAdmission Admission
	Ledger            Ledger
	// Targets chooses and calls targets.
	Targets *Targets
	// AllowRetry reports whether the retry budget allows an idempotent call that may be running to
	// be sent again. Default: always.
	AllowRetry func() bool
	// HedgeFraction is the fraction of the time to its deadline after which an idempotent call
	// without an answer is also sent to a second target. Default: DefaultHedgeFraction.
	HedgeFraction float64
	Metrics       Metrics
	Tracer        trace.Tracer
	Log           *slog.Logger
}

// Invoker handles calls to services.
type Invoker struct {
	settings Settings
}

// New returns an Invoker.
func New(settings Settings) *Invoker {
	if settings.Tracer == nil {
		settings.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	if settings.AllowRetry == nil {
		settings.AllowRetry = func() bool { return true }
	}
	settings.HedgeFraction = cmp.Or(settings.HedgeFraction, DefaultHedgeFraction)
	return &Invoker{settings: settings}
}

// Invoke runs the call and returns the service's answer. Every error is a *refuser.Refusal that
// reports whether the call may have run.
func (i *Invoker) Invoke(ctx context.Context, request Request) (answer Answer, err error) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	if i.settings.Metrics != nil {
		end := i.settings.Metrics.BeginRequest("service")
		defer end()
	}
	operation, err := i.authorizeOperation(request)
	if err != nil {
		return Answer{}, err
	}
	if operation.Timeout > 0 {
		request.Deadline = earlier(request.Deadline, time.Now().Add(operation.Timeout))
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	release, err := i.admit(ctx, request)
	if err != nil {
		return Answer{}, completer.AdmissionRefusal(err)
	}
	defer release()
	if operation.Idempotent {
		return i.invokeIdempotent(ctx, request)
	}
	return i.dispatch(ctx, request, operation)
}

// authorizeOperation returns the operation that the call requests. It checks that a selector allows the
// account to use the service, and that a call that is not idempotent has a key.
func (i *Invoker) authorizeOperation(request Request) (operation *registrar.Operation, err error) {
	snapshot := i.settings.Configuration.Current()
	service, ok := snapshot.Service(request.Service)
	if !ok {
		return nil, refuser.New(refuser.CodeUnknownService, "service %q is not declared", request.Service)
	}
	operation = matchOperation(service, request.Method, request.Path)
	if operation == nil {
		return nil, refuser.New(refuser.CodeUnknownOperation, "service %q has no operation %s %s", service.Name, request.Method, request.Path)
	}
	if !accountAllowed(snapshot, request) {
		return nil, refuser.New(refuser.CodeForbidden, "no selector allows account %q to use service %q", request.Account, service.Name)
	}
	if !operation.Idempotent && request.Key == "" {
		return nil, refuser.New(refuser.CodeIdempotencyKeyMissing, "operation %q is not idempotent and needs the header Idempotency-Key", operation.Name)
	}
	return operation, nil
}

func accountAllowed(snapshot *registrar.Snapshot, request Request) bool {
	for _, verdict := range snapshot.Verdicts(registrar.Request{Account: request.Account, Service: request.Service}) {
		if verdict.Allowed {
			return true
		}
	}
	return false
}

func matchOperation(service *registrar.Service, method, path string) *registrar.Operation {
	for i := range service.Operations {
		operation := &service.Operations[i]
		if strings.EqualFold(operation.Method, method) && operation.Path == path {
			return operation
		}
	}
	return nil
}

func (i *Invoker) admit(ctx context.Context, request Request) (release func(), err error) {
	ctx, span := i.settings.Tracer.Start(ctx, "queue")
	defer span.End()
	releaseAccount, err := i.settings.Admission.Admit(ctx, limiter.Request{Account: request.Account, Deadline: request.Deadline})
	if err != nil || i.settings.SelectorAdmission == nil {
		return releaseAccount, err
	}
	selector := i.limitingSelector(request)
	releaseSelector, err := i.settings.SelectorAdmission.Admit(ctx, limiter.Request{Account: selector, Deadline: request.Deadline})
	if err != nil {
		releaseAccount()
		return nil, err
	}
	return func() {
		releaseSelector()
		releaseAccount()
	}, nil
}

// limitingSelector returns the name of the selector with the highest priority that allows the
// account any target of the service. The limits of that selector apply to the whole service.
func (i *Invoker) limitingSelector(request Request) string {
	name, priority := "", 0
	for _, verdict := range i.settings.Configuration.Current().Verdicts(registrar.Request{Account: request.Account, Service: request.Service}) {
		if verdict.Allowed && (name == "" || verdict.Priority > priority) {
			name, priority = verdict.Selector, verdict.Priority
		}
	}
	return name
}

// dispatch runs a non-idempotent call through the dispatcher.
func (i *Invoker) dispatch(ctx context.Context, request Request, operation *registrar.Operation) (answer Answer, err error) {
	ctx, span := i.settings.Tracer.Start(ctx, "ledger")
	defer span.End()
	ledgerAnswer, err := i.settings.Ledger.Dispatch(ctx, dispatcher.Call{
		Account:     request.Account,
		Service:     request.Service,
		Operation:   operation.Name,
		Key:         request.Key,
		BodyDigest:  sha256.Sum256(request.Body),
		Method:      request.Method,
		Path:        request.Path,
		Query:       request.Query,
		ContentType: request.ContentType,
		Body:        request.Body,
		Memory:      request.Memory,
		Deadline:    request.Deadline,
		RequestID:   request.ID,
	})
	if err != nil {
		return Answer{}, dispatcherRefusal(err)
	}
	return Answer{
		Status:      ledgerAnswer.Status,
		ContentType: ledgerAnswer.ContentType,
		Body:        ledgerAnswer.Body,
		Repeated:    ledgerAnswer.Repeated,
	}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
