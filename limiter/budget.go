package limiter

import (
	"cmp"
	"sync"
)

// BudgetSettings bound retries.
type BudgetSettings struct {
	// Ratio is how many retries each admitted call pays for. Default: DefaultRetryRatio.
	Ratio float64
	// Burst is how many retries may be saved up. Default: DefaultRetryBurst.
	Burst float64
}

// Budget bounds retries to a part of the calls, so that retries cannot multiply an overload.
// Its methods are safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu    sync.Mutex
	level float64
}

// NewBudget returns a full budget.
func NewBudget(settings BudgetSettings) *Budget {
	settings.Ratio = cmp.Or(settings.Ratio, DefaultRetryRatio)
	settings.Burst = cmp.Or(settings.Burst, float64(DefaultRetryBurst))
	return &Budget{settings: settings, level: settings.Burst}
}

// Deposit pays for an admitted call.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.settings.Ratio, b.settings.Burst)
}

// Withdraw asks for one retry.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// SetBurst changes how many retries may be saved up, such as when the number of daemons that share
// a budget changes.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
	b.level = min(b.level, burst)
}
