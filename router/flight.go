package router

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Answer is what a target says with the beginning of its answer.
type Answer struct {
	Incarnation  string
	Weights      string
	CachedTokens int
}

// Flight is a call that was sent and has not ended. Its methods are safe for concurrent use.
type Flight struct {
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

// Sent notes that the call went to the target of the decision. The target's backlog grows at
// once, and the prefixes of the call are expected in its cache.
func (r *Router) Sent(request Request, decision Decision) *Flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.settings.Now()
	flight := &Flight{
		router:       r,
		target:       r.byName[decision.Target],
		chain:        request.Chains[decision.chain],
		promptTokens: request.PromptTokens,
		sentAt:       now,
	}
	t := flight.target
	if t == nil {
		return flight
	}
	flight.column = t.column
	if t.column == decision.column {
		flight.expectedBlocks = decision.CachedTokens / r.settings.BlockTokens
	}
	tokens := max(request.PromptTokens-flight.expectedBlocks*r.settings.BlockTokens, 0)
	t.sentCalls = append(t.sentCalls, sentCall{at: now, tokens: tokens})
	t.addWork(now, r.scaleForPeers(r.prefillTime(tokens)))
	r.addHints(flight, now)
	return flight
}

// addHints notes that the target holds the prefixes of the call.
func (r *Router) addHints(f *Flight, now time.Time) {
	for _, block := range f.chain.Blocks {
		r.table.Add(block, f.column, now)
	}
}

// Answered notes the beginning of the target's answer and corrects the hints by it.
func (f *Flight) Answered(answer Answer) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	t := f.currentTarget()
	if t == nil || answer.Incarnation != "" && !f.router.advanceIncarnation(t, answer.Incarnation) {
		return
	}
	f.column = t.column
	if answer.Weights != "" && answer.Weights != f.chain.Weights {
		f.removeHints(0)
		return
	}
	now := f.router.settings.Now()
	f.answeredAt = now
	f.router.addHints(f, now)
	f.router.misses.add(f.promptTokens-answer.CachedTokens, f.promptTokens)
}

// Finished notes the end of the call. Where the target never began to answer, the prefixes
// that the call would have computed are not expected in its cache any more.
func (f *Flight) Finished() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	t := f.currentTarget()
	if t == nil {
		return
	}
	t.endCall(f.sentAt)
	if !f.answeredAt.IsZero() {
		f.router.serviceTime.add(f.router.settings.Now().Sub(f.answeredAt))
		return
	}
	f.removeHints(f.expectedBlocks)
}

// currentTarget returns the target unless it was removed.
func (f *Flight) currentTarget() *target {
	if f.target == nil || f.router.byName[f.target.Name] != f.target {
		return nil
	}
	return f.target
}

// removeHints ends the hints from a level of the chain on.
func (f *Flight) removeHints(from int) {
	for _, block := range f.chain.Blocks[min(from, len(f.chain.Blocks)):] {
		f.router.table.Remove(block, f.column)
	}
}

// endCall notes that a call sent at the given time has ended.
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

// durationAverage is a moving average of the time that calls hold a slot.
type durationAverage struct{ value time.Duration }

// averageDivisor is the weight of one sample.
const averageDivisor = 16

func (a *durationAverage) add(sample time.Duration) {
	a.value += (sample - a.value) / averageDivisor
}

// missAverage is a moving average of the part of the prompts that targets have to compute.
type missAverage struct{ computed, prompts float64 }

func (a *missAverage) add(computed, prompt int) {
	a.computed += (float64(computed) - a.computed) / averageDivisor
	a.prompts += (float64(prompt) - a.prompts) / averageDivisor
}

// computedFraction is one until calls were answered.
func (a *missAverage) computedFraction() float64 {
	if a.prompts <= 0 {
		return 1
	}
	return min(a.computed/a.prompts, 1)
}
