package locator

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// maxShownCharacters is the length to which values are truncated in faults.
const maxShownCharacters = 60

// Node is one value of a document.
type Node struct {
	document *Document
	path     string
	value    hujson.Value
}

// Path returns the path from the root to the value.
func (n Node) Path() string { return n.path }

// Fail reports a fault at the value. Its message contains the value and what was expected.
func (n Node) Fail(expected string) {
	n.document.fail(n.value.StartOffset, n.path, n.describe(), expected)
}

// FailHidden reports a fault at the value, but omits the value from the message. It is for
// fields in which an operator may have put a key or a password by mistake.
func (n Node) FailHidden(expected string) {
	n.document.fail(n.value.StartOffset, n.path, "another value, which is not shown", expected)
}

// Text returns a string.
func (n Node) Text() (text string, ok bool) {
	literal, ok := n.literal('"')
	if !ok {
		n.Fail("a string")
		return "", false
	}
	return literal.String(), true
}

// Bool returns a boolean.
func (n Node) Bool() (value, ok bool) {
	literal, isLiteral := n.value.Value.(hujson.Literal)
	if !isLiteral || (literal.Kind() != 't' && literal.Kind() != 'f') {
		n.Fail("true or false")
		return false, false
	}
	return literal.Bool(), true
}

// Int returns a whole number from lowest to highest.
func (n Node) Int(lowest, highest int) (value int, ok bool) {
	expected := fmt.Sprintf("a whole number from %d to %d", lowest, highest)
	literal, ok := n.literal('0')
	if !ok {
		n.Fail(expected)
		return 0, false
	}
	value, err := strconv.Atoi(string(literal))
	if err != nil || value < lowest || value > highest {
		n.Fail(expected)
		return 0, false
	}
	return value, true
}

// Float returns a number from lowest to highest.
func (n Node) Float(lowest, highest float64) (value float64, ok bool) {
	expected := fmt.Sprintf("a number from %g to %g", lowest, highest)
	literal, ok := n.literal('0')
	if !ok {
		n.Fail(expected)
		return 0, false
	}
	value, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || value < lowest || value > highest {
		n.Fail(expected)
		return 0, false
	}
	return value, true
}

// Duration returns a duration from shortest to longest. It is written as a string with a
// unit, such as "5s" or "250ms"; a bare number is a fault.
func (n Node) Duration(shortest, longest time.Duration) (value time.Duration, ok bool) {
	expected := fmt.Sprintf(`a duration with a unit, such as "5s" or "250ms", from %q to %q`, shortest, longest)
	literal, ok := n.literal('"')
	if !ok {
		n.Fail(expected)
		return 0, false
	}
	text := literal.String()
	value, err := time.ParseDuration(text)
	// time.ParseDuration accepts "0" without a unit.
	if err != nil || text == "0" || value < shortest || value > longest {
		n.Fail(expected)
		return 0, false
	}
	return value, true
}

// AddrPort returns an IP address and a port, as in "127.0.0.1:9001" or "[::1]:9001".
func (n Node) AddrPort() (address netip.AddrPort, ok bool) {
	const expected = `an IP address and a port, such as "127.0.0.1:9001"`
	literal, ok := n.literal('"')
	if !ok {
		n.Fail(expected)
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(literal.String())
	if err != nil {
		n.Fail(expected)
		return netip.AddrPort{}, false
	}
	return address, true
}

// List returns the elements of a list.
func (n Node) List() (elements []Node, ok bool) {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.Fail("a list")
		return nil, false
	}
	for i, element := range array.Elements {
		path := fmt.Sprintf("%s[%d]", n.path, i)
		elements = append(elements, Node{document: n.document, path: path, value: element})
	}
	return elements, true
}

func (n Node) literal(kind hujson.Kind) (literal hujson.Literal, ok bool) {
	literal, ok = n.value.Value.(hujson.Literal)
	return literal, ok && literal.Kind() == kind
}

// describe returns a short description of the value for a fault.
func (n Node) describe() string {
	switch value := n.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return fmt.Sprintf("a list of %d", len(value.Elements))
	case hujson.Literal:
		return shorten(string(value))
	}
	return "nothing"
}

func shorten(text string) string {
	characters := []rune(text)
	if len(characters) <= maxShownCharacters {
		return text
	}
	return string(characters[:maxShownCharacters]) + "..."
}
