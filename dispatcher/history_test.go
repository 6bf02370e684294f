package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// settleTime is the wait after the last fault of a plan, after which each outcome that can be
// settled is settled.
const settleTime = 3 * time.Minute

// request is one call of a caller. Requests with equal accounts and keys are repeats.
type request struct {
	At      time.Duration
	Host    int
	Account string
	Key     string
	Body    string
	Timeout time.Duration
	// Hangup is when the caller drops its connection, or zero.
	Hangup time.Duration
}

// timedFault is a fault that starts at a given time. A failpoint in contrast triggers at a step.
type timedFault struct {
	At     time.Duration
	Kind   string
	Host   int
	Length time.Duration
}

var timedFaultKinds = []string{
	"outage", "delay", "lose answers", "stale reads", "late writes", "cut platform", "cut peers", "cut peers", "kill", "pause",
}

// plan is a generated test case. It is drawn completely before it runs.
type plan struct {
	Hosts         int
	Lookup        bool
	Requests      []request
	TimedFaults   []timedFault
	Failpoints    []failpoint
	ServiceFaults []string
}

// alwaysSettles reports whether no fault of the plan can leave an outcome permanently unknown.
func (p plan) alwaysSettles() bool {
	kills := slices.ContainsFunc(p.TimedFaults, func(e timedFault) bool { return e.Kind == "kill" }) ||
		slices.ContainsFunc(p.Failpoints, func(t failpoint) bool { return t.Pause == 0 })
	broken := slices.ContainsFunc(p.ServiceFaults, func(fault string) bool {
		return fault == faultCrashBefore || fault == faultCrashAfter || fault == faultLateRun
	})
	return !kills && !broken
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawPlan(rt *rapid.T) plan {
	hosts := rapid.IntRange(2, 4).Draw(rt, "hosts")
	host := rapid.IntRange(0, hosts-1)
	requests := rapid.Custom(func(rt *rapid.T) request {
		return request{
			At:      milliseconds(0, 1500).Draw(rt, "at"),
			Host:    host.Draw(rt, "host"),
			Account: rapid.SampledFrom([]string{"a", "a", "b"}).Draw(rt, "account"),
			Key:     rapid.SampledFrom([]string{"k1", "k1", "k2"}).Draw(rt, "key"),
			Body:    rapid.SampledFrom([]string{"wheel", "wheel", "wheel", "spoke"}).Draw(rt, "body"),
			Timeout: milliseconds(100, 6000).Draw(rt, "timeout"),
			Hangup:  rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 200 * time.Millisecond}).Draw(rt, "hangup"),
		}
	})
	timedFaults := rapid.Custom(func(rt *rapid.T) timedFault {
		return timedFault{
			At:     milliseconds(0, 1500).Draw(rt, "at"),
			Kind:   rapid.SampledFrom(timedFaultKinds).Draw(rt, "kind"),
			Host:   host.Draw(rt, "host"),
			Length: milliseconds(1, 4000).Draw(rt, "length"),
		}
	})
	failpoints := rapid.Custom(func(rt *rapid.T) failpoint {
		return failpoint{
			Host:  host.Draw(rt, "host"),
			Step:  rapid.SampledFrom(allSteps).Draw(rt, "step"),
			Nth:   rapid.IntRange(1, 3).Draw(rt, "nth"),
			Pause: rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, time.Second, 5 * time.Second}).Draw(rt, "pause"),
		}
	})
	return plan{
		Hosts:         hosts,
		Lookup:        rapid.Bool().Draw(rt, "lookup"),
		Requests:      rapid.SliceOfN(requests, 3, 16).Draw(rt, "requests"),
		TimedFaults:   rapid.SliceOfN(timedFaults, 1, 6).Draw(rt, "events"),
		Failpoints:    rapid.SliceOfN(failpoints, 1, 4).Draw(rt, "traps"),
		ServiceFaults: rapid.SliceOfN(rapid.SampledFrom(allFaults), 1, 6).Draw(rt, "faults"),
	}
}

// result is the result of a request for its caller.
type result struct {
	request request
	id      string
	lost    bool
	answer  dispatcher.Answer
	refusal *dispatcher.RefusedError
	late    time.Duration
	// hostReadRun is the result of sawRun for this request.
	hostReadRun bool
}

func TestRunsAtMostOnce(t *testing.T) {
	reached := map[string]int{}
	cases := 0
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			f := playPlan(p)
			violations = f.violations
			for condition, count := range f.reached {
				reached[condition] += count
			}
		})
		cases++
		if len(violations) > 0 {
			rt.Fatalf("%d violations: %v\nplan %+v", len(violations), violations, p)
		}
	})
	for _, condition := range slices.Sorted(maps.Keys(reached)) {
		t.Logf("%-55s %6d", condition, reached[condition])
	}
	t.Logf("%d histories", cases)
	for _, condition := range []string{
		"killed " + stepCreated, "killed " + stepSent, "paused " + stepCreated, "paused " + stepSend,
		"answer lost to intent", "answer lost to swap", "platform down at intent", "platform down at swap",
		"read-back finds nothing", "peer cut off while asked", "peer answers done", "repeat during a run",
		"service: " + faultLateAnswer, "service: " + faultLateRun, "service: " + faultNotSent,
	} {
		if reached[condition] == 0 {
			t.Errorf("condition never reached: %s", condition)
		}
	}
}

func playPlan(p plan) *fleet {
	f := newFleet(p)
	var lookup dispatcher.Lookup
	if p.Lookup {
		lookup = f.service
	}
	for i := range p.Hosts {
		f.start(i, lookup)
	}
	var wg sync.WaitGroup
	for _, e := range p.TimedFaults {
		wg.Go(func() { f.inject(e, lookup) })
	}
	results := make([]result, len(p.Requests))
	for i, r := range p.Requests {
		wg.Go(func() { results[i] = f.call(r, fmt.Sprintf("request-%d", i)) })
	}
	wg.Wait()
	f.endFaults()
	time.Sleep(settleTime)
	f.check(results)
	f.checkRepeats(p, results, lookup)
	for _, h := range f.allHosts {
		h.d.Close()
	}
	return f
}

func newFleet(p plan) *fleet {
	return &fleet{
		platform: platformemulator.New(platformemulator.Settings{}),
		service: &service{
			faults: slices.Clone(p.ServiceFaults), inFlight: map[string]int{},
			answers: map[string]dispatcher.Answer{}, refused: map[string]bool{},
		},
		failpoints: p.Failpoints, hosts: make([]*host, p.Hosts), partitioned: map[[2]int]bool{}, reached: map[string]int{},
	}
}

// call makes one request and returns its result.
func (f *fleet) call(r request, id string) result {
	time.Sleep(r.At)
	h := f.host(r.Host)
	call := newCall(r.Account, r.Key, r.Body, id, r.Timeout)
	if f.service.runsOf(func(ran run) bool { return ran.key == keyOf(call) }) > 0 {
		f.countReached("repeat after a run")
	}
	f.service.beginRequest(keyOf(call), f)
	ctx, hangUp := context.WithCancel(context.WithValue(context.Background(), requestIDKey{}, id))
	defer hangUp()
	if r.Hangup > 0 {
		time.AfterFunc(r.Hangup, hangUp)
	}
	answer, err := h.d.Dispatch(ctx, call)
	f.service.endRequest(keyOf(call))
	res := result{request: r, id: id, answer: answer, late: time.Since(call.Deadline), hostReadRun: h.sawRun(call)}
	errors.As(err, &res.refusal)
	res.lost = !h.passStep(stepReply)
	return res
}

func (s *service) beginRequest(key string, f *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[key]++
	if s.inFlight[key] > 1 {
		f.countReached("repeat during a run")
	}
}

func (s *service) endRequest(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[key]--
}

func (f *fleet) inject(e timedFault, lookup dispatcher.Lookup) {
	time.Sleep(e.At)
	h := f.host(e.Host)
	switch e.Kind {
	case "outage":
		f.platformFault(platformemulator.Faults{Outage: true}, e.Length)
	case "delay":
		f.platformFault(platformemulator.Faults{Delay: 100 * time.Millisecond}, e.Length)
	case "late writes":
		f.platformFault(platformemulator.Faults{Delay: 900 * time.Millisecond}, e.Length)
	case "lose answers":
		f.platformFault(platformemulator.Faults{LoseAnswers: 3}, e.Length)
	case "stale reads":
		f.platformFault(platformemulator.Faults{StaleReads: 4, LoseAnswers: 1}, e.Length)
	case "cut platform":
		h.conn.SetFaults(platformemulator.Faults{Partitioned: true})
		time.Sleep(e.Length)
		h.conn.SetFaults(platformemulator.Faults{})
	case "cut peers":
		f.partitionPeers(e.Host, true)
		time.Sleep(e.Length)
		f.partitionPeers(e.Host, false)
	case "pause":
		h.pause(e.Length)
	case "kill":
		h.kill()
		time.Sleep(e.Length)
		f.start(e.Host, lookup)
	}
}

func (f *fleet) platformFault(faults platformemulator.Faults, length time.Duration) {
	f.platform.SetFaults(faults)
	time.Sleep(length)
	f.platform.SetFaults(platformemulator.Faults{})
}

func (f *fleet) partitionPeers(index int, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for other := range f.hosts {
		f.partitioned[[2]int{min(index, other), max(index, other)}] = partitioned && other != index
	}
}

func (f *fleet) endFaults() {
	f.platform.SetFaults(platformemulator.Faults{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failpoints = nil
}

// check checks that each key ran at most once, and that the result of each caller matches the runs
// at the service.
func (f *fleet) check(results []result) {
	for _, r := range f.service.allRuns() {
		if n := f.service.runsOf(func(other run) bool { return other.key == r.key }); n > 1 {
			f.addViolation("key %s ran %d times", r.key, n)
		}
	}
	for _, r := range results {
		f.checkResult(r)
	}
	f.checkAllNotRun(results)
}

func (f *fleet) checkResult(r result) {
	if r.late > 0 {
		f.addViolation("request %s ended %v after its deadline", r.id, r.late)
	}
	call := newCall(r.request.Account, r.request.Key, r.request.Body, r.id, 0)
	if r.lost {
		return
	}
	if r.refusal == nil {
		if want := answerTo(call); string(r.answer.Body) != string(want.Body) || r.answer.Status != want.Status {
			f.addViolation("request %s got %q, want %q", r.id, r.answer.Body, want.Body)
		}
		return
	}
	f.countReached("refused: " + r.refusal.Code + ", " + string(r.refusal.Run))
	if r.refusal.Run != dispatcher.NotRun {
		return
	}
	if r.hostReadRun && r.refusal.Code != dispatcher.CodeKeyReused {
		f.addViolation("request %s refused as not run (%s) although its daemon had read a record of the run", r.id, r.refusal.Code)
	}
	if f.service.runsOf(func(ran run) bool { return ran.requestID == r.id }) > 0 {
		f.addViolation("request %s refused as not run (%s) but ran", r.id, r.refusal.Code)
	}
	if r.refusal.Code == dispatcher.CodeKeyRetired && f.service.runsOf(func(ran run) bool { return ran.key == keyOf(call) }) > 0 {
		f.addViolation("key %s refused as retired but ran", keyOf(call))
	}
}

// checkAllNotRun checks that a key did not run if all its requests were refused as not run.
func (f *fleet) checkAllNotRun(results []result) {
	allNotRun := map[string]bool{}
	for _, r := range results {
		key := r.request.Account + "/" + r.request.Key
		notRun := !r.lost && r.refusal != nil && r.refusal.Run == dispatcher.NotRun
		previous, seen := allNotRun[key]
		allNotRun[key] = notRun && (previous || !seen)
	}
	for key, notRun := range allNotRun {
		if notRun && f.service.runsOf(func(r run) bool { return r.key == key }) > 0 {
			f.addViolation("all requests with key %s were refused as not run, but the key ran", key)
		}
	}
}

// checkRepeats repeats each request after the faults have ended. No outcome may stay unknown if the
// service has a look-up or no fault of the plan can leave one unknown.
func (f *fleet) checkRepeats(p plan, results []result, lookup dispatcher.Lookup) {
	f.service.clearFaults()
	repeater := f.start(0, lookup)
	for i, r := range results {
		again := f.call(request{Account: r.request.Account, Key: r.request.Key, Body: r.request.Body, Timeout: 10 * time.Second}, fmt.Sprintf("repeat-%d", i))
		if again.refusal == nil || again.refusal.Run == dispatcher.NotRun {
			f.countReached("repeat after the faults: settled")
			continue
		}
		f.countReached("repeat after the faults: unknown")
		if p.Lookup || p.alwaysSettles() {
			f.addViolation("repeat of %s/%s unsettled: %v", r.request.Account, r.request.Key, again.refusal)
		}
	}
	f.check(nil)
	report, err := repeater.d.Sweep(context.Background())
	if err != nil {
		f.addViolation("sweep: %v", err)
	}
	f.reached["unsettled in the sweep"] += len(report.Unsettled)
	if (p.Lookup || p.alwaysSettles()) && len(report.Unsettled) > 0 {
		f.addViolation("unsettled although the plan has no fault that allows it: %+v", report.Unsettled)
	}
}
