package placer

import (
	"sync"
	"time"
)

// Attempt is one attempt at a target, from the choice of the target to its end.
type Attempt struct {
	placer *Placer
	target *target
	model  string
	// version is the version of the weights that the target was assumed to have.
	version int64
	work    work
	// measurable says that the first event gives the prefill rate: no other prefill was pending, and nothing is fetched.
	measurable bool
	chosenAt   time.Time
	// addedParts are the parts that the target was not known to hold before the attempt.
	addedParts []partKey

	mu             sync.Mutex
	firstEventSeen bool
	finished       bool
}

// reserve counts the work of the call at the target of the candidate and returns the flight that releases it.
func (p *Placer) reserve(call Call, best candidate, now time.Time) *Attempt {
	t := best.target
	f := &Attempt{
		placer: p, target: t, model: call.Model, version: best.version, chosenAt: now,
		work: work{requests: 1, memoryTokens: call.unsharedTokens()},
	}
	f.work.pendingPrefill[call.Urgency] = best.prefillTokens + overheadTokens(call)
	f.measurable = t.combinedWork().pendingPrefill.total() == 0 && best.fetchedTokens == 0
	t.localWork.add(f.work)
	t.recordSend(best.expected, now)
	f.addedParts = p.recordPlacement(t, call, best, now)
	return f
}

// recordPlacement records the parts that the target will hold after the call, and transfers from and to the store.
// It returns the parts that the target was not known to hold before.
func (p *Placer) recordPlacement(t *target, call Call, best candidate, now time.Time) (added []partKey) {
	keys := call.sharedPartKeys(best.version)
	capacity := p.cacheCapacity(t)
	for i, key := range keys {
		if t.cached.add(key, call.Parts[i].Tokens, capacity, now.Add(best.expected)) {
			added = append(added, key)
		}
		p.announce(t.hash, key, call.Parts[i].Tokens)
	}
	p.recordUnsharedPart(t, call, capacity)
	p.recordStoreTransfers(t, call, best, keys, now)
	return added
}

// recordStoreTransfers records the parts that the call fetches from the store or saves there.
func (p *Placer) recordStoreTransfers(t *target, call Call, best candidate, keys []partKey, now time.Time) {
	if best.fetchFromStore {
		p.store.recordFetch(p.store.transferTime(p.engines[call.Service], best.fetchedTokens, t.DataCentre), now)
		for _, key := range keys {
			p.store.cached.put(key, p.store.cached.heldTokens(key), p.store.CacheTokens)
		}
	}
	if best.saveToStore {
		p.store.recordSaves(keys, now)
	}
}

// daemonCount counts this daemon and its live peers.
func (p *Placer) daemonCount() int { return len(p.peers) + 1 }

// recordUnsharedPart records the part that belongs to the call alone: it takes cache space though no other request
// uses it. Small parts are not announced to the peers, so each counts as many times as there are daemons.
func (p *Placer) recordUnsharedPart(t *target, call Call, capacity int) {
	if call.Model == "" {
		return
	}
	p.unsharedPartCount++
	key, tokens := partKey(p.unsharedPartCount), call.unsharedTokens()
	if tokens < minAnnouncedTokens {
		t.cached.put(key, tokens*p.daemonCount(), capacity)
		return
	}
	key ^= partKey(p.unsharedPartSeed)
	t.cached.put(key, tokens, capacity)
	p.announce(t.hash, key, tokens)
}

// cacheCapacity is the number of tokens of parts that an engine is expected to keep at most.
func (p *Placer) cacheCapacity(t *target) int {
	return int(usableCacheFraction * float64(p.engines[t.Service].CacheTokens))
}

// combinedWork returns the work of this daemon and its peers at the target.
func (t *target) combinedWork() work {
	total := t.localWork
	total.add(t.peerWork)
	return total
}

// versionCancelMargin is how long before the version bound a request that has not begun is cancelled. It covers the
// time that the close takes to reach the target, and that the bound counts from the operator's write.
const versionCancelMargin = 700 * time.Millisecond

// BeginBy returns the time by which the request must begin, by what is known now: after it, the request would begin
// on weights that have been replaced for too long. The caller must cancel a request that has not begun by then. The
// newest weights may be replaced at any time, so the caller must call BeginBy again at the returned time.
func (f *Attempt) BeginBy() (by time.Time) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	version := max(f.version, f.target.Versions[f.model])
	allowed := p.settings.VersionBound - versionCancelMargin
	if since, replaced := p.wanted[f.model].replacedSince(version, p.assumedReplacementTime()); replaced {
		return since.Add(allowed)
	}
	return p.settings.Now().Add(allowed)
}

// RecordFirstEvent records the first event, which shows that the prefill is complete.
func (f *Attempt) RecordFirstEvent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.firstEventSeen || f.finished {
		return
	}
	f.firstEventSeen = true
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	f.target.localWork.add(work{pendingPrefill: f.work.pendingPrefill}.negated())
	f.target.connectionFailures = 0
	f.target.recordAnswer()
	for _, key := range f.addedParts {
		f.target.cached.setAvailableAt(key, time.Time{})
	}
	if f.measurable {
		p.samplePrefillRate(f)
	}
}

// samplePrefillRate adds the time from the choice to the first event to the estimate of the prefill rate.
func (p *Placer) samplePrefillRate(f *Attempt) {
	service := f.target.Service
	if p.rates[service] == nil {
		p.rates[service] = &prefillEstimator{}
	}
	p.rates[service].add(f.work.pendingPrefill.total(), p.settings.Now().Sub(f.chosenAt))
}

// Finish ends the flight, whatever its outcome. Further calls have no effect.
func (f *Attempt) Finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished {
		return
	}
	f.finished = true
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := f.work
	if f.firstEventSeen {
		remaining.pendingPrefill = PendingPrefill{}
	}
	f.target.localWork.add(remaining.negated())
	if f.target.localWork.requests == 0 {
		f.target.recordAnswer() // No request of this daemon waits for an answer.
	}
}

// RecordRefusal records that the target refused the request without running it.
func (f *Attempt) RecordRefusal() {
	f.updateTarget(func(t *target, now time.Time) {
		t.recordAnswer()
		t.shedUntil = now.Add(shedPause)
		f.forgetPlacement(t)
	})
}

// forgetPlacement removes the parts that the target would have held if it had run the request.
func (f *Attempt) forgetPlacement(t *target) {
	for _, key := range f.addedParts {
		t.cached.set(key, 0)
		f.placer.announce(t.hash, key, 0)
	}
	f.addedParts = nil
}

// RecordConnectionFailure records that the connection to the target broke or could not be established.
func (f *Attempt) RecordConnectionFailure() {
	f.updateTarget(func(t *target, now time.Time) {
		t.recordConnectionFailure(now)
		f.forgetPlacement(t)
	})
}

// RecordCancellation records that the daemon cancelled the request before it began.
func (f *Attempt) RecordCancellation() {
	f.updateTarget(func(t *target, _ time.Time) { f.forgetPlacement(t) })
}

// RecordTargetGone records that the target takes no more work, or that another target answered in its place.
func (f *Attempt) RecordTargetGone() {
	f.updateTarget(func(t *target, _ time.Time) { t.gone = true })
}

// RecordVersion records the version of the weights in an answer of the target.
func (f *Attempt) RecordVersion(version int64) {
	f.updateTarget(func(t *target, _ time.Time) { t.recordVersion(f.model, version) })
}

// RecordRequestCount records how many requests the target says that it has, running and waiting.
func (f *Attempt) RecordRequestCount(requests int) {
	f.updateTarget(func(t *target, now time.Time) { t.reportedRequests, t.reportedAt = requests, now })
}

func (f *Attempt) updateTarget(change func(t *target, now time.Time)) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	change(f.target, p.settings.Now())
}
