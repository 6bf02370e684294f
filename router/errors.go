package router

import "fmt"

// NoTargetError says that no target may take a call now. The call has not run.
type NoTargetError struct {
	// Known, Allowed and Usable count the targets of the pool, those that the selectors
	// permit, and of these the ones that may get new work. Loaded counts the usable ones that
	// have one of the wanted weights, and Excluded those among them that were tried before.
	Known, Allowed, Usable, Loaded, Excluded int
}

// Error describes the counts.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target: %d known, %d allowed, %d usable, %d with the weights, %d tried before",
		e.Known, e.Allowed, e.Usable, e.Loaded, e.Excluded)
}

// TooManyTargetsError says that targets were left out of the pool.
type TooManyTargetsError struct {
	Limit, Left int
}

// Error describes the bound.
func (e *TooManyTargetsError) Error() string {
	return fmt.Sprintf("%d targets left out, the bound is %d", e.Left, e.Limit)
}

// newNoTargetError counts why a request has no candidate. The lock is held.
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
