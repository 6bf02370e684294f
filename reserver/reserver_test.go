package reserver_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/reserver"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	memoryBudget = 100 << 10
	// freeBytes is what each answer may hold beside the budget.
	freeBytes = 16 << 10
	readBytes = 4 << 10
)

// Guards against many endless answers that fill the memory together: whatever their readers hold and give back, they never hold
// more than the budget, and get all of it again.
func TestBudgetBoundsAllReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := reserver.NewBudget(memoryBudget)
		readers := make([]*reserver.Reader, rapid.IntRange(1, 8).Draw(t, "readers"))
		held := make([]int, len(readers))
		for i := range readers {
			readers[i] = budget.Reader(endless{})
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				held[i] = rapid.IntRange(0, held[i]).Draw(t, "held")
				readers[i].Hold(held[i])
				continue
			}
			n, err := readers[i].Read(make([]byte, rapid.IntRange(1, readBytes).Draw(t, "bytes")))
			var exceeded *reserver.ExceededError
			if err != nil && (n > 0 || !errors.As(err, &exceeded)) {
				t.Fatalf("read %d bytes, %v", n, err)
			}
			if held[i] += n; err != nil && held[i]+readBytes <= freeBytes {
				t.Fatalf("an answer of %d bytes was ended", held[i])
			}
			counted := 0
			for _, bytes := range held {
				counted += max(bytes-freeBytes, 0)
			}
			if counted > memoryBudget {
				t.Fatalf("%d bytes are held, the budget has %d", counted, memoryBudget)
			}
		}
		for _, reader := range readers {
			reader.Hold(0)
		}
		rest := budget.Reader(strings.NewReader(strings.Repeat("x", memoryBudget+freeBytes)))
		if _, err := io.ReadFull(rest, make([]byte, memoryBudget+freeBytes)); err != nil {
			t.Fatalf("after all was given back: %v", err)
		}
	})
}

// endless is an answer without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
