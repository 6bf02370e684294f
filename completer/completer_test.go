package completer_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const warmUp = 2 * time.Second

// faultPlan is one fault or configuration change of a history.
type faultPlan struct {
	Kind   string
	Engine int
	At     time.Duration
	Length time.Duration
}

// faultKinds are the faults and configuration changes that a history may contain. "cut" aborts the
// streams of an engine after 3 tokens, and "cross" sets Faults.SwapAnswers for its next 2 answers.
var faultKinds = []string{"crash", "freeze", "cut", "cross", "other weights", "deny", "drain", "default version", "leaving"}

// callPlan is one call of a history.
type callPlan struct {
	Daemon   int
	At       time.Duration
	Account  string
	Model    string
	Text     string
	Tokens   int
	Class    router.Class
	Deadline time.Duration
	// LeavesAfter is the time after which the caller cancels the call, or zero for never.
	LeavesAfter time.Duration
}

// history is a generated sequence of calls, faults and configuration changes.
type history struct {
	Daemons, Engines int
	Seed             uint64
	Hedge            time.Duration
	Faults           []faultPlan
	Calls            []callPlan
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawHistory(rt *rapid.T) history {
	h := history{
		Daemons: rapid.IntRange(1, 3).Draw(rt, "daemons"), Engines: rapid.IntRange(2, 4).Draw(rt, "engines"),
		Seed:  rapid.Uint64().Draw(rt, "seed"),
		Hedge: rapid.SampledFrom([]time.Duration{0, 60 * time.Millisecond}).Draw(rt, "hedge"),
	}
	for range rapid.IntRange(1, 5).Draw(rt, "faults") {
		h.Faults = append(h.Faults, faultPlan{
			Kind: rapid.SampledFrom(faultKinds).Draw(rt, "kind"), Engine: rapid.IntRange(0, h.Engines-1).Draw(rt, "engine"),
			// The odd offset prevents a change from coinciding with the start of a call.
			At:     milliseconds(0, 600).Draw(rt, "fault at") + 77*time.Microsecond,
			Length: milliseconds(20, 1500).Draw(rt, "length"),
		})
	}
	for range rapid.IntRange(1, 8).Draw(rt, "calls") {
		h.Calls = append(h.Calls, callPlan{
			Daemon: rapid.IntRange(0, h.Daemons-1).Draw(rt, "daemon"), At: milliseconds(0, 500).Draw(rt, "at"),
			Account: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "account"),
			Model:   rapid.SampledFrom([]string{"m", "m", "m", "m@v1", "m@v2"}).Draw(rt, "model"),
			Text:    rapid.SampledFrom([]string{"stall 1", "stall 2", "stall 3", "stall 4", "stall 5", "stall 6", "stall 7", crashText}).Draw(rt, "text"),
			Tokens:  rapid.OneOf(rapid.IntRange(1, 40), rapid.IntRange(30, 60)).Draw(rt, "tokens"), Class: router.Class(rapid.IntRange(0, 1).Draw(rt, "class")),
			Deadline:    rapid.OneOf(milliseconds(50, 500), milliseconds(6000, 9000), milliseconds(6000, 9000)).Draw(rt, "deadline"),
			LeavesAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 0, 30 * time.Millisecond}).Draw(rt, "leaves"),
		})
	}
	return h
}

// collector is a sink that collects the answer and checks the order of the events.
type collector struct {
	begun      int
	head       completer.Head
	position   int
	text       strings.Builder
	finish     string
	violations []string
	// onBegin is called when the answer begins.
	onBegin func()
}

func (c *collector) Begin(head completer.Head) error {
	c.begun++
	c.head = head
	c.onBegin()
	return nil
}

func (c *collector) Deliver(event completer.Event) error {
	if event.Position != c.position || c.finish != "" || c.begun != 1 {
		c.violations = append(c.violations, fmt.Sprintf("event %+v after %d tokens", event, c.position))
	}
	c.position += event.Tokens
	c.text.WriteString(event.Text)
	c.finish = event.Finish
	return nil
}

// report collects the violations of a history.
type report struct {
	mu         sync.Mutex
	violations []string
	// reached counts the calls that reached each situation that the test must cover.
	reached map[string]int
}

func (r *report) violate(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

// hit counts the condition if the call reached it.
func (r *report) hit(condition string, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reached {
		r.reached[condition]++
	}
}

// TestCallsDuringFaultsAndConfigurationChanges runs generated histories. It checks that each call
// either gets the correct and complete answer or a refusal that says correctly whether the call
// may have run, that closed targets receive no calls, that attempts use allowed weights and those
// of the head once the answer has begun, and that no call stays admitted afterwards.
func TestCallsDuringFaultsAndConfigurationChanges(t *testing.T) {
	reached := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		r := &report{reached: reached}
		synctest.Test(t, func(*testing.T) { runHistory(h, r) })
		if len(r.violations) > 0 {
			rt.Fatalf("%s", strings.Join(r.violations, "\n"))
		}
	})
	t.Logf("conditions reached: %v", reached)
	for _, condition := range []string{
		"whole", "not run", "may have run", "cut short", "went on elsewhere", "two weights seen",
		"quarantined", "no target", "configuration changed during a call", "cancelled", "deadline",
	} {
		if reached[condition] == 0 {
			t.Errorf("condition %q was never reached", condition)
		}
	}
}

func runHistory(h history, r *report) {
	f := newFleet(h.Daemons, h.Engines, h.Seed, h.Hedge)
	time.Sleep(warmUp)
	var group sync.WaitGroup
	for _, fault := range h.Faults {
		group.Go(func() { f.inject(fault) })
	}
	for i, call := range h.Calls {
		group.Go(func() { f.call(fmt.Sprintf("call-%d", i), call, r) })
	}
	group.Wait()
	time.Sleep(time.Second)
	for i, d := range f.daemons {
		if d.admitted != 0 {
			r.violate("daemon %d has %d calls admitted after all have ended", i, d.admitted)
		}
		for target, count := range d.attempts {
			if count != 0 {
				r.violate("daemon %d counts %d attempts at %s after all have ended", i, count, target)
			}
		}
		for _, count := range d.running {
			if count != 0 {
				r.violate("daemon %d has %d runs in its quarantine after all have ended", i, count)
			}
		}
	}
	f.close()
	r.violations = append(r.violations, f.violations...)
}

func (f *fleet) call(id string, plan callPlan, r *report) {
	time.Sleep(plan.At)
	d := f.daemons[plan.Daemon]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if plan.LeavesAfter > 0 {
		defer time.AfterFunc(plan.LeavesAfter, cancel).Stop()
	}
	messages := []hasher.Message{{Role: "user", Content: strings.Repeat("shift summary of the company. ", 4) + plan.Text}}
	attemptsBefore := 0
	sink := &collector{onBegin: func() { attemptsBefore = len(f.attempts(id)) }}
	f.mu.Lock()
	revision := f.revision
	f.mu.Unlock()
	started := time.Now()
	err := d.completer.Complete(ctx, completer.Request{
		ID: id, Account: plan.Account, Model: plan.Model, Messages: messages, MaxTokens: plan.Tokens,
		Class: plan.Class, ArrivedAt: started, Deadline: started.Add(plan.Deadline),
	}, sink)
	if took := time.Since(started); took > plan.Deadline+time.Second {
		r.violate("%s ended %s after its deadline", id, took-plan.Deadline)
	}
	f.mu.Lock()
	r.hit("configuration changed during a call", revision != f.revision)
	f.mu.Unlock()
	f.checkResult(id, plan, err, sink, attemptsBefore, r)
	want := engineemulator.Answer(hasher.Prompt(messages), plan.Tokens)
	switch {
	case err == nil && (sink.text.String() != want || sink.finish == ""):
		r.violate("%s has %d of %d tokens, finish %q", id, sink.position, plan.Tokens, sink.finish)
	case err != nil && !strings.HasPrefix(want, sink.text.String()):
		r.violate("%s got tokens that are not a prefix of its answer", id)
	}
}

// attempts returns the weights of each attempt of a request, in the order of the attempts.
func (f *fleet) attempts(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attemptWeights[id])
}

// checkResult compares the result that the caller got with what the engines did. attemptsBefore
// is the number of attempts that were sent before the answer began.
func (f *fleet) checkResult(id string, plan callPlan, err error, sink *collector, attemptsBefore int, r *report) {
	for _, violation := range sink.violations {
		r.violate("%s: %s", id, violation)
	}
	attempts := f.attempts(id)
	for i, weights := range attempts {
		switch {
		case plan.Model == "m@v1" && weights != "w1", plan.Model == "m@v2" && weights != "w2":
			r.violate("%s of %s was sent for %s", id, plan.Model, weights)
		case sink.begun > 0 && i >= attemptsBefore && weights != sink.head.Weights:
			r.violate("%s began with weights %s and continued with %s", id, sink.head.Weights, weights)
		}
	}
	r.hit("went on elsewhere", sink.begun > 0 && len(attempts) > attemptsBefore)
	r.hit("two weights seen", slices.Contains(attempts, "w1") && slices.Contains(attempts, "w2"))
	r.hit("whole", err == nil)
	if err == nil {
		return
	}
	refusal := refuser.From(err)
	r.hit("cut short", sink.position > 0)
	r.hit("quarantined", refusal.Code == refuser.CodeQuarantined)
	r.hit("no target", refusal.Code == refuser.CodeNoTarget)
	r.hit("cancelled", refusal.Code == refuser.CodeCancelled)
	r.hit("deadline", refusal.Code == refuser.CodeDeadlineExceeded)
	r.hit("not run", refusal.Run == refuser.NotRun)
	r.hit("may have run", refusal.Run == refuser.MayHaveRun)
	if refusal.Run == refuser.NotRun && (f.runs(id) > 0 || sink.begun > 0) {
		r.violate("%s ran %d times and was refused as not run: %v", id, f.runs(id), err)
	}
	if refusal.Code == refuser.CodeInternal {
		r.violate("%s: %v", id, err)
	}
}

// inject applies a fault or a configuration change.
func (f *fleet) inject(fault faultPlan) {
	time.Sleep(fault.At)
	address, engine := engineAddress(fault.Engine), f.engine(fault.Engine)
	faults := engine.Faults()
	switch fault.Kind {
	case "crash":
		engine.Crash()
	case "freeze", "cut", "cross":
		faults.Freeze, faults.CutStreamsAfterTokens = fault.Kind == "freeze", 0
		if fault.Kind == "cut" {
			faults.CutStreamsAfterTokens = 3
		}
		if fault.Kind == "cross" {
			faults.SwapAnswers = 2
		}
		engine.SetFaults(faults)
		time.Sleep(fault.Length)
		engine.SetFaults(engineemulator.Faults{CrashText: crashText})
	case "other weights":
		f.replace(fault.Engine, fault.Length/10, "w2")
	case "leaving":
		engine.SetLeaving(true)
	case "deny":
		f.apply(func(o *registrar.Objects) {
			o.Selectors = append(slices.Clone(o.Selectors), registrar.Selector{
				Name: fmt.Sprint("deny-", fault.At), Priority: 1, Effect: registrar.EffectDeny,
				Match: []registrar.Requirement{
					{Kind: registrar.KindAccount, Key: registrar.NameKey, Operator: registrar.OperatorEquals, Values: []string{"a"}},
					{Kind: registrar.KindTarget, Key: registrar.NameKey, Operator: registrar.OperatorEquals, Values: []string{engineName(fault.Engine)}},
				},
			})
			f.closedSince[accountAddress{"a", address}] = time.Now()
		})
	case "drain":
		f.apply(func(o *registrar.Objects) {
			o.Targets = slices.Clone(o.Targets)
			o.Targets[fault.Engine].Labels = registrar.Labels{registrar.LabelDrain: "true"}
			f.closedSince[accountAddress{"", address}] = time.Now()
		})
	case "default version":
		f.apply(func(o *registrar.Objects) {
			o.Models = slices.Clone(o.Models)
			o.Models[0].DefaultVersion = "v2"
		})
	}
}
