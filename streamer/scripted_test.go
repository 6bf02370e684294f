package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// TestCutStreamResumesAtSameTarget cuts the connection of a run after every three tokens. The
// stream must be resumed at the same target without a second run.
func TestCutStreamResumesAtSameTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(plan{engines: 1}, ampleBudget())
		defer fleet.close()
		fleet.engines[0].SetFaults(engineemulator.Faults{CutStreamsAfterTokens: 3})
		sink := &collector{}
		outcome, err := fleet.streams.Run(t.Context(), streamer.Request{
			ID: "r", Weights: "w1", MaxTokens: 20, Messages: []forwarder.Message{{Role: "user", Content: "q"}},
		}, &plannedChooser{fleet: fleet}, sink)
		if err != nil || len(outcome.Attempts) != 1 || outcome.Attempts[0].Resumes != 6 {
			t.Errorf("outcome %+v, %v", outcome, err)
		}
		if sink.text.String() != engineemulator.Answer(promptOf("q"), 20) {
			t.Errorf("text %q", sink.text.String())
		}
	})
}

// TestHedgeStartsAtFractionOfDeadline freezes the first target of a request. With a HedgeFraction of
// 0.5 the second target must be tried after half of the time to the deadline, and with 0 the request
// must end incomplete.
func TestHedgeStartsAtFractionOfDeadline(t *testing.T) {
	for fraction, complete := range map[float64]bool{0: false, 0.5: true} {
		synctest.Test(t, func(t *testing.T) {
			settings := ampleBudget()
			settings.HedgeFraction = fraction
			fleet := newFleet(plan{engines: 2}, settings)
			defer fleet.close()
			fleet.engines[1].SetFaults(engineemulator.Faults{Freeze: true})
			chooser := &plannedChooser{fleet: fleet, plan: requestPlan{
				choices: []int{1}, weights: []string{"w1"}, stale: []bool{false},
			}}
			started := time.Now()
			outcome, err := fleet.streams.Run(t.Context(), streamer.Request{
				ID: "r", Weights: "w1", MaxTokens: 4, Deadline: started.Add(time.Second),
				Messages: []forwarder.Message{{Role: "user", Content: "q"}},
			}, chooser, &collector{})
			took := time.Since(started)
			if (err == nil) != complete || (complete && (took < 500*time.Millisecond || took > 600*time.Millisecond)) {
				t.Errorf("fraction %v: %v after %s, %d attempts", fraction, err, took, len(outcome.Attempts))
			}
			fleet.engines[1].SetFaults(engineemulator.Faults{})
		})
	}
}

// scriptedEngines answers from a script and records the calls in order.
type scriptedEngines struct {
	calls []string
	// generate and resume are the streams that the calls return, in order.
	generate []scriptedStream
	resume   []scriptedStream
}

func (s *scriptedEngines) Generate(_ context.Context, target netip.AddrPort, call forwarder.ModelCall) (stream streamer.Stream, err error) {
	s.calls = append(s.calls, fmt.Sprintf("generate %s at %s from %d", call.RunID, target, call.Continue.Tokens))
	next := s.generate[0]
	s.generate = s.generate[1:]
	return &next, nil
}

func (s *scriptedEngines) Resume(_ context.Context, _ netip.AddrPort, runID string, from int) (stream streamer.Stream, err error) {
	s.calls = append(s.calls, fmt.Sprintf("resume %s from %d", runID, from))
	if len(s.resume) == 0 {
		return nil, &forwarder.NotFoundError{Name: runID}
	}
	next := s.resume[0]
	s.resume = s.resume[1:]
	return &next, nil
}

func (s *scriptedEngines) Cancel(_ context.Context, target netip.AddrPort, runID string) (err error) {
	time.Sleep(10 * time.Millisecond)
	s.calls = append(s.calls, fmt.Sprintf("cancel %s at %s", runID, target))
	return nil
}

type scriptedStream struct {
	head   forwarder.Head
	events []forwarder.Event
}

func (s *scriptedStream) Head() forwarder.Head { return s.head }

func (s *scriptedStream) Next() (event forwarder.Event, err error) {
	if len(s.events) == 0 {
		return event, &forwarder.BrokenError{Cause: io.ErrUnexpectedEOF, Sent: true, ConnectionLost: true}
	}
	event = s.events[0]
	s.events = s.events[1:]
	return event, nil
}

func (s *scriptedStream) Close() (err error) { return nil }

// sequentialChooser chooses four targets in order and then fails.
type sequentialChooser struct{ count int }

func (c *sequentialChooser) Choose(context.Context, []streamer.Attempt) (target streamer.Target, err error) {
	if c.count == 4 {
		return target, errors.New("none left")
	}
	c.count++
	return streamer.Target{Name: nameOf(c.count), Address: addressOf(c.count)}, nil
}

func head(incarnation string) forwarder.Head {
	return forwarder.Head{Incarnation: incarnation, Weights: "w1"}
}

func event(position int, text, finish string) forwarder.Event {
	return forwarder.Event{Position: position, Tokens: len(text), Text: text, Finish: finish}
}

func runScript(t *testing.T, engines *scriptedEngines) (outcome streamer.Outcome, sink *collector, err error) {
	t.Helper()
	streams := streamer.New(streamer.Settings{Engines: engines})
	sink = &collector{}
	outcome, err = streams.Run(t.Context(), streamer.Request{ID: "r", Weights: "w1", MaxTokens: 4}, &sequentialChooser{}, sink)
	_ = streams.Close()
	return outcome, sink, err
}

// TestRunIsCancelledBeforeContinuationAtNextTarget breaks a stream after two tokens and fails its
// resume. The run must be cancelled before the next target continues the answer.
func TestRunIsCancelledBeforeContinuationAtNextTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{generate: []scriptedStream{
			{head: head("i1"), events: []forwarder.Event{event(0, "ab", "")}},
			{head: head("i2"), events: []forwarder.Event{event(2, "cd", "length")}},
		}}
		outcome, sink, err := runScript(t, engines)
		want := []string{
			"generate r at 10.0.0.1:8000 from 0", "resume r from 2", "cancel r at 10.0.0.1:8000",
			"generate r~2 at 10.0.0.2:8000 from 2",
		}
		if err != nil || sink.text.String() != "abcd" || !slices.Equal(engines.calls, want) {
			t.Errorf("got %q, %v, calls %q", sink.text.String(), err, engines.calls)
		}
		if !slices.Equal(outcome.CrashSuspects, []string{nameOf(1)}) {
			t.Errorf("crash suspects %v", outcome.CrashSuspects)
		}
	})
}

// TestResumeFromOtherIncarnationIsRejected restarts a target, whose new incarnation answers the
// resume of the old one's run with another text. That text must not reach the sink.
func TestResumeFromOtherIncarnationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{
			generate: []scriptedStream{
				{head: head("i1"), events: []forwarder.Event{event(0, "ab", "")}},
				{head: head("i2"), events: []forwarder.Event{event(2, "cd", "length")}},
			},
			resume: []scriptedStream{{head: head("i3"), events: []forwarder.Event{event(2, "XX", "length")}}},
		}
		_, sink, err := runScript(t, engines)
		if err != nil || sink.text.String() != "abcd" {
			t.Errorf("got %q, %v", sink.text.String(), err)
		}
	})
}

// TestAnswerWithoutFinishIsIncomplete ends every stream without a finish reason. The answer must be
// reported as incomplete even when it has all its tokens.
func TestAnswerWithoutFinishIsIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &scriptedEngines{}
		for range 4 {
			engines.generate = append(engines.generate, scriptedStream{head: head("i")})
		}
		engines.generate[0].events = []forwarder.Event{event(0, "abcd", "")}
		_, sink, err := runScript(t, engines)
		var incomplete *streamer.IncompleteError
		if !errors.As(err, &incomplete) || incomplete.Delivered != 4 || !incomplete.MayHaveRun || sink.finish != "" {
			t.Errorf("got %v, finish %q", err, sink.finish)
		}
	})
}
