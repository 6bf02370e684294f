package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

var closedChannel = func() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}()

// coverage counts how often the histories reached each situation that the tests must cover.
type coverage struct {
	resumed, continued, crashedMidStream, crashedInResume atomic.Int64
	mismatchedResponses, duplicates, gaps, suspected      atomic.Int64
	identityMismatches, hedges, hedgesWon, twoFaults      atomic.Int64
}

func (c *coverage) add(fleet *fleet, outcomes []streamer.Outcome) {
	counters := fleet.streams.Counters()
	c.resumed.Add(int64(counters.Resumes))
	c.continued.Add(int64(counters.Continued))
	c.mismatchedResponses.Add(int64(counters.MismatchedResponses))
	c.duplicates.Add(int64(counters.Duplicates))
	c.gaps.Add(int64(counters.Gaps))
	c.identityMismatches.Add(int64(counters.IdentityMismatches))
	c.hedges.Add(int64(counters.Hedges))
	c.hedgesWon.Add(int64(counters.HedgesWon))
	for _, outcome := range outcomes {
		c.addAttempts(outcome.Attempts)
	}
}

func (c *coverage) addAttempts(attempts []streamer.Attempt) {
	failed := 0
	for _, attempt := range attempts {
		var stalled *streamer.StalledError
		var notSent *forwarder.NotSentError
		if attempt.Err != nil {
			failed++
		}
		if errors.As(attempt.Err, &stalled) {
			c.suspected.Add(1)
		}
		if attempt.Delivered > 0 && attempt.ConnectionLost {
			c.crashedMidStream.Add(1)
		}
		if attempt.Resumes > 0 && errors.As(attempt.Err, &notSent) {
			c.crashedInResume.Add(1)
		}
	}
	if failed > 1 {
		c.twoFaults.Add(1)
	}
}

// check logs the counts and fails for each situation that no history reached.
func (c *coverage) check(t *testing.T) {
	t.Helper()
	counts := map[string]int64{
		"resumed": c.resumed.Load(), "continued": c.continued.Load(),
		"crashed in mid stream": c.crashedMidStream.Load(),
		"crashed in a resume":   c.crashedInResume.Load(),
		"crossed":               c.mismatchedResponses.Load(), "duplicates": c.duplicates.Load(), "gaps": c.gaps.Load(),
		"suspected": c.suspected.Load(), "mismatches": c.identityMismatches.Load(),
		"hedges": c.hedges.Load(), "hedges won": c.hedgesWon.Load(), "two faults": c.twoFaults.Load(),
	}
	t.Logf("conditions reached: %v", counts)
	for name, count := range counts {
		if count == 0 {
			t.Errorf("no history reached the situation %q", name)
		}
	}
}

// planResult collects the outcomes and the violations of a plan.
type planResult struct {
	mu         sync.Mutex
	violations []string
	outcomes   []streamer.Outcome
	complete   int
}

func (r *planResult) addViolation(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, values...))
}

// runPlan runs a plan in virtual time.
func runPlan(t *testing.T, p plan, settings streamer.Settings, mustComplete bool, reached *coverage) *planResult {
	result := &planResult{}
	synctest.Test(t, func(*testing.T) {
		fleet := newFleet(p, settings)
		var wait sync.WaitGroup
		for _, fault := range p.faults {
			wait.Go(func() { fleet.inject(fault) })
		}
		for i, request := range p.requests {
			wait.Go(func() { result.sendRequest(fleet, i, request, mustComplete) })
		}
		wait.Wait()
		fleet.close()
		reached.add(fleet, result.outcomes)
	})
	return result
}

// sendRequest sends one request and checks its answer and outcome.
func (r *planResult) sendRequest(fleet *fleet, i int, p requestPlan, mustComplete bool) {
	time.Sleep(p.arrival)
	chooser := &plannedChooser{fleet: fleet, plan: p}
	sink := &collector{}
	request := streamer.Request{
		ID: fmt.Sprintf("request-%d", i), Account: "a", Model: "m", Weights: "w1",
		Messages: []forwarder.Message{{Role: "user", Content: p.prompt}}, MaxTokens: p.tokens,
	}
	if p.deadline > 0 {
		request.Deadline = time.Now().Add(p.deadline)
	}
	started := time.Now()
	outcome, err := fleet.streams.Run(context.Background(), request, chooser, sink)
	if took := time.Since(started); took > 20*maxPlanDuration {
		r.addViolation("%s took %s", request.ID, took)
	}
	r.checkText(request, p, sink, outcome, err)
	r.checkAttempts(fleet, request, chooser, sink, outcome, mustComplete)
	r.checkNotRun(fleet, request, outcome, err)
	if mustComplete && err != nil {
		r.addViolation("%s: incomplete although a healthy target was left: %v", request.ID, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
	if err == nil {
		r.complete++
	}
}

// checkText compares the text, tokens and finish reason at the sink with the expected answer.
func (r *planResult) checkText(request streamer.Request, p requestPlan, sink *collector, outcome streamer.Outcome, err error) {
	for _, fault := range sink.violations {
		r.addViolation("%s: %s", request.ID, fault)
	}
	if want := engineemulator.Answer(promptOf(p.prompt), sink.tokens); sink.text.String() != want {
		r.addViolation("%s: text %q, want %q", request.ID, sink.text.String(), want)
	}
	var incomplete *streamer.IncompleteError
	switch {
	case err == nil && (sink.tokens != p.tokens || sink.finish != "length"):
		r.addViolation("%s: complete with %d of %d tokens, finish %q", request.ID, sink.tokens, p.tokens, sink.finish)
	case err != nil && (!errors.As(err, &incomplete) || incomplete.Delivered != sink.tokens):
		r.addViolation("%s: error %v after %d tokens", request.ID, err, sink.tokens)
	case outcome.Delivered != sink.tokens:
		r.addViolation("%s: outcome reports %d tokens, the sink received %d", request.ID, outcome.Delivered, sink.tokens)
	}
}

// checkAttempts checks that all attempts have ended, and that the tokens at the sink came from the
// requested weights and the hinted incarnations.
func (r *planResult) checkAttempts(fleet *fleet, request streamer.Request, chooser *plannedChooser, sink *collector, outcome streamer.Outcome, mustComplete bool) {
	hints := make(map[string]streamer.Target)
	for _, target := range chooser.chosen {
		hints[target.Name+target.Weights+target.Incarnation] = target
	}
	for _, attempt := range outcome.Attempts {
		if attempt.Running {
			r.addViolation("%s: attempt %+v has not ended", request.ID, attempt)
		}
		if attempt.Delivered == 0 {
			continue
		}
		if sent, _ := fleet.weights.Load(attempt.RunID); sent != sink.head.Weights || attempt.Weights != sink.head.Weights {
			r.addViolation("%s: answer of %s continues on %s", request.ID, sink.head.Weights, attempt.Weights)
		}
		if _, ok := hints[attempt.Target+attempt.Weights+attempt.Incarnation]; ok || choseWithoutHint(chooser, attempt) {
			continue
		}
		// If no further attempt is allowed, the streamer accepts the answer of a new incarnation,
		// which lacks the expected cache entries, and corrects the hint.
		if mustComplete || !fleet.hints.has(attempt.Target, attempt.Incarnation) {
			r.addViolation("%s: %s answered as %q, which no hint named", request.ID, attempt.Target, attempt.Incarnation)
		}
	}
}

// choseWithoutHint reports whether the target of the attempt was chosen without a hint, in which
// case any incarnation may answer.
func choseWithoutHint(chooser *plannedChooser, attempt streamer.Attempt) bool {
	for _, target := range chooser.chosen {
		if target.Name == attempt.Target && target.Incarnation == "" {
			return true
		}
	}
	return false
}

// checkNotRun checks that no engine ran a request that is reported as not run.
func (r *planResult) checkNotRun(fleet *fleet, request streamer.Request, outcome streamer.Outcome, err error) {
	var incomplete *streamer.IncompleteError
	if !errors.As(err, &incomplete) || incomplete.MayHaveRun || outcome.MayHaveRun() {
		return
	}
	for _, engine := range fleet.engines {
		for runID := range engine.Runs() {
			if runID == request.ID || strings.HasPrefix(runID, request.ID+"~") {
				r.addViolation("%s: reported as not run, but ran as %s", request.ID, runID)
			}
		}
	}
}

// ampleBudget returns settings whose retry budget is not exhausted by a plan.
func ampleBudget() streamer.Settings {
	return streamer.Settings{RetryBurst: 1000, MaxAttempts: 12}
}

// TestAnswersCompleteWhenOneEngineIsHealthy runs plans in which one engine never fails and the retry
// budget suffices. Every answer must be complete.
func TestAnswersCompleteWhenOneEngineIsHealthy(t *testing.T) {
	var reached coverage
	rapid.Check(t, func(rt *rapid.T) {
		result := runPlan(t, drawPlan(rt), ampleBudget(), true, &reached)
		if len(result.violations) > 0 {
			rt.Fatalf("%s", strings.Join(result.violations, "\n"))
		}
	})
	reached.check(t)
}

// TestTightLimitsEndWithAccurateErrors runs the same plans with few retries and short deadlines. An
// answer must be complete or end with an IncompleteError that reports correctly how many tokens were
// delivered and whether the request may have run.
func TestTightLimitsEndWithAccurateErrors(t *testing.T) {
	var reached coverage
	var complete, incomplete int
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		for i := range p.requests {
			p.requests[i].deadline = drawTime(rt, "deadline", 1, 1000)
		}
		settings := streamer.Settings{RetryBurst: 2, MaxAttempts: 3, MaxResumes: 1}
		result := runPlan(t, p, settings, false, &reached)
		if len(result.violations) > 0 {
			rt.Fatalf("%s", strings.Join(result.violations, "\n"))
		}
		complete += result.complete
		incomplete += len(result.outcomes) - result.complete
	})
	t.Logf("%d answers were complete, %d ended early", complete, incomplete)
	if complete == 0 || incomplete == 0 {
		t.Errorf("the histories had %d complete and %d incomplete answers", complete, incomplete)
	}
}
