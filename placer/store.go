package placer

import (
	"net/netip"
	"time"
)

// Store describes the store of cached parts.
type Store struct {
	Address           netip.AddrPort
	CacheTokens       int
	LinkBitsPerSecond float64
}

// partStore is what is known of the store.
type partStore struct {
	Store
	cached *parts
	// busyUntil is when the transfers that are known of are expected to be over.
	busyUntil time.Time
}

func newPartStore(described Store) *partStore {
	return &partStore{Store: described, cached: newParts()}
}

// SetStore tells where the store of cached parts is; a zero address stands for none.
func (p *Placer) SetStore(described Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if described.Address != p.store.Address {
		p.store = newPartStore(described)
	}
	p.store.Store = described
}

func (s *partStore) usable() bool { return s.Address.IsValid() && s.LinkBitsPerSecond > 0 }

// transfer is how long the store's link takes for the tokens.
func (s *partStore) transfer(engine Engine, tokens int) time.Duration {
	bits := float64(tokens * engine.TokenBytes * bitsPerByte)
	return time.Duration(bits / s.LinkBitsPerSecond * float64(time.Second))
}

// delay is how long a fetch takes with the transfers before it.
func (s *partStore) delay(engine Engine, tokens int, now time.Time) time.Duration {
	return max(s.busyUntil.Sub(now), 0) + s.transfer(engine, tokens)
}

// occupy adds a transfer.
func (s *partStore) occupy(took time.Duration, now time.Time) {
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(took)
}

// storeHash names the store in the messages between daemons.
const storeHash TargetHash = 1

// saved notes that the shared parts of a call go to the store.
func (p *Placer) saved(call Call, keys []partKey) {
	for i, key := range keys {
		p.store.cached.use(key, call.Parts[i].Tokens, p.store.CacheTokens)
		p.tell(storeHash, key, call.Parts[i].Tokens)
	}
}
