package streamer_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

const (
	daemonCount    = 3
	gossipInterval = 250 * time.Millisecond
	// leaveOrCrashDetectionBound and freezeDetectionBound are the times after which an engine gets
	// no more calls once it has left or crashed, or has frozen.
	leaveOrCrashDetectionBound = 3 * time.Second
	freezeDetectionBound       = 2 * time.Second
	livenessDuration           = 9 * time.Second
)

// unavailabilityKind is a way in which an engine becomes unavailable.
type unavailabilityKind string

const (
	unavailableByHostList   unavailabilityKind = "host list"
	unavailableBySelfReport unavailabilityKind = "self report"
	unavailableByFreezing   unavailabilityKind = "freeze"
	unavailableByCrash      unavailabilityKind = "crash"
)

var unavailabilityKinds = []unavailabilityKind{unavailableByHostList, unavailableBySelfReport, unavailableByFreezing, unavailableByCrash}

// unavailabilityPlan makes one engine unavailable and available again after its downtime.
type unavailabilityPlan struct {
	kind       unavailabilityKind
	start      time.Duration
	downtime   time.Duration
	slowFactor float64
	engine     int
	// hostListReader is the index of the daemon that reads the host list.
	hostListReader int
}

func (p unavailabilityPlan) bound() time.Duration {
	if p.kind == unavailableByFreezing {
		return freezeDetectionBound
	}
	return leaveOrCrashDetectionBound
}

type livenessPlan struct {
	unavailabilityPlans []unavailabilityPlan
	spacing             time.Duration
	seed                uint64
}

func drawLiveness(rt *rapid.T) livenessPlan {
	p := livenessPlan{spacing: drawTime(rt, "spacing", 120, 400), seed: rapid.Uint64().Draw(rt, "seed")}
	for engine := 1; engine <= 2; engine++ {
		p.unavailabilityPlans = append(p.unavailabilityPlans, unavailabilityPlan{
			kind:           rapid.SampledFrom(unavailabilityKinds).Draw(rt, "kind"),
			start:          drawTime(rt, "at", 500, 1500),
			downtime:       drawTime(rt, "away", 200, 6000),
			slowFactor:     rapid.SampledFrom([]float64{0, 0, 5}).Draw(rt, "slow"),
			hostListReader: rapid.IntRange(0, daemonCount-1).Draw(rt, "teller"),
			engine:         engine,
		})
	}
	return p
}

// modelCall is a model call that reached an engine.
type modelCall struct {
	address string
	at      time.Duration
}

// testDaemon is the detector and the streamer of one daemon.
type testDaemon struct {
	detector *detector.Detector
	streamer *streamer.Streamer
}

// dataCentre is a data centre of daemons and engines in virtual time.
type dataCentre struct {
	plan       livenessPlan
	start      time.Time
	engines    []*engineemulator.Engine
	network    *engineemulator.Network
	daemons    []*testDaemon
	mu         sync.Mutex
	calls      []modelCall
	violations []string
}

func newDataCentre(p livenessPlan) *dataCentre {
	dc := &dataCentre{plan: p, start: time.Now()}
	dc.network = engineemulator.NewNetwork(func(r *http.Request) {
		if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/chat") {
			dc.mu.Lock()
			defer dc.mu.Unlock()
			dc.calls = append(dc.calls, modelCall{address: r.URL.Host, at: time.Since(dc.start)})
		}
	})
	for i := range 3 {
		engine := engineemulator.New(engineemulator.Settings{
			Weights: []string{"w1"}, DecodeStep: 10 * time.Millisecond, LoadLag: 300 * time.Millisecond, Seed: p.seed,
		})
		dc.engines = append(dc.engines, engine)
		dc.network.Add(addressOf(i), engine)
	}
	for i := range daemonCount {
		dc.daemons = append(dc.daemons, dc.newDaemon(i))
	}
	return dc
}

// newDaemon returns a daemon that polls all engines except the one with its own index.
// It learns that engine's state from the gossip of the other daemons, the host list and its own
// calls, not from polls.
func (dc *dataCentre) newDaemon(index int) *testDaemon {
	client := forwarder.New(forwarder.Settings{Transport: dc.network})
	d := detector.New(detector.Settings{
		Poller:     detector.NewPoller(client),
		ShouldPoll: func(target string) bool { return target != nameOf(index) },
	})
	var targets []detector.Target
	for i := range dc.engines {
		targets = append(targets, detector.Target{Name: nameOf(i), Address: addressOf(i)})
	}
	d.SetTargets(targets)
	return &testDaemon{detector: d, streamer: streamer.New(streamer.Settings{
		Engines: streamer.NewEngineClient(client), StallDetector: d, Progress: d, AttemptTracker: d, Failures: d,
		RetryBurst: 1000, MaxAttempts: 12,
	})}
}

func (dc *dataCentre) close() {
	for _, daemon := range dc.daemons {
		_ = daemon.streamer.Close()
		_ = daemon.detector.Close()
	}
	for _, engine := range dc.engines {
		_ = engine.Close()
	}
	_ = dc.network.Close()
}

// gossip merges the observations of each daemon into the next one until the context ends.
func (dc *dataCentre) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(gossipInterval)
		for i, daemon := range dc.daemons {
			dc.daemons[(i+1)%daemonCount].detector.Merge(daemon.detector.Export())
		}
	}
}

// makeUnavailable makes an engine unavailable for the planned downtime. The engine returns as a
// newer incarnation, except after a freeze.
func (dc *dataCentre) makeUnavailable(p unavailabilityPlan) {
	engine := dc.engines[p.engine]
	engine.SetFaults(engineemulator.Faults{SlowFactor: p.slowFactor})
	time.Sleep(p.start)
	switch p.kind {
	case unavailableByHostList:
		dc.daemons[p.hostListReader].detector.ObserveHostList(nameOf(p.engine), true)
	case unavailableBySelfReport:
		engine.SetLeaving(true)
	case unavailableByFreezing:
		engine.SetFaults(engineemulator.Faults{Freeze: true})
		time.Sleep(p.downtime)
		engine.SetFaults(engineemulator.Faults{})
		return
	}
	if p.kind != unavailableByCrash {
		time.Sleep(p.downtime)
	}
	engine.Crash()
	engine.SetLeaving(false)
	if p.kind == unavailableByCrash {
		time.Sleep(p.downtime)
	}
	_ = engine.Restart()
}

// usableChooser chooses usable engines in turn, and engine 0, which stays available, if there is
// none or after six attempts.
type usableChooser struct {
	detector *detector.Detector
	next     int
}

func (c *usableChooser) Choose(_ context.Context, tried []streamer.Attempt) (target streamer.Target, err error) {
	if len(tried) < 6 {
		for range 3 {
			c.next++
			if engine := c.next % 3; c.detector.Usable(nameOf(engine)) {
				return streamer.Target{Name: nameOf(engine), Address: addressOf(engine)}, nil
			}
		}
	}
	return streamer.Target{Name: nameOf(0), Address: addressOf(0)}, nil
}

// sendRequests sends requests through a daemon at the planned spacing until the context ends.
func (dc *dataCentre) sendRequests(ctx context.Context, daemon int) {
	var wait sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(dc.plan.spacing)
		wait.Go(func() { dc.sendRequest(daemon, i) })
	}
	wait.Wait()
}

func (dc *dataCentre) sendRequest(daemon, i int) {
	sink := &collector{}
	prompt := fmt.Sprintf("question %d of daemon %d", i, daemon)
	request := streamer.Request{
		ID: fmt.Sprintf("%d-%d", daemon, i), Account: "a", Weights: "w1", MaxTokens: 8,
		Messages: []forwarder.Message{{Role: "user", Content: prompt}},
	}
	chooser := &usableChooser{detector: dc.daemons[daemon].detector, next: i}
	_, err := dc.daemons[daemon].streamer.Run(context.Background(), request, chooser, sink)
	if err == nil && sink.text.String() == engineemulator.Answer(promptOf(prompt), 8) && len(sink.violations) == 0 {
		return
	}
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.violations = append(dc.violations, fmt.Sprintf("request %s: %v, %q, %v", request.ID, err, sink.text.String(), sink.violations))
}

// check reports calls that reached an unavailable engine after the detection bound, and engines
// that got no call after their return.
func (dc *dataCentre) check(reached *livenessCoverage) (violations []string) {
	violations = dc.violations
	for _, p := range dc.plan.unavailabilityPlans {
		lateCalls, callsAfterReturn, callsWithinBound := 0, 0, 0
		for _, call := range dc.calls {
			switch {
			case call.address != addressOf(p.engine).String() || call.at < p.start:
			case call.at >= p.start+p.downtime:
				callsAfterReturn++
			case call.at > p.start+p.bound():
				lateCalls++
			default:
				callsWithinBound++
			}
		}
		if lateCalls > 0 {
			violations = append(violations, fmt.Sprintf("%d calls reached a target later than %s after the %s", lateCalls, p.bound(), p.kind))
		}
		if callsAfterReturn == 0 && p.start+p.downtime < livenessDuration-2*time.Second {
			violations = append(violations, fmt.Sprintf("no call reached a target after its return from the %s", p.kind))
		}
		reached.add(p, callsWithinBound)
	}
	return violations
}

// livenessCoverage counts the downtimes longer and shorter than the detection bound, the calls that
// reached an unavailable engine within the bound, and the test runs with overlapping downtimes.
type livenessCoverage struct {
	longerThanBound, shorterThanBound, callsWithinBound, overlapping atomic.Int64
}

func (c *livenessCoverage) add(p unavailabilityPlan, callsWithinBound int) {
	if p.downtime > p.bound() {
		c.longerThanBound.Add(1)
	} else {
		c.shorterThanBound.Add(1)
	}
	c.callsWithinBound.Add(int64(callsWithinBound))
}

// TestUnavailableTargetsGetNoNewCalls runs three daemons that gossip, and three engines of which
// two leave, freeze or crash. An unavailable engine must get no calls after the bound, and calls
// again after its return.
func TestUnavailableTargetsGetNoNewCalls(t *testing.T) {
	var reached livenessCoverage
	rapid.Check(t, func(rt *rapid.T) {
		p := drawLiveness(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			dc := newDataCentre(p)
			ctx, cancel := context.WithTimeout(context.Background(), livenessDuration)
			defer cancel()
			var wait sync.WaitGroup
			wait.Go(func() { dc.gossip(ctx) })
			for _, plan := range p.unavailabilityPlans {
				wait.Go(func() { dc.makeUnavailable(plan) })
			}
			for daemon := range dc.daemons {
				wait.Go(func() { dc.sendRequests(ctx, daemon) })
			}
			wait.Wait()
			dc.close()
			violations = dc.check(&reached)
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
		first, second := p.unavailabilityPlans[0], p.unavailabilityPlans[1]
		if first.start < second.start+second.downtime && second.start < first.start+first.downtime {
			reached.overlapping.Add(1)
		}
	})
	t.Logf("conditions reached: %d downtimes longer than the detection bound, %d shorter, %d calls within the bound, %d overlapping downtimes",
		reached.longerThanBound.Load(), reached.shorterThanBound.Load(), reached.callsWithinBound.Load(), reached.overlapping.Load())
	if reached.longerThanBound.Load() == 0 || reached.shorterThanBound.Load() == 0 || reached.callsWithinBound.Load() == 0 || reached.overlapping.Load() == 0 {
		t.Error("at least one of the counted conditions never occurred")
	}
}
