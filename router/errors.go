package router

import "fmt"

// NoTargetError reports that no target may take a call now. The call has not run.
type NoTargetError struct {
	// Known counts the targets of the pool. Each further field counts a subset of the one
	// before: Allowed those that the selectors permit, Usable those that may get new work,
	// Loaded those with one of the requested weights, and Excluded those already tried.
	Known, Allowed, Usable, Loaded, Excluded int
}

// Error lists the counts.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no eligible target: %d known, %d allowed, %d usable, %d with the weights loaded, %d already tried",
		e.Known, e.Allowed, e.Usable, e.Loaded, e.Excluded)
}

// TooManyTargetsError reports that targets beyond the pool's maximum were left out.
type TooManyTargetsError struct {
	Limit, LeftOut int
}

// Error names the number of targets left out and the maximum.
func (e *TooManyTargetsError) Error() string {
	return fmt.Sprintf("%d targets left out, the maximum of the pool is %d", e.LeftOut, e.Limit)
}

// newNoTargetError counts the targets that meet each condition, for a request without candidates.
// The lock is held.
func (r *Router) newNoTargetError(request Request) *NoTargetError {
	result := &NoTargetError{Known: len(r.byName)}
	allowed := request.Allowed.resolve(r)
	for _, t := range r.byName {
		if allowed == nil || !allowed.has(t.column) {
			continue
		}
		result.Allowed++
		if !t.Usable {
			continue
		}
		result.Usable++
		if !r.hasWeights(t, request.Chains) {
			continue
		}
		result.Loaded++
		if isExcluded(request, t.Name) {
			result.Excluded++
		}
	}
	return result
}

func (r *Router) hasWeights(t *target, chains []Chain) bool {
	for _, chain := range chains {
		if columns := r.weights[chain.Weights]; columns != nil && columns.has(t.column) {
			return true
		}
	}
	return false
}

func isExcluded(request Request, name string) bool {
	for _, tried := range request.Exclude {
		if tried == name {
			return true
		}
	}
	return false
}
