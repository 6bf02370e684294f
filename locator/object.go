package locator

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// Presence is whether a field is optional or required.
type Presence bool

// The values of Presence.
const (
	Optional Presence = false
	Required Presence = true
)

// Object is a value with named fields. Reading a field that is omitted returns the zero value.
type Object struct {
	node    Node
	members []hujson.ObjectMember
	// index maps a name to the index of its first member.
	index map[string]int
	// requested contains the names of the fields that the caller has read, present or not.
	requested []string
}

// Object returns the value as an object. A value of another type is a fault, and the returned
// object is empty. A duplicate name is a fault.
func (n Node) Object() *Object {
	o := &Object{node: n, index: map[string]int{}}
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Fail("an object")
		return o
	}
	o.members = object.Members
	for i := range object.Members {
		name := memberName(object.Members[i])
		if _, duplicate := o.index[name]; duplicate {
			o.failAtName(i, "the name "+strconv.Quote(name)+" again", "each name once")
			continue
		}
		o.index[name] = i
	}
	return o
}

// Names returns the distinct names of all fields in the order of the document.
func (o *Object) Names() []string {
	var names []string
	for i := range o.members {
		name := memberName(o.members[i])
		if o.index[name] == i {
			names = append(names, name)
		}
	}
	return names
}

// Fail reports a fault of the object as a whole.
func (o *Object) Fail(found, expected string) {
	o.node.document.fail(o.node.value.StartOffset, o.node.path, found, expected)
}

// Node returns the value of the field; ok is false if it is omitted.
func (o *Object) Node(field string) (node Node, ok bool) {
	o.requested = append(o.requested, field)
	i, ok := o.index[field]
	if !ok {
		return Node{}, false
	}
	return o.member(i), true
}

// ReportUnknown reports each field that the caller has not read as unknown, and suggests the
// most similar name among those that it has. Callers read all valid fields first.
func (o *Object) ReportUnknown() {
	for i := range o.members {
		name := memberName(o.members[i])
		if o.index[name] != i || contains(o.requested, name) {
			continue
		}
		fault := o.failAtName(i, "the unknown field "+strconv.Quote(name), "one of "+listNames(o.requested))
		fault.Suggestion = Nearest(name, o.requested)
	}
}

// Text returns a string, or an empty string if it is omitted. A required string that is omitted
// or empty is a fault.
func (o *Object) Text(field string, presence Presence) string {
	node, ok := o.Node(field)
	if !ok {
		if presence == Required {
			o.Fail("no field "+strconv.Quote(field), "it to be given")
		}
		return ""
	}
	text, ok := node.Text()
	if ok && text == "" && presence == Required {
		node.Fail("a string that is not empty")
	}
	return text
}

// Choice returns a string that is one of the choices, or an empty string if it is omitted or
// not one of them. The latter is a fault.
func (o *Object) Choice(field string, presence Presence, choices ...string) string {
	text := o.Text(field, presence)
	if text == "" || contains(choices, text) {
		return text
	}
	fault := o.failAtValue(field, "one of "+listNames(choices))
	fault.Suggestion = Nearest(text, choices)
	return ""
}

// Bool returns a boolean.
func (o *Object) Bool(field string) bool {
	node, ok := o.Node(field)
	if !ok {
		return false
	}
	value, _ := node.Bool()
	return value
}

// Int returns a whole number from lowest to highest, or zero if it is omitted.
func (o *Object) Int(field string, lowest, highest int) int {
	node, ok := o.Node(field)
	if !ok {
		return 0
	}
	value, _ := node.Int(lowest, highest)
	return value
}

// Float returns a number from lowest to highest, or zero if it is omitted.
func (o *Object) Float(field string, lowest, highest float64) float64 {
	node, ok := o.Node(field)
	if !ok {
		return 0
	}
	value, _ := node.Float(lowest, highest)
	return value
}

// Duration returns a duration from shortest to longest, or zero if it is omitted.
func (o *Object) Duration(field string, shortest, longest time.Duration) time.Duration {
	node, ok := o.Node(field)
	if !ok {
		return 0
	}
	value, _ := node.Duration(shortest, longest)
	return value
}

// AddrPort returns an address, or an invalid one if it is omitted.
func (o *Object) AddrPort(field string) netip.AddrPort {
	node, ok := o.Node(field)
	if !ok {
		return netip.AddrPort{}
	}
	address, _ := node.AddrPort()
	return address
}

// List returns the elements of a list.
func (o *Object) List(field string) []Node {
	node, ok := o.Node(field)
	if !ok {
		return nil
	}
	elements, _ := node.List()
	return elements
}

// Texts returns a list of strings.
func (o *Object) Texts(field string) []string {
	var texts []string
	for _, element := range o.List(field) {
		if text, ok := element.Text(); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// AddrPorts returns a list of addresses.
func (o *Object) AddrPorts(field string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, element := range o.List(field) {
		if address, ok := element.AddrPort(); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Object returns an object, which is empty if it is omitted.
func (o *Object) Object(field string) *Object {
	node, ok := o.Node(field)
	if !ok {
		return &Object{node: o.node}
	}
	return node.Object()
}

// TextMap returns an object whose values are strings, or nil if it is omitted or empty.
func (o *Object) TextMap(field string) map[string]string {
	object := o.Object(field)
	if len(object.index) == 0 {
		return nil
	}
	texts := make(map[string]string, len(object.index))
	for name, i := range object.index {
		if text, ok := object.member(i).Text(); ok {
			texts[name] = text
		}
	}
	return texts
}

func (o *Object) member(i int) Node {
	path := memberName(o.members[i])
	if o.node.path != "" {
		path = o.node.path + "." + path
	}
	return Node{document: o.node.document, path: path, value: o.members[i].Value}
}

func (o *Object) failAtName(i int, found, expected string) *FaultError {
	document := o.node.document
	document.fail(o.members[i].Name.StartOffset, o.node.path, found, expected)
	return document.faults[len(document.faults)-1]
}

func (o *Object) failAtValue(field, expected string) *FaultError {
	document := o.node.document
	o.member(o.index[field]).Fail(expected)
	return document.faults[len(document.faults)-1]
}

func memberName(member hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}
