package placer

import (
	"slices"
	"time"
)

// storeWork is what is to be transferred from and to a store now. Tokens that go to another data centre count
// remoteTransferFactor times.
type storeWork struct {
	transfers []transfer
	// peers is the number of tokens that the calls of the other daemons are to transfer.
	peers int
}

// transfer is a fetch from a store, or a save, for a call of this daemon. Its time is an estimate, since engines don't tell it.
type transfer struct {
	tokens         int
	beginsAt, ends time.Time
}

// begin counts a transfer from or to a target that begins at a time.
func (s *partStore) begin(engine Engine, t *target, tokens int, beginsAt, now time.Time) {
	s.work.transfers = slices.DeleteFunc(s.work.transfers, func(f transfer) bool { return !f.ends.After(now) })
	took := s.transferTime(engine, tokens, t.DataCentre) + s.queueTime(engine, now)
	if t.DataCentre != s.DataCentre {
		tokens *= remoteTransferFactor
	}
	s.work.transfers = append(s.work.transfers, transfer{tokens: tokens, beginsAt: beginsAt, ends: beginsAt.Add(took)})
}

// local returns the number of tokens of this daemon's transfers that have begun and not ended.
func (w *storeWork) local(now time.Time) (tokens int) {
	for _, f := range w.transfers {
		if !f.beginsAt.After(now) && f.ends.After(now) {
			tokens += f.tokens
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

// queueTime returns the time in which the store's link transfers what all daemons are to transfer.
func (s *partStore) queueTime(engine Engine, now time.Time) time.Duration {
	return s.transferTime(engine, s.work.local(now)+max(s.work.peers, 0), s.DataCentre)
}
