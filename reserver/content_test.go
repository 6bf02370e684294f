package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Guards against answers that are changed, or taken as whole though they broke off, as they are read in parts, and against memory
// that isn't given back.
func TestReadAllReturnsWholeAnswersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 4*memoryBudget/17).Draw(t, "repeats"))
		limit := rapid.IntRange(0, 4*memoryBudget).Draw(t, "limit")
		ending := rapid.SampledFrom([]error{nil, io.ErrUnexpectedEOF, errors.New("reset")}).Draw(t, "ending")
		var source io.Reader = bytes.NewReader(content)
		if ending != nil {
			source = io.MultiReader(source, iotest.ErrReader(ending))
		}
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		budget := reserver.NewBudget(memoryBudget)
		reader := budget.Reader(source)
		read, err := reader.ReadAll(int64(limit))
		expected := content[:min(limit, len(content))]
		var exceeded *reserver.ExceededError
		switch {
		case errors.As(err, &exceeded):
			if len(expected) <= memoryBudget/2 {
				t.Fatalf("%d bytes exceed the budget", len(expected))
			}
		case limit > len(content) && !errors.Is(err, ending):
			t.Fatalf("%d bytes of an answer that ends with %v: %v", len(read), ending, err)
		case err == nil && !bytes.Equal(read, expected):
			t.Fatalf("%d bytes of the expected %d, or others", len(read), len(expected))
		}
		if err != nil && read != nil {
			t.Fatalf("%d bytes beside %v", len(read), err)
		}
		if err := reader.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := budget.Reader(endless{}).Read(make([]byte, memoryBudget+freeBytes)); err != nil {
			t.Fatalf("after it was closed: %v", err)
		}
	})
}

// Guards against an answer that breaks off and is still copied as a whole, so that many that end at once need twice the budget.
func TestReadAllCopiesNothingOfBrokenAnswers(t *testing.T) {
	const answerBytes = 8 << 20
	reader := reserver.NewBudget(answerBytes).Reader(endless{})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := reader.ReadAll(2 * answerBytes)
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Error("an answer over the budget counts as whole")
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > answerBytes*3/2 {
		t.Errorf("%d bytes were allocated, the budget has %d", used, answerBytes)
	}
}
