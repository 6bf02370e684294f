package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/rosemaryrill/rosemaryrill/checker"
)

const (
	batchStreams     = 40
	batchPlainCalls  = 20
	batchOrders      = 20
	batchStockReads  = 10
	batchConcurrency = 8
	batchMaxTokens   = 24
	promptWords      = 6000
	placePath        = "/services/orders/place"
	stockPath        = "/services/orders/stock"
)

// batch sends requests of several kinds from both accounts to all daemons and counts the results.
type batch struct {
	fleet   *Fleet
	tally   checker.Tally
	callers []*checker.Checker
	// runID makes the idempotency keys of this batch distinct from those of other batches.
	runID string
}

// RunBatch sends a batch of streamed and plain model calls, service calls and repeated orders, and
// checks every answer completely.
func (f *Fleet) RunBatch(ctx context.Context) checker.Counts {
	b := &batch{fleet: f, runID: uuid.NewString()}
	for _, url := range f.URLs() {
		for _, key := range []string{DemoKey, OtherKey} {
			b.callers = append(b.callers, checker.New(checker.Settings{URL: url, Key: key, Model: DemoModel}))
		}
	}
	workers := pool.New().WithMaxGoroutines(batchConcurrency)
	for i := range batchStreams {
		workers.Go(func() { b.tally.Add(b.caller(i).Stream(ctx, prompt(i), batchMaxTokens)) })
	}
	for i := range batchPlainCalls {
		workers.Go(func() { b.tally.Add(b.caller(i).Plain(ctx, prompt(i), batchMaxTokens)) })
	}
	for i := range batchStockReads {
		workers.Go(func() { b.tally.Add(b.caller(i).Get(ctx, stockPath)) })
	}
	for i := range batchOrders {
		workers.Go(func() { b.order(ctx, i) })
	}
	workers.Wait()
	b.countDoubled()
	return b.tally.Counts()
}

func (b *batch) caller(i int) *checker.Checker {
	return b.callers[i%len(b.callers)]
}

// prompt returns a prompt that shares a long prefix with every second other prompt.
func prompt(i int) string {
	shared := strings.Repeat(fmt.Sprintf("company %d handbook ", i%2), promptWords/4)
	return shared + fmt.Sprintf("question %d", i)
}

// order places an order and repeats it through another daemon. The same body must get the same
// answer; a different body under the same key must be refused as not run.
func (b *batch) order(ctx context.Context, i int) {
	key := fmt.Sprintf("%s-%d", b.runID, i)
	body := []byte(fmt.Sprintf(`{"item":"wheel-%d"}`, i))
	// callers alternates between the two accounts, so i and i+2 belong to the same account.
	first, second := b.caller(i), b.caller(i+2)
	placed := first.PlaceOrder(ctx, placePath, key, body)
	b.tally.Add(placed)
	repeated := second.PlaceOrder(ctx, placePath, key, body)
	if placed.Verdict == checker.Complete && repeated.Verdict == checker.Complete && repeated.Body != placed.Body {
		repeated.Verdict = checker.Mixed
	}
	b.tally.Add(repeated)
	b.tally.Add(expectKeyReused(second.PlaceOrder(ctx, placePath, key, []byte(`{"item":"spoke"}`))))
}

// expectKeyReused changes the verdict of the result so that the expected refusal of a reused key
// counts as complete, and an answer as mixed.
func expectKeyReused(result checker.Result) checker.Result {
	if result.Verdict == checker.Refused && result.Code == "idempotency_key_reused" && result.Run == "not_run" {
		result.Verdict = checker.Complete
		return result
	}
	if result.Verdict == checker.Complete {
		result.Verdict = checker.Mixed
	}
	return result
}

// countDoubled adds to the tally the orders that ran more than once at the service.
func (b *batch) countDoubled() {
	for key, runs := range b.fleet.Service.Runs() {
		if strings.Contains(key, b.runID) && runs > 1 {
			b.tally.AddDoubled(runs - 1)
		}
	}
}

type wireCounts struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	Lost     int `json:"lost"`
	Doubled  int `json:"doubled"`
	Mixed    int `json:"mixed"`
	Refused  int `json:"refused"`
}

// EncodeCounts returns the counts as one JSON object.
func EncodeCounts(counts checker.Counts) ([]byte, error) {
	return json.Marshal(wireCounts(counts))
}
