package presenter

import (
	"errors"
	"fmt"
	"io"

	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/operator"
)

// The exit codes of rillctl; Codes describes them.
const (
	CodeOK              = 0
	CodeUsage           = 1
	CodeInvalid         = 2
	CodeConflict        = 3
	CodeUnreachable     = 4
	CodeUnsettled       = 5
	CodeUnauthenticated = 6
	CodeUnknownObject   = 7
)

// Code describes an exit code.
type Code struct {
	Code    int
	Meaning string
}

// Codes returns all exit codes with their meaning.
func Codes() []Code {
	return []Code{
		{CodeOK, "done"},
		{CodeUsage, "wrong flags or arguments, or any other error"},
		{CodeInvalid, "a file or a change is not valid; nothing was applied"},
		{CodeConflict, "somebody else changed the same objects; nothing was applied"},
		{CodeUnreachable, "no daemon took the call, or a change that was accepted is not in force everywhere in time"},
		{CodeUnsettled, "the answer to a change was lost; it may come into force"},
		{CodeUnauthenticated, "the operators' token was refused"},
		{CodeUnknownObject, "an object that was named is not in force"},
	}
}

// UsageError reports wrong flags or arguments.
type UsageError struct {
	Message string
}

// Error describes the wrong flag or argument.
func (e *UsageError) Error() string { return e.Message }

// exitCode returns the exit code for the type of the error, or CodeUsage for all other errors.
func exitCode(err error) int {
	switch {
	case hasType[*locator.FaultsError](err), hasType[*operator.InvalidError](err):
		return CodeInvalid
	case hasType[*operator.ConflictError](err):
		return CodeConflict
	case hasType[*operator.UnsettledError](err):
		return CodeUnsettled
	case hasType[*operator.UnreachableError](err), hasType[*operator.NotInForceError](err), hasType[*operator.NotAppliedError](err):
		return CodeUnreachable
	case hasType[*operator.UnauthenticatedError](err):
		return CodeUnauthenticated
	case hasType[*operator.UnknownObjectError](err):
		return CodeUnknownObject
	}
	return CodeUsage
}

func hasType[T error](err error) bool {
	var typed T
	return errors.As(err, &typed)
}

// printError prints an error, or the faults of a file, one on each line.
func printError(out io.Writer, err error) {
	var faults *locator.FaultsError
	if !errors.As(err, &faults) {
		fmt.Fprintln(out, "rillctl:", err)
		return
	}
	for _, fault := range faults.Faults {
		fmt.Fprintln(out, fault)
	}
	fmt.Fprintf(out, "rillctl: %d faults, nothing was applied\n", len(faults.Faults))
}
