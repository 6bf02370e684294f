package router

import (
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Field numbers of the exported protobuf message, which lists targets, and prefixes with the
// positions of their holders in the list of targets.
const (
	fieldTarget      protowire.Number = 1
	fieldPrefix      protowire.Number = 2
	fieldName        protowire.Number = 1
	fieldIncarnation protowire.Number = 2
	fieldBlock       protowire.Number = 1
	fieldHolders     protowire.Number = 2
)

// blockHashBytes is the length of a block's hash in the exported message.
const blockHashBytes = 16

// Export returns the hottest prefixes and their holders as a protobuf message of at most the given
// number of bytes, for a peer that starts or that exchanges hints. The message names the
// incarnation of each target, so that the receiver drops hints that are out of date.
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

// appendPrefix appends a prefix with its holders, or returns nil if no target of the pool holds it.
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

// Import adds the hints that a peer exported. Hints about targets that are not known, or that are
// known with another incarnation, are dropped. A malformed message is an error; the hints before
// the malformed field are kept.
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

// consumeBytes reads one field. All fields of the message are length-delimited.
func consumeBytes(message []byte) (number protowire.Number, value, rest []byte, err error) {
	number, kind, n := protowire.ConsumeTag(message)
	if n < 0 {
		return 0, nil, nil, protowire.ParseError(n)
	}
	if kind != protowire.BytesType {
		return 0, nil, nil, Error.New("field %d has wire type %d, want a length-delimited field", number, kind)
	}
	value, m := protowire.ConsumeBytes(message[n:])
	if m < 0 {
		return 0, nil, nil, protowire.ParseError(m)
	}
	return number, value, message[n+m:], nil
}

// importTarget returns the column of a target, or NoColumn if the hints about it are to be
// dropped.
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
