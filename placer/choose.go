package placer

import (
	"net/netip"
	"slices"
	"strconv"
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

// estimate tells when the target would give the first event of the call.
func (p *Placer) estimate(t *target, prompt *prompt) candidate {
	call, now := prompt.call, prompt.now
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
		c.cost = c.expected
		return c
	}
	p.estimatePrompt(&c, prompt, load)
	c.cost = c.expected + p.interference(c, call, load)
	if since, replaced := p.wanted[call.Model].replacedSince(c.version, p.unknownSince()); replaced && now.Sub(since) > replacedGrace {
		c.cost += replacedCost
	}
	return c
}

const (
	// chunkTokens is how much of prompts an engine reads between two tokens of its streams.
	chunkTokens = 2048
	// slowedShare weighs the time by which a stream is slowed by prompts that are read beside it.
	slowedShare = 0.5
	// slowingShare weighs the time by which the reading of a prompt slows each stream there.
	slowingShare = 0.05
)

// interference is what a call and the streams of an engine lose by each other: while prompts are read,
// each token of a stream waits for a piece of them.
func (p *Placer) interference(c candidate, call Call, load work) time.Duration {
	rates := p.rates[call.Service]
	backlog := rates.reading(load.unread.total())
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
	c.save = !c.fetchedFromStore && p.worthSaving(call, known.keys)
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

// source is where more of a prompt can be fetched from than the target holds.
type source struct {
	address netip.AddrPort
	tokens  int
	takes   time.Duration
	store   bool
}

// holders is what is known of the prompt of one call under one version of the weights.
type holders struct {
	keys []partKey
	// most are the targets that hold the most, at most two: one of them may be the target itself.
	most []holder
}

type holder struct {
	target *target
	tokens int
}

// prompt finds who holds parts of the prompt of a call, once for each version of the weights.
type prompt struct {
	placer    *Placer
	call      Call
	now       time.Time
	byVersion map[int64]*holders
}

func (p *Placer) promptOf(call Call, now time.Time) *prompt {
	return &prompt{placer: p, call: call, now: now, byVersion: make(map[int64]*holders)}
}

func (p *prompt) holders(version int64) *holders {
	if known := p.byVersion[version]; known != nil {
		return known
	}
	found := &holders{keys: p.call.keys(version)}
	p.byVersion[version] = found
	for _, t := range p.placer.services[p.call.Service] {
		if t.Versions[p.call.Model] != version || t.brokenUntil.After(p.now) || t.silent(p.now) {
			continue
		}
		if tokens := p.call.cachedTokens(t.cached, found.keys); tokens >= fetchedTokens {
			found.add(holder{target: t, tokens: tokens})
		}
	}
	return found
}

func (h *holders) add(other holder) {
	h.most = append(h.most, other)
	slices.SortStableFunc(h.most, func(a, b holder) int { return b.tokens - a.tokens })
	h.most = h.most[:min(len(h.most), 2)]
}

// source finds the best source of parts on the same weights: another target or the store.
func (p *prompt) source(t *target, known *holders, cached int) (best source) {
	engine := p.placer.engines[p.call.Service]
	for _, other := range known.most {
		if held := other.tokens - cached; other.target != t && held >= fetchedTokens {
			best = source{
				address: other.target.Address, tokens: held,
				takes: fetchOverhead + engine.transfer(held, other.target.DataCentre != t.DataCentre),
			}
			break
		}
	}
	store := p.placer.store
	if held := p.call.cachedTokens(store.cached, known.keys) - cached; store.usable() && held >= fetchedTokens && held > best.tokens {
		best = source{address: store.Address, tokens: held, takes: fetchOverhead + store.delay(engine, held, p.now), store: true}
	}
	return best
}

// worthSaving says whether the shared parts should go to the store.
func (p *Placer) worthSaving(call Call, keys []partKey) bool {
	return p.store.usable() && call.sharedTokens() >= toldTokens && call.cachedTokens(p.store.cached, keys) < call.sharedTokens()
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

// keys names the shared parts of the prompt under the weights.
func (c Call) keys(version int64) []partKey {
	if len(c.Parts) < 2 {
		return nil
	}
	keys := make([]partKey, 0, len(c.Parts)-1)
	for _, part := range c.Parts[:len(c.Parts)-1] {
		keys = append(keys, partKey(PartKey(c.Model, c.Wall, version, part.ID)))
	}
	return keys
}

// PartKey names a part in the messages between daemons and in cache events.
func PartKey(model, wall string, version int64, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(model+"/"+wall+"/"+strconv.FormatInt(version, 10)))
}

func (c Call) sharedTokens() (tokens int) {
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// ownTokens is the memory that the call needs beside the shared parts.
func (c Call) ownTokens() int { return c.PromptTokens - c.sharedTokens() + c.OutputTokens }

// blockTokens is the size of the blocks in which engines keep parts: less than one may be missing
// from the end of a part that is there.
const blockTokens = 16

// cachedTokens counts the tokens of the prompt that are held from its beginning on.
func (c Call) cachedTokens(held *parts, keys []partKey) (tokens int) {
	for i, key := range keys {
		there := min(held.held(key), c.Parts[i].Tokens)
		tokens += there
		if there+blockTokens <= c.Parts[i].Tokens {
			break
		}
	}
	return tokens
}
