package router

import (
	"slices"
	"sync/atomic"
)

// Set is an immutable set of target names that many requests share, such as the targets that the
// selectors allow an account to use. A router resolves it again after each change of its targets.
type Set struct {
	names    []string
	resolved atomic.Pointer[resolvedSet]
}

type resolvedSet struct {
	router           *Router
	columnGeneration uint64
	columns          bitset
}

// NewSet returns a set of the named targets. A name without a target in a router is ignored until
// SetTargets adds the target.
func NewSet(names []string) *Set { return &Set{names: slices.Clone(names)} }

// resolve returns the columns of the set. The lock of the router is held.
func (s *Set) resolve(r *Router) bitset {
	if s == nil {
		return nil
	}
	if cached := s.resolved.Load(); cached != nil && cached.router == r && cached.columnGeneration == r.columnGeneration {
		return cached.columns
	}
	columns := make(bitset, r.table.Words())
	for _, name := range s.names {
		if t := r.byName[name]; t != nil {
			columns.set(t.column)
		}
	}
	s.resolved.Store(&resolvedSet{router: r, columnGeneration: r.columnGeneration, columns: columns})
	return columns
}
