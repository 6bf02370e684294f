package comparer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/router"
)

// PolicyName names a routing policy.
type PolicyName string

// The policies.
const (
	PolicyRandom     PolicyName = "random"
	PolicyRoundRobin PolicyName = "round_robin"
	// PolicyLeastLoaded chooses the engine with the fewest calls, counted by its last load report and the calls that
	// the daemon has sent to it since.
	PolicyLeastLoaded PolicyName = "least_loaded"
	// PolicyPrefixHash is plain rendezvous hashing of the longest prefix of whole blocks.
	PolicyPrefixHash PolicyName = "prefix_hash"
	// PolicyRosemaryrill is the policy of package router.
	PolicyRosemaryrill PolicyName = "rosemaryrill"
	// PolicyOracle is a reference with exact and immediate knowledge of all caches and queues.
	PolicyOracle PolicyName = "oracle"
)

// Policies returns all policies.
func Policies() []PolicyName {
	return []PolicyName{
		PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyPrefixHash, PolicyRosemaryrill, PolicyOracle,
	}
}

// policy is the routing policy of one daemon.
type policy interface {
	// choose picks an engine that was not tried for the call, and reports whether there is one.
	choose(c *call, tried []int) (engine int, ok bool)
	// holdTime returns how long to delay the call of the last choice before choose is called for it again, or zero.
	holdTime() time.Duration
	// recordSend records that the call is sent to the chosen engine.
	recordSend(c *call, engine int) sentCall
	// setEngineState sets the incarnation of an engine and whether it may be used.
	setEngineState(engine int, usable bool, incarnation string)
	observeLoad(engine int, load router.Load, measured time.Time)
	observeEvents(engine int, incarnation string, events []router.Event)
	// usesReports reports whether the policy uses load reports and cache events.
	usesReports() (loads, events bool)
}

// sentCall is a policy's record of a call that was sent to an engine.
type sentCall interface {
	// recordStart records that the engine has started the call and how many tokens of its prompt it has cached.
	recordStart(incarnation string, cachedTokens int)
	// recordEnd records that the call has ended at the engine.
	recordEnd()
}

// untrackedCall is the sentCall of policies that keep no record of sent calls.
type untrackedCall struct{}

func (untrackedCall) recordStart(string, int) {}

func (untrackedCall) recordEnd() {}

// basePolicy implements the methods that all policies except routerPolicy share. It ignores reports and delays no
// call.
type basePolicy struct {
	random *rand.Rand
	usable []bool
}

func newBasePolicy(engines int, random *rand.Rand) basePolicy {
	b := basePolicy{random: random, usable: make([]bool, engines)}
	for i := range b.usable {
		b.usable[i] = true
	}
	return b
}

func (b *basePolicy) setEngineState(engine int, usable bool, _ string) { b.usable[engine] = usable }

func (b *basePolicy) observeLoad(int, router.Load, time.Time) {}

func (b *basePolicy) observeEvents(int, string, []router.Event) {}

func (b *basePolicy) usesReports() (loads, events bool) { return false, false }

func (b *basePolicy) holdTime() time.Duration { return 0 }

func (b *basePolicy) recordSend(*call, int) sentCall { return untrackedCall{} }

// eligible returns the usable engines that were not tried.
func (b *basePolicy) eligible(tried []int) []int {
	var engines []int
	for engine, usable := range b.usable {
		if usable && !contains(tried, engine) {
			engines = append(engines, engine)
		}
	}
	return engines
}

func contains(list []int, wanted int) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// randomPolicy chooses an engine at random.
type randomPolicy struct{ basePolicy }

func (p *randomPolicy) choose(_ *call, tried []int) (engine int, ok bool) {
	engines := p.eligible(tried)
	if len(engines) == 0 {
		return 0, false
	}
	return engines[p.random.IntN(len(engines))], true
}

// roundRobinPolicy chooses the engines in turn.
type roundRobinPolicy struct {
	basePolicy
	next int
}

func (p *roundRobinPolicy) choose(_ *call, tried []int) (engine int, ok bool) {
	engines := p.eligible(tried)
	if len(engines) == 0 {
		return 0, false
	}
	p.next++
	return engines[p.next%len(engines)], true
}

// leastLoadedPolicy chooses the engine with the fewest calls, see PolicyLeastLoaded.
type leastLoadedPolicy struct {
	basePolicy
	clock *clock
	loads []router.Load
	// sentSinceReport holds, by engine, the times of the calls that the daemon has sent since the last load report was
	// measured, oldest first.
	sentSinceReport [][]time.Time
}

func (p *leastLoadedPolicy) estimatedCalls(engine int) int {
	return p.loads[engine].Running + p.loads[engine].Waiting + len(p.sentSinceReport[engine])
}

func (p *leastLoadedPolicy) choose(_ *call, tried []int) (engine int, ok bool) {
	engines := p.eligible(tried)
	if len(engines) == 0 {
		return 0, false
	}
	p.random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	best := engines[0]
	for _, engine := range engines[1:] {
		if p.estimatedCalls(engine) < p.estimatedCalls(best) {
			best = engine
		}
	}
	return best, true
}

func (p *leastLoadedPolicy) recordSend(_ *call, engine int) sentCall {
	p.sentSinceReport[engine] = append(p.sentSinceReport[engine], p.clock.now)
	return untrackedCall{}
}

func (p *leastLoadedPolicy) observeLoad(engine int, load router.Load, measured time.Time) {
	p.loads[engine] = load
	sent := p.sentSinceReport[engine]
	for len(sent) > 0 && !sent[0].After(measured) {
		sent = sent[1:]
	}
	p.sentSinceReport[engine] = sent
}

func (p *leastLoadedPolicy) usesReports() (loads, events bool) { return true, false }

// prefixHashPolicy chooses an engine by rendezvous hashing of the longest prefix of whole blocks.
type prefixHashPolicy struct{ basePolicy }

func (p *prefixHashPolicy) choose(c *call, tried []int) (engine int, ok bool) {
	var bestRank uint64
	for _, candidate := range p.eligible(tried) {
		key := fmt.Sprint(c.chain[len(c.chain)-1], candidate)
		if rank := xxh3.HashString(key); !ok || rank > bestRank {
			engine, bestRank, ok = candidate, rank, true
		}
	}
	return engine, ok
}

// newPolicy returns the policy of a daemon that has just started: the daemon has received no load reports or cache
// events and has sent no calls.
func (r *run) newPolicy(name PolicyName, daemon int) policy {
	seed := r.settings.Seed*1000 + uint64(daemon)
	base := newBasePolicy(len(r.engines), rand.New(rand.NewPCG(seed, 2)))
	switch name {
	case PolicyRandom:
		return &randomPolicy{base}
	case PolicyRoundRobin:
		return &roundRobinPolicy{basePolicy: base, next: daemon}
	case PolicyLeastLoaded:
		return &leastLoadedPolicy{
			basePolicy:      base,
			clock:           r.clock,
			loads:           make([]router.Load, len(r.engines)),
			sentSinceReport: make([][]time.Time, len(r.engines)),
		}
	case PolicyPrefixHash:
		return &prefixHashPolicy{base}
	case PolicyOracle:
		return &oraclePolicy{basePolicy: base, engines: r.engines, deployment: r.settings.Deployment, truth: r.truth}
	default:
		return newRouterPolicy(r, daemon, seed)
	}
}
