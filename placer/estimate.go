package placer

import (
	"time"
)

// estimate tells when the target would give the first event of the call.
func (p *Placer) estimate(t *target, prompt *prompt) candidate {
	call, now := prompt.call, prompt.now
	c := candidate{target: t, version: t.Versions[call.Model]}
	load := t.load()
	load.requests = t.requests(load, now)
	c.expected = time.Duration(max(load.requests, 0)) * runningCost
	if over := load.requests + 1 - t.Slots; over > 0 {
		c.expected += time.Duration(over) * slotCost
	}
	if t.DataCentre != p.settings.DataCentre {
		c.expected += remoteCost
	}
	if call.Model == "" {
		c.cost = c.expected
		return c
	}
	p.estimatePrompt(&c, prompt, load)
	c.cost += c.expected + p.interference(c, call, load)
	if since, replaced := p.wanted[call.Model].replacedSince(c.version, p.unknownSince()); replaced && now.Sub(since) > replacedGrace {
		c.cost += replacedCost
	}
	return c
}

const (
	// chunkTokens is how much of prompts an engine reads between two tokens of its streams.
	chunkTokens = 2048
	// slowedShare weighs the time by which a stream is slowed by prompts that are read beside it, which are
	// those that come after its own.
	slowedShare = 0.5
	// slowingShare weighs the time by which the reading of a prompt slows each stream there.
	slowingShare = 0.05
	// againShare weighs the time of an engine that goes into reading what another one holds or is
	// reading already.
	againShare = 0.5
)

// interference is what a call and the streams of an engine lose by each other: while prompts are read,
// each token of a stream waits for a piece of them.
func (p *Placer) interference(c candidate, call Call, load work) time.Duration {
	rates := p.rates[call.Service]
	backlog := rates.reading(load.unread.total() - load.unread.ahead(call.Urgency))
	slowed := min(backlog, time.Duration(call.OutputTokens)*rates.reading(chunkTokens))
	slowing := time.Duration(load.requests) * rates.reading(c.read)
	return time.Duration(slowedShare*float64(slowed) + slowingShare*float64(slowing))
}

// estimatePrompt adds the time for reading the prompt and for what waits before it.
func (p *Placer) estimatePrompt(c *candidate, prompt *prompt, load work) {
	t, call := c.target, prompt.call
	engine := p.engines[call.Service]
	known := prompt.holders(c.version)
	cached := call.cachedTokens(t.cached, known.keys)
	c.read = call.PromptTokens - cached
	source := prompt.source(t, known, cached)
	if source.tokens > 0 {
		c.fetched, c.fetchFrom, c.fetchedFromStore = source.tokens, source.address, source.store
		c.read -= source.tokens
	}
	if again := known.known - cached - source.tokens; again > 0 {
		c.cost += time.Duration(againShare * float64(p.rates[call.Service].reading(again)))
	}
	c.save = !c.fetchedFromStore && p.worthSaving(call, known.keys, prompt.now)
	c.expected += source.takes + p.rates[call.Service].reading(load.unread.ahead(call.Urgency)+c.read+requestTokens(call))
	if engine.CacheTokens > 0 && load.held+call.ownTokens() > int(fullShare*float64(engine.CacheTokens)) {
		c.expected += preemptionCost
	}
}

// promptlessTokens is the work of a model call beside its prompt, in tokens read.
const promptlessTokens = 400

func requestTokens(call Call) int {
	if call.Model == "" {
		return 0
	}
	return promptlessTokens
}
