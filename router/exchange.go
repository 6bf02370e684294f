package router

import (
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// The fields of the exported form: targets by position, and prefixes with the positions of their
// holders.
const (
	fieldTarget      protowire.Number = 1
	fieldPrefix      protowire.Number = 2
	fieldName        protowire.Number = 1
	fieldIncarnation protowire.Number = 2
	fieldBlock       protowire.Number = 1
	fieldHolders     protowire.Number = 2
)

// blockHashBytes is the length of a block's name in the exported form.
const blockHashBytes = 16

// Export returns the hottest prefixes with their holders, in at most the given number of bytes,
// for a peer that starts or that exchanges what it knows. The form is a protobuf message. Hints
// name the incarnation of their target, so that the receiver drops those that are out of date.
func (r *Router) Export(maxBytes int) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	positions := make(map[indexer.Column]uint64)
	var message []byte
	for _, t := range r.targetsByColumn() {
		positions[t.column] = uint64(len(positions))
		message = appendTarget(message, t)
	}
	if len(message) > maxBytes {
		return nil
	}
	for block := range r.table.Hottest(r.settings.Now()) {
		entry := appendPrefix(nil, block, r.table.Holders(block), positions)
		if entry == nil {
			continue
		}
		size := protowire.SizeTag(fieldPrefix) + protowire.SizeBytes(len(entry))
		if len(message)+size > maxBytes {
			break
		}
		message = protowire.AppendTag(message, fieldPrefix, protowire.BytesType)
		message = protowire.AppendBytes(message, entry)
	}
	return message
}

func (r *Router) targetsByColumn() []*target {
	var sorted []*target
	for _, t := range r.byColumn {
		if t != nil {
			sorted = append(sorted, t)
		}
	}
	return sorted
}

func appendTarget(message []byte, t *target) []byte {
	var entry []byte
	entry = protowire.AppendTag(entry, fieldName, protowire.BytesType)
	entry = protowire.AppendString(entry, t.Name)
	entry = protowire.AppendTag(entry, fieldIncarnation, protowire.BytesType)
	entry = protowire.AppendString(entry, t.Incarnation)
	message = protowire.AppendTag(message, fieldTarget, protowire.BytesType)
	return protowire.AppendBytes(message, entry)
}

// appendPrefix returns nil for a prefix without a live holder.
func appendPrefix(entry []byte, block hasher.Block, holders bitset, positions map[indexer.Column]uint64) []byte {
	var packed []byte
	for column := range holders.all() {
		if position, live := positions[column]; live {
			packed = protowire.AppendVarint(packed, position)
		}
	}
	if len(packed) == 0 {
		return nil
	}
	var hash [blockHashBytes]byte
	binary.BigEndian.PutUint64(hash[:8], block.Hi)
	binary.BigEndian.PutUint64(hash[8:], block.Lo)
	entry = protowire.AppendTag(entry, fieldBlock, protowire.BytesType)
	entry = protowire.AppendBytes(entry, hash[:])
	entry = protowire.AppendTag(entry, fieldHolders, protowire.BytesType)
	return protowire.AppendBytes(entry, packed)
}

// Import takes what a peer exported. Hints for targets that are not known, or whose incarnation
// is another one here, are dropped. A malformed message is an error; the hints before the fault
// are kept.
func (r *Router) Import(message []byte) (err error) {
	defer Error.WrapP(&err)
	r.mu.Lock()
	defer r.mu.Unlock()
	var columns []indexer.Column
	for len(message) > 0 {
		number, value, rest, err := consumeBytes(message)
		if err != nil {
			return err
		}
		message = rest
		switch number {
		case fieldTarget:
			column, err := r.importTarget(value)
			if err != nil {
				return err
			}
			columns = append(columns, column)
		case fieldPrefix:
			if err := r.importPrefix(value, columns); err != nil {
				return err
			}
		}
	}
	return nil
}

// consumeBytes reads one field. Every field of the form is a length-delimited one.
func consumeBytes(message []byte) (number protowire.Number, value, rest []byte, err error) {
	number, kind, n := protowire.ConsumeTag(message)
	if n < 0 {
		return 0, nil, nil, protowire.ParseError(n)
	}
	if kind != protowire.BytesType {
		return 0, nil, nil, Error.New("field %d has the wire type %d", number, kind)
	}
	value, m := protowire.ConsumeBytes(message[n:])
	if m < 0 {
		return 0, nil, nil, protowire.ParseError(m)
	}
	return number, value, message[n+m:], nil
}

// importTarget returns the column of a target, or NoColumn where the hints about it do not
// count.
func (r *Router) importTarget(entry []byte) (column indexer.Column, err error) {
	var name, incarnation string
	for len(entry) > 0 {
		number, value, rest, err := consumeBytes(entry)
		if err != nil {
			return indexer.NoColumn, err
		}
		entry = rest
		switch number {
		case fieldName:
			name = string(value)
		case fieldIncarnation:
			incarnation = string(value)
		}
	}
	t := r.byName[name]
	if t == nil || t.Incarnation != incarnation || incarnation == "" {
		return indexer.NoColumn, nil
	}
	return t.column, nil
}

func (r *Router) importPrefix(entry []byte, columns []indexer.Column) error {
	var block hasher.Block
	var packed []byte
	for len(entry) > 0 {
		number, value, rest, err := consumeBytes(entry)
		if err != nil {
			return err
		}
		entry = rest
		switch {
		case number == fieldBlock && len(value) == blockHashBytes:
			block.Hi = binary.BigEndian.Uint64(value[:8])
			block.Lo = binary.BigEndian.Uint64(value[8:])
		case number == fieldHolders:
			packed = slices.Clone(value)
		}
	}
	now := r.settings.Now()
	for len(packed) > 0 {
		position, n := protowire.ConsumeVarint(packed)
		if n < 0 {
			return protowire.ParseError(n)
		}
		packed = packed[n:]
		if position < uint64(len(columns)) && columns[position] != indexer.NoColumn {
			r.table.Add(block, columns[position], now)
		}
	}
	return nil
}
