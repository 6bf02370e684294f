package placer

import "slices"

const (
	// maxSnapshotParts bounds the parts of one target in a snapshot.
	maxSnapshotParts = 16
	// maxInspectedParts bounds the parts of one target that are inspected for a snapshot, since most of them may belong to one
	// call alone.
	maxInspectedParts = 64
	// storeShare bounds the share of the stores in a snapshot, since a fetch from another target takes less time.
	storeShare = 0.75
)

// Snapshot returns the shared parts that stores and targets are known to hold, at most count, for a daemon that starts: first
// those of the stores, then the most recently used ones of each target. The least recently used part of each holder
// comes first, so that the receiver's model has the same order. Parts below minAnnouncedTokens are left out.
func (p *Placer) Snapshot(count int) (holdings []Holding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.stores {
		most := int(storeShare * float64(count) / float64(len(p.stores)))
		holdings = append(holdings, s.cached.recent(s.hash, most, most, true)...)
	}
	for _, t := range p.targets { // The order of a map is random, so the answers of several daemons differ where not all fit.
		if len(holdings) >= count {
			break
		}
		holdings = append(holdings, t.cached.recent(t.hash, maxSnapshotParts, maxInspectedParts, false)...)
	}
	return holdings[:min(len(holdings), count)]
}

// recent returns at most count of the most recently used shared parts among as many as may be inspected, least recent first.
// all is set if all parts of the cache are shared.
func (c *partCache) recent(holder TargetHash, count, inspected int, all bool) (holdings []Holding) {
	for element := c.order.Back(); element != nil && len(holdings) < count && inspected > 0; element = element.Prev() {
		inspected--
		if part := element.Value.(cachedPart); (all || part.shared) && part.tokens >= minAnnouncedTokens {
			holdings = append(holdings, Holding{Target: holder, Key: uint64(part.key), Tokens: part.tokens})
		}
	}
	slices.Reverse(holdings)
	return holdings
}
