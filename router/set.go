package router

import (
	"slices"
	"sync/atomic"
)

// TargetSet is an immutable set of target names that many requests share, such as the targets that the
// selectors allow an account to use. A router translates the names into the columns of its table, which has one column
// for each incarnation of a target, and does so again after each change of its targets.
type TargetSet struct {
	names    []string
	resolved atomic.Pointer[resolvedSet]
}

type resolvedSet struct {
	router           *Router
	columnGeneration uint64
	columns          bitset
}

// NewTargetSet returns a set of the named targets. A name without a target in a router is ignored until
// SetTargets adds the target.
func NewTargetSet(names []string) *TargetSet { return &TargetSet{names: slices.Clone(names)} }

// resolve returns the columns that the router's table has for the named targets. A nil set permits no target. The caller
// must hold the router's lock.
func (s *TargetSet) resolve(r *Router) bitset {
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
