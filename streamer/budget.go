package streamer

import "sync"

// The amounts that a further attempt and a resume withdraw from the retry budget.
const (
	attemptCost = 1.0
	resumeCost  = 0.1
)

// retryBudget is a token bucket that limits retries, hedges and resumes to a ratio of the requests.
// No other layer retries model calls, so that an outage does not multiply the load.
type retryBudget struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	available float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, available: burst}
}

// deposit adds the contribution of one request, which is the ratio, up to the burst.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.ratio)
}

// covers reports whether the budget covers the cost now.
func (b *retryBudget) covers(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available >= cost
}

// tryWithdraw withdraws the cost if the budget covers it, and reports whether it did.
func (b *retryBudget) tryWithdraw(cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < cost {
		return false
	}
	b.available -= cost
	return true
}
