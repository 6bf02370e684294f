// Package comparer simulates routing policies on the same seeded workload and compares their results.
//
// A comparison is a discrete-event simulation in virtual time. It models the engines, with the same scheduler, cache
// and timing as engineemulator, and the routers of several daemons. The policy under test is the real package router.
// The network and the exchange between daemons are not modelled: each daemon gets load reports and cache events
// directly from the engines, delayed and with losses. Two runs with the same settings give the same figures.
//
// The load is open loop: calls are due by a schedule, and the time to first token is measured from the time at which
// the call was due. A call that is refused or passes its deadline counts with the whole time up to its deadline. The
// load is given as a fraction of the capacity, which is the rate of calls that the oracle policy completes when there
// are always calls waiting.
//
// Hit rate and recomputation are counted in the engines and do not depend on what the routers expect.
//
// # Usage
//
//	results, err := comparer.Compare(comparer.Settings{
//		Deployment: comparer.Kiyome(),
//		Seed:       1,
//		Requests:   20000,
//		Load:       0.8,
//		Fault:      comparer.FaultCrash,
//	})
//	err = comparer.WriteChart(file, settings, results)
package comparer

import (
	"cmp"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("comparer")

// Fault is a kind of fault that is injected into a comparison.
type Fault string

// The faults.
const (
	FaultNone Fault = "none"
	// FaultCrash crashes engines, sometimes two at once. They restart with an empty cache.
	FaultCrash Fault = "crash"
	// FaultShift changes the hot prefixes often and abruptly.
	FaultShift Fault = "shift"
	// FaultLag increases the delay of load reports and cache events and the fraction of events that are lost.
	FaultLag Fault = "lag"
	// FaultRouterRestart restarts all routers at once, without any state.
	FaultRouterRestart Fault = "herd"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{FaultNone, FaultCrash, FaultShift, FaultLag, FaultRouterRestart}
}

// Defaults of Settings.
const (
	DefaultRequests = 20_000
	DefaultLoad     = 0.8
)

// Settings are the parameters of a comparison.
type Settings struct {
	Deployment Deployment
	Seed       uint64
	// Requests is the number of calls. Default: DefaultRequests.
	Requests int
	// Load is the rate of calls as a fraction of the capacity. Default: DefaultLoad.
	Load float64
	// DeferrableFactor is the factor by which the number of deferrable calls is multiplied. The added calls come on top
	// of Load. Default: 1.
	DeferrableFactor float64
	// Fault is the injected fault. Default: FaultNone.
	Fault Fault
	// Policies are the policies to compare, in the order of the results. Default: Policies().
	Policies []PolicyName
}

func (s Settings) withDefaults() Settings {
	s.Requests = cmp.Or(s.Requests, DefaultRequests)
	s.Load = cmp.Or(s.Load, DefaultLoad)
	s.DeferrableFactor = cmp.Or(s.DeferrableFactor, 1)
	s.Fault = cmp.Or(s.Fault, FaultNone)
	if len(s.Policies) == 0 {
		s.Policies = Policies()
	}
	return s
}

// Result holds the figures of one policy.
type Result struct {
	Policy PolicyName
	// HitRate is the fraction of the prompt tokens that the engines found in their caches.
	HitRate float64
	// TTFT50 and TTFT99 are quantiles of the time to first token of interactive calls, DeferrableTTFT99 of deferrable
	// calls and AllTTFT99 of all calls.
	TTFT50           time.Duration
	TTFT99           time.Duration
	DeferrableTTFT99 time.Duration
	AllTTFT99        time.Duration
	// RecomputedTokens counts prompt tokens that an engine computed although some engine had computed them before.
	RecomputedTokens int
	Requests         int
	Refused          int
	// Lost counts calls with neither an answer nor a refusal, Doubled calls with more than one outcome, and Mixed
	// answers that belong to another call.
	Lost    int
	Doubled int
	Mixed   int
	// Events is the number of load reports and cache events that the routers received, and ControlBytes their size.
	ControlBytes int
	Events       int
	// Capacity is the capacity in calls per second, of which Settings.Load is a fraction, and Duration is the virtual
	// time from the start of the run to the end of its last call.
	Capacity float64
	Duration time.Duration
}

// Compare simulates every policy on the same calls.
func Compare(settings Settings) (results []Result, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	if err := settings.Deployment.check(); err != nil {
		return nil, err
	}
	workload := newWorkload(settings)
	capacity := measureCapacity(settings, workload)
	calls := workload.scheduledCalls(settings, capacity)
	results = make([]Result, len(settings.Policies))
	workers := pool.New().WithMaxGoroutines(maxConcurrentRuns)
	for i, name := range settings.Policies {
		workers.Go(func() {
			results[i] = newRun(settings, name, calls).runOpenLoop()
			results[i].Capacity = capacity
		})
	}
	workers.Wait()
	return results, nil
}

// maxConcurrentRuns is the number of policies that are simulated concurrently, which bounds the processors in use.
const maxConcurrentRuns = 3

// measureCapacity returns the calls per second that the oracle policy completes, without faults, in a closed loop with
// as many calls as the engines have slots.
func measureCapacity(settings Settings, workload *workload) float64 {
	settings.Fault = FaultNone
	calls := workload.saturatingCalls(settings)
	run := newRun(settings, PolicyOracle, calls)
	return run.runClosedLoop(settings.Deployment.Targets * settings.Deployment.Slots)
}
