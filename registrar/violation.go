package registrar

import (
	"fmt"
	"strings"
)

// Violation describes one rule that an object violates.
type Violation struct {
	Kind Kind
	// Index is the index of the object in the list of its kind.
	Index int
	Name  string
	// Field is the path from the object to the value, as in "key_digests[1]". It is empty for
	// the object as a whole.
	Field    string
	Found    string
	Expected string
}

// Path returns the path from the configuration to the value, as in
// "accounts[3].key_digests[1]".
func (v Violation) Path() string {
	path := fmt.Sprintf("%ss[%d]", v.Kind, v.Index)
	if v.Field == "" {
		return path
	}
	return path + "." + v.Field
}

// String describes the violation on one line.
func (v Violation) String() string {
	description := fmt.Sprintf("%s %q", v.Kind, v.Name)
	if v.Field != "" {
		description += ", " + v.Field
	}
	return fmt.Sprintf("%s: found %s, expected %s", description, v.Found, v.Expected)
}

// InvalidError contains all violations of an invalid configuration.
type InvalidError struct {
	Violations []Violation
}

// Error describes each violation on a line of its own.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, violation := range e.Violations {
		lines = append(lines, violation.String())
	}
	return strings.Join(lines, "\n")
}
