package router

import (
	"iter"
	"math/bits"

	"github.com/rosemaryrill/rosemaryrill/indexer"
)

const bitsPerWord = 64

// bitset is a set of columns of the table of known prefixes.
type bitset []uint64

func (b bitset) set(column indexer.Column) { b[column/bitsPerWord] |= 1 << (column % bitsPerWord) }

func (b bitset) clear(column indexer.Column) { b[column/bitsPerWord] &^= 1 << (column % bitsPerWord) }

func (b bitset) has(column indexer.Column) bool {
	return b[column/bitsPerWord]&(1<<(column%bitsPerWord)) != 0
}

// contains reports whether the column is in the set, which may be nil.
func (b bitset) contains(column indexer.Column) bool { return b != nil && b.has(column) }

func (b bitset) count() int {
	total := 0
	for _, word := range b {
		total += bits.OnesCount64(word)
	}
	return total
}

// all yields the members in order.
func (b bitset) all() iter.Seq[indexer.Column] {
	return func(yield func(indexer.Column) bool) {
		for i, word := range b {
			for ; word != 0; word &= word - 1 {
				if !yield(indexer.Column(i*bitsPerWord + bits.TrailingZeros64(word))) {
					return
				}
			}
		}
	}
}

// nth returns the member at the given position in ascending order, or NoColumn.
func (b bitset) nth(position int) indexer.Column {
	for i, word := range b {
		count := bits.OnesCount64(word)
		if position >= count {
			position -= count
			continue
		}
		for range position {
			word &= word - 1
		}
		return indexer.Column(i*bitsPerWord + bits.TrailingZeros64(word))
	}
	return indexer.NoColumn
}
