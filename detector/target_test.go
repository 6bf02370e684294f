package detector_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// behaviour is the kind of a simulated target.
type behaviour string

const (
	healthy behaviour = "healthy"
	slow    behaviour = "slow"
	pausing behaviour = "pausing"
	lossy   behaviour = "lossy"
	frozen  behaviour = "frozen"
	stalled behaviour = "stalled"
	crashed behaviour = "crashed"
)

const (
	stepDuration  = 50 * time.Millisecond
	slowFactor    = 5
	answerDelay   = 5 * time.Millisecond
	lossOneIn     = 10
	trialDuration = 8 * time.Second
)

// trial is one generated history of a target.
type trial struct {
	behaviour behaviour
	// stopAt is when a frozen, stalled or crashed target stops.
	stopAt time.Duration
	// busy reports whether the target has work, hasCall whether it has a call of this daemon, and
	// callQueued whether that call waits in the queue and sends no tokens.
	busy       bool
	hasCall    bool
	callQueued bool
	// alsoSlow slows the target down by slowFactor. alsoLossy loses one answer in lossOneIn.
	alsoSlow  bool
	alsoLossy bool
	pauses    []pausePlan
	seed      uint64
}

type pausePlan struct {
	at     time.Duration
	length time.Duration
}

func (t trial) stops() bool {
	return t.behaviour == frozen || t.behaviour == stalled || t.behaviour == crashed
}

func drawTrial(rt *rapid.T, b behaviour) trial {
	t := trial{
		behaviour: b,
		stopAt:    time.Duration(rapid.IntRange(1500, 4500).Draw(rt, "at")) * time.Millisecond,
		busy:      rapid.Bool().Draw(rt, "busy") || b == stalled,
		alsoSlow:  b == slow || rapid.IntRange(0, 3).Draw(rt, "slow") == 0,
		alsoLossy: b == lossy || rapid.IntRange(0, 3).Draw(rt, "lossy") == 0,
		seed:      rapid.Uint64().Draw(rt, "seed"),
	}
	t.hasCall = b == stalled || (t.busy && rapid.Bool().Draw(rt, "called"))
	t.callQueued = rapid.Bool().Draw(rt, "queued")
	if b == pausing || rapid.IntRange(0, 3).Draw(rt, "pausing") == 0 {
		t.pauses = drawPauses(rt, t)
	}
	return t
}

// drawPauses draws pauses under a second with at least 400 ms of work between them. They end before
// the target stops, so that detection is measured from the stop alone.
func drawPauses(rt *rapid.T, t trial) (pauses []pausePlan) {
	at := time.Duration(0)
	for range rapid.IntRange(1, 3).Draw(rt, "pauses") {
		at += time.Duration(rapid.IntRange(400, 1500).Draw(rt, "work")) * time.Millisecond
		length := time.Duration(rapid.IntRange(100, 950).Draw(rt, "pause")) * time.Millisecond
		if t.stops() && at+length >= t.stopAt {
			break
		}
		pauses = append(pauses, pausePlan{at: at, length: length})
		at += length
	}
	return pauses
}

// simulatedTarget executes a trial in virtual time.
type simulatedTarget struct {
	trial
	start time.Time

	mu     sync.Mutex
	random *rand.Rand
}

func newSimulatedTarget(t trial) *simulatedTarget {
	return &simulatedTarget{trial: t, start: time.Now(), random: rand.New(rand.NewPCG(t.seed, t.seed))}
}

func (s *simulatedTarget) slowdown() time.Duration {
	if s.alsoSlow {
		return slowFactor
	}
	return 1
}

// workTime returns how long the target has worked up to the given time, without its pauses.
func (s *simulatedTarget) workTime(at time.Duration) time.Duration {
	if s.stops() {
		at = min(at, s.stopAt)
	}
	worked := at
	for _, pause := range s.pauses {
		worked -= max(0, min(pause.length, at-pause.at))
	}
	return worked
}

func (s *simulatedTarget) progress(at time.Duration) uint64 {
	if !s.busy {
		return 0
	}
	return uint64(s.workTime(at) / (stepDuration * s.slowdown()))
}

// pauseEnd returns the end of the pause at the given time, or that time if the target is not paused.
func (s *simulatedTarget) pauseEnd(at time.Duration) time.Duration {
	for _, pause := range s.pauses {
		if at >= pause.at && at < pause.at+pause.length {
			return pause.at + pause.length
		}
	}
	return at
}

func (s *simulatedTarget) stopped(at time.Duration) bool { return s.stops() && at >= s.stopAt }

// Poll answers a poll as the target does at that time. If the target does not answer, it waits for the
// end of the context.
func (s *simulatedTarget) Poll(ctx context.Context, target detector.Target, _ bool) (report detector.Report, err error) {
	s.mu.Lock()
	lost := s.alsoLossy && s.random.IntN(lossOneIn) == 0
	s.mu.Unlock()
	waitFor(ctx, s.pauseEnd(time.Since(s.start))-time.Since(s.start))
	waitFor(ctx, answerDelay*s.slowdown())
	waitFor(ctx, s.pauseEnd(time.Since(s.start))-time.Since(s.start))
	now := time.Since(s.start)
	switch {
	case s.stopped(now) && s.behaviour == crashed:
		return report, &detector.RefusedError{Target: target.Name, Cause: errors.New("refused")}
	case lost, s.stopped(now) && s.behaviour == frozen:
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return report, ctx.Err()
	}
	report = detector.Report{Incarnation: "i1", Progress: s.progress(now)}
	if s.busy {
		report.Running = 1
	}
	return report, nil
}

func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// streamTokens reports the tokens of a call to the detector until the target stops.
func (s *simulatedTarget) streamTokens(ctx context.Context, d *detector.Detector) {
	if !s.hasCall {
		return
	}
	end := d.Begin("t")
	defer end()
	last := uint64(0)
	for ctx.Err() == nil {
		waitFor(ctx, 10*time.Millisecond)
		if now := s.progress(time.Since(s.start)); now > last && !s.callQueued {
			last = now
			d.ObserveProgress("t", "i1")
		}
	}
}

// pingDetector is a baseline for comparison. It suspects a target after a number of pings in a row
// without an answer within the timeout.
type pingDetector struct {
	interval time.Duration
	timeout  time.Duration
	misses   int
}

func (p pingDetector) String() string {
	return fmt.Sprintf("ping %v, timeout %v, %d misses", p.interval, p.timeout, p.misses)
}

// run pings the target until the context ends and returns the times at which it began to suspect the
// target.
func (p pingDetector) run(ctx context.Context, s *simulatedTarget) (alarms []time.Duration) {
	missed := 0
	for ctx.Err() == nil {
		started := time.Now()
		pingCtx, cancel := context.WithTimeout(ctx, p.timeout)
		_, err := s.Poll(pingCtx, detector.Target{Name: "t"}, false)
		cancel()
		switch {
		case ctx.Err() != nil:
			return alarms
		case err != nil:
			missed++
		default:
			missed = 0
		}
		if missed == p.misses {
			alarms = append(alarms, time.Since(s.start))
		}
		waitFor(ctx, p.interval-time.Since(started))
	}
	return alarms
}
