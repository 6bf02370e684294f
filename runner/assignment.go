package runner

import "sync"

// assignmentCache caches which targets this daemon polls, since this is looked up for each target
// many times a second. It is invalidated when the members change, and also at each tick of the
// host list poll, in case a change was not reported.
type assignmentCache struct {
	compute func(target string) bool

	mu     sync.Mutex
	cached map[string]bool
}

func newAssignmentCache(compute func(target string) bool) *assignmentCache {
	return &assignmentCache{compute: compute, cached: make(map[string]bool)}
}

// includes reports whether this daemon polls the target.
func (a *assignmentCache) includes(target string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	assigned, ok := a.cached[target]
	if !ok {
		assigned = a.compute(target)
		a.cached[target] = assigned
	}
	return assigned
}

// invalidate empties the cache, so that the next lookup of each target computes its assignment
// again.
func (a *assignmentCache) invalidate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.cached)
}
