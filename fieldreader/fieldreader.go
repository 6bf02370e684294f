// Package fieldreader reads the fields of messages that are encoded as protocol buffers without generated code.
//
// # Usage
//
//	err := fieldreader.Read(datagram, func(field protowire.Number, value []byte) error { ... }, func(field protowire.Number, value uint64) { ... })
package fieldreader

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is returned for a message that is not encoded as protocol buffers.
var ErrMalformed = errors.New("malformed message")

// Read calls onBytes or onVarint for each field of a message. Other wire types are skipped. It returns the first error of onBytes, and
// ErrMalformed for a malformed message.
func Read(message []byte, onBytes func(protowire.Number, []byte) error, onVarint func(protowire.Number, uint64)) error {
	for len(message) > 0 {
		field, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return ErrMalformed
		}
		length := protowire.ConsumeFieldValue(field, kind, message[n:])
		if length < 0 {
			return ErrMalformed
		}
		value := message[n : n+length]
		message = message[n+length:]
		switch kind {
		case protowire.BytesType:
			content, _ := protowire.ConsumeBytes(value)
			if err := onBytes(field, content); err != nil {
				return err
			}
		case protowire.VarintType:
			content, _ := protowire.ConsumeVarint(value)
			onVarint(field, content)
		}
	}
	return nil
}
