package gossiper

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRandom is a source of random numbers that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

// intN returns a random number in [0, n).
func (r *lockedRandom) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// duration returns a random duration in [0, limit).
func (r *lockedRandom) duration(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.source.Int64N(int64(limit)))
}

func (r *lockedRandom) shuffle(members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}
