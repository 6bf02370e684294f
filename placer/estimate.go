package placer

import (
	"cmp"
	"time"
)

// estimate estimates the time to the first event of the call at the target, and the cost of choosing it.
func (p *Placer) estimate(t *target, index *holderIndex) candidate {
	call, now := index.call, index.now
	c := candidate{target: t, version: t.Versions[call.Model]}
	c.factor = t.speed.factor(now)
	load := t.combinedWork()
	load.requests = t.requestCount(load, now)
	c.expected = time.Duration(max(load.requests, 0)) * runningRequestPenalty
	if excess := load.requests + 1 - t.Slots; excess > 0 {
		c.expected += time.Duration(excess) * queuedRequestPenalty
		c.marginal = c.factor * float64(queuedRequestPenalty)
	}
	c.expected = scaled(c.expected, c.factor)
	c.freeSlots = t.Slots - load.requests
	if t.DataCentre != p.settings.DataCentre && p.settings.Crossing == nil {
		c.expected += crossDataCentrePenalty
	}
	if call.Model == "" {
		c.answerTime = p.answerCost(&c, load.requests)
		c.cost = c.expected + c.answerTime
		c.loadCost = float64(c.cost)
		return c
	}
	p.estimatePrompt(&c, index, load)
	c.cost += c.expected + p.interference(c, call, load)
	if since, replaced := p.wanted[call.Model].replacedSince(c.version, p.assumedReplacementTime()); replaced && now.Sub(since) > replacedWeightsGrace {
		c.cost += replacedWeightsPenalty
	}
	return c
}

const (
	// defaultPrefillChunkTokens is how many prompt tokens an engine prefills between two tokens of its streams, unless known.
	defaultPrefillChunkTokens = 2048
	// ownSlowdownWeight multiplies the time that the call's stream loses to the prefill of prompts queued behind the
	// call.
	ownSlowdownWeight = 0.5
	// othersSlowdownWeight multiplies the time that each other stream of the engine loses to the prefill of the call.
	othersSlowdownWeight = 0.05
	// duplicatePrefillWeight multiplies the time to prefill tokens that another engine already holds or is prefilling.
	duplicatePrefillWeight = 0.5
)

// interference returns the weighted time by which the call and the streams of the engine slow each other: while
// the engine prefills prompts, each token of a stream waits for the prefill of one chunk.
func (p *Placer) interference(c candidate, call Call, load work) time.Duration {
	rates := p.rates[call.Service]
	backlog := rates.prefillTime(load.pendingPrefill.total() - load.pendingPrefill.ahead(call.Urgency))
	ownSlowdown := min(backlog, time.Duration(call.OutputTokens)*rates.prefillTime(p.engines[call.Service].chunkTokens()))
	othersSlowdown := time.Duration(load.requests) * rates.prefillTime(c.prefillTokens)
	return time.Duration(c.factor * (ownSlowdownWeight*float64(ownSlowdown) + othersSlowdownWeight*float64(othersSlowdown)))
}

// displacement returns the cost of a further copy of tokens that another target holds or will hold: the prefill time of as many
// tokens of other prompts, which the target evicts for it and some caller has to wait for again. While there is room, the
// cost is in proportion to the part of the cache in use.
func (p *Placer) displacement(t *target, copied int) time.Duration {
	capacity := usableCacheFraction * float64(p.engines[t.Service].CacheTokens)
	if copied < minFetchTokens || capacity <= 0 {
		return 0
	}
	used := min(float64(t.cached.tokens+copied)/capacity, 1)
	return time.Duration(used * float64(p.rates[t.Service].prefillTime(copied)))
}

// estimatePrompt adds the time for fetching cached parts, for the prefill of the rest of the prompt and for the prefill
// that is queued before it. It also sets what the target fetches and saves.
func (p *Placer) estimatePrompt(c *candidate, index *holderIndex, load work) {
	t, call := c.target, index.call
	engine := p.engines[call.Service]
	holders := index.forVersion(c.version)
	cached := call.cachedTokens(t.cached, holders.keys)
	c.prefillTokens = call.PromptTokens - cached
	c.full = !p.hasRoom(t, call, holders.keys, load, index.now)
	source := index.bestSource(t, holders, cached)
	if source.tokens > 0 {
		c.fetchedTokens, c.fetchFrom, c.fetchStore = source.tokens, source.address, source.store
		c.prefillTokens -= source.tokens
	}
	c.cost += p.displacement(t, holders.maxTokens-cached)
	if duplicated := holders.maxTokens - cached - source.tokens; duplicated > 0 {
		c.cost += time.Duration(duplicatePrefillWeight * float64(p.rates[call.Service].prefillTime(duplicated)))
	}
	rates := p.rates[call.Service]
	backlog := load.pendingPrefill.ahead(call.Urgency)
	c.loadCost = float64(c.expected) + c.factor*float64(rates.prefillTime(backlog))
	c.expected += source.duration + scaled(rates.prefillTime(backlog+c.prefillTokens+overheadTokens(call)), c.factor)
	if engine.CacheTokens > 0 && load.kvCacheTokens+call.unsharedTokens() > int(preemptionFraction*float64(engine.CacheTokens)) {
		c.expected += preemptionPenalty
	}
}

// chunkTokens returns how many prompt tokens an engine prefills between two tokens of its streams.
func (e Engine) chunkTokens() int { return cmp.Or(e.PrefillChunkTokens, defaultPrefillChunkTokens) }

// answerCost returns the time that the target is expected to take for the answer itself, as far as that is known, and the time
// for which the call may wait for a slot although some seemed free. It also adds what one more request costs the next.
func (p *Placer) answerCost(c *candidate, requests int) time.Duration {
	times := p.answerTimes[c.target.Service]
	if !times.known() {
		return 0
	}
	answerTime := c.factor * times.median
	wait := func(requests int) float64 {
		used := min(float64(max(requests, 0))/float64(max(c.target.Slots, 1)), 1)
		return answerTime * used * used * used * used
	}
	c.marginal += wait(requests+1) - wait(requests)
	return time.Duration(answerTime + wait(requests))
}

// requestOverheadTokens is the cost of a model call without its prompt, as an equivalent number of prefill tokens.
const requestOverheadTokens = 400

func overheadTokens(call Call) int {
	if call.Model == "" {
		return 0
	}
	return requestOverheadTokens
}
