package placer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// usableCacheFraction is the fraction of an engine's KV cache that is expected to be available for cached parts.
	usableCacheFraction = 0.95
	// toldCacheFraction takes the place of usableCacheFraction while the evictions of an engine are told. The modelled cache
	// then only has to drop parts whose eviction was lost, and must not drop others: parts of one call are counted twice,
	// when they are placed and when the engine tells them.
	toldCacheFraction = 2.0
	// evictionsToldTime is how long after the last known eviction those of an engine count as told. It exceeds the longest
	// time between two polls of an engine's events.
	evictionsToldTime = 10 * time.Second
	// preemptionFraction is the fraction of an engine's KV cache beyond which it may preempt requests.
	preemptionFraction = 0.8
	// preemptionPenalty is added to the expected time at an engine whose KV cache usage would exceed
	// preemptionFraction with the call.
	preemptionPenalty = 400 * time.Millisecond
	// queuedRequestPenalty is added to the expected time for each request, including the call, in excess of the
	// target's slots.
	queuedRequestPenalty = 20 * time.Millisecond
	// runningRequestPenalty is added to the expected time for each request at the target, since it slows the call.
	runningRequestPenalty = 400 * time.Microsecond
	// crossDataCentrePenalty is added to the expected time at a target in another data centre.
	crossDataCentrePenalty = 2 * time.Millisecond
	// replacedWeightsPenalty is added to the cost of a target whose weights were replaced more than
	// replacedWeightsGrace ago.
	replacedWeightsPenalty = 200 * time.Millisecond
	replacedWeightsGrace   = time.Second
	// fetchOverhead is the time that a fetch takes in addition to the transfer.
	fetchOverhead = 3 * time.Millisecond
	// minFetchTokens is the smallest number of prompt tokens that is fetched.
	minFetchTokens = minSharedTokens
	// nonHomePenaltyFraction is the fraction of the prefill time of a prompt's shared parts that is added to the
	// cost of every target except the prompt's home, if no target holds any of the parts. See preferHome.
	nonHomePenaltyFraction = 0.5
	// versionSendMargin is subtracted from Settings.VersionBound when a target is chosen, since the bound counts from
	// the operator's write, of which the daemon learns a little later.
	versionSendMargin = 1200 * time.Millisecond
	// waitSafetyFactor multiplies the expected time to the first event when it is compared with Settings.VersionBound,
	// since the request may begin later than expected.
	waitSafetyFactor = 1.5
	// defaultRetryAfter is the retry delay in each NoTargetError.
	defaultRetryAfter = 250 * time.Millisecond
)

// candidate is a target with the estimates for a call.
type candidate struct {
	target  *target
	version int64
	// expected is the estimated time to the first event.
	expected time.Duration
	// cost is what the choice minimizes: expected plus penalties for duplicate prefill, for replaced weights, for
	// a target other than the prompt's home, and for the time by which the call and the requests at the target
	// slow each other.
	cost          time.Duration
	prefillTokens int
	fetchedTokens int
	fetchFrom     netip.AddrPort
	// fetchStore is the store of cached parts from which parts are fetched, and saveStore the one to which the target
	// should send the shared parts; nil if there is none.
	fetchStore *partStore
	saveStore  *partStore
	// factor is how long work takes at the target, as a factor of the usual time at the targets of the service.
	factor float64
	// loadCost is the part of the cost that does not depend on the call, and marginal how much one more request adds to it, both
	// in nanoseconds.
	loadCost, marginal float64
	// answerTime is how long the answer of a service without a model takes, unseenTime the time that unseen work of other calls
	// takes before, and freeSlots the number of requests that the target can begin at once.
	answerTime, unseenTime time.Duration
	freeSlots              int
	// full is set if the target has no memory for the call.
	full bool
	// level is what Placer.draw works on.
	level levelled
}

func (c candidate) saveAddress() netip.AddrPort {
	if c.saveStore == nil {
		return netip.AddrPort{}
	}
	return c.saveStore.Address
}

// Choose returns the target with the lowest cost among those whose ids are not excluded and that are not at their limits.
// It counts the work of the call at that target until Attempt.Finish is called. Targets that recently refused a request, whose
// connection recently failed, whose answer is overdue or whose software's version is not recorded yet are considered only if no
// other target can accept the call. Those that asked for time are not considered before its end, and those that cannot be reached
// not before they can. The error is an UnreachableError if this daemon reaches none of the targets, a NoTargetError if no target can
// accept the call, and a NotInTimeError if the first event is expected too late.
func (p *Placer) Choose(call Call, excluded []string) (choice Choice, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	if p.unreachable(call, now) {
		return Choice{}, &UnreachableError{Service: call.Service}
	}
	var best candidate
	index := p.newHolderIndex(call, now)
	for _, allowed := range []func(*target) bool{
		func(t *target) bool { return t.healthy(now) && p.settings.SoftwareRecorded(t.Service, t.Software) },
		func(t *target) bool { return !t.upgradingUntil.After(now) && !t.linkLost(now) },
	} {
		if best, err = p.bestCandidate(index, excluded, allowed); err == nil {
			break
		}
	}
	if err != nil {
		return Choice{}, err
	}
	if limit := p.effectiveLimit(call, best); limit > 0 && best.expected > limit {
		return Choice{}, &NotInTimeError{Service: call.Service, Expected: best.expected, Limit: limit}
	}
	sharedRead, cause := p.sharedRead(best, index)
	if call.Model != "" && best.fetchStore == nil {
		best.saveStore = index.saveStore(best.target, index.forVersion(best.version))
	}
	return Choice{
		SharedRead: sharedRead, ReadCause: cause,
		Target:              best.target.snapshot(),
		Version:             best.version,
		FetchFrom:           best.fetchFrom,
		SaveTo:              best.saveAddress(),
		Expected:            best.expected,
		PrefillTokens:       best.prefillTokens,
		QueuedPrefillTokens: best.target.combinedWork().pendingPrefill.ahead(call.Urgency),
		Requests:            best.target.combinedWork().requests,
		Attempt:             p.reserve(call, best, now),
	}, nil
}

// longPromptWaitFraction is the fraction of Call.FirstEventLimit by which the expected time to the first event may
// exceed the prefill time of the call's own prompt.
const longPromptWaitFraction = 0.5

// effectiveLimit returns the limit on the time to the first event at the candidate, which depends on the prefill time
// there and on Call.TimeLeft; zero means no limit.
func (p *Placer) effectiveLimit(call Call, c candidate) time.Duration {
	limit := call.FirstEventLimit
	if limit > 0 {
		limit = max(limit, scaled(p.rates[call.Service].prefillTime(c.prefillTokens), c.factor)+time.Duration(longPromptWaitFraction*float64(limit)))
	}
	if call.TimeLeft > 0 && (limit == 0 || call.TimeLeft < limit) {
		return call.TimeLeft
	}
	return limit
}

// healthy reports whether the weights of the target are not being upgraded and the target has not recently refused a
// request, is not in backoff after a connection failure, can be reached and has no overdue answer.
func (t *target) healthy(now time.Time) bool {
	return !t.upgradingUntil.After(now) && !t.shedUntil.After(now) && !t.backoffUntil.After(now) && !t.answerOverdue(now) && !t.linkLost(now)
}

// bestCandidate returns the candidate with the lowest cost among the allowed targets, or a NoTargetError if none of them
// can accept the call.
func (p *Placer) bestCandidate(index *holderIndex, excluded []string, allowed func(*target) bool) (best candidate, err error) {
	call, now := index.call, index.now
	candidates := p.scratch[:0]
	retryAfter, servedAtHome, full := time.Duration(0), false, false
	for _, t := range p.byService[call.Service] {
		if !p.accepts(t) || call.Software != "" && t.Software != call.Software {
			continue
		}
		servedAtHome = servedAtHome || t.DataCentre == p.settings.DataCentre
		if wait := t.pauseLeft(now); wait > 0 {
			retryAfter = min(cmp.Or(retryAfter, wait), wait)
			continue
		}
		if slices.Contains(excluded, t.ID) || !allowed(t) {
			continue
		}
		if wait := p.limitWait(t, now); wait > 0 {
			retryAfter = min(cmp.Or(retryAfter, wait), wait)
			continue
		}
		if wait := p.brittleWait(t, now); wait > 0 {
			retryAfter = min(cmp.Or(retryAfter, wait), wait)
			continue
		}
		c := p.estimate(t, index)
		full = full || c.full
		if !c.full && p.weightsUsable(c, call.Model, now) {
			candidates = append(candidates, c)
		}
	}
	p.scratch = candidates
	p.recordRoom(call, now)
	if len(candidates) == 0 {
		return candidate{}, &NoTargetError{Service: call.Service, RetryAfter: max(retryAfter, defaultRetryAfter), Full: full}
	}
	share := 1.
	if p.settings.Crossing == nil {
		p.preferHome(call, candidates)
		p.addUnseenWork(call, candidates, share, now)
	} else if candidates, share = p.chooseDataCentre(call, candidates, servedAtHome, now); candidates == nil {
		return candidate{}, &NoTargetError{Service: call.Service, RetryAfter: defaultRetryAfter}
	}
	return *p.draw(call, candidates, share, now), nil
}

// weightsUsable reports whether the request is expected to begin at the target before Settings.VersionBound ends for the
// target's weights. Weights that have not been replaced are always usable.
func (p *Placer) weightsUsable(c candidate, model string, now time.Time) bool {
	if model == "" {
		return true
	}
	since, replaced := p.wanted[model].replacedSince(c.version, p.assumedReplacementTime())
	beginsAt := now.Add(time.Duration(waitSafetyFactor * float64(c.expected)))
	return !replaced || beginsAt.Sub(since) < p.settings.VersionBound-versionSendMargin
}

// preferHome makes all daemons prefer the same target, the home, for a prompt of which no target holds any part. It
// adds a penalty to the cost of all other targets. The home is the target with the highest rendezvous hash of the cache
// namespace, the first part and the id of the target.
func (p *Placer) preferHome(call Call, candidates []candidate) {
	if len(call.Parts) < 2 {
		return
	}
	for _, c := range candidates {
		if p.heldByTarget(c, call) {
			return
		}
	}
	dataCentre := p.homeDataCentre(call)
	home := slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareLocal(a.target, b.target, dataCentre), compareScores(rendezvousScore(call, a.target), rendezvousScore(call, b.target)))
	})
	for i := range candidates {
		if candidates[i].target != home.target {
			candidates[i].cost += time.Duration(nonHomePenaltyFraction * float64(p.rates[call.Service].prefillTime(call.sharedTokens())))
		}
	}
}

func compareScores(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func rendezvousScore(call Call, t *target) uint64 {
	return xxh3.HashString(call.CacheNamespace + "/" + call.Parts[0].ID + "/" + t.ID)
}

func (c Call) sharedTokens() (tokens int) {
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// unsharedTokens returns the number of KV cache tokens that the call needs in addition to the shared parts: those of its
// last part and of its expected output.
func (c Call) unsharedTokens() int { return c.PromptTokens - c.sharedTokens() + c.OutputTokens }
