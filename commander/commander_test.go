package commander_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/commander"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// longestPause is the longest pause of a host. A pause may still last when the last fault has ended.
const longestPause = 35 * time.Second

// faultPeriod is the time over which the faults of a scenario are spread.
const faultPeriod = 60 * time.Second

type fault struct {
	At     time.Duration
	Kind   string
	Index  int
	Length time.Duration
}

var faultKinds = []string{
	"outage", "lose answers", "stale reads", "cut platform", "expire lease", "pause", "kill", "crash engine", "crash loading engine",
	"configure", "configure", "configure", "stuck orders",
}

var pausePoints = []string{
	"before get", "after get", "before create", "after create", "after grant", "before renew", "after renew",
	"between the reports and the plan", "between the check and the send", "after the send",
}

type scenario struct {
	Hosts, MaxLoads int
	IgnoresFencing  []bool
	LoadTimes       []time.Duration
	Faults          []fault
	Pauses          []map[string]time.Duration
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawScenario(rt *rapid.T) scenario {
	engines := rapid.IntRange(1, 6).Draw(rt, "engines")
	s := scenario{Hosts: rapid.IntRange(2, 3).Draw(rt, "hosts"), MaxLoads: rapid.IntRange(2, 3).Draw(rt, "max loads")}
	s.IgnoresFencing = rapid.SliceOfN(rapid.Bool(), engines, engines).Draw(rt, "ignores")
	s.LoadTimes = rapid.SliceOfN(milliseconds(100, 3000), engines, engines).Draw(rt, "load times")
	s.Faults = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			At: rapid.SampledFrom(faultTimes()).Draw(rt, "at"), Kind: rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
			Index: rapid.IntRange(0, 5).Draw(rt, "index"), Length: milliseconds(100, 30000).Draw(rt, "length"),
		}
	}), 4, 14).Draw(rt, "events")
	pauses := rapid.MapOfN(rapid.SampledFrom(pausePoints), rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 15 * time.Second, 25 * time.Second, longestPause}), 0, 3)
	s.Pauses = rapid.SliceOfN(pauses, s.Hosts, s.Hosts).Draw(rt, "pauses")
	return s
}

// faultTimes returns the times at which faults may be injected. They begin at 8 s, shortly before the first
// leader starts to send orders at 10 s.
func faultTimes() (times []time.Duration) {
	for at := 8 * time.Second; at < faultPeriod; at += 370 * time.Millisecond {
		times = append(times, at)
	}
	return times
}

func runScenario(s scenario) *fleet {
	f := &fleet{
		platform: platformemulator.New(platformemulator.Settings{}), maxLoads: s.MaxLoads,
		reached: map[string]int{}, hosts: make([]*host, s.Hosts),
	}
	for i, ignoresFencing := range s.IgnoresFencing {
		f.engines = append(f.engines, &engine{name: fmt.Sprintf("engine-%d", i), ignoresFencing: ignoresFencing, loadTime: s.LoadTimes[i]})
	}
	f.configure("v1")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				f.sampleReports()
			}
		}
	})
	var allHosts []*host
	for i := range f.hosts {
		f.hosts[i] = f.start(fmt.Sprintf("host-%d", i), maps.Clone(s.Pauses[i]))
		allHosts = append(allHosts, f.hosts[i])
	}
	var mu sync.Mutex
	var injections sync.WaitGroup
	for _, e := range s.Faults {
		injections.Go(func() {
			if restarted := f.inject(e); restarted != nil {
				mu.Lock()
				defer mu.Unlock()
				allHosts = append(allHosts, restarted)
			}
		})
	}
	injections.Wait()
	for _, h := range allHosts {
		h.clearPauses()
	}
	time.Sleep(longestPause + faultPeriod)
	f.checkConverged()
	for _, h := range allHosts {
		h.c.Close()
	}
	close(stop)
	wg.Wait()
	return f
}

func (f *fleet) checkConverged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		desired := commander.DesiredStates(f.snapshot, dataCentre)[e.name]
		if e.weights != desired.Version.Weights {
			f.addViolation("%s ended with %q, desired %q", e.name, e.weights, desired.Version.Weights)
		}
	}
}

// inject injects one fault and returns the host that it restarted, if any.
func (f *fleet) inject(e fault) *host {
	time.Sleep(e.At)
	f.countReached("fault: " + e.Kind)
	f.mu.Lock()
	h := f.hosts[e.Index%len(f.hosts)]
	engine := f.engines[e.Index%len(f.engines)]
	f.mu.Unlock()
	switch e.Kind {
	case "outage":
		f.platformFault(platformemulator.Faults{Outage: true}, e.Length)
	case "lose answers":
		f.platformFault(platformemulator.Faults{LoseAnswers: 3}, e.Length)
	case "stale reads":
		f.platformFault(platformemulator.Faults{StaleReads: 3}, e.Length)
	case "cut platform":
		h.conn.SetFaults(platformemulator.Faults{Partitioned: true})
		time.Sleep(e.Length)
		h.conn.SetFaults(platformemulator.Faults{})
	case "expire lease":
		if item, err := f.platform.Get(context.Background(), "duties/"+dataCentre+"/commander"); err == nil {
			f.countReached("lease of a leader expired early")
			f.platform.ExpireLease(item.Lease)
		}
	case "pause":
		h.mu.Lock()
		h.resumeAt = time.Now().Add(e.Length)
		h.mu.Unlock()
	case "kill":
		h.mu.Lock()
		h.killed = true
		h.mu.Unlock()
		time.Sleep(e.Length)
		return f.restart(e.Index%len(f.hosts), h.name)
	case "crash engine":
		f.crash(engine)
	case "crash loading engine":
		f.crashLoading(e.Length)
	case "configure":
		f.configure(fmt.Sprintf("v%d", 1+e.Index%3))
	case "stuck orders":
		f.setOrderDelay(h, 900*time.Millisecond)
		time.Sleep(e.Length)
		f.setOrderDelay(h, 0)
	}
	return nil
}

func (f *fleet) restart(index int, name string) *host {
	h := f.start(name, nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[index] = h
	return h
}

func (f *fleet) setOrderDelay(h *host, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orderDelay = delay
}

func (f *fleet) platformFault(faults platformemulator.Faults, length time.Duration) {
	f.platform.SetFaults(faults)
	time.Sleep(length)
	f.platform.SetFaults(platformemulator.Faults{})
}

// TestEnginesReachDesiredStatesUnderFaults injects generated faults. It checks that engines never
// execute an order after one with a higher fencing token, that concurrent loads stay within the
// bound, and that each engine ends with its desired weights.
func TestEnginesReachDesiredStatesUnderFaults(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			f := runScenario(s)
			violations = f.violations
			for condition, count := range f.reached {
				reached[condition] += count
			}
		})
		if len(violations) > 0 {
			rt.Fatalf("%v\nscenario %+v", violations[:min(3, len(violations))], s)
		}
	})
	for _, condition := range slices.Sorted(maps.Keys(reached)) {
		t.Logf("%-45s %6d", condition, reached[condition])
	}
	for _, condition := range []string{
		"paused between the reports and the plan", "paused between the check and the send", "paused after renew", "engine executes an order of a new leader",
		"lease of a leader expired early", "engine crashed during a load", "order arrives late", "loads at once: 2",
	} {
		if reached[condition] == 0 {
			t.Errorf("condition never reached: %s", condition)
		}
	}
}

// TestPlanKeepsUsableTargets checks that one call of Plan starts no more loads than MaxLoads, and that for
// each usable target that it reloads another one can serve in its place.
func TestPlanKeepsUsableTargets(t *testing.T) {
	reloaded := 0
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SampledFrom([]string{"a", "b", "c"})
		in := commander.PlanInput{Desired: map[string]commander.Desired{}, Loads: map[string]commander.Load{}, MaxLoads: rapid.IntRange(1, 3).Draw(rt, "max")}
		for i := range rapid.IntRange(2, 7).Draw(rt, "targets") {
			name := fmt.Sprint(i)
			in.Desired[name] = commander.Desired{
				Target:  registrar.Target{Name: name, Model: "m"},
				Version: registrar.Version{Weights: weights.Draw(rt, "desired")},
			}
			in.Reports = append(in.Reports, commander.Report{Target: name, Weights: []string{weights.Draw(rt, "loaded")}, Usable: rapid.Bool().Draw(rt, "usable")})
		}
		steps := commander.Plan(in)
		if len(steps) > in.MaxLoads {
			rt.Fatalf("%d loads, want at most %d", len(steps), in.MaxLoads)
		}
		remaining := map[string]int{}
		total := 0
		for _, report := range in.Reports {
			ordered := slices.ContainsFunc(steps, func(step commander.Step) bool { return step.Desired.Target.Name == report.Target })
			if report.Usable && !ordered {
				remaining[report.Weights[0]]++
				total++
			}
		}
		for _, step := range steps {
			report := in.Reports[slices.IndexFunc(in.Reports, func(r commander.Report) bool { return r.Target == step.Desired.Target.Name })]
			if !report.Usable {
				continue
			}
			reloaded++
			stillDesired := false
			for _, desired := range in.Desired {
				stillDesired = stillDesired || desired.Version.Weights == report.Weights[0]
			}
			if total == 0 || stillDesired && remaining[report.Weights[0]] == 0 {
				rt.Fatalf("target %s is reloaded, remaining targets by weights: %v", report.Target, remaining)
			}
		}
	})
	t.Logf("%d usable targets reloaded", reloaded)
}

func TestDesiredStates(t *testing.T) {
	allow := func(name string, priority int, version string) registrar.Selector {
		return registrar.Selector{Name: name, Priority: priority, Effect: registrar.EffectAllow, Match: []registrar.Requirement{
			{Kind: registrar.KindVersion, Key: registrar.NameKey, Operator: registrar.OperatorEquals, Values: []string{version}},
		}}
	}
	forAccount := allow("account", 9, "v3")
	forAccount.Match = append(forAccount.Match, registrar.Requirement{
		Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorEquals, Values: []string{"gold"},
	})
	cases := []struct {
		name      string
		selectors []registrar.Selector
		want      string
	}{
		{"none allowed", nil, ""},
		{"highest priority", []registrar.Selector{allow("a", 1, "v1"), allow("b", 2, "v3")}, "v3"},
		{"default before name", []registrar.Selector{allow("a", 1, "v1"), allow("b", 1, "v2")}, "v2"},
		{"name", []registrar.Selector{allow("a", 1, "v3"), allow("b", 1, "v1")}, "v1"},
		{"for some account", []registrar.Selector{allow("a", 1, "v1"), forAccount}, "v3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			objects := registrar.Objects{
				Accounts:  []registrar.Account{{Name: "x", Labels: registrar.Labels{"tier": "gold"}}},
				Models:    []registrar.Model{{Name: "m", DefaultVersion: "v2"}},
				Selectors: c.selectors,
				Targets:   []registrar.Target{{Name: "e", Kind: registrar.TargetEngine, Model: "m", DataCentre: dataCentre}},
			}
			for _, version := range []string{"v1", "v2", "v3"} {
				objects.Versions = append(objects.Versions, registrar.Version{Name: version, Model: "m"})
			}
			snapshot, err := registrar.NewSnapshot(1, objects)
			if err != nil {
				t.Fatal(err)
			}
			if got := commander.DesiredStates(snapshot, dataCentre)["e"].Version.Name; got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}
