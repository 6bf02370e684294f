package registrar

import "slices"

// NameKey is the key of a requirement on the object's name.
const NameKey = "name"

// Matches reports whether an object with the name and the labels meets the requirement.
func (r Requirement) Matches(name string, labels Labels) bool {
	value, present := labels[r.Key]
	if r.Key == NameKey {
		value, present = name, true
	}
	switch r.Operator {
	case OperatorExists:
		return present
	case OperatorEquals:
		return present && len(r.Values) == 1 && value == r.Values[0]
	case OperatorIn:
		return present && slices.Contains(r.Values, value)
	case OperatorNotIn:
		return !present || !slices.Contains(r.Values, value)
	}
	return false
}
