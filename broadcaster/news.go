package broadcaster

import (
	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// maxQueuedHoldings, maxQueuedStrikes, maxQueuedCompletions, maxQueuedLimits and maxQueuedDepartures bound what an
	// aggregator keeps until its next message.
	maxQueuedHoldings    = 2048
	maxQueuedStrikes     = 512
	maxQueuedCompletions = 512
	maxQueuedLimits      = 512
	// maxQueuedFactors is small, since factors that wait lose their worth, and large fleets have many.
	maxQueuedFactors    = 8
	maxQueuedDepartures = 512
)

// joined is a bounded list of changes, with one change for each key.
type joined[K comparable, V any] struct {
	limit   int
	changes []V
	index   map[K]int
}

func newJoined[K comparable, V any](limit int) joined[K, V] {
	return joined[K, V]{limit: limit, index: make(map[K]int)}
}

// add adds a change, or joins it with the known one for the key. A change for a further key is dropped once the list is
// full.
func (j *joined[K, V]) add(key K, change V, join func(known, further V) V) {
	if at, exists := j.index[key]; exists {
		j.changes[at] = join(j.changes[at], change)
		return
	}
	if len(j.changes) >= j.limit {
		return
	}
	j.index[key] = len(j.changes)
	j.changes = append(j.changes, change)
}

// holdingKey identifies what a target holds, and strikeKey a strike.
type (
	holdingKey struct {
		target placer.TargetHash
		part   uint64
	}
	strikeKey struct {
		cause       attributor.Cause
		incarnation uint64
	}
)

// news are changes that are passed on once. What several daemons tell of the same thing is passed on as one change.
type news struct {
	holdings    joined[holdingKey, placer.Holding]
	strikes     joined[strikeKey, attributor.Strike]
	completions joined[attributor.Cause, attributor.Completion]
	limits      joined[placer.TargetHash, placer.RateLimit]
	departures  joined[placer.TargetHash, placer.TargetHash]
	factors     joined[placer.TargetHash, placer.WorkFactor]
}

func newNews() *news {
	return &news{
		holdings:    newJoined[holdingKey, placer.Holding](maxQueuedHoldings),
		strikes:     newJoined[strikeKey, attributor.Strike](maxQueuedStrikes),
		completions: newJoined[attributor.Cause, attributor.Completion](maxQueuedCompletions),
		limits:      newJoined[placer.TargetHash, placer.RateLimit](maxQueuedLimits),
		factors:     newJoined[placer.TargetHash, placer.WorkFactor](maxQueuedFactors),
		departures:  newJoined[placer.TargetHash, placer.TargetHash](maxQueuedDepartures),
	}
}

// add adds the changes of an update.
func (n *news) add(update placer.PeerUpdate) {
	for _, h := range update.Holdings {
		n.holdings.add(holdingKey{h.Target, h.Key}, h, last)
	}
	for _, s := range update.Strikes {
		n.strikes.add(strikeKey{s.Cause, s.Incarnation}, s, joinStrikes)
	}
	for _, c := range update.Completions {
		n.completions.add(c.Cause, c, latestCompletion)
	}
	for _, l := range update.RateLimits {
		n.limits.add(l.Target, l, latestLimit)
	}
	for _, f := range update.WorkFactors {
		n.factors.add(f.Target, f, latestFactor)
	}
	for _, incarnation := range update.Departures {
		n.departures.add(incarnation, incarnation, last)
	}
}

// fill sets the changes of an update.
func (n *news) fill(update *placer.PeerUpdate) {
	update.Holdings, update.Strikes = n.holdings.changes, n.strikes.changes
	update.Completions, update.RateLimits = n.completions.changes, n.limits.changes
	update.Departures, update.WorkFactors = n.departures.changes, n.factors.changes
}

func last[V any](_, further V) V { return further }

// joinStrikes keeps the age of the first report, and that the incarnation has ended if any report says so.
func joinStrikes(known, further attributor.Strike) attributor.Strike {
	known.Age = max(known.Age, further.Age)
	known.Ended = known.Ended || further.Ended
	return known
}

func latestCompletion(known, further attributor.Completion) attributor.Completion {
	if further.Age < known.Age {
		return further
	}
	return known
}

func latestFactor(known, further placer.WorkFactor) placer.WorkFactor {
	if further.Age <= known.Age {
		return further
	}
	return known
}

func latestLimit(known, further placer.RateLimit) placer.RateLimit {
	if further.Age <= known.Age {
		return further
	}
	return known
}
