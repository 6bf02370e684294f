package comparer

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// oraclePolicy is a reference policy with exact and immediate knowledge of all caches and queues, the lengths of the
// answers and the request rate of each block. It chooses the engine with the lowest cost. The cost weighs
// recomputation by the deployment's OracleRecomputationWeight and includes the expected recomputation of the blocks
// that the call would evict.
type oraclePolicy struct {
	basePolicy
	engines    []*engine
	deployment Deployment
	truth      *groundTruth
}

// groundTruth holds the exact state of the blocks over all engines.
type groundTruth struct {
	heat *indexer.Table
	// copies counts the engines that have a block cached, by block, and computed contains the blocks that any engine
	// has ever computed.
	copies   map[hasher.Block]int
	computed map[hasher.Block]struct{}
}

func newGroundTruth() *groundTruth {
	return &groundTruth{
		heat:     indexer.New(indexer.Settings{Capacity: heatTableCapacity, HalfLife: heatHalfLife}),
		copies:   make(map[hasher.Block]int),
		computed: make(map[hasher.Block]struct{}),
	}
}

const (
	heatTableCapacity = 1 << 17
	heatHalfLife      = 30 * time.Second
	// evictionHorizon is the time within which the reuse of an evicted block counts, and replicatedBlockWeight the
	// factor for a block that another engine has cached too.
	evictionHorizon       = 20 * time.Second
	replicatedBlockWeight = 0.25
)

// evictionCost returns the expected time to recompute the blocks that the engine evicts if it stores the given number
// of blocks.
func (t *groundTruth) evictionCost(e *engine, blocks int) time.Duration {
	excess := e.cache.lru.Len() + blocks - e.cache.capacity
	expectedMisses := 0.0
	for entry := e.cache.lru.Back(); entry != nil && excess > 0; entry = entry.Prev() {
		expectedMisses += t.reuseProbability(entry.Value.(hasher.Block), e.clock.now)
		excess--
	}
	return time.Duration(expectedMisses * float64(prefillTime(e.deployment.BlockTokens)))
}

// reuseProbability returns the probability that a block is requested within evictionHorizon, weighted by
// replicatedBlockWeight if more than one engine has it cached.
func (t *groundTruth) reuseProbability(block hasher.Block, now time.Time) float64 {
	perSecond := t.heat.Heat(block, now) * math.Ln2 / heatHalfLife.Seconds()
	probability := 1 - math.Exp(-perSecond*evictionHorizon.Seconds())
	if t.copies[block] > 1 {
		return probability * replicatedBlockWeight
	}
	return probability
}

func (p *oraclePolicy) choose(c *call, tried []int) (engine int, ok bool) {
	var bestCost float64
	for i, e := range p.engines {
		if e.down || contains(tried, i) {
			continue
		}
		if cost := p.cost(e, c); !ok || cost < bestCost {
			engine, bestCost, ok = i, cost, true
		}
	}
	return engine, ok
}

// cost returns the weighted cost of a call at an engine in seconds.
func (p *oraclePolicy) cost(e *engine, c *call) float64 {
	blocks := e.reusableBlocks(c.chain)
	prefill := prefillTime(c.promptTokens - blocks*p.deployment.BlockTokens)
	evictionCost := p.truth.evictionCost(e, len(c.chain)-blocks)
	wait := e.trueWait(c)
	return (wait + prefill).Seconds() + p.deployment.OracleRecomputationWeight*(prefill+evictionCost).Seconds()
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / engineemulator.DefaultPrefillTokensPerSecond
}

// reusableBlocks returns how many blocks from the start of the chain the engine has cached or computes for a running
// or waiting job.
func (e *engine) reusableBlocks(chain []hasher.Block) int {
	reusable := e.cache.cachedPrefix(chain)
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			reusable = max(reusable, commonPrefixBlocks(chain, j.call.chain))
		}
	}
	return reusable
}

func commonPrefixBlocks(a, b []hasher.Block) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// trueWait returns how long a call waits for a slot and for the prefill of the jobs ahead of it.
func (e *engine) trueWait(c *call) time.Duration {
	var ends []time.Duration
	var prefillBacklog time.Duration
	step := stepTime(len(e.running), 0)
	for _, j := range e.running {
		if j.priority() >= -int(c.class) {
			prefillBacklog += prefillTime(j.remainingPrefill())
		}
		ends = append(ends, prefillBacklog+time.Duration(j.call.answerTokens-j.generatedTokens)*step)
	}
	queuedAhead := 0
	for _, j := range e.waiting {
		if j.priority() < -int(c.class) {
			continue
		}
		queuedAhead++
		blocks := e.cache.cachedPrefix(j.call.chain)
		prefillBacklog += prefillTime(j.call.promptTokens - blocks*e.deployment.BlockTokens)
	}
	endIndex := queuedAhead + len(e.running) - e.deployment.Slots
	if endIndex < 0 {
		return prefillBacklog
	}
	slices.Sort(ends)
	return max(prefillBacklog, ends[min(endIndex, len(ends)-1)])
}
