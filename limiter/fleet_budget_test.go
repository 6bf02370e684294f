package limiter_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/limiter"
)

const (
	fleetRatio   = 0.2
	fleetBurst   = 58
	fleetService = "s"
)

// budgetFleet is a set of daemons that share a retry budget. known is the number of other daemons that each knows.
type budgetFleet struct {
	daemons []*limiter.FleetRetryBudgets
	known   []int
	// requests and retries count those of all daemons.
	requests, retries int
}

func newBudgetFleet(daemons int) *budgetFleet {
	f := &budgetFleet{daemons: make([]*limiter.FleetRetryBudgets, daemons), known: make([]int, daemons)}
	for i := range f.daemons {
		f.start(i)
	}
	return f
}

// start starts a daemon, or starts it anew, which then knows no other one.
func (f *budgetFleet) start(i int) {
	f.known[i] = 0
	f.daemons[i] = limiter.NewFleetRetryBudgets(limiter.FleetRetrySettings{
		Ratio: func() float64 { return fleetRatio }, Burst: func() float64 { return fleetBurst }, Peers: func() (int, bool) { return f.known[i], f.known[i] > 0 },
	})
}

// discover makes a daemon know all others.
func (f *budgetFleet) discover(i int) { f.known[i] = len(f.daemons) - 1 }

// request lets a daemon take a request that is retried as often as its budget allows.
func (f *budgetFleet) request(i int) {
	f.requests++
	f.daemons[i].Deposit(fleetService)
	for f.daemons[i].TryWithdraw(fleetService) {
		f.retries++
	}
}

func (f *budgetFleet) allowed() float64 { return fleetRatio*float64(f.requests) + fleetBurst }

// Guards against retries of all daemons together beyond the budget (BUDGET): daemons that start together don't know each other
// yet, and what the processes before them spent.
func TestStartsDoNotRefillRetryBudget(t *testing.T) {
	f := newBudgetFleet(9)
	for range 3 {
		for i := range f.daemons {
			f.start(i)
			f.request(i)
		}
	}
	if float64(f.retries) > f.allowed() {
		t.Errorf("%d retries of %d requests in three starts of 9 daemons, %.0f are allowed", f.retries, f.requests, f.allowed())
	}
}

// In any span of a run, retries stay within the budget for the requests of that span, with any starts in between: daemons may
// retry in a burst only what the burst allows.
func TestFleetRetryBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newBudgetFleet(rapid.IntRange(2, 20).Draw(t, "daemons"))
		lowest := 0.0 // The lowest value so far of what is allowed without the burst less what was used.
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			i := rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 19).Draw(t, "step") {
			case 0:
				f.start(i)
			case 1, 2, 3:
				f.discover(i)
			case 4, 5:
				f.request(i)
			default:
				f.requests++ // It needs no retry.
				f.daemons[i].Deposit(fleetService)
			}
			used := float64(f.retries) - fleetRatio*float64(f.requests)
			lowest = min(lowest, used)
			if used-lowest > fleetBurst {
				t.Fatalf("%.1f retries beyond the ratio in a span, %d are allowed", used-lowest, fleetBurst)
			}
		}
	})
}
