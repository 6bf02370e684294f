package placer

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// onlyStoreHash identifies the store in the messages between daemons if there is only one.
const onlyStoreHash TargetHash = 1

// storeSet contains the stores of cached parts, ordered by name.
type storeSet []*partStore

// SetCacheStores sets the stores of cached parts. The parts of a store whose address was known before remain known.
func (p *Placer) SetCacheStores(described []CacheStore) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[netip.AddrPort]*partStore, len(p.stores))
	for _, s := range p.stores {
		known[s.Address] = s
	}
	p.stores = nil
	for _, d := range described {
		if !d.Address.IsValid() || p.stores.at(d.Address) != nil {
			continue
		}
		s := known[d.Address]
		if s == nil {
			s = newPartStore(d)
			p.settings.Logger.Info("cache store added", "store", d.Name, "address", d.Address, "data_centre", d.DataCentre, "tokens", d.CacheTokens)
		}
		delete(known, d.Address)
		s.CacheStore = d
		p.stores = append(p.stores, s)
	}
	for _, removed := range known {
		p.settings.Logger.Info("cache store removed", "store", removed.Name, "address", removed.Address)
	}
	slices.SortFunc(p.stores, func(a, b *partStore) int { return strings.Compare(a.Name, b.Name) })
	p.stores.setHashes()
	p.recountStoreWork()
}

// setHashes sets the hashes that identify the stores in the messages between daemons. A store at another address is
// another one.
func (s storeSet) setHashes() {
	for _, store := range s {
		store.hash = onlyStoreHash
		if len(s) > 1 {
			store.hash = TargetHash(xxh3.HashString(store.Name + " " + store.Address.String()))
		}
	}
}

func (s storeSet) at(address netip.AddrPort) *partStore {
	return s.find(func(store *partStore) bool { return store.Address == address })
}

func (s storeSet) named(name string) *partStore {
	return s.find(func(store *partStore) bool { return store.Name == name })
}

func (s storeSet) byHash(hash TargetHash) *partStore {
	return s.find(func(store *partStore) bool { return store.hash == hash })
}

func (s storeSet) find(matches func(*partStore) bool) *partStore {
	if i := slices.IndexFunc(s, matches); i >= 0 {
		return s[i]
	}
	return nil
}

// home returns the store that keeps the prompt of the call: the first by weighted rendezvous hashing of the prompt's first
// part among those that can be used, so that all daemons agree and each store keeps prompts in proportion to its capacity. The
// version of the weights does not count, so the prompt stays where it is. The result is nil if no store can be used.
func (s storeSet) home(call Call, now time.Time) (home *partStore) {
	if len(call.Parts) == 0 {
		return nil
	}
	best := math.Inf(1)
	for _, store := range s {
		if !store.usable(now) {
			continue
		}
		if distance := store.distance(call); home == nil || distance < best {
			home, best = store, distance
		}
	}
	return home
}

// distance orders the stores for a prompt: the one with the smallest distance comes first.
func (s *partStore) distance(call Call) float64 {
	hash := xxh3.HashString(call.CacheNamespace + "/" + call.Parts[0].ID + "/" + s.Name)
	uniform := (float64(hash>>hashBitsDropped) + 0.5) / (1 << (64 - hashBitsDropped))
	return -math.Log(uniform) / float64(max(s.CacheTokens, 1))
}

// hashBitsDropped is the number of bits of a hash that a float64 cannot represent.
const hashBitsDropped = 11

// storeHolder is a store that holds the first tokens of a prompt.
type storeHolder struct {
	store  *partStore
	tokens int
}

// addStores sets what the stores that can be used hold of the prompt.
func (x *holderIndex) addStores(found *promptHolders) {
	for _, store := range x.placer.stores {
		if store.usable(x.now) {
			found.stored = append(found.stored, storeHolder{store: store, tokens: x.call.cachedTokens(store.cached, found.keys)})
		}
	}
}

// saveStore returns the store to which the target should send the shared parts of the prompt, or nil: the prompt's home, unless
// a store holds all of them already or they were sent so recently that it may still report them. Stores in other data centres count
// only if it is worth it to move cached tokens there.
func (x *holderIndex) saveStore(t *target, holders *promptHolders) *partStore {
	shared := x.call.sharedTokens()
	if shared < minAnnouncedTokens {
		return nil
	}
	engine := x.placer.engines[x.call.Service]
	var stores storeSet
	for _, holder := range holders.stored {
		store := holder.store
		if !x.mayMove(t.DataCentre, store.DataCentre, shared, store.transferTime(engine, shared, t.DataCentre)) {
			continue
		}
		if holder.tokens >= shared || store.savePending(holders.keys, x.now) {
			return nil
		}
		stores = append(stores, store)
	}
	home := stores.home(x.call, x.now)
	if home != nil && len(x.placer.stores) > 1 && home.queueTime(engine, x.now) > maxSaveQueue {
		return nil
	}
	return home
}

// maxSaveQueue is the time for which transfers keep a store's link busy up to which prompts are saved to it. A save can wait for the
// next use of the prompt, and a fetch can't; engines drop saves that would wait long.
const maxSaveQueue = 200 * time.Millisecond

// bestStore returns the store from which the target gains the most time by a fetch in place of a prefill, among those that
// hold more than the given number of tokens and at least minFetchTokens more than the target itself holds.
func (x *holderIndex) bestStore(t *target, holders *promptHolders, more, cached int) (best fetchSource, found bool) {
	gain := time.Duration(0)
	for _, holder := range holders.stored {
		extra := holder.tokens - cached
		if extra < minFetchTokens || holder.tokens <= more {
			continue
		}
		duration := x.storeFetchTime(holder.store, t, extra)
		if saved := x.placer.rates[x.call.Service].prefillTime(extra) - duration; saved > gain && x.mayMove(holder.store.DataCentre, t.DataCentre, extra, duration) {
			gain, found = saved, true
			best = fetchSource{address: holder.store.Address, tokens: extra, duration: duration, store: holder.store}
		}
	}
	return best, found
}

// storeFetchTime returns the time that the target takes to fetch the tokens from the store.
func (x *holderIndex) storeFetchTime(store *partStore, t *target, tokens int) time.Duration {
	engine := x.placer.engines[x.call.Service]
	transfer := store.transferTime(engine, tokens, t.DataCentre)
	if len(x.placer.stores) > 1 {
		return fetchOverhead + transfer + store.queueTime(engine, x.now)
	}
	return fetchOverhead + store.fetchTime(transfer, x.placer.daemonCount(), x.now)
}

const (
	// storeFailures is the number of failed polls in a row after which a store counts as down.
	storeFailures = 2
	// storeDownTime is how long a store counts as down after the last failed poll that was announced. It exceeds the time
	// between two polls that fail, with one announcement lost.
	storeDownTime = 16 * time.Second
	// storeStateInterval is the time between two announcements of a store that is up, for daemons that missed one.
	storeStateInterval = 3 * time.Second
	// storeSilenceTime is the age of the last news of a store's state beyond which the store counts as cut off. Polls of an idle
	// store are up to 7 s apart, and a message may be lost.
	storeSilenceTime = 20 * time.Second
	// storeStateKey is the key of a holding that tells the state of a store in place of a part. Its tokens are the number of
	// the store's incarnation, or zero if the store is down. Older daemons know no store with the hash and skip it.
	storeStateKey = 0
	// maxIncarnationNumber bounds the numbers of incarnations.
	maxIncarnationNumber = 1 << 30
)

// storeHealth is what is known of a store beside its parts.
type storeHealth struct {
	// failures counts the polls of this daemon that failed in a row.
	failures  int
	downUntil time.Time
	// incarnation is the number of the store's incarnation; zero if it is not known.
	incarnation int
	heardAt     time.Time
	announcedAt time.Time
}

// usable reports whether parts can be fetched from the store and sent to it.
func (s *partStore) usable(now time.Time) bool {
	return s.LinkBitsPerSecond > 0 && !s.health.down(now, s.hash != onlyStoreHash)
}

// down reports whether the store is known to be down or, if its state is told, was silent for so long that it is cut off.
func (h storeHealth) down(now time.Time, told bool) bool {
	silent := told && h.incarnation != 0 && now.Sub(h.heardAt) > storeSilenceTime
	return silent || h.downUntil.After(now)
}

// ObserveStorePoll records the outcome of a poll of the store with the name. It does nothing for other names, and in a
// deployment with one store, whose parts have no other place to go.
func (p *Placer) ObserveStorePoll(name string, events CacheEvents, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stores.named(name)
	if s == nil || len(p.stores) < 2 {
		return
	}
	now := p.settings.Now()
	if err == nil {
		s.health.failures = 0
		p.recordStoreState(s, incarnationNumber(events.Incarnation), now, "poll")
		return
	}
	s.health.failures++
	if s.health.failures >= storeFailures {
		p.recordStoreState(s, 0, now, err.Error())
	}
}

// incarnationNumber returns the number of an incarnation, which is not zero.
func incarnationNumber(incarnation string) int {
	return 1 + int(xxh3.HashString(incarnation)%maxIncarnationNumber)
}

// recordStoreState records the incarnation of a store that this daemon polls, or zero if it is down, and announces it.
func (p *Placer) recordStoreState(s *partStore, incarnation int, now time.Time, reason string) {
	changed := p.applyStoreState(s, incarnation, now, reason)
	if changed || incarnation == 0 || now.Sub(s.health.announcedAt) >= storeStateInterval {
		s.health.announcedAt = now
		p.pendingHoldings = append(p.pendingHoldings, Holding{Target: s.hash, Key: storeStateKey, Tokens: incarnation})
	}
}

// applyStoreState applies the state of a store and reports whether it changed. A store of another incarnation is empty.
func (p *Placer) applyStoreState(s *partStore, incarnation int, now time.Time, reason string) (changed bool) {
	wasUsable := s.usable(now)
	s.health.downUntil, s.health.heardAt = time.Time{}, now
	if incarnation == 0 {
		s.health.downUntil = now.Add(storeDownTime)
	} else {
		emptied := s.health.incarnation != 0 && s.health.incarnation != incarnation
		if emptied {
			p.settings.Logger.Warn("cache store restarted empty", "store", s.Name, "parts", len(s.cached.entries), "told_by", reason)
			s.cached.clear()
			clear(s.pendingSaves)
		}
		changed = emptied || s.health.incarnation == 0
		s.health.incarnation = incarnation
	}
	if usable := s.usable(now); usable != wasUsable {
		p.settings.Logger.Warn("state of cache store changed", "store", s.Name, "usable", usable, "told_by", reason)
		changed = true
	}
	return changed
}

// importStoreState applies a holding that tells the state of a store. It reports false if the holding is one of a part.
func (p *Placer) importStoreState(holding Holding, now time.Time) bool {
	if holding.Key != storeStateKey {
		return false
	}
	if s := p.stores.byHash(holding.Target); s != nil && s.hash != onlyStoreHash {
		p.applyStoreState(s, holding.Tokens, now, "peer")
	}
	return true
}

// StoreCounts are the numbers of configured stores of cached parts, and of those that are known to be down.
type StoreCounts struct {
	Configured int
	Down       int
}

// StoreCounts returns the numbers of stores.
func (p *Placer) StoreCounts() (counts StoreCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	counts.Configured = len(p.stores)
	for _, s := range p.stores {
		if s.health.down(now, s.hash != onlyStoreHash) {
			counts.Down++
		}
	}
	return counts
}
