package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/seeder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	// suspicionDelay is the time from the freeze of an engine to its suspicion.
	suspicionDelay = 200 * time.Millisecond
	// maxPlanDuration exceeds the time from the start of a plan to the end of its last fault.
	maxPlanDuration = 3 * time.Second
)

// faultKind is a kind of fault of an engine.
type faultKind string

const (
	faultCrash        faultKind = "crash"
	faultCrashTwice   faultKind = "crash twice"
	faultFreeze       faultKind = "freeze"
	faultSlow         faultKind = "slow"
	faultCutStream    faultKind = "cut"
	faultSwapAnswers  faultKind = "cross"
	faultLeaving      faultKind = "leaving"
	faultFaultyEvents faultKind = "disturb"
)

var faultKinds = []faultKind{
	faultCrash, faultCrashTwice, faultFreeze, faultSlow, faultCutStream, faultSwapAnswers, faultLeaving, faultFaultyEvents,
}

// faultPlan is one fault of one engine, with its start and length.
type faultPlan struct {
	kind   faultKind
	engine int
	start  time.Duration
	length time.Duration
	amount int
}

// requestPlan is one request and the targets, weights and stale hints that its chooser returns.
type requestPlan struct {
	arrival  time.Duration
	prompt   string
	tokens   int
	choices  []int
	weights  []string
	stale    []bool
	deadline time.Duration
}

// plan is one generated history of faults and requests. Engine 0 never fails.
type plan struct {
	engines  int
	seed     uint64
	hedge    time.Duration
	faults   []faultPlan
	requests []requestPlan
}

func drawPlan(rt *rapid.T) plan {
	p := plan{
		engines: rapid.IntRange(2, 4).Draw(rt, "engines"),
		seed:    rapid.Uint64().Draw(rt, "seed"),
		hedge:   rapid.SampledFrom([]time.Duration{0, 0, 40 * time.Millisecond}).Draw(rt, "hedge"),
	}
	for range rapid.IntRange(1, 5).Draw(rt, "faults") {
		p.faults = append(p.faults, faultPlan{
			kind:   rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
			engine: rapid.IntRange(1, p.engines-1).Draw(rt, "engine"),
			start:  drawTime(rt, "at", 0, 300),
			length: drawTime(rt, "length", 1, 800),
			amount: rapid.IntRange(1, 6).Draw(rt, "amount"),
		})
	}
	for i := range rapid.IntRange(1, 4).Draw(rt, "requests") {
		p.requests = append(p.requests, drawRequest(rt, i, p.engines))
	}
	return p
}

func drawRequest(rt *rapid.T, i, engines int) requestPlan {
	r := requestPlan{
		arrival: drawTime(rt, "arrival", 0, 200),
		prompt:  fmt.Sprintf("question %d about a rim", i),
		tokens:  rapid.IntRange(1, 24).Draw(rt, "tokens"),
	}
	for range rapid.IntRange(1, 3).Draw(rt, "choices") {
		r.choices = append(r.choices, rapid.IntRange(1, engines-1).Draw(rt, "choice"))
		r.weights = append(r.weights, rapid.SampledFrom([]string{"w1", "w1", "w2"}).Draw(rt, "weights"))
		r.stale = append(r.stale, rapid.IntRange(0, 4).Draw(rt, "stale") == 0)
	}
	return r
}

func drawTime(rt *rapid.T, name string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
}

// fleet is a streamer with its emulated engines.
type fleet struct {
	engines  []*engineemulator.Engine
	network  *engineemulator.Network
	streams  *streamer.Streamer
	liveness *fakeLiveness
	hints    *hintCorrections
	weights  sync.Map
}

func newFleet(p plan, settings streamer.Settings) *fleet {
	f := &fleet{liveness: newFakeLiveness(), hints: &hintCorrections{}}
	f.network = engineemulator.NewNetwork(func(r *http.Request) {
		if r.Method == http.MethodPost {
			f.weights.Store(r.Header.Get("Rill-Request-Id"), r.Header.Get("Rill-Weights"))
		}
	})
	for i := range p.engines {
		engine := engineemulator.New(engineemulator.Settings{
			Weights: []string{"w1", "w2"}, DecodeStep: 10 * time.Millisecond,
			BlockTokens: 2, Slots: 2, TokensPerEvent: 2, Seed: p.seed + uint64(i),
		})
		f.engines = append(f.engines, engine)
		f.network.Add(addressOf(i), engine)
	}
	client := forwarder.New(forwarder.Settings{Transport: f.network, EventTimeout: time.Second})
	settings.Engines = streamer.NewEngineClient(client)
	settings.StallDetector = f.liveness
	settings.Hints = f.hints
	settings.HedgeAfter = p.hedge
	f.streams = streamer.New(settings)
	return f
}

func (f *fleet) close() {
	_ = f.streams.Close()
	for _, engine := range f.engines {
		_ = engine.Close()
	}
	_ = f.network.Close()
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000)
}

// inject waits for the start of a fault, injects it and ends it after its length.
func (f *fleet) inject(fault faultPlan) {
	time.Sleep(fault.start)
	engine := f.engines[fault.engine]
	switch fault.kind {
	case faultCrash, faultCrashTwice:
		f.crash(engine, fault)
		return
	case faultLeaving:
		engine.SetLeaving(true)
		time.Sleep(fault.length)
		engine.SetLeaving(false)
		return
	case faultFreeze:
		release := f.liveness.suspectAfter(nameOf(fault.engine), suspicionDelay, fault.length)
		defer release()
	}
	f.setFault(engine, fault, true)
	time.Sleep(fault.length)
	f.setFault(engine, fault, false)
}

func (f *fleet) crash(engine *engineemulator.Engine, fault faultPlan) {
	engine.Crash()
	time.Sleep(fault.length)
	_ = engine.Restart()
	if fault.kind == faultCrashTwice {
		time.Sleep(30 * time.Millisecond)
		engine.Crash()
		time.Sleep(fault.length)
		_ = engine.Restart()
	}
}

func (f *fleet) setFault(engine *engineemulator.Engine, fault faultPlan, on bool) {
	faults := engine.Faults()
	amount := fault.amount
	if !on {
		amount = 0
	}
	switch fault.kind {
	case faultFreeze:
		faults.Freeze = on
	case faultSlow:
		faults.SlowFactor = float64(amount)
	case faultCutStream:
		faults.CutStreamsAfterTokens = amount
	case faultSwapAnswers:
		faults.SwapAnswers = amount
	case faultFaultyEvents:
		faults.DuplicateStreamEventOneIn = 2 * amount
		faults.MissingStreamEventOneIn = 2 * amount
		faults.ReorderStreamEventOneIn = 2 * amount
	}
	engine.SetFaults(faults)
}

func nameOf(i int) string { return fmt.Sprintf("engine-%d", i) }

// fakeLiveness suspects a frozen engine after suspicionDelay.
type fakeLiveness struct {
	mu      sync.Mutex
	stalled map[string]chan struct{}
}

func newFakeLiveness() *fakeLiveness { return &fakeLiveness{stalled: make(map[string]chan struct{})} }

func (l *fakeLiveness) Stalled(target string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled[target] == nil {
		l.stalled[target] = make(chan struct{})
	}
	return l.stalled[target]
}

// suspectAfter suspects the target after a delay, unless the fault ends before. The returned function
// ends the suspicion.
func (l *fakeLiveness) suspectAfter(target string, after, length time.Duration) (release func()) {
	if length <= after {
		return func() {}
	}
	l.Stalled(target)
	timer := time.AfterFunc(after, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if stalled := l.stalled[target]; stalled != nil && stalled != closedChannel {
			close(l.stalled[target])
			l.stalled[target] = closedChannel
		}
	})
	return func() {
		timer.Stop()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.stalled, target)
	}
}

// hintCorrections records the pairs of target and incarnation to which cache hints were corrected.
type hintCorrections struct {
	incarnations sync.Map
}

func (h *hintCorrections) CorrectHint(target string, _, got streamer.Identity) {
	h.incarnations.Store(target+got.Incarnation, true)
}

// has reports whether a hint was corrected to the incarnation.
func (h *hintCorrections) has(target, incarnation string) bool {
	_, ok := h.incarnations.Load(target + incarnation)
	return ok
}

// plannedChooser chooses the targets of a plan in order, and then the engine that never fails.
type plannedChooser struct {
	fleet   *fleet
	plan    requestPlan
	chosen  []streamer.Target
	weights string
}

func (c *plannedChooser) Choose(_ context.Context, tried []streamer.Attempt) (target streamer.Target, err error) {
	engine, weights, stale := 0, "w1", false
	if n := len(c.chosen); n < len(c.plan.choices) {
		engine, weights, stale = c.plan.choices[n], c.plan.weights[n], c.plan.stale[n]
	}
	if len(tried) > 0 {
		var mismatch *streamer.IdentityMismatchError
		if errors.As(tried[len(tried)-1].Err, &mismatch) && mismatch.Expected.Weights != mismatch.Got.Weights {
			weights = mismatch.Expected.Weights
		}
	}
	target = streamer.Target{
		Name: nameOf(engine), Address: addressOf(engine), Weights: weights,
		Incarnation: c.fleet.engines[engine].Incarnation(),
	}
	if stale {
		target.Incarnation = "dead"
	}
	c.chosen = append(c.chosen, target)
	return target, nil
}

// collector is a sink that records the answer and checks the order of its events.
type collector struct {
	begins     int
	head       streamer.Head
	text       strings.Builder
	tokens     int
	finish     string
	violations []string
}

func (c *collector) Begin(head streamer.Head) (err error) {
	c.begins++
	c.head = head
	return nil
}

func (c *collector) Deliver(event streamer.Event) (err error) {
	if event.Position != c.tokens || c.finish != "" || c.begins != 1 {
		c.violations = append(c.violations, fmt.Sprintf("event %+v after %d tokens, begun %d times", event, c.tokens, c.begins))
	}
	c.tokens += event.Tokens
	c.text.WriteString(event.Text)
	c.finish = event.Finish
	return nil
}

func promptOf(text string) string {
	return hasher.Prompt([]hasher.Message{{Role: "user", Content: text}})
}
