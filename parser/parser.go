// Package parser reads the configuration files of operators: JSON with comments that declares
// accounts, models, versions, targets, services and selectors.
//
// A file is either a complete configuration or a part of one, whose objects replace or extend
// those of the current configuration. Every fault is reported with file, line and column. No
// objects are returned from a file with faults, so that it cannot be applied in part.
//
// # Usage
//
// ParseObjects reads and validates a complete configuration:
//
//	objects, err := parser.ParseObjects("fleet.jsonc", data)
//	var faults *locator.FaultsError
//	if errors.As(err, &faults) {
//		for _, fault := range faults.Faults {
//			fmt.Println(fault)
//		}
//	}
//
// A part is parsed first and then validated together with the current objects:
//
//	file, err := parser.Parse("drain.jsonc", data)
//	err = file.ValidateOver(current)
package parser

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("parser")

// File is a parsed file whose fields, types and units are valid and whose names are unique.
type File struct {
	document *locator.Document
	objects  registrar.Objects
}

// Parse reads a file and checks what it can without other objects: fields, types, units, and
// that names are unique. It returns a locator.FaultsError with all faults.
func Parse(name string, data []byte) (file *File, err error) {
	defer Error.WrapP(&err)
	document := locator.Parse(name, data)
	objects := readObjects(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return &File{document: document, objects: objects}, nil
}

// ParseObjects reads a file that contains a complete configuration and validates it. It returns
// a locator.FaultsError with all faults.
func ParseObjects(name string, data []byte) (objects registrar.Objects, err error) {
	file, err := Parse(name, data)
	if err != nil {
		return registrar.Objects{}, err
	}
	if err := file.Validate(); err != nil {
		return registrar.Objects{}, err
	}
	return file.Objects(), nil
}

// Objects returns the objects that the file declares.
func (f *File) Objects() registrar.Objects { return f.objects }

// Validate checks the file as a complete configuration. It returns a locator.FaultsError with
// all faults.
func (f *File) Validate() error {
	return f.ValidateOver(registrar.Objects{})
}

// ValidateOver checks the configuration that results from applying the objects of the file to
// the current objects. A violation by an object that is not in the file is reported at the
// top-level object of the file. It returns a locator.FaultsError with all faults.
func (f *File) ValidateOver(current registrar.Objects) (err error) {
	defer Error.WrapP(&err)
	var invalid *registrar.InvalidError
	err = registrar.Validate(current.Apply(registrar.Change{Set: f.objects}))
	if !errors.As(err, &invalid) {
		return err
	}
	indexes := f.indexByReference()
	for _, violation := range invalid.Violations {
		reference := registrar.Reference{Kind: violation.Kind, Name: violation.Name}
		index, found := indexes[reference]
		if !found {
			f.document.Fail("", violation.String(), "a change that keeps it valid")
			continue
		}
		violation.Index = index
		f.document.Fail(violation.Path(), violation.Found, violation.Expected)
	}
	return f.document.Err()
}

// indexByReference returns the index of each object of the file in the list of its kind.
func (f *File) indexByReference() map[registrar.Reference]int {
	indexes := make(map[registrar.Reference]int)
	counts := make(map[registrar.Kind]int)
	for _, reference := range f.objects.References() {
		indexes[reference] = counts[reference.Kind]
		counts[reference.Kind]++
	}
	return indexes
}

func readObjects(document *locator.Document) (objects registrar.Objects) {
	root := document.Root()
	objects.Accounts = readAll(root, "accounts", readAccount)
	objects.Models = readAll(root, "models", readModel)
	objects.Versions = readAll(root, "versions", readVersion)
	objects.Targets = readAll(root, "targets", readTarget)
	objects.Services = readAll(root, "services", readService)
	objects.Selectors = readAll(root, "selectors", readSelector)
	root.ReportUnknown()
	reportDuplicates(document, objects)
	return objects
}

// readAll reads a list of objects. The read function reads the fields of one of them.
func readAll[T any](parent *locator.Object, field string, read func(*locator.Object) T) []T {
	var list []T
	for _, node := range parent.List(field) {
		object := node.Object()
		list = append(list, read(object))
		object.ReportUnknown()
	}
	return list
}

func reportDuplicates(document *locator.Document, objects registrar.Objects) {
	seen := make(map[registrar.Reference]bool)
	counts := make(map[registrar.Kind]int)
	for _, reference := range objects.References() {
		index := counts[reference.Kind]
		counts[reference.Kind]++
		if seen[reference] && reference.Name != "" {
			path := fmt.Sprintf("%ss[%d].name", reference.Kind, index)
			document.Fail(path, fmt.Sprintf("%q again", reference.Name), "each name once")
		}
		seen[reference] = true
	}
}
