package detector_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/detector"
)

// verdict is the result of a detector in one trial.
type verdict struct {
	falseAlarms int
	stopped     bool
	// latency is the time from the stop to the first alarm after it, if detected.
	detected bool
	latency  time.Duration
}

func evaluate(t trial, alarms []time.Duration) (v verdict) {
	v.stopped = t.stops()
	for _, at := range alarms {
		switch {
		case !t.stops() || at < t.stopAt:
			v.falseAlarms++
		case !v.detected:
			v.detected = true
			v.latency = at - t.stopAt
		}
	}
	return v
}

// runDetector runs the detector in a trial and returns the times at which the target became unusable.
func runDetector(t trial) (alarms []time.Duration) {
	s := newSimulatedTarget(t)
	ctx, cancel := context.WithTimeout(context.Background(), trialDuration)
	defer cancel()
	d := detector.New(detector.Settings{Poller: s})
	d.SetTargets([]detector.Target{{Name: "t"}})
	changes := d.Subscribe()
	var streams sync.WaitGroup
	streams.Go(func() { s.streamTokens(ctx, d) })
	for ctx.Err() == nil {
		select {
		case change := <-changes.C():
			if change.Before.State == detector.Live && change.After.State != detector.Live {
				alarms = append(alarms, time.Since(s.start))
			}
		case <-ctx.Done():
		}
	}
	streams.Wait()
	_ = changes.Close()
	_ = d.Close()
	return alarms
}

// detectionBound is the time within which a target that stops must be detected. A stalled target has a
// longer bound: it answers polls and is detected by its counter alone, which a lost poll delays.
func detectionBound(b behaviour) time.Duration {
	if b == stalled {
		return 2500 * time.Millisecond
	}
	return 2 * time.Second
}

var behaviours = []behaviour{healthy, slow, pausing, lossy, frozen, stalled, crashed}

// TestStoppedTargetsAreDetectedInTime runs generated trials of healthy, slow, pausing, lossy, frozen,
// stalled and crashed targets. A target that stops must be detected within detectionBound, and one that
// makes progress must never be suspected.
func TestStoppedTargetsAreDetectedInTime(t *testing.T) {
	var stopped, notStopped, degraded atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		b := rapid.SampledFrom(behaviours).Draw(rt, "behaviour")
		plan := drawTrial(rt, b)
		var v verdict
		synctest.Test(t, func(*testing.T) { v = evaluate(plan, runDetector(plan)) })
		switch {
		case v.falseAlarms > 0:
			rt.Fatalf("%s target was suspected %d times", b, v.falseAlarms)
		case v.stopped && (!v.detected || v.latency > detectionBound(b)):
			rt.Fatalf("%s target was detected after %s", b, v.latency)
		}
		if v.stopped {
			stopped.Add(1)
		} else {
			notStopped.Add(1)
		}
		if plan.alsoSlow || plan.alsoLossy || len(plan.pauses) > 0 {
			degraded.Add(1)
		}
	})
	t.Logf("conditions reached: %d targets stopped, %d did not, %d were slow, lossy or pausing",
		stopped.Load(), notStopped.Load(), degraded.Load())
	if stopped.Load() == 0 || notStopped.Load() == 0 || degraded.Load() == 0 {
		t.Error("no trial covered one of the counted kinds")
	}
}

// tally sums the verdicts of one detector for one behaviour.
type tally struct {
	trials, falseAlarms, detected int
	latencies                     []time.Duration
}

func (r *tally) add(v verdict) {
	r.trials++
	r.falseAlarms += v.falseAlarms
	if v.detected {
		r.detected++
		r.latencies = append(r.latencies, v.latency)
	}
}

func (r *tally) String() string {
	if len(r.latencies) == 0 {
		return fmt.Sprintf("%4d trials, %4d false alarms, none detected", r.trials, r.falseAlarms)
	}
	slices.Sort(r.latencies)
	return fmt.Sprintf("%4d trials, %4d false alarms, %4d detected, median %v, worst %v", r.trials, r.falseAlarms,
		r.detected, r.latencies[len(r.latencies)/2].Round(time.Millisecond), r.latencies[len(r.latencies)-1].Round(time.Millisecond))
}

// TestProgressDetectionComparedToPings runs the detector and plain ping detectors on the same targets. The
// detector must raise no false alarm, and pings must not detect a stalled target, which answers them.
func TestProgressDetectionComparedToPings(t *testing.T) {
	pings := []pingDetector{
		{interval: 250 * time.Millisecond, timeout: 250 * time.Millisecond, misses: 3},
		{interval: 250 * time.Millisecond, timeout: 250 * time.Millisecond, misses: 6},
		{interval: 250 * time.Millisecond, timeout: time.Second, misses: 1},
		{interval: 250 * time.Millisecond, timeout: time.Second, misses: 2},
	}
	tallies := make(map[string]*tally)
	tallyOf := func(name string, plan trial) *tally {
		kind := string(plan.behaviour)
		if plan.behaviour == stalled && plan.alsoLossy {
			kind = "stalled and lossy"
		}
		key := fmt.Sprintf("%-17s | %s", kind, name)
		if tallies[key] == nil {
			tallies[key] = &tally{}
		}
		return tallies[key]
	}
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawTrial(rt, rapid.SampledFrom(behaviours).Draw(rt, "behaviour"))
		synctest.Test(t, func(*testing.T) {
			tallyOf("progress", plan).add(evaluate(plan, runDetector(plan)))
			for _, p := range pings {
				s := newSimulatedTarget(plan)
				ctx, cancel := context.WithTimeout(context.Background(), trialDuration)
				tallyOf(p.String(), plan).add(evaluate(plan, p.run(ctx, s)))
				cancel()
			}
		})
	})
	for _, key := range slices.Sorted(maps.Keys(tallies)) {
		t.Logf("%-56s | %s", key, tallies[key])
	}
	for key, r := range tallies {
		kind, name, _ := strings.Cut(key, "|")
		switch {
		case name == " progress" && r.falseAlarms > 0:
			t.Errorf("%s: %s", key, r)
		case name != " progress" && strings.TrimSpace(kind) == string(stalled) && r.detected > 0:
			t.Errorf("pings detected a stalled scheduler that answers: %s: %s", key, r)
		}
	}
}

// newPassiveDetector returns a detector that does not poll.
func newPassiveDetector(t *testing.T) *detector.Detector {
	t.Helper()
	d := detector.New(detector.Settings{})
	d.SetTargets([]detector.Target{{Name: "t"}})
	return d
}

func report(incarnation string, progress uint64) detector.Report {
	return detector.Report{Incarnation: incarnation, Progress: progress}
}

// TestLeavingEndsOnlyWithNewerIncarnation covers each kind of evidence for leaving except the drain label.
// Only a newer incarnation may make the target usable again.
func TestLeavingEndsOnlyWithNewerIncarnation(t *testing.T) {
	answer := func(d *detector.Detector, r detector.Report) { d.ObserveReport("t", r, time.Now(), true) }
	cases := []struct {
		name    string
		observe func(d *detector.Detector)
		reason  detector.Reason
	}{
		{"host list", func(d *detector.Detector) { d.ObserveHostList("t", true) }, detector.ReasonHostList},
		{"self report", func(d *detector.Detector) {
			answer(d, detector.Report{Incarnation: "i1", Progress: 2, Leaving: true})
		}, detector.ReasonSelfReport},
		{"refused call", func(d *detector.Detector) { d.ObserveLeaving("t") }, detector.ReasonSelfReport},
		{"refused connections", func(d *detector.Detector) {
			d.ObserveRefused("t")
			time.Sleep(200 * time.Millisecond)
			d.ObserveRefused("t")
		}, detector.ReasonRefused},
		{"peer", func(d *detector.Detector) {
			d.Merge([]detector.Observation{{
				Target: "t", Incarnation: "i1", Progress: 1, State: detector.Leaving, Reason: detector.ReasonSelfReport,
			}})
		}, detector.ReasonSelfReport},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newPassiveDetector(t)
				defer func() { _ = d.Close() }()
				answer(d, report("i1", 1))
				c.observe(d)
				answer(d, report("i1", 9))
				d.ObserveHostList("t", false)
				d.Merge([]detector.Observation{{Target: "t", Incarnation: "i1", Progress: 10}})
				if status := d.Status("t"); status.State != detector.Leaving || status.Reason != c.reason {
					t.Errorf("after the evidence of leaving: %+v", status)
				}
				answer(d, report("i0", 99))
				if d.Usable("t") {
					t.Error("an older incarnation made the target usable again")
				}
				answer(d, report("i2", 0))
				if !d.Usable("t") {
					t.Errorf("a newer incarnation did not make the target usable again: %+v", d.Status("t"))
				}
			})
		})
	}
}

// TestObservationsOfOldIncarnationAreIgnored delivers reports, observations and events of a crashed
// incarnation after the first report of its successor.
func TestObservationsOfOldIncarnationAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPassiveDetector(t)
		defer func() { _ = d.Close() }()
		d.ObserveReport("t", report("i2", 1), time.Now(), false)
		late := detector.Report{Incarnation: "i1", Progress: 99, Leaving: true}
		d.ObserveReport("t", late, time.Now(), false)
		d.Merge([]detector.Observation{{Target: "t", Incarnation: "i1", Progress: 99, State: detector.Leaving}})
		time.Sleep(time.Second)
		d.ObserveProgress("t", "i1")
		if status := d.Status("t"); status.State != detector.Live || time.Since(status.LastProgress) < time.Second {
			t.Errorf("got %+v", status)
		}
	})
}

// TestRestartBetweenPollsIsPublished restarts a target between two polls. The subscriber must receive the
// change of the incarnation, although the state stays live.
func TestRestartBetweenPollsIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPassiveDetector(t)
		defer func() { _ = d.Close() }()
		d.ObserveReport("t", report("i1", 5), time.Now(), false)
		changes := d.Subscribe()
		defer func() { _ = changes.Close() }()
		d.ObserveReport("t", report("i2", 1), time.Now(), false)
		synctest.Wait()
		select {
		case change := <-changes.C():
			if change.Before.Incarnation != "i1" || change.After.Incarnation != "i2" || change.After.State != detector.Live {
				t.Errorf("got %+v", change)
			}
		default:
			t.Error("no change was published")
		}
	})
}

func TestDrainIsReversible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPassiveDetector(t)
		defer func() { _ = d.Close() }()
		d.ObserveDrain("t", true)
		if status := d.Status("t"); status.State != detector.Leaving || status.Reason != detector.ReasonDrain {
			t.Errorf("drained: %+v", status)
		}
		d.ObserveDrain("t", false)
		d.ObserveReport("t", report("i1", 1), time.Now(), false)
		// Every daemon reads the label from the configuration, so peers' observations of it do not count.
		d.Merge([]detector.Observation{{
			Target: "t", Incarnation: "i1", Progress: 1, State: detector.Leaving, Reason: detector.ReasonDrain,
		}})
		if !d.Usable("t") {
			t.Errorf("no longer drained: %+v", d.Status("t"))
		}
	})
}

// TestFreshConnectionClearsSingleRefusal refuses one connection. Only an answer on a fresh connection may
// make the target usable again, and the refusal must not close the channel of Stalled.
func TestFreshConnectionClearsSingleRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPassiveDetector(t)
		defer func() { _ = d.Close() }()
		d.ObserveReport("t", report("i1", 1), time.Now(), false)
		d.ObserveRefused("t")
		d.ObserveReport("t", report("i1", 2), time.Now(), false)
		if d.Usable("t") {
			t.Error("an answer on an old connection cleared the refusal")
		}
		select {
		case <-d.Stalled("t"):
			t.Error("a refused connection alone closed the channel of Stalled")
		default:
		}
		d.ObserveReport("t", report("i1", 3), time.Now(), true)
		if !d.Usable("t") {
			t.Errorf("after an answer on a fresh connection: %+v", d.Status("t"))
		}
	})
}

// TestDaemonPauseRestartsDeadlines pauses the daemon itself, which observes no progress meanwhile. The target
// must be suspected only after a full deadline without progress since the pause.
func TestDaemonPauseRestartsDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var paused atomic.Bool
		d := detector.New(detector.Settings{ShouldPoll: func(string) bool {
			if paused.CompareAndSwap(true, false) {
				time.Sleep(5 * time.Second)
			}
			return true
		}})
		defer func() { _ = d.Close() }()
		d.SetTargets([]detector.Target{{Name: "t"}})
		d.Begin("t")
		d.ObserveProgress("t", "i1")
		paused.Store(true)
		time.Sleep(5100 * time.Millisecond)
		if !d.Usable("t") {
			t.Errorf("after a pause of the daemon: %+v", d.Status("t"))
		}
		time.Sleep(2 * time.Second)
		if d.Usable("t") {
			t.Error("the target made no progress after the pause and is not suspected")
		}
	})
}
