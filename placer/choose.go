package placer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// usableCacheFraction is the fraction of an engine's KV cache that is expected to be available for parts.
	usableCacheFraction = 0.95
	// preemptionFraction is the fraction of an engine's KV cache beyond which it may preempt requests.
	preemptionFraction = 0.8
	// preemptionPenalty is added for an engine that the call would take beyond preemptionFraction.
	preemptionPenalty = 400 * time.Millisecond
	// queuedRequestPenalty is added for each request beyond the slots of a target.
	queuedRequestPenalty = 20 * time.Millisecond
	// runningRequestPenalty is added for each running request, since it slows the next one.
	runningRequestPenalty = 400 * time.Microsecond
	// crossDataCentrePenalty is added for a target in another data centre.
	crossDataCentrePenalty = 2 * time.Millisecond
	// replacedWeightsPenalty is added for weights that were replaced more than replacedWeightsGrace ago.
	replacedWeightsPenalty = 200 * time.Millisecond
	replacedWeightsGrace   = time.Second
	// fetchOverhead is the time that a fetch takes in addition to the transfer.
	fetchOverhead = 3 * time.Millisecond
	// minFetchTokens is the smallest number of prompt tokens that is worth a fetch.
	minFetchTokens = 512
	// nonHomePenaltyFraction is the fraction of the prefill time of a new prompt's shared parts that is added to
	// the cost of every target but its home.
	nonHomePenaltyFraction = 0.5
	// versionSendMargin is subtracted from the version bound when a target is chosen, since the bound counts from
	// the operator's write, which the daemon learns a little later.
	versionSendMargin = 1200 * time.Millisecond
	// waitSafetyFactor is how many times the expected wait a request may take to begin.
	waitSafetyFactor = 1.5
	// defaultRetryAfter is the retry delay for callers when no better estimate is known.
	defaultRetryAfter = 250 * time.Millisecond
)

// candidate is a target with the estimates for a call.
type candidate struct {
	target  *target
	version int64
	// expected is the estimated time to the first event.
	expected time.Duration
	// cost is what the choice minimizes: expected plus penalties for duplicate prefill, for replaced weights
	// and for the slowdown between the call and the requests that run there.
	cost          time.Duration
	prefillTokens int
	fetchedTokens int
	fetchFrom     netip.AddrPort
	// fetchFromStore says that the parts are fetched from the store of cached parts.
	fetchFromStore bool
	saveToStore    bool
}

func (c candidate) saveAddress(p *Placer) netip.AddrPort {
	if !c.saveToStore {
		return netip.AddrPort{}
	}
	return p.store.Address
}

// Choose returns the target with the lowest cost among those whose ids are not excluded. The work of the call
// counts at the target until the flight is finished. Targets that shed requests, broke connections or are overdue with
// an answer are considered only if no other target can take the call.
func (p *Placer) Choose(call Call, excluded []string) (choice Choice, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	var best candidate
	for _, allowed := range []func(*target) bool{
		func(t *target) bool { return t.healthy(now) },
		func(t *target) bool { return !t.updatingUntil.After(now) },
	} {
		if best, err = p.bestCandidate(call, excluded, now, allowed); err == nil {
			break
		}
	}
	if err != nil {
		return Choice{}, err
	}
	if limit := p.firstEventLimit(call, best); limit > 0 && best.expected > limit {
		return Choice{}, &NotInTimeError{Service: call.Service, Expected: best.expected, Limit: limit}
	}
	return Choice{
		Target:              best.target.snapshot(),
		Version:             best.version,
		FetchFrom:           best.fetchFrom,
		SaveTo:              best.saveAddress(p),
		Expected:            best.expected,
		PrefillTokens:       best.prefillTokens,
		QueuedPrefillTokens: best.target.combinedWork().pendingPrefill.ahead(call.Urgency),
		Requests:            best.target.combinedWork().requests,
		Attempt:             p.reserve(call, best, now),
	}, nil
}

// longPromptWaitFraction is the fraction of Call.Within that a call may wait in addition to its own prefill.
const longPromptWaitFraction = 0.5

// firstEventLimit returns the limit on the time to the first event at the candidate; zero is no limit.
func (p *Placer) firstEventLimit(call Call, c candidate) time.Duration {
	limit := call.FirstEventLimit
	if limit > 0 {
		limit = max(limit, p.rates[call.Service].prefillTime(c.prefillTokens)+time.Duration(longPromptWaitFraction*float64(limit)))
	}
	if call.TimeLeft > 0 && (limit == 0 || call.TimeLeft < limit) {
		return call.TimeLeft
	}
	return limit
}

// healthy says whether the target is neither changing weights, shedding, in backoff nor overdue with an answer.
func (t *target) healthy(now time.Time) bool {
	return !t.updatingUntil.After(now) && !t.shedUntil.After(now) && !t.backoffUntil.After(now) && !t.answerOverdue(now)
}

func (p *Placer) bestCandidate(call Call, excluded []string, now time.Time, allowed func(*target) bool) (best candidate, err error) {
	var candidates []candidate
	index := p.newHolderIndex(call, now)
	for _, t := range p.services[call.Service] {
		if t.Leaving || t.gone || slices.Contains(excluded, t.ID) || !allowed(t) {
			continue
		}
		if c := p.estimate(t, index); p.weightsUsable(c, call.Model, now) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return candidate{}, &NoTargetError{Service: call.Service, RetryAfter: defaultRetryAfter}
	}
	p.preferHome(call, candidates)
	return slices.MinFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) }), nil
}

// weightsUsable says whether the request is expected to begin while the target may still use its weights.
func (p *Placer) weightsUsable(c candidate, model string, now time.Time) bool {
	if model == "" {
		return true
	}
	since, replaced := p.wanted[model].replacedSince(c.version, p.assumedReplacementTime())
	beginsAt := now.Add(time.Duration(waitSafetyFactor * float64(c.expected)))
	return !replaced || beginsAt.Sub(since) < p.settings.VersionBound-versionSendMargin
}

// preferHome makes all daemons choose the same first target for a prompt that no target holds yet: the home is the
// target with the highest rendezvous hash.
func (p *Placer) preferHome(call Call, candidates []candidate) {
	if len(call.Parts) < 2 {
		return
	}
	for _, c := range candidates {
		if c.fetchedTokens > 0 || c.prefillTokens < call.PromptTokens {
			return // Some target holds at least a part of it.
		}
	}
	home := slices.MaxFunc(candidates, func(a, b candidate) int {
		return compareScores(rendezvousScore(call, a.target), rendezvousScore(call, b.target))
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

// unsharedTokens is the number of KV cache tokens that the call needs in addition to the shared parts.
func (c Call) unsharedTokens() int { return c.PromptTokens - c.sharedTokens() + c.OutputTokens }
