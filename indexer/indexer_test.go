package indexer_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var start = time.Unix(1_000_000, 0)

func TestHeatHalvesAfterHalfLife(t *testing.T) {
	table := indexer.New(indexer.Settings{HalfLife: time.Second})
	block := hasher.Block{Lo: 1}
	before := table.Touch(block, start)
	if after := table.Heat(block, start.Add(time.Second)); after != before/2 {
		t.Fatalf("heat %v became %v after its half-life", before, after)
	}
}

func TestColdestPrefixIsEvicted(t *testing.T) {
	table := indexer.New(indexer.Settings{Capacity: 8})
	hot := hasher.Block{Lo: 1}
	for i := range 20 {
		table.Touch(hot, start.Add(time.Duration(i)*time.Second))
		table.Touch(hasher.Block{Lo: uint64(i + 2)}, start.Add(time.Duration(i)*time.Second))
	}
	if !table.Contains(hot) || table.Len() != 8 || table.Evictions() != 13 {
		t.Fatalf("hot is known: %v, known %d, evicted %d", table.Contains(hot), table.Len(), table.Evictions())
	}
}

// TestNoHintsOfRetiredColumns compares a table with a map of the prefixes that were added to every
// open column.
func TestNoHintsOfRetiredColumns(t *testing.T) {
	reused := 0
	rapid.Check(t, func(rt *rapid.T) {
		table := indexer.New(indexer.Settings{Capacity: 8, Columns: 64})
		expected := map[indexer.Column]map[hasher.Block]bool{}
		var open []indexer.Column
		seen := map[indexer.Column]bool{}
		block := rapid.Custom(func(rt *rapid.T) hasher.Block {
			return hasher.Block{Lo: uint64(rapid.IntRange(1, 200).Draw(rt, "block"))}
		})
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				column := table.Open()
				if column == indexer.NoColumn {
					continue
				}
				if seen[column] {
					reused++
				}
				seen[column] = true
				open = append(open, column)
				expected[column] = map[hasher.Block]bool{}
			case 1:
				if len(open) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "retired")
				table.Retire(open[i])
				delete(expected, open[i])
				open = append(open[:i], open[i+1:]...)
			case 2:
				table.Sweep(rapid.IntRange(1, 100).Draw(rt, "entries"))
			case 3:
				table.Remove(block.Draw(rt, "removed"), 0)
			default:
				if len(open) == 0 {
					continue
				}
				column := rapid.SampledFrom(open).Draw(rt, "column")
				added := block.Draw(rt, "added")
				table.Add(added, column, start)
				expected[column][added] = true
			}
			checkHints(rt, table, expected)
		}
	})
	t.Logf("columns reused: %d", reused)
	if reused == 0 {
		t.Fatal("no column was reused")
	}
}

func checkHints(rt *rapid.T, table *indexer.Table, expected map[indexer.Column]map[hasher.Block]bool) {
	for lo := uint64(1); lo <= 200; lo++ {
		block := hasher.Block{Lo: lo}
		holders := table.Holders(block)
		for column, blocks := range expected {
			if holders != nil && holders[column/64]&(1<<(column%64)) != 0 && !blocks[block] {
				rt.Fatalf("column %d holds block %d, which was never added to it", column, lo)
			}
		}
	}
}

func BenchmarkAdd(b *testing.B) {
	table := indexer.New(indexer.Settings{Capacity: 1 << 20, Columns: 512})
	column := table.Open()
	b.ReportAllocs()
	i := uint64(1)
	for b.Loop() {
		i++
		table.Add(hasher.Block{Hi: i, Lo: i * 0x9e3779b97f4a7c15 >> 20}, column, start)
	}
}
