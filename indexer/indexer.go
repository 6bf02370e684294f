// Package indexer implements the bounded table of known prefixes. For each prefix it records which
// targets are believed to have it in their cache, and how often it was requested recently.
//
// A fleet caches far more blocks than one process can record, so the table has a fixed capacity
// and evicts the coldest prefixes. It is a set-associative table in flat slices: a lookup or an
// addition accesses one bucket and allocates no memory.
//
// A holder is a column, not a target. A column stands for one incarnation of a target: when the
// target restarts, its column is retired and a new one opened, which invalidates all hints of the
// earlier incarnation in constant time. The bits of a retired column are swept in steps before
// the column is reused.
//
// # Usage
//
//	table := indexer.New(indexer.Settings{Capacity: 1 << 18, Columns: 64})
//	column := table.Open()
//	table.Add(block, column, now)
//	holders := table.Holders(block)
//	table.Retire(column)
//	table.Sweep(1024)
//
// A Table is not safe for concurrent use; the caller must synchronize access to it.
package indexer

import (
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Error is the class of all errors of this package.
var Error = errs.Class("indexer")

const (
	bucketEntries = 8
	bitsPerWord   = 64

	// DefaultCapacity is the number of prefixes that a table without settings can contain.
	DefaultCapacity = 1 << 18
	// DefaultColumns is the number of columns of a table without settings.
	DefaultColumns = 64
	// DefaultHalfLife is the time in which the heat of a prefix halves.
	DefaultHalfLife = 30 * time.Second
)

// Column identifies one incarnation of a target.
type Column uint16

// NoColumn is returned if no column is free.
const NoColumn Column = math.MaxUint16

// Settings bound a table.
type Settings struct {
	// Capacity is the number of prefixes that the table can contain, rounded up to a power of two, at
	// least 8. Default: DefaultCapacity.
	Capacity int
	// Columns is the number of incarnations that may hold prefixes at the same time, rounded
	// up to a multiple of 64. Default: DefaultColumns.
	Columns int
	// HalfLife is the time in which the heat of a prefix halves. Default: DefaultHalfLife.
	HalfLife time.Duration
}

// Table is the bounded table of known prefixes.
type Table struct {
	// words is the number of words of a set of columns, which has one bit for each column.
	words       int
	bucketCount uint64
	halfLife    time.Duration
	// blocks and heats have one element for each slot, and holders one set of columns. A slot whose
	// block is zero is empty. Each bucket consists of bucketEntries consecutive slots.
	blocks      []hasher.Block
	heats       []heat
	holders     []uint64
	columns     columns
	prefixCount int
	evictions   uint64
}

// New returns an empty table.
func New(settings Settings) *Table {
	settings = settings.withDefaults()
	capacity := bucketEntries
	for capacity < settings.Capacity {
		capacity *= 2
	}
	words := (settings.Columns + bitsPerWord - 1) / bitsPerWord
	return &Table{
		words:       words,
		bucketCount: uint64(capacity / bucketEntries),
		halfLife:    settings.HalfLife,
		blocks:      make([]hasher.Block, capacity),
		heats:       make([]heat, capacity),
		holders:     make([]uint64, capacity*words),
		columns:     newColumns(words * bitsPerWord),
	}
}

func (s Settings) withDefaults() Settings {
	if s.Capacity <= 0 {
		s.Capacity = DefaultCapacity
	}
	if s.Columns <= 0 {
		s.Columns = DefaultColumns
	}
	if s.HalfLife <= 0 {
		s.HalfLife = DefaultHalfLife
	}
	return s
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int { return t.prefixCount }

// Evictions returns the number of prefixes that were evicted.
func (t *Table) Evictions() uint64 { return t.evictions }

// Words returns the length of the sets of columns that Holders returns.
func (t *Table) Words() int { return t.words }

// Holders returns the set of columns that are believed to hold the prefix, or nil if the prefix is
// not known. The set is a view that is valid until the next change. Bits of retired columns may
// still be set.
func (t *Table) Holders(block hasher.Block) []uint64 {
	slot, ok := t.find(block)
	if !ok {
		return nil
	}
	return t.holdersAt(slot)
}

// Lookup returns the holders, as Holders does, and the heat of the prefix.
func (t *Table) Lookup(block hasher.Block, now time.Time) (holders []uint64, heat float64) {
	slot, ok := t.find(block)
	if !ok {
		return nil, 0
	}
	return t.holdersAt(slot), t.heats[slot].valueAt(now, t.halfLife)
}

// Contains reports whether the prefix is known.
func (t *Table) Contains(block hasher.Block) bool {
	_, ok := t.find(block)
	return ok
}

// Add records that the column holds the prefix.
func (t *Table) Add(block hasher.Block, column Column, now time.Time) {
	if block.IsZero() || !t.columns.isOpen(column) {
		return
	}
	slot := t.slotFor(block, now)
	t.holdersAt(slot)[column/bitsPerWord] |= 1 << (column % bitsPerWord)
}

// Remove records that the column no longer holds the prefix.
func (t *Table) Remove(block hasher.Block, column Column) {
	slot, ok := t.find(block)
	if !ok || int(column) >= t.words*bitsPerWord {
		return
	}
	t.holdersAt(slot)[column/bitsPerWord] &^= 1 << (column % bitsPerWord)
}

// Touch records one request for the prefix and returns its heat: the number of requests, each
// weighted less the older it is.
func (t *Table) Touch(block hasher.Block, now time.Time) float64 {
	if block.IsZero() {
		return 0
	}
	slot := t.slotFor(block, now)
	return t.heats[slot].add(now, t.halfLife)
}

// Heat returns the heat of the prefix, or zero if it is not known.
func (t *Table) Heat(block hasher.Block, now time.Time) float64 {
	slot, ok := t.find(block)
	if !ok {
		return 0
	}
	return t.heats[slot].valueAt(now, t.halfLife)
}

func (t *Table) holdersAt(slot int) []uint64 {
	return t.holders[slot*t.words : (slot+1)*t.words]
}

func (t *Table) firstSlotOf(block hasher.Block) int {
	return int(block.Lo&(t.bucketCount-1)) * bucketEntries
}

func (t *Table) find(block hasher.Block) (slot int, ok bool) {
	if block.IsZero() {
		return 0, false
	}
	firstSlot := t.firstSlotOf(block)
	for slot := firstSlot; slot < firstSlot+bucketEntries; slot++ {
		if t.blocks[slot] == block {
			return slot, true
		}
	}
	return 0, false
}

// slotFor returns the slot of the prefix. A prefix that is not known gets a slot, for which the
// coldest prefix of its bucket may be evicted.
func (t *Table) slotFor(block hasher.Block, now time.Time) int {
	if slot, ok := t.find(block); ok {
		return slot
	}
	slot := t.coldestSlot(t.firstSlotOf(block), now)
	if t.blocks[slot].IsZero() {
		t.prefixCount++
	} else {
		t.evictions++
	}
	t.blocks[slot] = block
	t.heats[slot] = newHeat(now)
	clear(t.holdersAt(slot))
	return slot
}

func (t *Table) coldestSlot(firstSlot int, now time.Time) int {
	coldest, least := firstSlot, math.Inf(1)
	for slot := firstSlot; slot < firstSlot+bucketEntries; slot++ {
		if t.blocks[slot].IsZero() {
			return slot
		}
		if value := t.heats[slot].valueAt(now, t.halfLife); value < least {
			coldest, least = slot, value
		}
	}
	return coldest
}
