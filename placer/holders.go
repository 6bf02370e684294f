package placer

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

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
	// known is the most that any target holds or will when it has read what was sent to it.
	known int
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
		found.known = max(found.known, p.call.cachedTokens(t.cached, found.keys))
		if tokens := p.call.readTokens(t.cached, found.keys, p.now); tokens >= fetchedTokens {
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
	if held := p.call.cachedTokens(p.placer.store.cached, known.keys) - cached; held >= fetchedTokens && held > best.tokens {
		if takes := p.fromStore(t, held); takes < p.placer.rates[p.call.Service].reading(held) {
			best = source{address: p.placer.store.Address, tokens: held, takes: takes, store: true}
		}
	}
	return best
}

// fromStore is how long the target takes to bring the tokens from the store.
func (p *prompt) fromStore(t *target, tokens int) time.Duration {
	store := p.placer.store
	if !store.usable() {
		return math.MaxInt64
	}
	transfer := store.transfer(p.placer.engines[p.call.Service], tokens, t.DataCentre)
	return fetchOverhead + store.delay(transfer, p.placer.daemons(), p.now)
}

// worthSaving says whether the shared parts should go to the store.
func (p *Placer) worthSaving(call Call, keys []partKey, now time.Time) bool {
	shared := call.sharedTokens()
	return shared >= toldTokens && p.store.usable() && call.cachedTokens(p.store.cached, keys) < shared &&
		!p.store.onTheirWay(keys, now)
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

// blockTokens is the size of the blocks in which engines keep parts: less than one may be missing
// from the end of a part that is there.
const blockTokens = 16

// cachedTokens counts the tokens of the prompt that are held from its beginning on, or will be when those
// that wait before the call are served.
func (c Call) cachedTokens(held *parts, keys []partKey) (tokens int) {
	return c.leadingTokens(keys, held.held)
}

// readTokens counts the tokens of the prompt that can be fetched, from its beginning on.
func (c Call) readTokens(held *parts, keys []partKey, now time.Time) (tokens int) {
	return c.leadingTokens(keys, func(key partKey) int { return held.read(key, now) })
}

func (c Call) leadingTokens(keys []partKey, held func(partKey) int) (tokens int) {
	for i, key := range keys {
		there := min(held(key), c.Parts[i].Tokens)
		tokens += there
		if there+blockTokens <= c.Parts[i].Tokens {
			break
		}
	}
	return tokens
}
