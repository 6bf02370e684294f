// Package locator reads typed values from JSON with comments. It reports each fault with
// file, line and column, the path in the document, and what was expected. The parser of the
// operators' objects and the loader of the daemon's settings use it.
//
// Reading continues after a fault, so that all faults are reported together. The values may
// be used only if Err returns nil.
//
// # Usage
//
// A Document is read from its root. A caller declares the valid fields of an Object by reading
// them; ReportUnknown then reports every other field as unknown:
//
//	document := locator.Parse("fleet.jsonc", data)
//	root := document.Root()
//	name := root.Text("name", locator.Required)
//	bound := root.Duration("drain_bound", time.Second, time.Hour)
//	root.ReportUnknown()
//	if err := document.Err(); err != nil {
//		var faults *locator.FaultsError
//		errors.As(err, &faults)
//	}
package locator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("locator")

// Position is a place in a file. Lines and columns are counted from 1, columns in characters.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as "file:line:column".
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// FaultError is one fault in a document.
type FaultError struct {
	Position Position
	// Path is the path of the value, as in "targets[2].address". It is empty for the whole
	// document.
	Path string
	// Found describes the value.
	Found string
	// Expected describes what the value should have been.
	Expected string
	// Suggestion is the known name that is most similar to an unknown one, or is empty.
	Suggestion string
}

// Error describes the fault on one line.
func (e *FaultError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: ", e.Position)
	if e.Path != "" {
		fmt.Fprintf(&text, "%s: ", e.Path)
	}
	fmt.Fprintf(&text, "found %s, expected %s", e.Found, e.Expected)
	if e.Suggestion != "" {
		fmt.Fprintf(&text, "; did you mean %q?", e.Suggestion)
	}
	return text.String()
}

// FaultsError contains all faults of a document, ordered by position.
type FaultsError struct {
	Faults []*FaultError
}

// Error describes each fault on a line of its own.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds the first of them.
func (e *FaultsError) Unwrap() []error {
	list := make([]error, 0, len(e.Faults))
	for _, fault := range e.Faults {
		list = append(list, fault)
	}
	return list
}

func comparePositions(a, b *FaultError) int {
	return cmp.Or(
		cmp.Compare(a.Position.Line, b.Position.Line),
		cmp.Compare(a.Position.Column, b.Position.Column),
	)
}

func sortFaults(faults []*FaultError) []*FaultError {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, comparePositions)
	return sorted
}
