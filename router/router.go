// Package router chooses the target of each model call.
//
// A Router serves one pool: the targets of one model that a daemon can reach. Its view of them is
// late and incomplete: load reports lag, cache events are sampled and have gaps, and other
// daemons send calls to the same targets. A decision is based on three inputs:
//
//   - Affinity. Rendezvous hashing on the longest prefix that several calls share, bounded by
//     load, needs no state: a daemon that has just started chooses the same targets as its peers.
//   - Hints. A bounded table of known prefixes records which incarnations hold them. It is
//     updated by the router's own calls, by cache events and by peers. A hint is valid only for
//     its incarnation; prefix hashes are seeded with account, weights and adapter, so that a hint
//     never matches another account or other weights.
//   - Expected wait. It is the reported backlog, less the time since the report, plus the calls
//     that the router itself has sent since, and a fraction of those that its peers are expected
//     to have sent based on the same reports. The weight of a report decreases with its age. A
//     decision compares a few candidates instead of the whole pool, so that daemons with the same
//     outdated view do not all choose the same target.
//
// The score of a candidate is the wait plus the time to compute the uncached tokens, times the
// weight of waiting, plus that time to compute times the weight of recomputation. The candidate
// with the lowest score is chosen.
//
// # Usage
//
//	pool := router.New(router.Settings{WaitWeight: 1, RecomputationWeight: 2})
//	pool.SetTargets(targets)
//	pool.ObserveLoad("engine-1", load, measured)
//	pool.ObserveCache("engine-1", incarnation, events)
//	allowed := router.NewTargetSet(names)
//	request := router.Request{Chains: chains, PromptTokens: tokens, Allowed: allowed}
//	decision, err := pool.Route(request)
//	attempt := pool.RecordSent(request, decision)
//	attempt.RecordAnswer(router.Answer{Incarnation: incarnation, CachedTokens: cached})
//	attempt.Finish()
//
// A Router is safe for concurrent use. The memory that a decision allocates does not grow with
// the number of targets.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("router")

// Class is the scheduling class of a call. It depends on whether the caller waits for the answer.
type Class uint8

// The classes.
const (
	// ClassInteractive is the class of calls whose callers wait for the answer.
	ClassInteractive Class = iota
	// ClassDeferrable is the class of calls that may wait behind interactive ones.
	ClassDeferrable
)

// Chain is the identity of a prompt under one set of weights.
type Chain struct {
	// Account is the client account of the prompt.
	Account string
	// Weights names the weights, as targets report them.
	Weights string
	// Blocks is the chain of hasher.Blocks, seeded with the account, these weights and the
	// adapter.
	Blocks []hasher.Block
}

// Request describes a call for which a target is to be chosen.
type Request struct {
	// Chains has one chain for each set of weights that may answer, the preferred first. A
	// stream that resumes at another target has only the chain of the weights it started with.
	Chains       []Chain
	PromptTokens int
	MaxTokens    int
	Class        Class
	// Allowed are the targets that the operators' selectors permit. Nil permits none.
	Allowed *TargetSet
	// Exclude names targets that were already tried.
	Exclude []string
}

// Reason says why a target was chosen.
type Reason string

// The reasons.
const (
	// ReasonCached means that the target is believed to hold a prefix of the prompt.
	ReasonCached Reason = "cached"
	// ReasonAffinity means that rendezvous hashing assigns the prefix to the target.
	ReasonAffinity Reason = "affinity"
	// ReasonLoad means that the target was the least loaded of those compared.
	ReasonLoad Reason = "load"
)

// Decision is the choice for one call.
type Decision struct {
	Target  string
	Weights string
	// Incarnation is the incarnation that is expected to hold CachedTokens. If another incarnation
	// answers, nothing is known about its cache. Incarnation is empty if none was seen.
	Incarnation string
	// CachedTokens is how many tokens of the prompt the target is expected to hold.
	CachedTokens int
	// Wait is the expected time before the target starts on the call.
	Wait   time.Duration
	Reason Reason
	// Hold, if positive, is how long the caller of Route should hold a deferrable call back before
	// it calls Route again, because the target's last free slots are reserved for interactive
	// calls.
	Hold time.Duration
	// Move, if set, is a transfer of cached blocks to the target that is expected to take less
	// time than computing them again.
	Move *Move

	column indexer.Column
	chain  int
}

// Router chooses targets for one pool. Its methods are safe for concurrent use.
type Router struct {
	settings Settings

	mu       sync.Mutex
	table    *indexer.Table
	byName   map[string]*target
	byColumn []*target
	usable   bitset
	weights  map[string]bitset
	// columnGeneration changes whenever a column may have been assigned to another target, which
	// invalidates resolved sets.
	columnGeneration uint64
	random           *rand.Rand
	scratch          scratch
	hot              hotChains
	serviceTime      durationAverage
	misses           missAverage
}

// New returns a router without targets.
func New(settings Settings) *Router {
	settings = settings.withDefaults()
	table := indexer.New(indexer.Settings{
		Capacity: settings.KnownPrefixes,
		Columns:  settings.MaxTargets + settings.MaxTargets/targetsPerSpareColumn + 1,
		HalfLife: settings.HeatHalfLife,
	})
	columns := table.Words() * bitsPerWord
	return &Router{
		settings:         settings,
		table:            table,
		byName:           make(map[string]*target),
		byColumn:         make([]*target, columns),
		usable:           make(bitset, table.Words()),
		weights:          make(map[string]bitset),
		columnGeneration: 1,
		random:           rand.New(rand.NewPCG(settings.Seed, settings.Seed+1)),
		scratch:          newScratch(table.Words()),
		hot:              newHotChains(settings.HotChains),
		serviceTime:      durationAverage{value: settings.ServiceTime},
	}
}

// Route chooses the target of a call. The error is a *NoTargetError if no target may take it;
// the call has not run then.
func (r *Router) Route(request Request) (decision Decision, err error) {
	defer Error.WrapP(&err)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.settings.Now()
	r.collectCandidates(request, now)
	if len(r.scratch.candidates) == 0 {
		return Decision{}, r.newNoTargetError(request)
	}
	best := r.scratch.candidates[0]
	for _, c := range r.scratch.candidates[1:] {
		if c.score < best.score {
			best = c
		}
	}
	return r.decide(request, best, now), nil
}

func (r *Router) decide(request Request, chosen candidate, now time.Time) Decision {
	chain := request.Chains[chosen.chain]
	r.touchChain(chain, request.Allowed, now)
	t := r.byColumn[chosen.column]
	return Decision{
		Target:       t.Name,
		Weights:      chain.Weights,
		Incarnation:  t.Incarnation,
		CachedTokens: chosen.cachedBlocks * r.settings.BlockTokens,
		Wait:         chosen.wait,
		Reason:       chosen.reason(),
		Hold:         r.deferral(request.Class, t, now),
		Move:         r.proposeMove(chain, chosen),
		column:       chosen.column,
		chain:        chosen.chain,
	}
}

// touchChain records a request for each prefix of the chain.
func (r *Router) touchChain(chain Chain, allowed *TargetSet, now time.Time) {
	for _, block := range chain.Blocks {
		r.table.Touch(block, now)
	}
	r.hot.record(chain, allowed)
}

// KnownPrefixes returns the number of prefixes in the table of known prefixes.
func (r *Router) KnownPrefixes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len()
}
