package placer

import (
	"slices"
	"time"
)

// storeWork is what is to be fetched from a store. Tokens that go to another data centre count remoteTransferFactor times.
type storeWork struct {
	fetches []*pendingFetch
	// peers is the number of tokens that the other daemons are to fetch.
	peers int
}

// pendingFetch is a fetch for a call of this daemon.
type pendingFetch struct {
	tokens int
	// endsAt is when the fetch is expected to end. The first event may come much later, since the engine has other prompts to
	// read before.
	endsAt time.Time
	// ended is set once the call has its first event, or has ended.
	ended bool
}

// beginFetch counts the fetch of a call. The result is nil if it fetches from no store.
func (c candidate) beginFetch(now time.Time) *pendingFetch {
	if c.fetchStore == nil {
		return nil
	}
	fetch := &pendingFetch{tokens: c.fetchedTokens, endsAt: now.Add(c.fetchTime)}
	if c.target.DataCentre != c.fetchStore.DataCentre {
		fetch.tokens *= remoteTransferFactor
	}
	w := &c.fetchStore.work
	w.fetches = slices.DeleteFunc(w.fetches, func(f *pendingFetch) bool { return !f.pending(now) })
	w.fetches = append(w.fetches, fetch)
	return fetch
}

func (f *pendingFetch) pending(now time.Time) bool { return !f.ended && f.endsAt.After(now) }

// end stops counting the fetch.
func (f *pendingFetch) end() {
	if f != nil {
		f.ended = true
	}
}

// local returns the number of tokens that this daemon's calls are to fetch.
func (w *storeWork) local(now time.Time) (tokens int) {
	for _, fetch := range w.fetches {
		if fetch.pending(now) {
			tokens += fetch.tokens
		}
	}
	return tokens
}

// exportWork returns the work of this daemon at the stores. Daemons with one store don't tell it.
func (s storeSet) exportWork(now time.Time) (loads []Load) {
	if len(s) < 2 {
		return nil
	}
	for _, store := range s {
		if tokens := store.work.local(now); tokens > 0 {
			loads = append(loads, Load{Target: store.hash, KVCacheTokens: tokens})
		}
	}
	return loads
}

// recountStoreWork sets the work of the peers at the stores.
func (p *Placer) recountStoreWork() {
	for _, store := range p.stores {
		store.work.peers = 0
	}
	for _, known := range p.peers {
		for _, load := range known.loads {
			if store := p.stores.byHash(load.Target); store != nil {
				store.work.peers += load.KVCacheTokens
			}
		}
	}
}

// queueTime returns the time in which the store's link transfers what all daemons are to fetch.
func (s *partStore) queueTime(engine Engine, now time.Time) time.Duration {
	return s.transferTime(engine, s.work.local(now)+max(s.work.peers, 0), s.DataCentre)
}
