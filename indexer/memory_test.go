package indexer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// BenchmarkMemory fills tables of several sizes and reports the bytes of heap per prefix.
func BenchmarkMemory(b *testing.B) {
	for _, columns := range []int{64, 512} {
		for _, capacity := range []int{1 << 14, 1 << 16, 1 << 18} {
			b.Run(fmt.Sprintf("columns=%d/prefixes=%d", columns, capacity), func(b *testing.B) {
				var bytes uint64
				for b.Loop() {
					before := heapBytes()
					table := indexer.New(indexer.Settings{Capacity: capacity, Columns: columns})
					column := table.Open()
					for i := range uint64(capacity) {
						table.Add(hasher.Block{Hi: i, Lo: i * 0x9e3779b97f4a7c15 >> 20}, column, start)
					}
					bytes = heapBytes() - before
					runtime.KeepAlive(table)
				}
				b.ReportMetric(float64(bytes)/float64(capacity), "B/prefix")
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
