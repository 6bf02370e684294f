package estimator

import (
	"bytes"
	"fmt"
)

// maxDepth is the nesting that package encoding/json decodes.
const maxDepth = 10_000

// Values are the numbers of values in a JSON text.
type Values struct {
	// Objects and Lists are the objects and lists at any depth.
	Objects, Lists int
	// Elements are the elements of all lists, and Members those of all objects.
	Elements, Members int
}

// DepthError is returned for a text whose values are nested too deeply.
type DepthError struct{ Limit int }

// Error names the limit.
func (e *DepthError) Error() string {
	return fmt.Sprintf("the values are nested more than %d deep", e.Limit)
}

// JSON counts the values in a JSON text. Of a text that isn't well-formed, it returns at least as many as a decoder meets before it
// finds the fault.
func JSON(text []byte) (values Values, err error) {
	var open []byte // The brackets around the current value.
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '"':
			i = stringEnd(text, i)
		case '{', '[':
			if len(open) >= maxDepth {
				return values, &DepthError{Limit: maxDepth}
			}
			open = append(open, c)
			values.begin(c)
		case '}', ']':
			open = open[:max(len(open)-1, 0)]
		case ',':
			values.next(open)
		}
	}
	return values, nil
}

// begin counts an object or a list with a first member or element.
func (v *Values) begin(bracket byte) {
	if bracket == '{' {
		v.Objects++
		v.Members++
		return
	}
	v.Lists++
	v.Elements++
}

// next counts a further member or element of what is open.
func (v *Values) next(open []byte) {
	if len(open) > 0 && open[len(open)-1] == '[' {
		v.Elements++
		return
	}
	v.Members++
}

// stringEnd returns the index of the quote that ends the string which begins at an index, or that of the last byte if it doesn't end.
func stringEnd(text []byte, start int) int {
	for i := start + 1; ; i++ {
		quote := bytes.IndexByte(text[i:], '"')
		if quote < 0 {
			return len(text) - 1
		}
		escapes := 0
		for end := i + quote; text[end-1-escapes] == '\\'; {
			escapes++
		}
		i += quote
		if escapes%2 == 0 {
			return i
		}
	}
}
