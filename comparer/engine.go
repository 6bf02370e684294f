package comparer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// job is one attempt of a call at an engine.
type job struct {
	call         *call
	sequence     int
	cachedTokens int
	// prefilledTokens and storedBlocks count the tokens and whole blocks of the prompt that are cached or computed.
	prefilledTokens int
	storedBlocks    int
	generatedTokens int
	// onStart is called when the job gets a slot, onFirstToken with the first token and onEnd at the end.
	onStart      func(cachedTokens int)
	onFirstToken func()
	onEnd        func(failed bool)
}

func (j *job) remainingPrefill() int { return j.call.promptTokens - j.prefilledTokens }

// priority returns the priority of the job, which is higher for interactive calls.
func (j *job) priority() int { return -int(j.call.class) }

// engine simulates one engine.
type engine struct {
	clock        *clock
	deployment   Deployment
	incarnation  int
	down         bool
	busy         bool
	cache        *cache
	waiting      []*job
	running      []*job
	lastSequence int
	// unpublished contains the cache events since the last report, published the events that were published
	// last, at most eventHistorySize, and lastLoad the load report that was published last.
	unpublished      []router.Event
	published        []router.Event
	lastLoad         loadReport
	truth            *groundTruth
	recomputedTokens *int
	measuring        func() bool
}

// start starts the next incarnation of the engine, with an empty cache.
func (e *engine) start() {
	e.incarnation++
	e.down = false
	e.unpublished, e.published = nil, nil
	e.lastLoad = loadReport{}
	e.cache = newCache(e.deployment.CacheBlocks, func(event router.Event) {
		e.unpublished = append(e.unpublished, event)
		e.truth.copies[event.Block] += copyDelta(event.Kind)
	})
}

func copyDelta(kind router.EventKind) int {
	if kind == router.EventStored {
		return 1
	}
	return -1
}

// incarnationName returns the name of the incarnation. Names of later incarnations compare greater.
func (e *engine) incarnationName() string { return fmt.Sprintf("%08d", e.incarnation) }

// crash stops the engine, fails all its jobs and drops its cache.
func (e *engine) crash() {
	e.down = true
	for block := range e.cache.entries {
		e.truth.copies[block]--
	}
	failed := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.busy = false
	for _, j := range failed {
		j.onEnd(true)
	}
}

// enqueue adds a job to the queue and reports whether it was accepted.
func (e *engine) enqueue(j *job) bool {
	if e.down || len(e.waiting) >= engineemulator.DefaultMaxWaiting {
		return false
	}
	for _, block := range j.call.chain {
		e.truth.heat.Touch(block, e.clock.now)
	}
	e.lastSequence++
	j.sequence = e.lastSequence
	i, _ := slices.BinarySearchFunc(e.waiting, j, byPriority)
	e.waiting = slices.Insert(e.waiting, i, j)
	if !e.busy {
		e.startStep()
	}
	return true
}

func byPriority(a, b *job) int {
	return cmp.Or(cmp.Compare(b.priority(), a.priority()), cmp.Compare(a.sequence, b.sequence))
}

// startStep starts the next step of the scheduler, if there are jobs to run.
func (e *engine) startStep() {
	e.dropExpired()
	e.admit()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	incarnation := e.incarnation
	chunks, decoding, duration := e.planStep()
	e.clock.after(duration, func() {
		if e.incarnation == incarnation && !e.down {
			e.finishStep(chunks, decoding)
			e.startStep()
		}
	})
}

// admit moves waiting jobs into free slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.deployment.Slots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.storedBlocks = e.cache.cachedPrefix(j.call.chain)
		e.cache.touch(j.call.chain[:j.storedBlocks])
		j.cachedTokens = j.storedBlocks * e.deployment.BlockTokens
		j.prefilledTokens = j.cachedTokens
		e.running = append(e.running, j)
		j.onStart(j.cachedTokens)
	}
	slices.SortStableFunc(e.running, byPriority)
}

// prefillChunk is the number of prompt tokens of one job that are computed in a step.
type prefillChunk struct {
	job    *job
	tokens int
}

// planStep returns the prefill chunks and the decoding jobs of the next step, and how long it takes.
func (e *engine) planStep() (chunks []prefillChunk, decoding []*job, duration time.Duration) {
	budget := engineemulator.DefaultPrefillChunkTokens
	for _, j := range e.running {
		if j.remainingPrefill() == 0 {
			decoding = append(decoding, j)
			continue
		}
		if tokens := min(budget, j.remainingPrefill()); tokens > 0 {
			chunks = append(chunks, prefillChunk{job: j, tokens: tokens})
			budget -= tokens
		}
	}
	return chunks, decoding, stepTime(len(decoding), engineemulator.DefaultPrefillChunkTokens-budget)
}

// stepTime returns the duration of a step, by the formula of engineemulator.
func stepTime(decoding, prefillTokens int) time.Duration {
	seconds := float64(prefillTokens) / engineemulator.DefaultPrefillTokensPerSecond
	if decoding > 0 {
		growth := 1 + float64(decoding-1)*engineemulator.DefaultBatchSlowdown
		seconds += engineemulator.DefaultDecodeStep.Seconds() * growth
	}
	return time.Duration(seconds * float64(time.Second))
}

// finishStep applies the effects of a step.
func (e *engine) finishStep(chunks []prefillChunk, decoding []*job) {
	for _, chunk := range chunks {
		chunk.job.prefilledTokens += chunk.tokens
		e.storeBlocks(chunk.job)
		if chunk.job.remainingPrefill() == 0 {
			chunk.job.onFirstToken()
			e.generateToken(chunk.job)
		}
	}
	for _, j := range decoding {
		e.generateToken(j)
	}
}

// storeBlocks adds the whole blocks that the job has computed to the cache. A block that some engine has computed
// before counts as recomputed.
func (e *engine) storeBlocks(j *job) {
	for j.storedBlocks < len(j.call.chain) && (j.storedBlocks+1)*e.deployment.BlockTokens <= j.prefilledTokens {
		block := j.call.chain[j.storedBlocks]
		j.storedBlocks++
		if _, known := e.truth.computed[block]; known && e.measuring() {
			*e.recomputedTokens += e.deployment.BlockTokens
		}
		e.truth.computed[block] = struct{}{}
		e.cache.store(block)
	}
}

func (e *engine) generateToken(j *job) {
	j.generatedTokens++
	if j.generatedTokens >= j.call.answerTokens {
		e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
		j.onEnd(false)
	}
}

// dropExpired fails the jobs whose deadline passed before the first token.
func (e *engine) dropExpired() {
	expired := func(j *job) bool {
		return j.remainingPrefill() > 0 && e.clock.now.After(j.call.deadline)
	}
	for _, list := range []*[]*job{&e.waiting, &e.running} {
		for _, j := range slices.Clone(*list) {
			if expired(j) {
				j.onEnd(true)
			}
		}
		*list = slices.DeleteFunc(*list, expired)
	}
}

// load returns the load report of the engine.
func (e *engine) load() router.Load {
	load := router.Load{
		Incarnation:         e.incarnationName(),
		Running:             len(e.running),
		Waiting:             len(e.waiting),
		CachedBlocks:        e.cache.lru.Len(),
		CacheCapacityBlocks: e.deployment.CacheBlocks,
	}
	for _, j := range e.waiting {
		load.WaitingTokens += j.call.promptTokens
	}
	for _, j := range e.running {
		load.WaitingTokens += j.remainingPrefill()
	}
	return load
}
