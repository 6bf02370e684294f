package commander

import (
	"cmp"
	"maps"
	"slices"
)

// Step is an order for one target, with the desired state that the order serves and the incarnation
// of the engine in the report from which the order was planned.
type Step struct {
	Desired     Desired
	Order       Order
	Incarnation string
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Desired map[string]Desired
	Reports []Report
	// Loads are the pending loads, by target.
	Loads map[string]Load
	// MaxLoads bounds the concurrent loads.
	MaxLoads int
}

// Plan returns the orders that may be sent now. Pending loads are ordered again: orders are
// idempotent, and the response reports the progress of the load. New loads are ordered only up to
// MaxLoads, and may replace loaded weights only if mayReplace allows it. If a model has several
// targets, this protects the last usable one with weights that are still desired, and the last
// usable one with any weights.
func Plan(in PlanInput) (steps []Step) {
	reports := slices.SortedFunc(slices.Values(in.Reports), func(a, b Report) int {
		return cmp.Compare(a.Target, b.Target)
	})
	loading := make(map[string]bool, len(in.Loads))
	for target := range maps.Keys(in.Loads) {
		loading[target] = true
	}
	loads := len(loading)
	for _, report := range reports {
		desired, ok := in.Desired[report.Target]
		if !ok {
			continue
		}
		order, needed := nextOrder(desired, report)
		switch {
		case !needed:
			continue
		case !order.isLoad() || loading[report.Target]:
		case loads >= in.MaxLoads || !in.mayReplace(desired, report, order, loading):
			continue
		default:
			loading[report.Target] = true
			loads++
		}
		steps = append(steps, Step{Desired: desired, Order: order, Incarnation: report.Incarnation})
	}
	return steps
}

// nextOrder returns the next order that a target needs to reach the desired state, if any.
func nextOrder(desired Desired, report Report) (order Order, needed bool) {
	version := desired.Version
	switch {
	case !slices.Contains(report.Weights, version.Weights):
		return Order{Kind: OrderLoadVersion, Weights: version.Weights}, true
	case version.Adapter != "" && !slices.Contains(report.Adapters, version.Adapter):
		return Order{Kind: OrderLoadAdapter, Weights: version.Weights, Adapter: version.Adapter}, true
	case desired.Role != "" && desired.Role != report.Role:
		return Order{Kind: OrderSetRole, Role: desired.Role}, true
	}
	return Order{}, false
}

// mayReplace reports whether the order may replace the weights that the target has loaded. If they are
// the desired weights of some target, another usable target must have loaded them. Otherwise another
// usable target of the model must have loaded any weights. Orders that load no version, and those for
// an unusable target or for the only target of its model, are always allowed.
func (in *PlanInput) mayReplace(desired Desired, report Report, order Order, loading map[string]bool) bool {
	if order.Kind != OrderLoadVersion || !report.Usable || in.countTargets(desired.Target.Model) == 1 {
		return true
	}
	for _, weights := range report.Weights {
		if !in.hasSubstitute(desired, weights, loading) {
			return false
		}
	}
	return true
}

// hasSubstitute reports whether another usable target of the model, at which no load is pending, has
// loaded the weights or, if they are no longer desired anywhere, any weights.
func (in *PlanInput) hasSubstitute(desired Desired, weights string, loading map[string]bool) bool {
	stillDesired := in.isDesired(weights)
	for _, other := range in.Reports {
		otherDesired, known := in.Desired[other.Target]
		if other.Target == desired.Target.Name || !other.Usable || loading[other.Target] || !known {
			continue
		}
		if otherDesired.Target.Model != desired.Target.Model {
			continue
		}
		if slices.Contains(other.Weights, weights) || !stillDesired && len(other.Weights) > 0 {
			return true
		}
	}
	return false
}

// isDesired reports whether the weights are part of the desired state of some target.
func (in *PlanInput) isDesired(weights string) bool {
	for _, desired := range in.Desired {
		if desired.Version.Weights == weights {
			return true
		}
	}
	return false
}

// countTargets returns the number of targets of a model that have a desired state.
func (in *PlanInput) countTargets(model string) int {
	count := 0
	for _, desired := range in.Desired {
		if desired.Target.Model == model {
			count++
		}
	}
	return count
}
