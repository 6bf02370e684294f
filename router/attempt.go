package router

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Answer is what a target reports when it begins to answer.
type Answer struct {
	Incarnation  string
	Weights      string
	CachedTokens int
}

// Attempt is a call that was sent to a target. Its methods are safe for concurrent use.
type Attempt struct {
	router         *Router
	target         *target
	column         indexer.Column
	chain          Chain
	expectedBlocks int
	promptTokens   int
	sentAt         time.Time
	// answeredAt is when the target began to answer, or zero.
	answeredAt time.Time
	ended      bool
}

// RecordSent records that the call was sent to the target of the decision. It adds the call to
// the target's backlog and adds hints that the target holds the prefixes of the call.
func (r *Router) RecordSent(request Request, decision Decision) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.settings.Now()
	attempt := &Attempt{
		router:       r,
		target:       r.byName[decision.Target],
		chain:        request.Chains[decision.chain],
		promptTokens: request.PromptTokens,
		sentAt:       now,
	}
	t := attempt.target
	if t == nil {
		return attempt
	}
	attempt.column = t.column
	if t.column == decision.column {
		attempt.expectedBlocks = decision.CachedTokens / r.settings.BlockTokens
	}
	tokens := max(request.PromptTokens-attempt.expectedBlocks*r.settings.BlockTokens, 0)
	t.sentCalls = append(t.sentCalls, sentCall{at: now, tokens: tokens})
	t.addWork(now, r.scaleForPeers(r.prefillTime(tokens)))
	r.addHints(attempt, now)
	return attempt
}

// addHints records that the target holds the prefixes of the call.
func (r *Router) addHints(a *Attempt, now time.Time) {
	for _, block := range a.chain.Blocks {
		r.table.Add(block, a.column, now)
	}
}

// RecordAnswer records that the target has begun to answer. A later incarnation than the known one
// invalidates all earlier hints about the target. If the answer comes from other weights than
// requested, the hints that RecordSent has added are removed. An answer of an earlier incarnation
// is ignored.
func (a *Attempt) RecordAnswer(answer Answer) {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	t := a.currentTarget()
	if t == nil || answer.Incarnation != "" && !a.router.advanceIncarnation(t, answer.Incarnation) {
		return
	}
	a.column = t.column
	if answer.Weights != "" && answer.Weights != a.chain.Weights {
		a.removeHints(0)
		return
	}
	now := a.router.settings.Now()
	a.answeredAt = now
	a.router.addHints(a, now)
	a.router.misses.add(a.promptTokens-answer.CachedTokens, a.promptTokens)
}

// Finish records the end of the call. If the target never began to answer, the hints for the
// prefixes that the call would have computed are removed.
func (a *Attempt) Finish() {
	a.router.mu.Lock()
	defer a.router.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	t := a.currentTarget()
	if t == nil {
		return
	}
	t.endCall(a.sentAt)
	if !a.answeredAt.IsZero() {
		a.router.serviceTime.add(a.router.settings.Now().Sub(a.answeredAt))
		return
	}
	a.removeHints(a.expectedBlocks)
}

// currentTarget returns the target, or nil if it was removed from the pool.
func (a *Attempt) currentTarget() *target {
	if a.target == nil || a.router.byName[a.target.Name] != a.target {
		return nil
	}
	return a.target
}

// removeHints removes the hints for the prefixes of the chain beyond the given number of blocks.
func (a *Attempt) removeHints(from int) {
	for _, block := range a.chain.Blocks[min(from, len(a.chain.Blocks)):] {
		a.router.table.Remove(block, a.column)
	}
}

// endCall records that a call sent at the given time has ended.
func (t *target) endCall(sentAt time.Time) {
	if !sentAt.After(t.measuredAt) {
		t.finishedCalls++
		return
	}
	for i := range t.sentCalls {
		if t.sentCalls[i].at.Equal(sentAt) && !t.sentCalls[i].done {
			t.sentCalls[i].done = true
			return
		}
	}
}

// durationAverage is an exponential moving average of the time that calls hold a slot.
type durationAverage struct{ value time.Duration }

// averageDivisor is the inverse of the weight of one sample in a moving average.
const averageDivisor = 16

func (a *durationAverage) add(sample time.Duration) {
	a.value += (sample - a.value) / averageDivisor
}

// missAverage is an exponential moving average of the prompt tokens of a call and of those that
// the target had to compute.
type missAverage struct{ computed, prompts float64 }

func (a *missAverage) add(computed, prompt int) {
	a.computed += (float64(computed) - a.computed) / averageDivisor
	a.prompts += (float64(prompt) - a.prompts) / averageDivisor
}

// computedFraction returns the fraction of prompt tokens that targets had to compute, or 1 before
// the first answer.
func (a *missAverage) computedFraction() float64 {
	if a.prompts <= 0 {
		return 1
	}
	return min(a.computed/a.prompts, 1)
}
