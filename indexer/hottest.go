package indexer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// Hottest yields the known prefixes, the hottest first. It sorts the whole table, so it is meant
// for a peer that starts and not for each exchange.
func (t *Table) Hottest(now time.Time) iter.Seq[hasher.Block] {
	type entry struct {
		block hasher.Block
		heat  float64
	}
	entries := make([]entry, 0, t.prefixCount)
	for slot, block := range t.blocks {
		if !block.IsZero() {
			entries = append(entries, entry{block, t.heats[slot].valueAt(now, t.halfLife)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.heat, a.heat), cmp.Compare(a.block.Hi, b.block.Hi), cmp.Compare(a.block.Lo, b.block.Lo))
	})
	return func(yield func(hasher.Block) bool) {
		for _, e := range entries {
			if !yield(e.block) {
				return
			}
		}
	}
}
