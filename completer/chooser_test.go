package completer_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// scriptedQuarantine is a fake quarantine whose answers come from a function. The function
// receives the number of earlier calls to Begin and the target.
type scriptedQuarantine struct {
	answer       func(asked int, target string) error
	askedTargets []string
	outcomes     []quarantiner.Outcome
}

func (s *scriptedQuarantine) Begin(_ context.Context, _ quarantiner.Fingerprint, target, _ string) (func(quarantiner.Outcome), error) {
	s.askedTargets = append(s.askedTargets, target)
	if err := s.answer(len(s.askedTargets)-1, target); err != nil {
		return nil, err
	}
	return func(outcome quarantiner.Outcome) { s.outcomes = append(s.outcomes, outcome) }, nil
}

func allowAll(int, string) error { return nil }

// withFleet runs a test against a fleet with one daemon, in virtual time.
func withFleet(t *testing.T, engines int, hedgeAfter time.Duration, quarantine *scriptedQuarantine, run func(f *fleet, c *completer.Completer)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1, engines, 1, hedgeAfter)
		defer f.close()
		time.Sleep(warmUp)
		d := f.daemons[0]
		run(f, completer.New(completer.Settings{Admission: d, Planner: d.pools, AttemptRunner: d.streams, Quarantine: quarantine}))
		if len(f.violations) > 0 {
			t.Error(strings.Join(f.violations, "\n"))
		}
	})
}

func requestOf(id string, class router.Class, tokens int) completer.Request {
	return completer.Request{
		ID: id, Account: "a", Model: "m", MaxTokens: tokens, Class: class,
		Messages:  []hasher.Message{{Role: "user", Content: "which stall " + id}},
		ArrivedAt: time.Now(), Deadline: time.Now().Add(30 * time.Second),
	}
}

func newCollector() *collector { return &collector{onBegin: func() {}} }

func TestTargetDrainedDuringQuarantineBegin(t *testing.T) {
	quarantine := &scriptedQuarantine{}
	withFleet(t, 2, 0, quarantine, func(f *fleet, c *completer.Completer) {
		quarantine.answer = func(asked int, target string) error {
			if asked == 0 {
				f.apply(func(o *registrar.Objects) {
					o.Targets = slices.Clone(o.Targets)
					i := slices.IndexFunc(o.Targets, func(t registrar.Target) bool { return t.Name == target })
					o.Targets[i].Labels = registrar.Labels{registrar.LabelDrain: "true"}
					f.closedSince[accountAddress{"", o.Targets[i].Address}] = time.Now()
				})
				time.Sleep(time.Second)
			}
			return nil
		}
		if err := c.Complete(context.Background(), requestOf("r", 0, 8), newCollector()); err != nil {
			t.Error(err)
		}
	})
	want := []quarantiner.Outcome{quarantiner.NotStarted, quarantiner.Completed}
	if !slices.Equal(quarantine.outcomes, want) {
		t.Errorf("outcomes %v, want %v", quarantine.outcomes, want)
	}
}

func TestTargetDownErrorExcludesTheTarget(t *testing.T) {
	quarantine := &scriptedQuarantine{answer: func(asked int, target string) error {
		if asked == 0 {
			return &quarantiner.TargetDownError{Target: target}
		}
		return nil
	}}
	withFleet(t, 2, 0, quarantine, func(_ *fleet, c *completer.Completer) {
		if err := c.Complete(context.Background(), requestOf("r", 0, 8), newCollector()); err != nil {
			t.Error(err)
		}
	})
	if len(quarantine.askedTargets) != 2 || quarantine.askedTargets[0] == quarantine.askedTargets[1] {
		t.Errorf("targets asked for: %v, want two different ones", quarantine.askedTargets)
	}
}

func TestPinnedHedgeDoesNotDelayTheFirstAttempt(t *testing.T) {
	quarantine := &scriptedQuarantine{}
	quarantine.answer = func(asked int, _ string) error {
		if asked > 0 {
			return &quarantiner.PinnedError{Target: quarantine.askedTargets[0]}
		}
		return nil
	}
	withFleet(t, 2, time.Millisecond, quarantine, func(_ *fleet, c *completer.Completer) {
		started := time.Now()
		if err := c.Complete(context.Background(), requestOf("r", 0, 2), newCollector()); err != nil {
			t.Error(err)
		}
		if took := time.Since(started); took > 500*time.Millisecond || len(quarantine.askedTargets) < 2 {
			t.Errorf("the answer took %s, targets asked for: %v", took, quarantine.askedTargets)
		}
	})
}

func TestDeferrableCallLeavesTheLastSlotFree(t *testing.T) {
	withFleet(t, 1, 0, &scriptedQuarantine{answer: allowAll}, func(f *fleet, c *completer.Completer) {
		long := make(chan error, 1)
		go func() { long <- c.Complete(context.Background(), requestOf("long", 0, 100), newCollector()) }()
		time.Sleep(100 * time.Millisecond)
		go func() {
			time.Sleep(100 * time.Millisecond)
			if attempts := f.attempts("late"); len(attempts) > 0 {
				t.Errorf("the deferrable call took the last free slot")
			}
		}()
		if err := c.Complete(context.Background(), requestOf("late", router.ClassDeferrable, 2), newCollector()); err != nil {
			t.Error(err)
		}
		if err := <-long; err != nil {
			t.Error(err)
		}
	})
}

// finishSink checks that the quarantine has the outcome before the sink gets the last event.
type finishSink struct {
	*collector
	quarantine     *scriptedQuarantine
	outcomeMissing bool
}

func (s *finishSink) Deliver(event completer.Event) error {
	if event.Finish != "" {
		s.outcomeMissing = !slices.Equal(s.quarantine.outcomes, []quarantiner.Outcome{quarantiner.Completed})
	}
	return s.collector.Deliver(event)
}

func TestQuarantineGetsOutcomeBeforeLastEvent(t *testing.T) {
	quarantine := &scriptedQuarantine{answer: allowAll}
	sink := &finishSink{collector: newCollector(), quarantine: quarantine}
	withFleet(t, 1, 0, quarantine, func(_ *fleet, c *completer.Completer) {
		if err := c.Complete(context.Background(), requestOf("r", 0, 8), sink); err != nil {
			t.Error(err)
		}
	})
	if sink.outcomeMissing || sink.finish == "" {
		t.Errorf("the caller got the last event before the quarantine got the outcome, outcomes %v", quarantine.outcomes)
	}
}

func TestCallQuarantinedAfterCrashIsRefusedAsMayHaveRun(t *testing.T) {
	quarantine := &scriptedQuarantine{answer: func(asked int, _ string) error {
		if asked > 0 {
			return &quarantiner.QuarantinedError{Crashes: 2}
		}
		return nil
	}}
	withFleet(t, 2, 0, quarantine, func(f *fleet, c *completer.Completer) {
		for _, engine := range f.engines {
			engine.SetFaults(engineemulator.Faults{CrashText: "stall"})
		}
		err := c.Complete(context.Background(), requestOf("r", 0, 8), newCollector())
		if refusal := refuser.From(err); refusal.Code != refuser.CodeQuarantined || refusal.Run != refuser.MayHaveRun {
			t.Errorf("after a crash: %v", err)
		}
	})
	if !slices.Equal(quarantine.outcomes, []quarantiner.Outcome{quarantiner.Broken}) {
		t.Errorf("outcomes %v", quarantine.outcomes)
	}
}

// moveLog records the moves that are passed to it.
type moveLog struct {
	moves []router.Move
}

func (l *moveLog) Move(move router.Move) { l.moves = append(l.moves, move) }

func TestMovesOfDecisionsReachTheMover(t *testing.T) {
	withFleet(t, 2, 0, &scriptedQuarantine{answer: allowAll}, func(f *fleet, _ *completer.Completer) {
		log, d := &moveLog{}, f.daemons[0]
		c := completer.New(completer.Settings{Admission: d, Planner: d.pools, AttemptRunner: d.streams, BlockMover: log})
		request, sink := requestOf("r", 0, 2), newCollector()
		request.Messages[0].Content = strings.Repeat("the spec book of the wheels ", 500)
		if err := c.Complete(context.Background(), request, sink); err != nil {
			t.Fatal(err)
		}
		d.pools.ObserveLoad(sink.head.Target, forwarder.Load{
			Incarnation: sink.head.Incarnation, Weights: []string{"w1", "w2"}, Running: 2, Waiting: 50, WaitingTokens: 1 << 20,
			MeasuredAt: time.Now(),
		})
		request.ID = "s"
		if err := c.Complete(context.Background(), request, newCollector()); err != nil {
			t.Fatal(err)
		}
		if len(log.moves) != 1 || log.moves[0].From != sink.head.Target || log.moves[0].Account != "a" {
			t.Errorf("moves %+v, want one from the target that holds the prefix, for account a", log.moves)
		}
	})
}
