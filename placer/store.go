package placer

import (
	"math"
	"net/netip"
	"time"
)

// CacheStoreName names the cache store of a deployment that has only one. The names of several begin with it.
const CacheStoreName = "store"

// CacheStore describes a store of cached parts.
type CacheStore struct {
	// Name identifies the store in ObserveCache and ObserveStorePoll, and is the same at all daemons.
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// CacheTokens is the capacity in tokens.
	CacheTokens       int
	LinkBitsPerSecond float64
}

// partStore is the state of a store as this daemon knows it.
type partStore struct {
	CacheStore
	hash   TargetHash
	cached *partCache
	health storeHealth
	work   storeWork
	// linkTime is the exponentially decayed time for which fetches that this daemon requested kept the store's link
	// busy. linkTimeAt is the time of the last such fetch, up to which linkTime is decayed.
	linkTime   time.Duration
	linkTimeAt time.Time
	// pendingSaves are parts on their way to the store, with the time after which they count as lost.
	pendingSaves map[partKey]time.Time
}

func newPartStore(described CacheStore) *partStore {
	return &partStore{CacheStore: described, cached: newPartCache(), pendingSaves: make(map[partKey]time.Time)}
}

// transferTime returns the time in which the store's link transfers tokens from or to an engine in the data centre.
func (s *partStore) transferTime(engine Engine, tokens int, dataCentre string) time.Duration {
	engine.LinkBitsPerSecond = s.LinkBitsPerSecond
	return engine.transferTime(tokens, dataCentre != s.DataCentre)
}

const (
	// linkTimeDecay is the time constant with which linkTime decays.
	linkTimeDecay = 2 * time.Second
	// maxLinkUtilization caps the utilization of the link from which queueing delays are computed.
	maxLinkUtilization = 0.95
	// saveTimeout is how long a saved part may take to appear in the store's cache events.
	saveTimeout = 3 * time.Second
)

// recentLinkTime returns linkTime decayed to now.
func (s *partStore) recentLinkTime(now time.Time) time.Duration {
	decay := math.Exp(-float64(now.Sub(s.linkTimeAt)) / float64(linkTimeDecay))
	return time.Duration(decay * float64(s.linkTime))
}

// fetchTime returns the time that a fetch is expected to take. It assumes that all daemons fetch as much as this one,
// and computes the queueing delay as in an M/M/1 queue with the resulting utilization of the link.
func (s *partStore) fetchTime(transfer time.Duration, daemons int, now time.Time) time.Duration {
	utilization := min(float64(daemons)*float64(s.recentLinkTime(now))/float64(linkTimeDecay), maxLinkUtilization)
	return transfer + time.Duration(float64(transfer)*utilization/(1-utilization))
}

// recordFetch adds the transfer time of a fetch that this daemon requested to linkTime.
func (s *partStore) recordFetch(transfer time.Duration, now time.Time) {
	s.linkTime = s.recentLinkTime(now) + transfer
	s.linkTimeAt = now
}

// recordSaves records that parts are sent to the store. They count as held only once the store reports them, since
// engines drop transfers that would wait long for the store's link.
func (s *partStore) recordSaves(keys []partKey, now time.Time) {
	for key, expiry := range s.pendingSaves {
		if expiry.Before(now) {
			delete(s.pendingSaves, key)
		}
	}
	for _, key := range keys {
		s.pendingSaves[key] = now.Add(saveTimeout)
	}
}

// savePending reports whether the parts were sent to the store so recently that it may still report them.
func (s *partStore) savePending(keys []partKey, now time.Time) bool {
	return now.Before(s.pendingSaves[keys[len(keys)-1]])
}
