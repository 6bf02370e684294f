package completer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/streamer"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// pinTimeout is how long a call waits for the end of an identical call, if the quarantine has
	// pinned both to a target that this call cannot use. It is longer than the detector's
	// ProgressDeadline, after which the attempts at a stalled target are abandoned.
	pinTimeout       = 3 * time.Second
	pinRetryInterval = 20 * time.Millisecond
	// noTargetTimeout is how long a call waits for a target before it is refused.
	noTargetTimeout       = time.Second
	noTargetRetryInterval = 20 * time.Millisecond
)

// chooser chooses the targets for the attempts of one call and tracks the attempts in flight.
type chooser struct {
	completer   *Completer
	plan        *pooler.Plan
	fingerprint quarantiner.Fingerprint
	// causes are those of the messages that other calls may share.
	causes []attributor.Cause

	mu sync.Mutex
	// answerWeights names the weights with which the answer began. Later attempts must use the same
	// ones. It is empty before the first head.
	answerWeights string
	// answeringTarget is the name of the target that produces the answer, or empty before the first
	// head.
	answeringTarget string
	// inFlight holds the latest attempt at each target, by the target's name.
	inFlight map[string]*inFlightAttempt
}

// inFlightAttempt is a started attempt and the resources that are released when it finishes.
type inFlightAttempt struct {
	routerAttempt *router.Attempt
	loadedWeights string
	// incarnation is that of the target when it was chosen; empty if it is not known.
	incarnation string
	// reportOutcome reports to the quarantine how the attempt ended.
	reportOutcome func(quarantiner.Outcome)
	// releaseSelectorSlot releases the slot within the selector's limits.
	releaseSelectorSlot func()
	finished            bool
}

// selection is a choice that the selector's limits and the quarantine have admitted.
type selection struct {
	choice        pooler.Choice
	request       router.Request
	reportOutcome func(quarantiner.Outcome)
	// releaseSelectorSlot releases the slot within the selector's limits.
	releaseSelectorSlot func()
}

// targetFilter restricts the targets that may be chosen.
type targetFilter struct {
	excluded []string
	// only is the one target where the call may run, or empty for any target.
	only string
	// isHedge means that another attempt is still running. The choice for a hedge is not
	// retried, so that it does not delay that attempt.
	isHedge bool
	// limitErr is the error of the last choice that the limits of a selector rejected, or nil. The
	// targets of the rejected choices are in excluded.
	limitErr *selectorLimitError
}

// Choose implements streamer.Chooser.
func (c *chooser) Choose(ctx context.Context, tried []streamer.Attempt) (target streamer.Target, err error) {
	ctx, span := c.completer.settings.Tracer.Start(ctx, "route")
	defer span.End()
	c.finishEnded(tried)
	selected, err := c.selectTarget(ctx, tried)
	if err != nil {
		return streamer.Target{}, err
	}
	decision := selected.choice.Decision
	span.SetAttributes(
		attribute.String("target", decision.Target),
		attribute.String("reason", string(decision.Reason)),
		attribute.Int("cached_tokens", decision.CachedTokens),
	)
	c.startAttempt(selected)
	return streamer.Target{
		Name:        decision.Target,
		Address:     selected.choice.Address,
		Weights:     selected.choice.Version.Weights,
		Incarnation: hintedIncarnation(decision),
	}, nil
}

// HasAlternative implements streamer.AlternativeFinder.
func (c *chooser) HasAlternative(tried []string) bool {
	c.mu.Lock()
	weights := c.answerWeights
	c.mu.Unlock()
	_, _, err := c.plan.Route(tried, weights, "")
	return err == nil
}

// selectTarget chooses a target where the limits and the quarantine admit the call. If the
// quarantine has pinned the call to a target because a copy runs there, only that target is
// chosen. If that target was tried already or accepts no calls, the copy is about to end, and the
// call waits for that up to pinTimeout. Targets whose selector is beyond its limits are excluded,
// and so are those whose connections broke while the call waited.
func (c *chooser) selectTarget(ctx context.Context, tried []streamer.Attempt) (selected selection, err error) {
	filter := targetFilter{excluded: triedTargets(tried), isHedge: anyRunning(tried)}
	for waited := time.Duration(0); ; {
		selected, err = c.trySelect(ctx, filter)
		var pinned *quarantiner.PinnedError
		var targetDown *quarantiner.TargetDownError
		var none *router.NoTargetError
		var stale *staleChoiceError
		var limited *selectorLimitError
		switch {
		case err == nil, filter.isHedge:
			return selected, err
		case errors.As(err, &limited):
			filter.only = ""
			filter.excluded = append(filter.excluded, limited.target)
			filter.limitErr = limited
			continue
		case errors.As(err, &none) && filter.limitErr != nil:
			return selection{}, filter.limitErr
		case errors.As(err, &pinned) && !slices.Contains(filter.excluded, pinned.Target):
			filter.only = pinned.Target
		case errors.As(err, &pinned), errors.As(err, &none) && filter.only != "":
			filter.only = ""
		case errors.As(err, &targetDown):
			filter.only = ""
			filter.excluded = append(filter.excluded, targetDown.Target)
		case !errors.As(err, &stale):
			return selection{}, err
		}
		waited += pinRetryInterval
		if waited > pinTimeout || !waiter.Sleep(ctx, pinRetryInterval) {
			return selection{}, err
		}
	}
}

// anyRunning reports whether an attempt is still running.
func anyRunning(tried []streamer.Attempt) bool {
	return slices.ContainsFunc(tried, func(attempt streamer.Attempt) bool { return attempt.Running })
}

// staleChoiceError means that the chosen target was drained or denied to the call while the
// quarantine decided whether to admit the call.
type staleChoiceError struct {
	target string
}

// Error names the target.
func (e *staleChoiceError) Error() string {
	return fmt.Sprintf("target %q no longer accepts calls", e.target)
}

// selectorLimitError means that the selector that allows a target is beyond its limits.
type selectorLimitError struct {
	target   string
	selector string
	cause    error
}

// Error names the selector.
func (e *selectorLimitError) Error() string {
	return fmt.Sprintf("selector %q exceeds its limits: %v", e.selector, e.cause)
}

// Unwrap returns the cause.
func (e *selectorLimitError) Unwrap() error { return e.cause }

// acquireSelectorSlot acquires a slot within the limits of the selector that allows the choice.
func (c *chooser) acquireSelectorSlot(ctx context.Context, choice pooler.Choice) (release func(), err error) {
	limits := c.completer.settings.SelectorAdmission
	if limits == nil {
		return func() {}, nil
	}
	selector := c.plan.Selector(choice)
	release, err = limits.Admit(ctx, limiter.Request{
		Account: selector,
		Class:   c.plan.Request.Class,
		Tokens:  c.plan.Request.PromptTokens + c.plan.Request.MaxTokens,
	})
	if err != nil {
		return nil, &selectorLimitError{target: choice.Decision.Target, selector: selector, cause: err}
	}
	return release, nil
}

// trySelect chooses a target and asks the selector's limits and the quarantine to admit the
// call. The quarantine may block, so trySelect returns a staleChoiceError if the target was
// drained or denied in the meantime.
func (c *chooser) trySelect(ctx context.Context, filter targetFilter) (selected selection, err error) {
	if err := c.checkMessages(); err != nil {
		return selection{}, err
	}
	selected.choice, selected.request, err = c.route(ctx, filter)
	if err != nil {
		return selection{}, err
	}
	selected.releaseSelectorSlot, err = c.acquireSelectorSlot(ctx, selected.choice)
	if err != nil {
		return selection{}, err
	}
	decision := selected.choice.Decision
	selected.reportOutcome, err = c.completer.settings.Quarantine.Begin(ctx, c.fingerprint, decision.Target, decision.Incarnation)
	if err != nil {
		selected.releaseSelectorSlot()
		return selection{}, err
	}
	if !c.plan.Permits(selected.choice) {
		selected.reportOutcome(quarantiner.NotStarted)
		selected.releaseSelectorSlot()
		return selection{}, &staleChoiceError{target: decision.Target}
	}
	return selected, nil
}

// hintedIncarnation returns the incarnation whose cache entries the decision relies on, or
// an empty string if it relies on none.
func hintedIncarnation(decision router.Decision) string {
	if decision.CachedTokens == 0 {
		return ""
	}
	return decision.Incarnation
}

// route asks the plan for a target that matches the filter. If there is none, route retries up
// to noTargetTimeout instead of refusing the call, since a target may just have been declared
// or be unreachable for a moment. A deferrable call whose answer has not begun is held back
// while the last free slots are reserved for interactive calls. The choice for a hedge or for a
// call that is pinned to one target is not retried.
func (c *chooser) route(ctx context.Context, filter targetFilter) (choice pooler.Choice, request router.Request, err error) {
	c.mu.Lock()
	weights := c.answerWeights
	c.mu.Unlock()
	for waited := time.Duration(0); ; {
		started := time.Now()
		choice, request, err = c.plan.Route(filter.excluded, weights, filter.only)
		c.completer.settings.Metrics.RecordDecision(time.Since(started))
		wait := noTargetRetryInterval
		var none *router.NoTargetError
		switch {
		case filter.isHedge, filter.only != "":
			return choice, request, err
		case err == nil && choice.Decision.Hold > 0 && weights == "":
			wait = choice.Decision.Hold
		case errors.As(err, &none) && filter.limitErr == nil && waited < noTargetTimeout:
			waited += wait
		default:
			return choice, request, err
		}
		if !waiter.Sleep(ctx, wait) {
			return choice, request, cmp.Or(err, ctx.Err())
		}
	}
}

// triedTargets returns the names of the targets that were tried.
func triedTargets(tried []streamer.Attempt) []string {
	names := make([]string, 0, len(tried))
	for _, attempt := range tried {
		names = append(names, attempt.Target)
	}
	return names
}

// startAttempt registers the attempt at the selected target and submits the move of cached
// blocks that the router proposed.
func (c *chooser) startAttempt(selected selection) {
	choice := selected.choice
	if mover := c.completer.settings.BlockMover; mover != nil && choice.Decision.Move != nil {
		mover.Move(*choice.Decision.Move)
	}
	routerAttempt := choice.Router.RecordSent(selected.request, choice.Decision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[choice.Decision.Target] = &inFlightAttempt{
		routerAttempt:       routerAttempt,
		loadedWeights:       choice.Decision.Weights,
		incarnation:         choice.Decision.Incarnation,
		reportOutcome:       selected.reportOutcome,
		releaseSelectorSlot: selected.releaseSelectorSlot,
	}
	if c.answerWeights != "" {
		c.answeringTarget = choice.Decision.Target
	}
}

// finishEnded finishes the attempts that are no longer running.
func (c *chooser) finishEnded(tried []streamer.Attempt) {
	for _, attempt := range tried {
		if !attempt.Running {
			c.finish(attempt.Target, quarantineOutcome(attempt))
		}
	}
}

// finishAttempts finishes all attempts of the call.
func (c *chooser) finishAttempts(attempts []streamer.Attempt) {
	for _, attempt := range attempts {
		c.finish(attempt.Target, quarantineOutcome(attempt))
	}
	c.finishRemaining()
}

// finishRemaining finishes the attempts that are left, such as one whose target was chosen and
// never called.
func (c *chooser) finishRemaining() {
	c.mu.Lock()
	targets := slices.Collect(maps.Keys(c.inFlight))
	c.mu.Unlock()
	for _, target := range targets {
		c.finish(target, quarantiner.NotStarted)
	}
}

// finish ends the attempt at the target once: it updates the router, reports the outcome to the
// quarantine and releases the selector's slot.
func (c *chooser) finish(target string, outcome quarantiner.Outcome) {
	c.mu.Lock()
	f := c.inFlight[target]
	first := f != nil && !f.finished
	if first {
		f.finished = true
	}
	c.mu.Unlock()
	if !first {
		return
	}
	f.routerAttempt.Finish()
	c.recordMessages(target, f.incarnation, outcome)
	f.reportOutcome(outcome)
	f.releaseSelectorSlot()
}

// quarantineOutcome maps the end of an attempt to an outcome for the quarantine. A target that
// makes no progress counts as crashed until it is known to be alive. If the caller went away, the
// deadline passed or the other attempt of a hedge won, the outcome is Cancelled, since the run
// may continue at the target for a moment. When the call continues at another target, the old run
// has been cancelled first, so the outcome is NotStarted.
func quarantineOutcome(attempt streamer.Attempt) quarantiner.Outcome {
	var stalled *streamer.StalledError
	var lostHedge *streamer.HedgeLostError
	switch {
	case attempt.Err == nil:
		return quarantiner.Completed
	case attempt.ConnectionLost, errors.As(attempt.Err, &stalled):
		return quarantiner.Broken
	case errors.As(attempt.Err, &lostHedge), errors.Is(attempt.Err, context.Canceled), errors.Is(attempt.Err, context.DeadlineExceeded):
		return quarantiner.Cancelled
	}
	return quarantiner.NotStarted
}

// recordHead records which target and weights began the answer and passes the target's
// incarnation and cached tokens to the router.
func (c *chooser) recordHead(head streamer.Head) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.inFlight[head.Target]
	if f == nil {
		return
	}
	if c.answerWeights == "" {
		c.answerWeights = f.loadedWeights
		c.answeringTarget = head.Target
	}
	f.routerAttempt.RecordAnswer(router.Answer{
		Incarnation:  head.Incarnation,
		CachedTokens: head.CachedTokens,
	})
}

// finishAnsweringAttempt finishes the attempt that completed the answer, before the caller receives
// the last event.
func (c *chooser) finishAnsweringAttempt() {
	c.mu.Lock()
	target := c.answeringTarget
	c.mu.Unlock()
	c.finish(target, quarantiner.Completed)
}

// recordingSink records the head of the answer and finishes the answering attempt on the last
// event, and passes both on to the caller's sink.
type recordingSink struct {
	Sink
	chooser *chooser
	head    Head
	beganAt time.Time
}

// Begin implements Sink.
func (s *recordingSink) Begin(head Head) error {
	s.head = head
	s.beganAt = time.Now()
	s.chooser.recordHead(head)
	return s.Sink.Begin(head)
}

// Deliver implements Sink.
func (s *recordingSink) Deliver(event Event) error {
	if event.Finish != "" {
		s.chooser.finishAnsweringAttempt()
	}
	return s.Sink.Deliver(event)
}
