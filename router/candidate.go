package router

import (
	"math"
	"math/bits"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

const (
	// Once walkChain has added maxHolders holders of a chain's prefixes as candidates, it adds no
	// holders of shorter prefixes. maxHoldersPerLevel bounds those added with the same longest
	// prefix.
	maxHolders         = 8
	maxHoldersPerLevel = 4
	// affinityChoices is the number of candidates from rendezvous hashing, and randomChoices the
	// number of random ones for a prompt without a whole block. loadSamples is the number of random
	// targets of which the least loaded one becomes a candidate.
	affinityChoices = 2
	randomChoices   = 2
	loadSamples     = 4
	// minAffinityHeat is the lowest heat of a prefix that serves as the key of rendezvous hashing.
	// At this heat, another recent call has requested the prefix too.
	minAffinityHeat = 1.5
)

// candidate is a target that a decision compares, with the weights of one chain of the request.
type candidate struct {
	column       indexer.Column
	chain        int
	cachedBlocks int
	wait         time.Duration
	score        float64
	byAffinity   bool
	source       source
}

func (c candidate) reason() Reason {
	switch {
	case c.cachedBlocks > 0:
		return ReasonCached
	case c.byAffinity:
		return ReasonAffinity
	default:
		return ReasonLoad
	}
}

// scratch holds buffers that successive decisions reuse.
type scratch struct {
	eligible   bitset
	remaining  bitset
	depths     []uint16
	candidates []candidate
	source     source
	// meanReportedCalls is the mean number of calls of the eligible targets according to their
	// reports, and meanKnownCalls the mean of all calls that they are known to have.
	meanReportedCalls float64
	meanKnownCalls    float64
}

// source is the target that holds the longest prefix of a chain, whether or not it may take the
// request. A move copies blocks from it.
type source struct {
	column indexer.Column
	blocks int
}

func newScratch(words int) scratch {
	return scratch{
		eligible:   make(bitset, words),
		remaining:  make(bitset, words),
		depths:     make([]uint16, words*bitsPerWord),
		candidates: make([]candidate, 0, 2*(maxHolders+affinityChoices+randomChoices)),
	}
}

// collectCandidates fills the candidates for a request. The lock is held.
func (r *Router) collectCandidates(request Request, now time.Time) {
	s := &r.scratch
	s.candidates = s.candidates[:0]
	for i := range request.Chains {
		if !r.filterEligible(request, i) {
			continue
		}
		affinityKey := r.walkChain(request, i, now)
		if affinityKey.IsZero() {
			r.addRandom(request, i, now)
			continue
		}
		r.addByAffinity(request, i, affinityKey, now)
		r.addLeastLoaded(request, i, now)
	}
}

// filterEligible fills the eligible set with the targets that may take the request with the
// weights of one chain, updates their mean numbers of calls, and reports whether there are any.
func (r *Router) filterEligible(request Request, chain int) bool {
	s := &r.scratch
	allowed := request.Allowed.resolve(r)
	loaded := r.weights[request.Chains[chain].Weights]
	if allowed == nil || loaded == nil {
		return false
	}
	found := uint64(0)
	for i := range s.eligible {
		s.eligible[i] = r.usable[i] & allowed[i] & loaded[i]
	}
	for _, name := range request.Exclude {
		if t := r.byName[name]; t != nil {
			s.eligible.clear(t.column)
		}
	}
	for i := range s.eligible {
		found |= s.eligible[i]
	}
	r.updateMeanCalls()
	return found != 0
}

// walkChain looks up the prefixes of a chain, the longest first. It records how many blocks each
// eligible target is believed to hold, adds some holders as candidates, and returns the key for
// rendezvous hashing: the longest prefix with at least minAffinityHeat, or else the whole chain.
func (r *Router) walkChain(request Request, chain int, now time.Time) (affinityKey hasher.Block) {
	s := &r.scratch
	copy(s.remaining, s.eligible)
	clear(s.depths)
	s.source = source{column: indexer.NoColumn}
	blocks := request.Chains[chain].Blocks
	added := 0
	for level := len(blocks); level > 0; level-- {
		holders, heat := r.table.Lookup(blocks[level-1], now)
		if affinityKey.IsZero() && heat >= minAffinityHeat {
			affinityKey = blocks[level-1]
		}
		r.findSource(holders, level)
		if !r.recordDepths(holders, level) || added >= maxHolders {
			continue
		}
		added += r.addHolders(request, chain, holders, level, now)
	}
	if affinityKey.IsZero() && len(blocks) > 0 {
		affinityKey = blocks[len(blocks)-1]
	}
	return affinityKey
}

// findSource records the first holder found that is in the pool. It holds the most blocks, since
// the longest prefix is looked up first.
func (r *Router) findSource(holders []uint64, level int) {
	s := &r.scratch
	if s.source.blocks > 0 {
		return
	}
	for column := range bitset(holders).all() {
		if r.byColumn[column] != nil {
			s.source = source{column: column, blocks: level}
			return
		}
	}
}

// recordDepths records the level for each eligible holder that was not found at a higher level, and
// reports whether there are any.
func (r *Router) recordDepths(holders []uint64, level int) bool {
	s := &r.scratch
	found := false
	for i, word := range holders {
		for unseen := word & s.remaining[i]; unseen != 0; unseen &= unseen - 1 {
			s.depths[i*bitsPerWord+bits.TrailingZeros64(unseen)] = uint16(level)
			found = true
		}
		s.remaining[i] &^= word
	}
	return found
}

// addHolders adds some of the targets whose longest prefix is that of the given level, starting
// at a random one, and returns how many it has added.
func (r *Router) addHolders(request Request, chain int, holders []uint64, level int, now time.Time) int {
	s := &r.scratch
	added := 0
	firstWord := r.random.IntN(len(holders))
	for i := range holders {
		word := (firstWord + i) % len(holders)
		eligible := holders[word] & s.eligible[word]
		offset := r.random.IntN(bitsPerWord)
		eligible = bits.RotateLeft64(eligible, -offset)
		for ; eligible != 0 && added < maxHoldersPerLevel; eligible &= eligible - 1 {
			bit := (bits.TrailingZeros64(eligible) + offset) % bitsPerWord
			column := indexer.Column(word*bitsPerWord + bit)
			if int(s.depths[column]) == level {
				r.addCandidate(request, chain, column, false, now)
				added++
			}
		}
	}
	return added
}

// addByAffinity adds the targets with the highest ranks for the prefix by rendezvous hashing,
// except those whose load exceeds the bound of Settings.MaxLoadFactor.
func (r *Router) addByAffinity(request Request, chain int, affinityKey hasher.Block, now time.Time) {
	// Rendezvous hashing skips targets with more calls than this.
	maxCalls := r.settings.MaxLoadFactor*r.scratch.meanKnownCalls + 1
	best, second := indexer.NoColumn, indexer.NoColumn
	var bestRank, secondRank uint64
	for column := range r.scratch.eligible.all() {
		t := r.byColumn[column]
		rank := mix(affinityKey.Lo ^ t.hash)
		if rank <= secondRank && second != indexer.NoColumn || float64(t.knownCalls()) > maxCalls {
			continue
		}
		if best == indexer.NoColumn || rank > bestRank {
			second, secondRank = best, bestRank
			best, bestRank = column, rank
			continue
		}
		second, secondRank = column, rank
	}
	for _, column := range [affinityChoices]indexer.Column{best, second} {
		if column != indexer.NoColumn {
			r.addCandidate(request, chain, column, true, now)
		}
	}
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (r *Router) addRandom(request Request, chain int, now time.Time) {
	count := r.scratch.eligible.count()
	for range min(randomChoices, count) {
		column := r.scratch.eligible.nth(r.random.IntN(count))
		r.addCandidate(request, chain, column, false, now)
	}
}

// addLeastLoaded adds the least loaded of a few random targets, so that a target with an empty
// cache gets calls after a restart.
func (r *Router) addLeastLoaded(request Request, chain int, now time.Time) {
	count := r.scratch.eligible.count()
	least, best := math.Inf(1), indexer.NoColumn
	for range loadSamples {
		column := r.scratch.eligible.nth(r.random.IntN(count))
		if calls := r.expectedCalls(r.byColumn[column], now); calls < least {
			least, best = calls, column
		}
	}
	r.addCandidate(request, chain, best, false, now)
}

func (r *Router) addCandidate(request Request, chain int, column indexer.Column, byAffinity bool, now time.Time) {
	s := &r.scratch
	for i := range s.candidates {
		if s.candidates[i].column == column && s.candidates[i].chain == chain {
			s.candidates[i].byAffinity = s.candidates[i].byAffinity || byAffinity
			return
		}
	}
	c := candidate{
		column:       column,
		chain:        chain,
		cachedBlocks: int(s.depths[column]),
		wait:         r.wait(r.byColumn[column], now),
		byAffinity:   byAffinity,
		source:       s.source,
	}
	c.score = r.score(request, c, now)
	s.candidates = append(s.candidates, c)
}

// deferrableWaitFactor is the weight of a deferrable call's wait relative to an interactive
// one's: a lower weight lets a deferrable call wait longer for a target that holds its prefix.
const deferrableWaitFactor = 0.5

// score returns the weighted cost of a candidate in seconds; lower is better. Recomputation weighs
// less on an idle target, where it delays no other call.
func (r *Router) score(request Request, c candidate, now time.Time) float64 {
	uncached := max(request.PromptTokens-c.cachedBlocks*r.settings.BlockTokens, 0)
	compute := r.prefillTime(uncached).Seconds()
	waitWeight := r.settings.WaitWeight
	if request.Class == ClassDeferrable {
		waitWeight *= deferrableWaitFactor
	}
	recomputationWeight := r.settings.RecomputationWeight * r.busyFraction(r.byColumn[c.column], now)
	return waitWeight*(c.wait.Seconds()+compute) + recomputationWeight*compute
}

// busyFraction returns the number of calls expected at a target, divided by the number below
// which the target counts as idle, at most 1.
func (r *Router) busyFraction(t *target, now time.Time) float64 {
	idleCalls := r.settings.IdleLoad * r.scratch.meanReportedCalls
	if idleCalls <= 0 {
		return 1
	}
	return min(r.expectedCalls(t, now)/idleCalls, 1)
}
