package placer

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// cacheShare is the part of an engine's memory that is expected to hold shared parts; running
	// requests take the rest.
	cacheShare = 0.75
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
	replacedCost  = 80 * time.Millisecond
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
	versionMargin = 1500 * time.Millisecond
	// defaultRetry is when a caller may come back where nothing better is known.
	defaultRetry = 250 * time.Millisecond
)

// candidate is a target with the estimate for a call.
type candidate struct {
	target    *target
	version   int64
	expected  time.Duration
	read      int
	fetched   int
	fetchFrom netip.AddrPort
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
	return Choice{
		Target:    best.target.snapshot(),
		Version:   best.version,
		FetchFrom: best.fetchFrom,
		Expected:  best.expected,
		Flight:    p.begin(call, best, now),
	}, nil
}

func (t *target) calm(now time.Time) bool {
	return !t.updatingUntil.After(now) && !t.shedUntil.After(now) && !t.brokenUntil.After(now)
}

func (p *Placer) best(call Call, excluded []string, now time.Time, allowed func(*target) bool) (best candidate, err error) {
	var candidates []candidate
	for _, t := range p.services[call.Service] {
		if t.Leaving || t.left || slices.Contains(excluded, t.ID) || !allowed(t) || !p.fresh(t, call.Model, now) {
			continue
		}
		candidates = append(candidates, p.estimate(t, call, now))
	}
	if len(candidates) == 0 {
		return candidate{}, &NoTargetError{Service: call.Service, RetryAfter: defaultRetry}
	}
	p.preferHome(call, candidates)
	return slices.MinFunc(candidates, func(a, b candidate) int { return int(a.expected - b.expected) }), nil
}

// fresh says whether the weights of a target may still begin requests.
func (p *Placer) fresh(t *target, model string, now time.Time) bool {
	if model == "" {
		return true
	}
	since, replaced := p.wanted[model].replacedSince(t.Versions[model])
	return !replaced || now.Sub(since) < p.settings.VersionBound-versionMargin
}

// estimate tells when the target would give the first event of the call.
func (p *Placer) estimate(t *target, call Call, now time.Time) candidate {
	c := candidate{target: t, version: t.Versions[call.Model]}
	load := t.load()
	c.expected = time.Duration(max(load.requests, 0)) * runningCost
	if over := load.requests + 1 - t.Slots; over > 0 {
		c.expected += time.Duration(over) * slotCost
	}
	if t.DataCentre != p.settings.DataCentre {
		c.expected += remoteCost
	}
	if call.Model == "" {
		return c
	}
	p.estimatePrompt(&c, call, load)
	if since, replaced := p.wanted[call.Model].replacedSince(c.version); replaced && now.Sub(since) > replacedGrace {
		c.expected += replacedCost
	}
	return c
}

// estimatePrompt adds the time for reading the prompt and for what waits before it.
func (p *Placer) estimatePrompt(c *candidate, call Call, load work) {
	t := c.target
	engine := p.engines[call.Service]
	keys := call.keys(c.version)
	cached := call.cachedTokens(t, keys)
	c.read = call.PromptTokens - cached
	var fetch time.Duration
	if holder, more := p.holder(t, call, keys, c.version, cached); holder != nil {
		c.fetched = more
		c.fetchFrom = holder.Address
		c.read -= more
		fetch = fetchOverhead + engine.transfer(more, holder.DataCentre != t.DataCentre)
	}
	c.expected += fetch + t.reading(load.unread+c.read+requestTokens(call))
	if engine.CacheTokens > 0 && load.held+call.PromptTokens+call.OutputTokens > int(fullShare*float64(engine.CacheTokens)) {
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

func (t *target) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / t.readRate * float64(time.Second))
}

const (
	bitsPerByte = 8
	// remoteTransfer is how much longer a transfer between data centres takes.
	remoteTransfer = 2
)

// transfer is the time that cached tokens take to another engine.
func (e Engine) transfer(tokens int, remote bool) time.Duration {
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	took := float64(tokens*e.TokenBytes*bitsPerByte) / e.LinkBitsPerSecond
	if remote {
		took *= remoteTransfer
	}
	return time.Duration(took * float64(time.Second))
}

// holder finds a target on the same weights that holds more of the prompt than t.
func (p *Placer) holder(t *target, call Call, keys []partKey, version int64, cached int) (holder *target, more int) {
	for _, other := range p.services[call.Service] {
		if other == t || other.Versions[call.Model] != version {
			continue
		}
		if held := call.cachedTokens(other, keys) - cached; held >= fetchedTokens && held > more {
			holder, more = other, held
		}
	}
	return holder, more
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
			candidates[i].expected += time.Duration(homeShare * float64(candidates[i].target.reading(call.sharedTokens())))
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

// keys names the shared parts of the prompt under the weights.
func (c Call) keys(version int64) []partKey {
	if len(c.Parts) < 2 {
		return nil
	}
	keys := make([]partKey, 0, len(c.Parts)-1)
	chain := xxh3.HashString(c.Model + "/" + c.Wall + "/" + strconv.FormatInt(version, 10))
	for _, part := range c.Parts[:len(c.Parts)-1] {
		chain = xxh3.HashStringSeed(part.ID, chain)
		keys = append(keys, partKey(chain))
	}
	return keys
}

func (c Call) sharedTokens() (tokens int) {
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// cachedTokens counts the tokens of the prompt that the target holds from its beginning on.
func (c Call) cachedTokens(t *target, keys []partKey) (tokens int) {
	for i, key := range keys {
		if !t.cached.has(key) {
			break
		}
		tokens += c.Parts[i].Tokens
	}
	return tokens
}
