package placer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// cacheShare is the part of an engine's memory that is counted on.
	cacheShare = 0.95
	// fullShare is the part of an engine's memory beyond which it may preempt requests.
	fullShare = 0.8
	// preemptionCost is added for an engine whose memory would be over fullShare.
	preemptionCost = 400 * time.Millisecond
	// slotCost is added for each request beyond the slots of a target.
	slotCost = 20 * time.Millisecond
	// runningCost is how much a running request slows the next one.
	runningCost = 400 * time.Microsecond
	// remoteCost is the price of another data centre.
	remoteCost = 2 * time.Millisecond
	// replacedCost is the price of weights that were replaced for longer than replacedGrace.
	replacedCost  = 200 * time.Millisecond
	replacedGrace = time.Second
	// fetchOverhead is the time that a fetch takes beside the transfer.
	fetchOverhead = 3 * time.Millisecond
	// fetchedTokens is the shortest span of a prompt that is worth a fetch.
	fetchedTokens = 512
	// homeShare is the part of the reading time by which a target other than the first choice of
	// a new prompt must be earlier.
	homeShare = 0.5
	// versionMargin keeps clear of the bound on replaced weights, since the bound counts from the
	// operator's write, which the daemon learns a little later.
	versionMargin = 1200 * time.Millisecond
	// waitFactor is how much longer than expected a request may wait until it begins.
	waitFactor = 1.5
	// defaultRetry is when a caller may come back where nothing better is known.
	defaultRetry = 250 * time.Millisecond
)

// candidate is a target with the estimate for a call.
type candidate struct {
	target  *target
	version int64
	// expected is the time to the first event.
	expected time.Duration
	// cost is what the choice goes by: the time to the first event, and what the call and those that
	// run there lose by each other.
	cost      time.Duration
	read      int
	fetched   int
	fetchFrom netip.AddrPort
	// fetchedFromStore says that the source is the store of cached parts.
	fetchedFromStore bool
	save             bool
}

func (c candidate) saveTo(p *Placer) netip.AddrPort {
	if !c.save {
		return netip.AddrPort{}
	}
	return p.store.Address
}

// Choose takes the target that is expected to answer first, leaving out those with the given ids.
// The work counts at the target until the flight is finished.
func (p *Placer) Choose(call Call, excluded []string) (choice Choice, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	var best candidate
	for _, allowed := range []func(*target) bool{
		func(t *target) bool { return t.calm(now) },
		func(t *target) bool { return !t.updatingUntil.After(now) },
	} {
		if best, err = p.best(call, excluded, now, allowed); err == nil {
			break
		}
	}
	if err != nil {
		return Choice{}, err
	}
	if within := p.within(call, best); within > 0 && best.expected > within {
		return Choice{}, &NotInTimeError{Service: call.Service, Expected: best.expected, Within: within}
	}
	return Choice{
		Target:    best.target.snapshot(),
		Version:   best.version,
		FetchFrom: best.fetchFrom,
		SaveTo:    best.saveTo(p),
		Expected:  best.expected,
		Read:      best.read,
		Ahead:     best.target.load().unread.ahead(call.Urgency),
		Requests:  best.target.load().requests,
		Flight:    p.begin(call, best, now),
	}, nil
}

// waitShare is the part of the time of a call that a prompt may wait which takes long by itself.
const waitShare = 0.5

// within is how long the call may take to its first event at the candidate; zero is any time.
func (p *Placer) within(call Call, c candidate) time.Duration {
	within := call.Within
	if within > 0 {
		within = max(within, p.rates[call.Service].reading(c.read)+time.Duration(waitShare*float64(within)))
	}
	if call.Left > 0 && (within == 0 || call.Left < within) {
		return call.Left
	}
	return within
}

func (t *target) calm(now time.Time) bool {
	return !t.updatingUntil.After(now) && !t.shedUntil.After(now) && !t.brokenUntil.After(now) && !t.silent(now)
}

func (p *Placer) best(call Call, excluded []string, now time.Time, allowed func(*target) bool) (best candidate, err error) {
	var candidates []candidate
	prompt := p.promptOf(call, now)
	for _, t := range p.services[call.Service] {
		if t.Leaving || t.left || slices.Contains(excluded, t.ID) || !allowed(t) {
			continue
		}
		if c := p.estimate(t, prompt); p.fresh(c, call.Model, now) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return candidate{}, &NoTargetError{Service: call.Service, RetryAfter: defaultRetry}
	}
	p.preferHome(call, candidates)
	return slices.MinFunc(candidates, func(a, b candidate) int { return int(a.cost - b.cost) }), nil
}

// fresh says whether the target's weights may still begin the request when it is expected to begin.
func (p *Placer) fresh(c candidate, model string, now time.Time) bool {
	if model == "" {
		return true
	}
	since, replaced := p.wanted[model].replacedSince(c.version, p.unknownSince())
	begins := now.Add(time.Duration(waitFactor * float64(c.expected)))
	return !replaced || begins.Sub(since) < p.settings.VersionBound-versionMargin
}

// preferHome makes all daemons agree on the first target of a prompt that nobody holds yet.
func (p *Placer) preferHome(call Call, candidates []candidate) {
	if len(call.Parts) < 2 {
		return
	}
	for _, c := range candidates {
		if c.fetched > 0 || c.read < call.PromptTokens {
			return // Somebody holds it already.
		}
	}
	home := slices.MaxFunc(candidates, func(a, b candidate) int {
		return compareScores(score(call, a.target), score(call, b.target))
	})
	for i := range candidates {
		if candidates[i].target != home.target {
			candidates[i].cost += time.Duration(homeShare * float64(p.rates[call.Service].reading(call.sharedTokens())))
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

func score(call Call, t *target) uint64 {
	return xxh3.HashString(call.Wall + "/" + call.Parts[0].ID + "/" + t.ID)
}

func (c Call) sharedTokens() (tokens int) {
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// ownTokens is the memory that the call needs beside the shared parts.
func (c Call) ownTokens() int { return c.PromptTokens - c.sharedTokens() + c.OutputTokens }
