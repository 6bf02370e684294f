package assembler_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// brittleTime is how long targets fall over after the time in which daemons learn that they are brittle.
	brittleTime = 6 * time.Second
	// maxFalls is the number of falls that is allowed to few targets in that time.
	maxFalls = 2
)

// Guards against targets that fall over since they had to turn too many requests of all daemons away (LIMIT): they say that they are
// brittle, and have less room than there are callers.
func TestBrittleTargetsAreNotToppled(t *testing.T) {
	for name, c := range map[string]struct {
		daemons, callers int
		brittle          float64
	}{
		"few daemons":             {2, 80, 5},
		"more daemons than that":  {6, 80, 3},
		"one refusal is too much": {4, 60, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.daemons)
			f.slowEngines(5, 20*time.Millisecond)
			faults := hostingemulator.TargetFaults{Brittle: c.brittle, BrittleFrom: time.Now().Add(lossTime)}
			for _, engine := range f.engines {
				engine.SetFaults(faults)
			}
			end := faults.BrittleFrom.Add(brittleTime)
			var served, refused atomic.Int64
			var group conc.WaitGroup
			for caller := range c.callers {
				group.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						switch r := f.callModel(f.daemons[caller%c.daemons], "ask", fmt.Sprintf("%d-%d", caller, n)); r.status {
						case 200:
							served.Add(1)
						case 503:
							refused.Add(1)
							time.Sleep(50 * time.Millisecond)
						}
					}
				})
			}
			group.Wait()
			falls := 0
			for _, engine := range f.engines {
				falls += engine.Crashes()
			}
			t.Logf("%d served, %d refused, %d falls", served.Load(), refused.Load(), falls)
			if falls > maxFalls {
				t.Errorf("the targets fell over %d times, %d are allowed", falls, maxFalls)
			}
			if served.Load() < 500 {
				t.Errorf("only %d requests were served", served.Load())
			}
		})
	}
}
