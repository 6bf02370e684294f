package quarantiner_test

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

	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// fault is a fault of a daemon or a target that is injected in addition to the crashing call.
type fault struct {
	At    time.Duration
	Kind  string
	Index int
}

type scenario struct {
	Daemons, Targets int
	CrashingCalls    []call
	HarmlessCalls    []call
	Faults           []fault
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawScenario(rt *rapid.T, kinds []string) scenario {
	p := scenario{Daemons: rapid.IntRange(2, 5).Draw(rt, "daemons"), Targets: rapid.IntRange(3, 6).Draw(rt, "targets")}
	draw := func(rt *rapid.T, crashes bool) call {
		c := call{
			At: milliseconds(0, 1500).Draw(rt, "at"), Daemon: rapid.IntRange(0, p.Daemons-1).Draw(rt, "daemon"),
			Length: milliseconds(1, 800).Draw(rt, "length"), Repeats: 50, Seed: rapid.Uint64().Draw(rt, "seed"), Body: "crash",
		}
		c.CrashesTarget = crashes
		if !crashes {
			c.Body = fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "body"))
		}
		return c
	}
	p.CrashingCalls = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) call { return draw(rt, true) }), 1, 8).Draw(rt, "killers")
	p.HarmlessCalls = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) call { return draw(rt, false) }), 0, 20).Draw(rt, "innocents")
	if len(kinds) > 0 {
		p.Faults = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				At: milliseconds(0, 3000).Draw(rt, "at"), Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
				Index: rapid.IntRange(0, 5).Draw(rt, "index"),
			}
		}), 1, 3).Draw(rt, "faults")
	}
	return p
}

// runScenario runs the scenario. It returns the cluster and the number of harmless calls by result.
func runScenario(p scenario) (c *cluster, results map[string]int) {
	c = newCluster(p.Daemons, p.Targets)
	results = map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, f := range p.Faults {
		wg.Go(func() { c.inject(f) })
	}
	for _, crashing := range p.CrashingCalls {
		wg.Go(func() { c.runCaller(crashing) })
	}
	for _, harmless := range p.HarmlessCalls {
		wg.Go(func() {
			result := c.runCaller(harmless)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for _, d := range c.daemons {
		d.q.Close()
	}
	return c, results
}

func (c *cluster) inject(f fault) {
	time.Sleep(f.At)
	d, t := c.daemons[f.Index%len(c.daemons)], c.targets[f.Index%len(c.targets)]
	c.countReached("fault: " + f.Kind)
	switch f.Kind {
	case "kill daemon":
		c.mu.Lock()
		defer c.mu.Unlock()
		if f.Index%len(c.daemons) != 0 || len(c.daemons) > 2 {
			d.died = time.Now()
		}
	case "cut daemon":
		c.setPartitioned(d, true)
		time.Sleep(time.Second)
		c.setPartitioned(d, false)
	case "crash target":
		c.crash(t, t.incarnation, false)
	case "break streams":
		c.breakConnections(t)
	}
}

func (c *cluster) setPartitioned(d *daemon, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.partitioned = partitioned
}

// checkScenarios runs generated scenarios and checks each of them. It logs how often each condition
// was reached and fails if a needed one never was.
func checkScenarios(t *testing.T, kinds []string, needed []string, check func(p scenario, c *cluster, results map[string]int) string) {
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt, kinds)
		violation := ""
		synctest.Test(t, func(*testing.T) {
			c, results := runScenario(p)
			violation = check(p, c, results)
			for condition, count := range c.reached {
				reached[condition] += count
			}
			reached[fmt.Sprintf("targets crashed by the call: %d", c.crashesByCall)]++
			for result, count := range results {
				reached["harmless call "+result] += count
			}
		})
		if violation != "" {
			rt.Fatalf("%s\nscenario %+v", violation, p)
		}
	})
	for _, condition := range slices.Sorted(maps.Keys(reached)) {
		t.Logf("%-45s %6d", condition, reached[condition])
	}
	for _, condition := range needed {
		if reached[condition] == 0 {
			t.Errorf("condition never reached: %s", condition)
		}
	}
}

func TestCrashesAtMostTwoTargets(t *testing.T) {
	needed := []string{"harmless call broken by a crash", "concurrent copies of the crashing call", "copy pinned to the target of another copy", "targets crashed by the call: 2"}
	checkScenarios(t, nil, needed, func(p scenario, c *cluster, results map[string]int) string {
		if c.crashesByCall > 2 {
			return fmt.Sprintf("%d targets crashed", c.crashesByCall)
		}
		if results["completed"] != len(p.HarmlessCalls) {
			return fmt.Sprintf("harmless calls: %v", results)
		}
		return ""
	})
}

// TestBrokenConnectionsDoNotRefuseCalls breaks connections to targets that stay up. A harmless call
// may be refused only if it ran shortly before the crashes of two targets, since it then cannot be
// told apart from the crashing call.
func TestBrokenConnectionsDoNotRefuseCalls(t *testing.T) {
	checkScenarios(t, []string{"break streams"}, []string{"fault: break streams"}, func(p scenario, c *cluster, results map[string]int) string {
		if c.crashesByCall > 2 {
			return fmt.Sprintf("%d targets crashed", c.crashesByCall)
		}
		for _, body := range c.refused {
			if crashes := c.crashesShortlyAfter(body); crashes < 2 {
				return fmt.Sprintf("call %s refused although it ran shortly before only %d crashes", body, crashes)
			}
		}
		if results["completed"]+results["refused"] != len(p.HarmlessCalls) {
			return fmt.Sprintf("harmless calls: %v", results)
		}
		return ""
	})
}

// TestCrashesAreBoundedUnderFaults allows one more crashed target for each daemon that died or was
// partitioned, since that daemon may have been the only one that knew at which targets the crashing
// call ran.
func TestCrashesAreBoundedUnderFaults(t *testing.T) {
	kinds := []string{"kill daemon", "cut daemon", "crash target"}
	checkScenarios(t, kinds, []string{"daemon dead at the end of a run"}, func(p scenario, c *cluster, _ map[string]int) string {
		allowed := 2
		for _, f := range p.Faults {
			if f.Kind != "crash target" {
				allowed++
			}
		}
		if c.crashesByCall > allowed {
			return fmt.Sprintf("%d targets crashed, %d allowed", c.crashesByCall, allowed)
		}
		return ""
	})
}

func TestSuspectIsRefusedUntilLiftedOrExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, 3)
		crashing := call{Body: "crash", Length: time.Millisecond, CrashesTarget: true, Repeats: 10}
		if got := c.runCaller(crashing); got != "refused" {
			t.Errorf("crashing call: %s", got)
		}
		restricted := c.daemons[1].q.RestrictedCalls()
		if len(restricted) != 1 || restricted[0].Verdict != quarantiner.Refuse || len(restricted[0].Crashes) != 2 {
			t.Fatalf("restricted calls %+v", restricted)
		}
		fingerprint, err := quarantiner.ParseFingerprint("account", restricted[0].Fingerprint.String())
		if err != nil || fingerprint != restricted[0].Fingerprint {
			t.Errorf("fingerprint %v, %v", fingerprint, err)
		}
		c.daemons[1].q.Lift(t.Context(), fingerprint)
		if got := c.daemons[0].q.Verdict(fingerprint); got != quarantiner.Run {
			t.Errorf("verdict after the lift: %v", got)
		}
		c.runCaller(crashing)
		if got := c.daemons[0].q.Verdict(fingerprint); got != quarantiner.Refuse {
			t.Errorf("verdict after further crashes: %v", got)
		}
		time.Sleep(quarantiner.DefaultExpiry + time.Minute)
		if got := c.daemons[0].q.Verdict(fingerprint); got != quarantiner.Run {
			t.Errorf("verdict after the expiry: %v", got)
		}
		for _, d := range c.daemons {
			d.q.Close()
		}
	})
}

func TestExportCarriesStrikes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, 3)
		c.runCaller(call{Body: "crash", Length: time.Millisecond, CrashesTarget: true, Repeats: 10})
		time.Sleep(time.Second)
		other := quarantiner.New(quarantiner.Settings{Daemon: "new"})
		if err := other.Merge(c.daemons[0].q.Export(4096)); err != nil {
			t.Error(err)
		}
		if got := other.RestrictedCalls(); len(got) != 1 || got[0].Verdict != quarantiner.Refuse {
			t.Errorf("restricted calls %+v", got)
		}
		if data := c.daemons[0].q.Export(10); data != nil {
			t.Errorf("export of %d bytes", len(data))
		}
		if _, err := other.Answer(context.Background(), []byte("{")); err == nil {
			t.Error("malformed request was accepted")
		}
		other.Close()
		c.daemons[0].q.Close()
	})
}

func TestCompletedCallIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quarantiner.New(quarantiner.Settings{Daemon: "daemon-0"})
		fingerprint := quarantiner.NewFingerprint("account", [32]byte{1})
		for i := range 3 {
			incarnation := fmt.Sprint(i)
			release, err := q.Begin(t.Context(), fingerprint, "target-0", incarnation)
			if err != nil {
				t.Fatal(err)
			}
			release(quarantiner.Broken)
			q.ReportCrash(t.Context(), "target-0", incarnation)
			if got := q.Verdict(fingerprint); got != quarantiner.Isolate {
				t.Errorf("verdict after a crash: %v", got)
			}
			release, err = q.Begin(t.Context(), fingerprint, "target-1", "0")
			if err != nil {
				t.Fatal(err)
			}
			release(quarantiner.Completed)
			if got := q.Verdict(fingerprint); got != quarantiner.Run {
				t.Errorf("verdict of a call that completed: %v", got)
			}
		}
		q.Close()
	})
}
