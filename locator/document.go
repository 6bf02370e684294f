package locator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxDocumentBytes is the size of the largest document that Parse accepts.
	MaxDocumentBytes = 64 << 20
	// MaxNesting is how deeply objects and lists may be nested.
	MaxNesting = 32
)

// Document is one file and the faults that were found in it.
type Document struct {
	file        string
	data        []byte
	lineOffsets []int
	root        hujson.Value
	faults      []*FaultError
}

// Parse parses the data of the file. If the data is malformed, too large or too deeply
// nested, the root of the document is empty and Err returns the fault.
func Parse(file string, data []byte) *Document {
	d := &Document{file: file, lineOffsets: []int{0}}
	if len(data) > MaxDocumentBytes {
		d.fail(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return d
	}
	// The syntax library requires a line break after a comment on the last line.
	d.data = append(slices.Clone(data), '\n')
	for i, c := range d.data {
		if c == '\n' {
			d.lineOffsets = append(d.lineOffsets, i+1)
		}
	}
	if offset := invalidUTF8Offset(d.data); offset >= 0 {
		d.fail(offset, "", "a byte that is not UTF-8", "UTF-8 text")
		return d
	}
	if offset := excessNestingOffset(d.data); offset >= 0 {
		d.fail(offset, "", "deeper nesting", fmt.Sprintf("at most %d levels", MaxNesting))
		return d
	}
	d.parse()
	return d
}

func (d *Document) parse() {
	root, err := hujson.Parse(d.data)
	if err == nil {
		d.root = root
		return
	}
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		line, column = 1, 1
	}
	offset := d.lineOffsets[min(line, len(d.lineOffsets))-1] + column - 1
	_, cause, found := strings.Cut(text, ": line")
	if _, after, cut := strings.Cut(cause, ": "); found && cut {
		text = after
	}
	d.fail(offset, "", "a fault of syntax: "+text, "JSON with comments")
}

// Root returns the top-level object. A document whose top-level value is of another type has
// a fault.
func (d *Document) Root() *Object {
	node := Node{document: d, value: d.root}
	if d.root.Value == nil {
		return &Object{node: node}
	}
	return node.Object()
}

// Err returns a FaultsError with all faults found so far, or nil.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return Error.Wrap(&FaultsError{Faults: sortFaults(d.faults)})
}

// Fail reports a fault at the value with the path, as in "accounts[3].limits". If there is no
// such value, the position is that of the innermost enclosing value that exists.
func (d *Document) Fail(path, found, expected string) {
	d.fail(d.offset(path), path, found, expected)
}

func (d *Document) fail(offset int, path, found, expected string) {
	d.faults = append(d.faults, &FaultError{
		Position: d.position(offset),
		Path:     path,
		Found:    found,
		Expected: expected,
	})
}

// offset returns the offset of the value at the path or of the innermost existing value that
// encloses it.
func (d *Document) offset(path string) int {
	pointer := ""
	offset := d.root.StartOffset
	for part := range strings.FieldsFuncSeq(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		pointer += "/" + part
		value := d.root.Find(pointer)
		if value == nil {
			break
		}
		offset = value.StartOffset
	}
	return offset
}

func (d *Document) position(offset int) Position {
	offset = max(0, min(offset, len(d.data)))
	index, found := slices.BinarySearch(d.lineOffsets, offset)
	if !found {
		index--
	}
	column := utf8.RuneCount(d.data[d.lineOffsets[index]:offset]) + 1
	return Position{File: d.file, Line: index + 1, Column: column}
}

func invalidUTF8Offset(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

// excessNestingOffset returns the offset of the first bracket, outside of strings and comments,
// that exceeds MaxNesting, or -1. Parse checks this first since the syntax library recurses
// without a limit.
func excessNestingOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
			if depth > MaxNesting {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the closing quote.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i, or i if
// none starts there.
func skipComment(data []byte, i int) int {
	var end []byte
	switch {
	case bytes.HasPrefix(data[i:], []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(data[i:], []byte("/*")):
		end = []byte("*/")
	default:
		return i
	}
	length := bytes.Index(data[i+2:], end)
	if length < 0 {
		return len(data)
	}
	return i + 1 + length + len(end)
}
