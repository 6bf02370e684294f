package parser

import (
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// The priorities of selectors range from -maxPriority to maxPriority.
const maxPriority = 1_000_000

func readSelector(object *locator.Object) registrar.Selector {
	effect := object.Choice("effect", locator.Required,
		string(registrar.EffectAllow), string(registrar.EffectDeny))
	return registrar.Selector{
		Name:     object.Text("name", locator.Required),
		Labels:   readLabels(object),
		Priority: object.Int("priority", -maxPriority, maxPriority),
		Effect:   registrar.Effect(effect),
		Match:    readAll(object, "match", readRequirement),
		Limits:   readLimits(object),
	}
}

func readRequirement(object *locator.Object) registrar.Requirement {
	on := object.Choice("on", locator.Required,
		string(registrar.KindAccount), string(registrar.KindModel), string(registrar.KindVersion),
		string(registrar.KindTarget), string(registrar.KindService))
	requirement := registrar.Requirement{
		Kind: registrar.Kind(on),
		Key:  object.Text("key", locator.Required),
	}
	found := 0
	for _, operator := range []registrar.Operator{
		registrar.OperatorEquals, registrar.OperatorIn, registrar.OperatorNotIn, registrar.OperatorExists,
	} {
		node, given := object.Node(string(operator))
		if !given {
			continue
		}
		found++
		requirement.Operator = operator
		requirement.Values = readValues(node, operator)
	}
	if found != 1 {
		object.Fail(fmt.Sprintf("%d of them", found), "exactly one of equals, in, not_in and exists")
	}
	return requirement
}

// readValues reads the values that a requirement compares the label with.
func readValues(node locator.Node, operator registrar.Operator) []string {
	switch operator {
	case registrar.OperatorEquals:
		text, _ := node.Text()
		return []string{text}
	case registrar.OperatorExists:
		value, ok := node.Bool()
		if ok && !value {
			node.Fail("true, or a not_in with the values to leave out")
		}
		return nil
	}
	values := []string{}
	elements, ok := node.List()
	if ok && len(elements) == 0 {
		node.Fail("a list of at least one string")
	}
	for _, element := range elements {
		if text, ok := element.Text(); ok {
			values = append(values, text)
		}
	}
	return values
}
