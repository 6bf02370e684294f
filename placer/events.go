package placer

import "time"

// CacheChange says how many tokens of a part are held now.
type CacheChange struct {
	Key    uint64
	Tokens int
}

// CacheEvents are the changes of the cache of a target or of the store behind a place.
type CacheEvents struct {
	Incarnation string
	Next        uint64
	Changes     []CacheChange
	// Events counts all events, also those that no change is made of.
	Events int
}

// Life names the incarnation.
func (c CacheEvents) Life() string { return c.Incarnation }

// Following is the place behind the events.
func (c CacheEvents) Following() uint64 { return c.Next }

// Count is the number of events.
func (c CacheEvents) Count() int { return c.Events }

// StoreName stands for the store where targets are named.
const StoreName = "store"

// ObserveCache takes over cache events and tells the peers of those that matter.
func (p *Placer) ObserveCache(name string, events CacheEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := storeHash
	if t := p.targets[name]; t != nil {
		holder = t.hash
	} else if name != StoreName {
		return
	}
	cached, bound := p.cacheOf(holder)
	for _, change := range events.Changes {
		key := partKey(change.Key)
		known, there := cached.held(key), change.Tokens
		if there < toldTokens {
			there = 0 // What is left of a part is too little to be fetched.
		}
		if known < toldTokens && there == 0 {
			continue
		}
		cached.use(key, there, bound)
		cached.expect(key, time.Time{})
		if known != there {
			p.tell(holder, key, there)
		}
	}
}
