package placer

import "time"

// CacheChange is a change of a cached part. Tokens is the number of its tokens that are cached after the change.
type CacheChange struct {
	Key    uint64
	Tokens int
}

// CacheEvents contains the events of the cache of a target, or of a cache store, after a position in its event log.
type CacheEvents struct {
	// Incarnation identifies the incarnation of the target or cache store that reported the events.
	Incarnation string
	// Next is the position after the events.
	Next    uint64
	Changes []CacheChange
	// EventCount counts all events, including those without a change in Changes.
	EventCount int
}

// IncarnationID returns the identifier of the incarnation.
func (c CacheEvents) IncarnationID() string { return c.Incarnation }

// NextPosition returns the position after the events.
func (c CacheEvents) NextPosition() uint64 { return c.Next }

// Count returns the number of events.
func (c CacheEvents) Count() int { return c.EventCount }

// ObserveCache records cache events of the target with the id or of the cache store with the name. It announces to the
// peers those that change how many tokens of a part can be fetched.
func (p *Placer) ObserveCache(name string, events CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var holderHash TargetHash
	if t := p.targets[name]; t != nil {
		holderHash = t.hash
	} else if s := p.stores.named(name); s != nil {
		holderHash = s.hash
	} else {
		return
	}
	now := p.settings.Now()
	for _, change := range events.Changes {
		p.noteEviction(Holding{Target: holderHash, Tokens: change.Tokens}, now)
	}
	cached, capacity := p.cacheOf(holderHash)
	for _, change := range events.Changes {
		key := partKey(change.Key)
		before, tokens := cached.heldTokens(key), change.Tokens
		if beingEvicted := tokens < before && tokens < minAnnouncedTokens; beingEvicted || tokens < minSharedTokens {
			tokens = 0 // The rest of the part will be gone soon, or is too small to fetch.
		}
		if before < minSharedTokens && tokens == 0 {
			continue
		}
		cached.put(key, tokens, capacity)
		p.noteHeld(key, tokens)
		cached.setAvailableAt(key, time.Time{})
		// A part that no daemon has announced before belongs to one call.
		if before != tokens && (before > 0 || p.announcesUnshared()) {
			p.announce(holderHash, key, tokens)
		}
	}
}

// noteEviction records that the eviction of a part was told.
func (p *Placer) noteEviction(told Holding, now time.Time) {
	if t := p.byHash[told.Target]; t != nil && told.Tokens == 0 {
		t.evictionToldAt = now
	}
}
