package placer

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	bitsPerByte = 8
	// remoteTransferFactor is how many times longer a transfer between data centres takes.
	remoteTransferFactor = 2
)

// transferTime returns the time that the transfer of cached tokens to another engine takes.
func (e Engine) transferTime(tokens int, remote bool) time.Duration {
	if e.LinkBitsPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens*e.TokenBytes*bitsPerByte) / e.LinkBitsPerSecond
	if remote {
		seconds *= remoteTransferFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// fetchSource is a target or a store from which another target can fetch cached tokens that it lacks.
type fetchSource struct {
	address  netip.AddrPort
	tokens   int
	duration time.Duration
	// store is nil if the source is a target.
	store *partStore
}

// promptHolders are the targets that hold parts of the prompt of one call under one version of the weights.
type promptHolders struct {
	// keys are the keys of the shared parts of the prompt.
	keys []partKey
	// largest are the two targets that hold the most tokens, in each data centre if moves between these have a price. The second one
	// is used if the first one is itself the target that fetches.
	largest []holder
	// maxTokens is the largest number of tokens that a target holds, or will hold after the prefill of the requests
	// sent to it.
	maxTokens int
	// stored are the stores that can be used now, and the tokens that each holds.
	stored []storeHolder
}

type holder struct {
	target *target
	tokens int
}

// holderIndex finds the targets that hold parts of the prompt of a call, once for each version of the weights.
type holderIndex struct {
	placer    *Placer
	call      Call
	now       time.Time
	byVersion map[int64]*promptHolders
}

func (p *Placer) newHolderIndex(call Call, now time.Time) *holderIndex {
	return &holderIndex{placer: p, call: call, now: now, byVersion: make(map[int64]*promptHolders)}
}

// forVersion returns the holders under a version of the weights. It skips targets that are in backoff after a connection
// failure, have an overdue answer or are gone.
func (x *holderIndex) forVersion(version int64) *promptHolders {
	if known := x.byVersion[version]; known != nil {
		return known
	}
	found := &promptHolders{keys: x.call.sharedPartKeys(version)}
	x.byVersion[version] = found
	for _, t := range x.placer.byService[x.call.Service] {
		if t.Versions[x.call.Model] != version || t.backoffUntil.After(x.now) || t.answerOverdue(x.now) || !x.placer.servesFetches(t, x.now) {
			continue
		}
		found.maxTokens = max(found.maxTokens, x.call.cachedTokens(t.cached, found.keys))
		if tokens := x.call.fetchableTokens(t.cached, found.keys, x.now); tokens >= minFetchTokens {
			found.add(holder{target: t, tokens: tokens}, x.placer.settings.Crossing != nil)
		}
	}
	x.addStores(found)
	return found
}

// add adds a holder, and keeps the two that hold the most, of all or of each data centre.
func (h *promptHolders) add(other holder, ofEach bool) {
	h.largest = append(h.largest, other)
	slices.SortStableFunc(h.largest, func(a, b holder) int { return b.tokens - a.tokens })
	same, last := 0, 0
	for i := range h.largest {
		if !ofEach || h.largest[i].target.DataCentre == other.target.DataCentre {
			same, last = same+1, i
		}
	}
	if same > 2 {
		h.largest = slices.Delete(h.largest, last, last+1)
	}
}

// bestSource returns the source from which the target can fetch the most tokens under the same weights: another target,
// or a store if it holds more and a fetch is faster than prefill. The target itself holds cached tokens of the prompt; a
// source must hold at least minFetchTokens more. The result is zero if none does.
func (x *holderIndex) bestSource(t *target, holders *promptHolders, cached int) (best fetchSource) {
	engine := x.placer.engines[x.call.Service]
	for _, other := range holders.largest {
		if extra := other.tokens - cached; other.target != t && extra >= minFetchTokens {
			duration := fetchOverhead + engine.transferTime(extra, other.target.DataCentre != t.DataCentre)
			if !x.mayMove(other.target.DataCentre, t.DataCentre, extra, duration) {
				continue
			}
			best = fetchSource{address: other.target.Address, tokens: extra, duration: duration}
			break
		}
	}
	if stored, found := x.bestStore(t, holders, cached+best.tokens, cached); found {
		best = stored
	}
	return best
}

// sharedPartKeys returns the keys of the shared parts of the prompt under a version of the weights.
func (c Call) sharedPartKeys(version int64) []partKey {
	if len(c.Parts) < 2 {
		return nil
	}
	keys := make([]partKey, 0, len(c.Parts)-1)
	for _, part := range c.Parts[:len(c.Parts)-1] {
		keys = append(keys, partKey(PartKey(c.Model, c.CacheNamespace, version, part.ID)))
	}
	return keys
}

// PartKey returns the key of a part in the messages between daemons and in cache events.
func PartKey(model, namespace string, version int64, id string) uint64 {
	return xxh3.HashStringSeed(id, xxh3.HashString(model+"/"+namespace+"/"+strconv.FormatInt(version, 10)))
}

// blockTokens is the size of the blocks in which engines cache parts. Since only whole blocks are cached, fewer than
// blockTokens tokens may be missing from the end of a part that is held.
const blockTokens = 16

// cachedTokens counts the leading tokens of the prompt that the cache holds, or will hold once the requests queued before
// the call are served.
func (c Call) cachedTokens(cached *partCache, keys []partKey) (tokens int) {
	return c.prefixTokens(keys, cached.heldTokens)
}

// fetchableTokens counts the leading tokens of the prompt that can be fetched from the cache now.
func (c Call) fetchableTokens(cached *partCache, keys []partKey, now time.Time) (tokens int) {
	return c.prefixTokens(keys, func(key partKey) int { return cached.fetchableTokens(key, now) })
}

// prefixTokens adds up tokensOf for the parts, up to and including the first part of which at least blockTokens
// tokens are missing. A part below minSharedTokens is not announced by peers. It counts as held if the part after it is,
// since a target that uses a part also uses those before it.
func (c Call) prefixTokens(keys []partKey, tokensOf func(partKey) int) (tokens int) {
	unannounced := 0
	for i, key := range keys {
		size := c.Parts[i].Tokens
		available := min(tokensOf(key), size)
		if available == 0 && size < minSharedTokens {
			unannounced += size
			continue
		}
		if available > 0 {
			tokens += unannounced + available
			unannounced = 0
		}
		if available+blockTokens <= size {
			break
		}
	}
	return tokens
}
