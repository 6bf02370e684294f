package invoker

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const labelTrue = "true"

// Target is one target of a service.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// ServiceClient sends calls and look-ups to targets.
type ServiceClient interface {
	CallService(ctx context.Context, target netip.AddrPort, call forwarder.ServiceCall) (forwarder.ServiceAnswer, error)
	Lookup(ctx context.Context, target netip.AddrPort, path, account, key string) (forwarder.LookupAnswer, error)
}

// Liveness tracks which targets accept connections and respond.
type Liveness interface {
	// Usable reports whether the target may get new calls.
	Usable(target string) bool
	// ReportUnreachable reports that nothing could be sent to the target, for example because it
	// refuses connections.
	ReportUnreachable(target string)
	// Begin reports that a call to the target starts; end reports that it has ended.
	Begin(target string) (end func())
}

// Targets chooses targets of services and calls them.
type Targets struct {
	configuration Configuration
	client        ServiceClient
	liveness      Liveness
	dataCentre    string

	mu      sync.Mutex
	running map[string]int
}

// NewTargets returns Targets that chooses among the targets of the configuration and prefers those
// in the given data centre.
func NewTargets(configuration Configuration, client ServiceClient, liveness Liveness, dataCentre string) *Targets {
	return &Targets{
		configuration: configuration,
		client:        client,
		liveness:      liveness,
		dataCentre:    dataCentre,
		running:       make(map[string]int),
	}
}

// choose picks two usable targets at random among those that the selectors allow, and returns the
// one with fewer running calls. It picks targets in other data centres only if the local data centre
// has none.
func (t *Targets) choose(ctx context.Context, account, service string, tried []string) (target Target, err error) {
	if err := ctx.Err(); err != nil {
		return Target{}, err
	}
	local, remote := t.candidates(account, service, tried)
	sample := local
	if sample.size == 0 {
		sample = remote
	}
	if sample.size == 0 {
		return Target{}, refuser.New(refuser.CodeNoTarget, "no target of service %q can take the call", service)
	}
	chosen := sample.first
	if t.runningCalls(sample.second) < t.runningCalls(chosen) {
		chosen = sample.second
	}
	return Target{Name: chosen.Name, Address: chosen.Address}, nil
}

// twoRandom picks two targets at random, independently and with replacement, by reservoir sampling.
type twoRandom struct {
	size          int
	first, second *registrar.Target
}

func (t *twoRandom) add(target *registrar.Target) {
	t.size++
	if rand.IntN(t.size) == 0 {
		t.first = target
	}
	if rand.IntN(t.size) == 0 {
		t.second = target
	}
}

// candidates samples two usable targets in the local data centre and two in other data centres,
// among those that the selectors allow. It skips the targets in tried and those that drain.
func (t *Targets) candidates(account, service string, tried []string) (local, remote twoRandom) {
	request := registrar.Request{Account: account, Service: service}
	for _, verdict := range t.configuration.Current().Verdicts(request) {
		target := verdict.Target
		switch {
		case !verdict.Allowed, slices.Contains(tried, target.Name):
		case target.Labels[registrar.LabelDrain] == labelTrue, !t.liveness.Usable(target.Name):
		case target.DataCentre == t.dataCentre:
			local.add(target)
		default:
			remote.add(target)
		}
	}
	return local, remote
}

func (t *Targets) runningCalls(target *registrar.Target) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[target.Name]
}

func (t *Targets) addRunning(name string, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[name] += delta
	if t.running[name] == 0 {
		delete(t.running, name)
	}
}

// call sends a call to the target and counts it as running meanwhile. If nothing could be sent
// before the context ended, it reports the target as unreachable.
func (t *Targets) call(ctx context.Context, target Target, call forwarder.ServiceCall) (answer forwarder.ServiceAnswer, err error) {
	t.addRunning(target.Name, 1)
	defer t.addRunning(target.Name, -1)
	end := t.liveness.Begin(target.Name)
	defer end()
	answer, err = t.client.CallService(ctx, target.Address, call)
	var notSent *forwarder.NotSentError
	if errors.As(err, &notSent) && ctx.Err() == nil {
		t.liveness.ReportUnreachable(target.Name)
	}
	return answer, err
}

// Preview returns the name of the target that a call would be sent to now.
func (t *Targets) Preview(ctx context.Context, account, service string) (target string, err error) {
	defer Error.WrapP(&err)
	chosen, err := t.choose(ctx, account, service, nil)
	return chosen.Name, err
}

// Choose implements dispatcher.Chooser.
func (t *Targets) Choose(ctx context.Context, call dispatcher.Call, tried []string) (target dispatcher.Target, err error) {
	chosen, err := t.choose(ctx, call.Account, call.Service, tried)
	if err != nil {
		return dispatcher.Target{}, err
	}
	return dispatcher.Target{Name: chosen.Name, Address: chosen.Address}, nil
}

// Send implements dispatcher.Sender.
func (t *Targets) Send(ctx context.Context, target dispatcher.Target, call dispatcher.Call) (answer dispatcher.Answer, err error) {
	got, err := t.call(ctx, Target{Name: target.Name, Address: target.Address}, forwarder.ServiceCall{
		RequestID:   call.RequestID,
		Account:     call.Account,
		Method:      call.Method,
		Path:        call.Path,
		Query:       call.Query,
		ContentType: call.ContentType,
		Key:         call.Key,
		Body:        call.Body,
	})
	if err != nil {
		return dispatcher.Answer{}, sendError(err)
	}
	return dispatcher.Answer{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

// sendError converts the error of an attempt to the error types of dispatcher.Sender.
func sendError(err error) error {
	var notSent *forwarder.NotSentError
	var refused *forwarder.RefusedError
	switch {
	case errors.As(err, &notSent):
		return &dispatcher.NotSentError{Cause: err}
	case errors.As(err, &refused):
		return &dispatcher.NotRunError{Cause: err}
	}
	return &dispatcher.LostAnswerError{Cause: err}
}

// Lookup implements dispatcher.Lookup. It asks any usable target of the service for the state of the
// call with the key.
func (t *Targets) Lookup(ctx context.Context, service, account, key string) (answer dispatcher.Answer, state dispatcher.LookupState, err error) {
	declared, ok := t.configuration.Current().Service(service)
	if !ok || declared.LookupPath == "" {
		return dispatcher.Answer{}, dispatcher.LookupUnsupported, nil
	}
	target, err := t.choose(ctx, account, service, nil)
	if err != nil {
		return dispatcher.Answer{}, dispatcher.LookupUnsupported, err
	}
	got, err := t.client.Lookup(ctx, target.Address, declared.LookupPath, account, key)
	if err != nil {
		return dispatcher.Answer{}, dispatcher.LookupUnsupported, err
	}
	answer = dispatcher.Answer{Status: got.Status, Body: got.Body}
	return answer, lookupStates[got.State], nil
}

var lookupStates = map[forwarder.LookupState]dispatcher.LookupState{
	forwarder.LookupRan:     dispatcher.LookupRan,
	forwarder.LookupNotRun:  dispatcher.LookupNeverRuns,
	forwarder.LookupRunning: dispatcher.LookupRunning,
}
