package engineemulator

import (
	"maps"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Counters are totals of an engine over all its incarnations.
type Counters struct {
	// Runs counts accepted runs, Continuations those that continue an answer after tokens
	// that were already delivered.
	Runs          int
	Continuations int
	Cancelled     int
	Expired       int
	// PromptTokens counts the prompt tokens of the runs that got a slot, CachedTokens those
	// of them that were cached and ComputedTokens those that were prefilled.
	PromptTokens   int
	CachedTokens   int
	ComputedTokens int
	// RecomputedTokens counts the tokens of computed blocks that an engine with the same
	// Settings.ComputedBlocks had computed before.
	RecomputedTokens int
	GeneratedTokens  int
	// SwappedAnswers counts the answers sent under the identity of another request, FaultyEvents the
	// stream events with an injected fault.
	SwappedAnswers int
	FaultyEvents   int
	// Orders counts the orders that were not refused because of their fencing token, StaleOrders
	// those with a stale token, refused or not.
	Orders      int
	StaleOrders int
	// Loads counts completed loads of weights and adapters.
	Loads          int
	ImportedBlocks int
}

// Counters returns the totals up to this moment.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Runs returns the number of accepted runs by Rill-Request-Id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runsByID)
}

// CachedPrefix returns how many tokens of a chain of blocks are cached at this moment.
func (e *Engine) CachedPrefix(chain []hasher.Block) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == nil {
		return 0
	}
	return e.incarnation.cache.cachedPrefix(chain) * e.settings.BlockTokens
}

// Queue is the outstanding work of an engine at one point in time.
type Queue struct {
	Running int
	Waiting int
	// PromptTokens counts the prompt tokens that are neither prefilled nor cached.
	PromptTokens int
	// AnswerTokens counts the answer tokens that are not generated yet.
	AnswerTokens int
}

// Queue returns the outstanding work; it is zero while the engine is down.
func (e *Engine) Queue() Queue {
	e.mu.Lock()
	defer e.mu.Unlock()
	var queue Queue
	if e.incarnation == nil {
		return queue
	}
	queue.Running = len(e.incarnation.running)
	queue.Waiting = len(e.incarnation.waiting)
	for _, r := range e.incarnation.running {
		queue.PromptTokens += r.remainingPromptTokens()
		queue.AnswerTokens += r.endToken - r.generatedTokens
	}
	for _, r := range e.incarnation.waiting {
		cached := e.incarnation.cache.cachedPrefix(r.chain) * e.settings.BlockTokens
		queue.PromptTokens += r.promptTokens - cached
		queue.AnswerTokens += r.endToken - r.generatedTokens
	}
	return queue
}

// Progress returns the progress counter, or zero while the engine is down.
func (e *Engine) Progress() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == nil {
		return 0
	}
	return e.incarnation.progress
}

// Weights returns the loaded weights, the newest last.
func (e *Engine) Weights() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}
