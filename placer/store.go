package placer

import (
	"math"
	"net/netip"
	"time"
)

// Store describes the store of cached parts.
type Store struct {
	Address           netip.AddrPort
	DataCentre        string
	CacheTokens       int
	LinkBitsPerSecond float64
}

// partStore is what is known of the store.
type partStore struct {
	Store
	cached *parts
	// fetching is how busy the fetches of this daemon keep the link lately, and counted the time of the
	// last one.
	fetching time.Duration
	counted  time.Time
	// saving are parts on their way to the store, with the time after which they count as lost.
	saving map[partKey]time.Time
}

func newPartStore(described Store) *partStore {
	return &partStore{Store: described, cached: newParts(), saving: make(map[partKey]time.Time)}
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

// transfer is how long the store's link takes for the tokens of an engine in the data centre.
func (s *partStore) transfer(engine Engine, tokens int, dataCentre string) time.Duration {
	engine.LinkBitsPerSecond = s.LinkBitsPerSecond
	return engine.transfer(tokens, dataCentre != s.DataCentre)
}

const (
	// fetchWindow is the time over which fetches are counted.
	fetchWindow = 2 * time.Second
	// fullestLink is the share of the link's time beyond which no longer waits are worked out.
	fullestLink = 0.95
	// savingTime is how long the store's word on a saved part is waited for.
	savingTime = 3 * time.Second
)

// busy is how long the fetches of the last fetchWindow kept the link.
func (s *partStore) busy(now time.Time) time.Duration {
	aged := math.Exp(-float64(now.Sub(s.counted)) / float64(fetchWindow))
	return time.Duration(aged * float64(s.fetching))
}

// delay is how long a fetch takes. All daemons are taken to fetch as much as this one, and a fetch waits
// for others as in a queue whose server is so busy.
func (s *partStore) delay(transfer time.Duration, daemons int, now time.Time) time.Duration {
	used := min(float64(daemons)*float64(s.busy(now))/float64(fetchWindow), fullestLink)
	return transfer + time.Duration(float64(transfer)*used/(1-used))
}

// fetched counts a fetch of this daemon.
func (s *partStore) fetched(transfer time.Duration, now time.Time) {
	s.fetching = s.busy(now) + transfer
	s.counted = now
}

// save notes that parts are sent to the store. They count as held once the store says so: engines drop
// transfers that would wait long for its link.
func (s *partStore) save(keys []partKey, now time.Time) {
	for key, until := range s.saving {
		if until.Before(now) {
			delete(s.saving, key)
		}
	}
	for _, key := range keys {
		s.saving[key] = now.Add(savingTime)
	}
}

// onTheirWay says whether the parts were sent to the store and its word may still come.
func (s *partStore) onTheirWay(keys []partKey, now time.Time) bool {
	return now.Before(s.saving[keys[len(keys)-1]])
}

// storeHash names the store in the messages between daemons.
const storeHash TargetHash = 1
