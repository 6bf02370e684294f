// Package encoder converts the operators' objects to canonical JSON and back. In this form
// the configuration is stored on the platform, sent between daemons and printed for operators.
//
// Equal objects have equal encodings, which can be compared byte by byte, because lists are sorted
// by name and empty fields are omitted. The configuration files of operators use the same format,
// so the output of `rillctl get` can be applied again. Decoding ignores unknown fields, so that
// daemons of two releases can run at the same time.
//
// # Usage
//
//	data, err := encoder.EncodeObjects(objects)
//	objects, err := encoder.DecodeObjects(data)
//
// Changes of the configuration are encoded in the same way:
//
//	data, err := encoder.EncodeChange(change)
//	change, err := encoder.DecodeChange(data)
//
// A value that cannot be encoded or decoded is reported as a MalformedValueError:
//
//	var malformed *encoder.MalformedValueError
//	if errors.As(err, &malformed) {
//		fmt.Println(malformed.Path, malformed.Expected)
//	}
package encoder

import (
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("encoder")

// MalformedValueError reports a malformed value, which cannot be encoded or decoded.
type MalformedValueError struct {
	// Path is the path of the value, as in "selectors[0].match[1]".
	Path string
	// Value is the malformed value.
	Value string
	// Expected describes a valid value.
	Expected string
}

// Error describes the value and what was expected.
func (e *MalformedValueError) Error() string {
	return fmt.Sprintf("%s: %q is not %s", e.Path, e.Value, e.Expected)
}

// EncodeObjects returns the canonical JSON of the objects. It returns a MalformedValueError if a
// requirement has an unknown operator or the wrong number of values for equals.
func EncodeObjects(objects registrar.Objects) (data []byte, err error) {
	defer Error.WrapP(&err)
	wire, err := objectsToWire(objects)
	if err != nil {
		return nil, err
	}
	return json.Marshal(wire)
}

// DecodeObjects returns the objects encoded in the JSON. It returns a MalformedValueError if a value
// such as an address, a duration or a digest is malformed.
func DecodeObjects(data []byte) (objects registrar.Objects, err error) {
	defer Error.WrapP(&err)
	var wire wireObjects
	if err := json.Unmarshal(data, &wire); err != nil {
		return registrar.Objects{}, err
	}
	return objectsFromWire(wire)
}

// EncodeChange returns the canonical JSON of the change. Its errors are those of EncodeObjects.
func EncodeChange(change registrar.Change) (data []byte, err error) {
	defer Error.WrapP(&err)
	set, err := objectsToWire(change.Set)
	if err != nil {
		return nil, err
	}
	wire := wireChange{
		Set:     set,
		Remove:  referencesToWire(change.Remove),
		Author:  change.Author,
		Comment: change.Comment,
	}
	return json.Marshal(wire)
}

// DecodeChange returns the change encoded in the JSON. Its errors are those of DecodeObjects.
func DecodeChange(data []byte) (change registrar.Change, err error) {
	defer Error.WrapP(&err)
	var wire wireChange
	if err := json.Unmarshal(data, &wire); err != nil {
		return registrar.Change{}, err
	}
	set, err := objectsFromWire(wire.Set)
	if err != nil {
		return registrar.Change{}, err
	}
	change = registrar.Change{
		Set:     set,
		Remove:  referencesFromWire(wire.Remove),
		Author:  wire.Author,
		Comment: wire.Comment,
	}
	return change, nil
}
