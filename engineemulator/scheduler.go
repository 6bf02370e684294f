package engineemulator

import (
	"cmp"
	"slices"
	"time"
)

// Failure codes of a run that ended early. Its response has no finish reason.
const (
	failureDeadline  = "deadline_passed"
	failureCancelled = "cancelled"
)

// step is one scheduler step: the batch of prefill and decode work that runs together.
type step struct {
	prefill  []prefillPart
	decode   []*run
	duration time.Duration
}

// prefillPart is the number of prompt tokens of one run that a step prefills.
type prefillPart struct {
	run    *run
	tokens int
}

// schedule runs the scheduler steps of one incarnation until it ends.
func (e *Engine) schedule(inc *incarnation) {
	for e.waitWhilePaused(inc.done) {
		next, busy := e.planStep(inc)
		if !busy {
			if !waitFor(inc.wake, inc.done) {
				return
			}
			continue
		}
		if !sleep(next.duration, inc.done) || !e.waitWhilePaused(inc.done) {
			return
		}
		e.completeStep(inc, next)
	}
}

// planStep ends expired runs, admits waiting runs and selects the work of the next step. It
// reports false if no run has a slot.
func (e *Engine) planStep(inc *incarnation) (next step, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endExpiredRuns(inc)
	e.admit(inc)
	if len(inc.running) == 0 {
		return step{}, false
	}
	chunk := e.settings.PrefillChunkTokens
	for _, r := range inc.running {
		if r.state == runDecoding {
			next.decode = append(next.decode, r)
			continue
		}
		tokens := min(chunk, r.remainingPromptTokens())
		if tokens > 0 || r.remainingPromptTokens() == 0 {
			next.prefill = append(next.prefill, prefillPart{run: r, tokens: tokens})
		}
		chunk -= tokens
	}
	next.duration = e.stepDuration(len(next.decode)+next.finishedPrefills(), e.settings.PrefillChunkTokens-chunk)
	return next, true
}

// finishedPrefills returns how many runs complete their prefill in the step, which also
// generates their first token.
func (s step) finishedPrefills() int {
	count := 0
	for _, part := range s.prefill {
		if part.tokens == part.run.remainingPromptTokens() {
			count++
		}
	}
	return count
}

// stepDuration returns the modelled duration of a step in which the given number of runs
// generate a token and the given number of prompt tokens are prefilled. The caller holds mu.
func (e *Engine) stepDuration(decoding, prefillTokens int) time.Duration {
	seconds := float64(prefillTokens) / e.settings.PrefillTokensPerSecond
	if decoding > 0 {
		growth := 1 + float64(decoding-1)*e.settings.BatchSlowdown
		seconds += e.settings.DecodeStep.Seconds() * growth
	}
	if e.faults.SlowFactor > 0 {
		seconds *= e.faults.SlowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// admit moves waiting runs into free slots in the order of byPriority. The caller holds mu.
func (e *Engine) admit(inc *incarnation) {
	for len(inc.waiting) > 0 && len(inc.running) < e.settings.Slots {
		r := inc.waiting[0]
		inc.waiting = inc.waiting[1:]
		e.startRun(inc, r)
	}
	slices.SortStableFunc(inc.running, byPriority)
}

// startRun looks up the cached prefix of the prompt and assigns a slot to the run. The caller holds
// mu.
func (e *Engine) startRun(inc *incarnation, r *run) {
	blocks := inc.cache.cachedPrefix(r.chain)
	inc.cache.touch(r.chain[:blocks])
	r.storedBlocks = blocks
	r.cachedTokens = blocks * e.settings.BlockTokens
	r.prefilledTokens = r.cachedTokens
	r.state = runPrefilling
	inc.running = append(inc.running, r)
	inc.progress++
	e.counters.PromptTokens += r.promptTokens
	e.counters.CachedTokens += r.cachedTokens
	e.recordLoad(inc)
	r.notify()
}

// byPriority orders runs by descending priority, then by the order of acceptance.
func byPriority(a, b *run) int {
	return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.acceptSeq, b.acceptSeq))
}

// enqueue inserts a run into the queue in the order of byPriority. The caller holds mu.
func (e *Engine) enqueue(inc *incarnation, r *run) {
	i, _ := slices.BinarySearchFunc(inc.waiting, r, byPriority)
	inc.waiting = slices.Insert(inc.waiting, i, r)
	inc.runs[r.id] = r
	e.recordLoad(inc)
	inc.wakeScheduler()
}

// completeStep applies the results of a step whose time has passed.
func (e *Engine) completeStep(inc *incarnation, done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != inc {
		return
	}
	inc.progress++
	for _, part := range done.prefill {
		e.applyPrefill(inc, part)
	}
	for _, r := range done.decode {
		if r.state == runDecoding {
			e.generate(inc, r)
		}
	}
	e.recordLoad(inc)
}

// applyPrefill counts the tokens that a step prefilled, caches the blocks that are now
// complete, and generates the first token once the prompt is prefilled. The caller holds mu.
func (e *Engine) applyPrefill(inc *incarnation, part prefillPart) {
	r := part.run
	if r.state != runPrefilling {
		return
	}
	r.prefilledTokens += part.tokens
	e.counters.ComputedTokens += part.tokens
	for r.storedBlocks < len(r.chain) && (r.storedBlocks+1)*e.settings.BlockTokens <= r.prefilledTokens {
		e.storeBlock(inc, r)
	}
	if r.remainingPromptTokens() == 0 {
		r.state = runDecoding
		e.generate(inc, r)
	}
}

func (e *Engine) storeBlock(inc *incarnation, r *run) {
	hash := r.chain[r.storedBlocks]
	r.storedBlocks++
	if e.settings.ComputedBlocks.Add(hash) {
		e.counters.RecomputedTokens += e.settings.BlockTokens
	}
	inc.cache.store(cachedBlock{
		hash:         hash,
		account:      r.account,
		weights:      r.weights,
		prefixTokens: r.storedBlocks * e.settings.BlockTokens,
	})
}

// generate adds a token to the answer and ends the run after its last one. The caller holds mu.
func (e *Engine) generate(inc *incarnation, r *run) {
	if r.generatedTokens < r.endToken {
		r.generatedTokens++
		inc.progress++
		e.counters.GeneratedTokens++
	}
	if r.generatedTokens >= r.endToken {
		e.endRun(inc, r, "")
		return
	}
	r.notify()
}

// endRun removes a run from its slot or the queue; failure is empty for a completed run. The
// run stays available for resumption until removeEndedRuns. The caller holds mu.
func (e *Engine) endRun(inc *incarnation, r *run, failure string) {
	if r.state == runEnded {
		return
	}
	r.state = runEnded
	r.failure = failure
	r.endedAt = time.Now()
	inc.running = slices.DeleteFunc(inc.running, func(other *run) bool { return other == r })
	inc.waiting = slices.DeleteFunc(inc.waiting, func(other *run) bool { return other == r })
	inc.ended = append(inc.ended, r)
	e.removeEndedRuns(inc)
	r.notify()
	inc.wakeScheduler()
}

// removeEndedRuns removes the runs that ended longer than Settings.EndedRunRetention ago. The caller
// holds mu.
func (e *Engine) removeEndedRuns(inc *incarnation) {
	cutoff := time.Now().Add(-e.settings.EndedRunRetention)
	for len(inc.ended) > 0 && inc.ended[0].endedAt.Before(cutoff) {
		delete(inc.runs, inc.ended[0].id)
		inc.ended = inc.ended[1:]
	}
}

// endExpiredRuns ends the runs whose deadline has passed. The caller holds mu.
func (e *Engine) endExpiredRuns(inc *incarnation) {
	now := time.Now()
	for _, r := range slices.Concat(inc.waiting, inc.running) {
		if !r.deadline.IsZero() && now.After(r.deadline) {
			e.counters.Expired++
			e.endRun(inc, r, failureDeadline)
		}
	}
}

// sleep waits for the duration, or until done is closed. It reports whether the duration
// passed first.
func sleep(duration time.Duration, done <-chan struct{}) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	return waitFor(timer.C, done)
}

// waitFor waits for a signal, or until done is closed. It reports whether the signal came
// first.
func waitFor[T any](signal <-chan T, done <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	case <-done:
		return false
	}
}
