package placer

import (
	"sync"
	"time"
)

// Attempt is one attempt to run a request at a target, from the choice of the target until Finish is called.
type Attempt struct {
	placer *Placer
	target *target
	model  string
	// version is the version of the weights that the target was assumed to have when it was chosen.
	version int64
	work    work
	// measurable is set if the time to the first event is a sample of the prefill rate, since no other prefill was
	// pending and nothing is fetched.
	measurable bool
	chosenAt   time.Time
	// slotFraction is the part of the time at the target in which the request is expected to have a slot.
	slotFraction float64
	// addedParts are the parts that the target was not known to hold before the attempt.
	addedParts []partKey
	// heldParts are the shared parts that the call needs until its end.
	heldParts []partKey

	mu             sync.Mutex
	firstEventSeen bool
	finished       bool
}

// reserve counts the work of the call at the target of the candidate and returns the Attempt whose Finish removes it.
func (p *Placer) reserve(call Call, best candidate, now time.Time) *Attempt {
	t := best.target
	a := &Attempt{
		placer: p, target: t, model: call.Model, version: best.version, chosenAt: now,
		work: work{requests: 1, kvCacheTokens: call.heldTokens()},
	}
	a.work.pendingPrefill[call.Urgency] = best.prefillTokens + overheadTokens(call)
	a.measurable = t.combinedWork().pendingPrefill.total() == 0 && best.fetchedTokens == 0
	a.slotFraction = t.slotFraction(t.requestCount(t.combinedWork(), now))
	p.recordSend(call, best.version, a.work.pendingPrefill.total(), now)
	p.noteExtra(t, now)
	t.localWork.add(a.work)
	t.limit.take()
	t.startAnswerTimeout(best.expected, now)
	a.addedParts = p.recordPlacement(t, call, best, now)
	a.holdParts(call, now)
	return a
}

// recordPlacement records the parts that the target will hold after the call, and the call's transfers from and to
// the stores. It returns the parts that the target was not known to hold before.
func (p *Placer) recordPlacement(t *target, call Call, best candidate, now time.Time) (added []partKey) {
	keys := call.sharedPartKeys(best.version)
	capacity := p.cacheCapacity(t)
	for i, key := range keys {
		tokens := call.Parts[i].Tokens
		isNew := t.cached.add(key, tokens, capacity, now.Add(best.expected))
		t.cached.markShared(key)
		p.seen.add(key)
		if isNew {
			added = append(added, key)
		}
		if isNew || tokens >= minAnnouncedTokens {
			p.announce(t.hash, key, tokens)
		}
	}
	p.recordUnsharedPart(t, call, capacity)
	p.recordStoreTransfers(t, call, best, keys, now)
	return added
}

// recordStoreTransfers records the parts that the call fetches from a store or saves in one.
func (p *Placer) recordStoreTransfers(t *target, call Call, best candidate, keys []partKey, now time.Time) {
	engine := p.engines[call.Service]
	if from := best.fetchStore; from != nil {
		from.recordFetch(from.transferTime(engine, best.fetchedTokens, t.DataCentre), now)
		from.begin(engine, t, best.fetchedTokens, now, now)
		for _, key := range keys {
			from.cached.put(key, from.cached.heldTokens(key), from.CacheTokens)
		}
	}
	if best.saveStore != nil {
		best.saveStore.recordSaves(keys, now)
		best.saveStore.begin(engine, t, call.sharedTokens(), now.Add(best.expected), now)
	}
}

// daemonCount returns the number of daemons, including this one.
func (p *Placer) daemonCount() int { return max(len(p.peerNames), len(p.peers)) + 1 }

// maxUnsharedFactor bounds the factor by which a small unshared part stands for those of all daemons. A larger one would
// push most of what the engine holds out of its modelled cache at once.
const maxUnsharedFactor = 10

// recordUnsharedPart records the part that belongs to the call alone, which occupies cache space although no other
// request uses it. Unshared parts below minAnnouncedTokens are not announced to the peers. To account for those of the
// peers, the size of each is multiplied by the number of daemons, on the assumption that all daemons send equally many.
func (p *Placer) recordUnsharedPart(t *target, call Call, capacity int) {
	if call.Model == "" {
		return
	}
	p.unsharedPartCount++
	key, tokens := partKey(p.unsharedPartCount), call.unsharedTokens()
	if tokens < minAnnouncedTokens {
		t.cached.put(key, tokens*min(p.daemonCount(), maxUnsharedFactor), capacity)
		return
	}
	key ^= partKey(p.unsharedPartSeed)
	t.cached.put(key, tokens, capacity)
	if p.announcesUnshared() {
		p.announce(t.hash, key, tokens)
	}
}

// cacheCapacity returns the number of tokens of parts beyond which the least recently used ones count as evicted.
func (p *Placer) cacheCapacity(t *target) int {
	fraction := usableCacheFraction
	if p.settings.Now().Sub(t.evictionToldAt) < evictionsToldTime {
		fraction = toldCacheFraction
	}
	return int(fraction * float64(p.engines[t.Service].CacheTokens))
}

// combinedWork returns the work of this daemon and its peers at the target.
func (t *target) combinedWork() work {
	total := t.localWork
	total.add(t.peerWork)
	return total
}

// versionCancelMargin is how long before the end of Settings.VersionBound a request that has not begun is cancelled. It
// covers the time until the target notices the closed connection, and the time between the operator's write, from which the
// bound counts, and the moment at which the daemon learns of it.
const versionCancelMargin = 700 * time.Millisecond

// BeginBy returns the time by which the request must begin, as far as is known now. A request that began later would
// run on weights that were replaced too long ago. The caller must cancel a request that has not begun by then. The
// newest weights may be replaced at any time, so the caller must call BeginBy again at the returned time.
func (a *Attempt) BeginBy() (by time.Time) {
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	version := max(a.version, a.target.Versions[a.model])
	allowed := p.settings.VersionBound - versionCancelMargin
	if since, replaced := p.wanted[a.model].replacedSince(version, p.assumedReplacementTime()); replaced {
		return since.Add(allowed)
	}
	return p.settings.Now().Add(allowed)
}

// RecordFirstEvent records the first event, which shows that the prefill is complete.
func (a *Attempt) RecordFirstEvent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.firstEventSeen || a.finished {
		return
	}
	a.firstEventSeen = true
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	a.target.localWork.add(work{pendingPrefill: a.work.pendingPrefill}.negated())
	a.target.connectionFailures, a.target.foreignAnswers = 0, 0
	p.answeredAt = p.settings.Now()
	a.target.stopAnswerTimeout()
	for _, key := range a.addedParts {
		a.target.cached.setAvailableAt(key, time.Time{})
	}
	if a.measurable {
		p.sampleSpeed(a)
	}
}

// Finish ends the attempt, whatever its outcome, and removes its remaining work from the target. Further calls have
// no effect.
func (a *Attempt) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := a.work
	if a.firstEventSeen {
		remaining.pendingPrefill = PendingPrefill{}
	}
	a.target.localWork.add(remaining.negated())
	a.releaseParts()
	if a.target.localWork.requests == 0 {
		a.target.stopAnswerTimeout() // No request of this daemon waits for an answer.
	}
}

// RecordRefusal records that the target refused the request without running it.
func (a *Attempt) RecordRefusal() {
	a.updateTarget(func(t *target, now time.Time) {
		t.stopAnswerTimeout()
		t.shedUntil, t.refusedAt = now.Add(shedPause), now
		a.placer.answeredAt = now
		a.forgetPlacement(t)
	})
}

// forgetPlacement removes the parts that the target would have held if it had run the request.
func (a *Attempt) forgetPlacement(t *target) {
	for _, key := range a.addedParts {
		t.cached.set(key, 0)
		a.placer.announce(t.hash, key, 0)
	}
	a.addedParts = nil
}

// RecordConnectionFailure records that the connection to the target broke or could not be established.
func (a *Attempt) RecordConnectionFailure() {
	a.updateTarget(func(t *target, now time.Time) {
		t.recordConnectionFailure(now)
		a.placer.recordFailure(t)
		a.forgetPlacement(t)
	})
}

// RecordForeignAnswer records that the answer does not show that the target gave it.
func (a *Attempt) RecordForeignAnswer() {
	a.updateTarget(func(t *target, now time.Time) {
		t.stopAnswerTimeout()
		t.recordForeignAnswer(now)
		a.forgetPlacement(t)
	})
}

// RecordCancellation records that the daemon cancelled the request before it began.
func (a *Attempt) RecordCancellation() {
	a.updateTarget(func(t *target, _ time.Time) { a.forgetPlacement(t) })
}

// RecordTargetGone records that the target accepts no more requests, or that another target answered at its address.
func (a *Attempt) RecordTargetGone() {
	a.updateTarget(func(t *target, _ time.Time) { t.gone = true })
}

// RecordVersion records the version of the weights in an answer of the target.
func (a *Attempt) RecordVersion(version int64) {
	a.updateTarget(func(t *target, _ time.Time) { t.recordVersion(a.model, version) })
}

// RecordLoad records the load that the target reports.
func (a *Attempt) RecordLoad(report LoadReport) {
	a.updateTarget(func(t *target, now time.Time) {
		a.placer.noteFactor(t, report, now)
		t.recordLoad(report, now)
		a.placer.recordAnswer(t)
	})
}

func (a *Attempt) updateTarget(change func(t *target, now time.Time)) {
	if a.target == nil {
		return
	}
	p := a.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	change(a.target, p.settings.Now())
}

// Unplaced returns an Attempt that concerns no target. It records nothing.
func Unplaced() *Attempt { return &Attempt{finished: true} }
