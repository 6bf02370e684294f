package indexer

import "slices"

// columnState is the state of a column: free, open, or retired and not yet swept.
type columnState uint8

const (
	columnFree columnState = iota
	columnOpen
	columnRetired
)

// columns tracks the state of each column. A column goes from free to open, to retired, and to free
// again once a sweep has cleared its bits in all entries.
type columns struct {
	states []columnState
	free   []Column
	// retired lists the columns for the next sweep, and sweeping those of the current sweep, which
	// has cleared their bits in all entries before position.
	retired  []Column
	sweeping []Column
	position int
}

func newColumns(count int) columns {
	c := columns{states: make([]columnState, count)}
	for column := count - 1; column >= 0; column-- {
		c.free = append(c.free, Column(column))
	}
	return c
}

func (c *columns) isOpen(column Column) bool {
	return int(column) < len(c.states) && c.states[column] == columnOpen
}

// Open returns a column that is set in no entry, or NoColumn if all columns are open. If only
// retired columns are left, it sweeps them first, at the cost of one pass over the table.
func (t *Table) Open() Column {
	for len(t.columns.free) == 0 && t.sweepPending() {
		t.Sweep(len(t.blocks))
	}
	if len(t.columns.free) == 0 {
		return NoColumn
	}
	last := len(t.columns.free) - 1
	column := t.columns.free[last]
	t.columns.free = t.columns.free[:last]
	t.columns.states[column] = columnOpen
	return column
}

// Retire invalidates all hints of an open column.
func (t *Table) Retire(column Column) {
	if !t.columns.isOpen(column) {
		return
	}
	t.columns.states[column] = columnRetired
	t.columns.retired = append(t.columns.retired, column)
}

func (t *Table) sweepPending() bool {
	return len(t.columns.retired)+len(t.columns.sweeping) > 0
}

// Sweep clears the bits of retired columns in at most the given number of entries and reports
// whether more entries or columns are left to sweep.
func (t *Table) Sweep(entries int) (more bool) {
	c := &t.columns
	if len(c.sweeping) == 0 {
		if len(c.retired) == 0 {
			return false
		}
		c.sweeping, c.retired = c.retired, nil
		c.position = 0
	}
	end := min(c.position+entries, len(t.blocks))
	for _, column := range c.sweeping {
		t.clearColumn(column, c.position, end)
	}
	c.position = end
	if end == len(t.blocks) {
		t.endSweep()
	}
	return t.sweepPending()
}

func (t *Table) clearColumn(column Column, from, to int) {
	word, mask := int(column/bitsPerWord), uint64(1)<<(column%bitsPerWord)
	for slot := from; slot < to; slot++ {
		t.holders[slot*t.words+word] &^= mask
	}
}

func (t *Table) endSweep() {
	c := &t.columns
	for _, column := range c.sweeping {
		c.states[column] = columnFree
	}
	slices.Sort(c.sweeping)
	c.free = append(c.free, c.sweeping...)
	c.sweeping = nil
}
