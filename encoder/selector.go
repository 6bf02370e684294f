package encoder

import (
	"slices"
	"strings"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const expectedOperator = "exactly one of equals, in, not_in and exists"

func selectorToWire(path string, s registrar.Selector) (wire wireSelector, err error) {
	match, err := mapWithPaths(path+".match", s.Match, requirementToWire)
	if err != nil {
		return wireSelector{}, err
	}
	wire = wireSelector{
		Name:     s.Name,
		Labels:   s.Labels,
		Priority: s.Priority,
		Effect:   string(s.Effect),
		Match:    match,
		Limits:   limitsToWire(s.Limits),
	}
	return wire, nil
}

func selectorFromWire(path string, s wireSelector) (selector registrar.Selector, err error) {
	match, err := mapWithPaths(path+".match", s.Match, requirementFromWire)
	if err != nil {
		return registrar.Selector{}, err
	}
	selector = registrar.Selector{
		Name:     s.Name,
		Labels:   labelsFromWire(s.Labels),
		Priority: s.Priority,
		Effect:   registrar.Effect(s.Effect),
		Match:    match,
		Limits:   limitsFromWire(s.Limits),
	}
	return selector, nil
}

func requirementToWire(path string, r registrar.Requirement) (wire wireRequirement, err error) {
	wire = wireRequirement{On: string(r.Kind), Key: r.Key}
	switch r.Operator {
	case registrar.OperatorEquals:
		if len(r.Values) != 1 {
			return wireRequirement{}, &MalformedValueError{Path: path, Value: strings.Join(r.Values, ", "), Expected: "one value"}
		}
		wire.Equals = &r.Values[0]
	case registrar.OperatorIn:
		wire.In = sortedValues(r.Values)
	case registrar.OperatorNotIn:
		wire.NotIn = sortedValues(r.Values)
	case registrar.OperatorExists:
		wire.Exists = true
	default:
		return wireRequirement{}, &MalformedValueError{Path: path, Value: string(r.Operator), Expected: expectedOperator}
	}
	return wire, nil
}

// sortedValues returns a sorted copy, which is not nil even if it is empty: omitzero omits a nil
// list, and the requirement would then have no operator.
func sortedValues(values []string) []string {
	sorted := append(make([]string, 0, len(values)), values...)
	slices.Sort(sorted)
	return sorted
}

func requirementFromWire(path string, wire wireRequirement) (r registrar.Requirement, err error) {
	r = registrar.Requirement{Kind: registrar.Kind(wire.On), Key: wire.Key}
	operatorCount := 0
	if wire.Equals != nil {
		operatorCount++
		r.Operator = registrar.OperatorEquals
		r.Values = []string{*wire.Equals}
	}
	if wire.In != nil {
		operatorCount++
		r.Operator = registrar.OperatorIn
		r.Values = slices.Clone(wire.In)
	}
	if wire.NotIn != nil {
		operatorCount++
		r.Operator = registrar.OperatorNotIn
		r.Values = slices.Clone(wire.NotIn)
	}
	if wire.Exists {
		operatorCount++
		r.Operator = registrar.OperatorExists
	}
	if operatorCount != 1 {
		return registrar.Requirement{}, &MalformedValueError{Path: path, Value: wire.Key, Expected: expectedOperator}
	}
	return r, nil
}
