package estimator

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// MalformedError is returned for bytes that are no message, or one in a form that no daemon sends.
type MalformedError struct{}

// Error tells what is wrong.
func (*MalformedError) Error() string {
	return "not a message in the protocol buffers' format, or with groups"
}

// Fields counts the fields of a message while it arrives, those of the messages within it included.
type Fields struct {
	// scopes are the messages around the next byte, the innermost last.
	scopes []scope
	// offset is the number of bytes that have arrived.
	offset int64
	// skip is how many of the next bytes are the content of a field that isn't looked at.
	skip int64
	// state is what comes next, and field the number of the field whose content that is.
	state fieldState
	field protowire.Number
	// partial is the beginning of a number that goes on in the next bytes.
	partial []byte
}

// scope is a message whose fields are being counted.
type scope struct {
	descriptor protoreflect.MessageDescriptor
	// end is the offset after its last byte; negative if it isn't known.
	end int64
}

// fieldState is what comes next.
type fieldState int

const (
	stateTag fieldState = iota
	stateNumber
	stateLength
)

// Sizes of fields of fixed size, and that of the largest number of variable size, in bytes.
const (
	fixed32Bytes   = 4
	fixed64Bytes   = 8
	maxNumberBytes = 10
)

// NewFields returns a counter for one message.
func NewFields(message protoreflect.MessageDescriptor) *Fields {
	return &Fields{scopes: []scope{{descriptor: message, end: -1}}}
}

// Add counts the fields that begin in the next bytes of the message.
func (f *Fields) Add(data []byte) (added int, err error) {
	for len(data) > 0 {
		if f.skip > 0 {
			skipped := min(f.skip, int64(len(data)))
			f.skip -= skipped
			f.offset += skipped
			data = data[skipped:]
			continue
		}
		begins, err := f.addByte(data[0])
		if begins {
			added++
		}
		if err != nil {
			return added, err
		}
		data = data[1:]
	}
	return added, nil
}

// addByte goes on after a byte of a number, and reports whether it ends the tag of a field.
func (f *Fields) addByte(b byte) (begins bool, err error) {
	f.leave()
	f.partial = append(f.partial, b)
	f.offset++
	const continued = 0x80
	if b >= continued {
		if len(f.partial) >= maxNumberBytes {
			return false, &MalformedError{}
		}
		return false, nil
	}
	value, _ := protowire.ConsumeVarint(f.partial)
	f.partial = f.partial[:0]
	begins = f.state == stateTag
	return begins, f.take(value)
}

// leave ends the messages whose bytes have all arrived.
func (f *Fields) leave() {
	for len(f.scopes) > 1 && f.offset >= f.scopes[len(f.scopes)-1].end {
		f.scopes = f.scopes[:len(f.scopes)-1]
	}
}

// take goes on after a number.
func (f *Fields) take(value uint64) error {
	switch f.state {
	case stateTag:
		return f.begin(value)
	case stateLength:
		f.state = stateTag
		return f.enter(value)
	}
	f.state = stateTag
	return nil
}

// begin goes on after the tag of a field.
func (f *Fields) begin(tag uint64) error {
	number, kind := protowire.DecodeTag(tag)
	if number < protowire.MinValidNumber {
		return &MalformedError{}
	}
	f.field = number
	switch kind {
	case protowire.VarintType:
		f.state = stateNumber
	case protowire.BytesType:
		f.state = stateLength
	case protowire.Fixed32Type:
		f.skip = fixed32Bytes
	case protowire.Fixed64Type:
		f.skip = fixed64Bytes
	default:
		return &MalformedError{}
	}
	return nil
}

// enter goes on after the length of a field: into a message, or behind any other content.
func (f *Fields) enter(length uint64) error {
	inner := f.scopes[len(f.scopes)-1]
	const maxLength = 1 << 40
	if length > maxLength || inner.end >= 0 && f.offset+int64(length) > inner.end {
		return &MalformedError{}
	}
	var field protoreflect.FieldDescriptor
	if inner.descriptor != nil {
		field = inner.descriptor.Fields().ByNumber(f.field)
	}
	if field == nil || field.Message() == nil {
		f.skip = int64(length)
		return nil
	}
	f.scopes = append(f.scopes, scope{descriptor: field.Message(), end: f.offset + int64(length)})
	return nil
}
