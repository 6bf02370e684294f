package limiter

import (
	"cmp"
	"sync"
)

// RetryBudgetSettings configure a RetryBudget. Zero values are replaced by the defaults.
type RetryBudgetSettings struct {
	// Ratio is the number of retries that each admitted call adds to the budget. Default:
	// DefaultRetryRatio.
	Ratio float64
	// Burst is the largest number of retries that the budget holds. Default: DefaultRetryBurst.
	Burst float64
	// StartsEmpty is set if the budget holds no retry at first. Otherwise it is full.
	StartsEmpty bool
}

// RetryBudget limits retries to a fraction of the calls, so that retries cannot amplify an
// overload. Its methods are safe for concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings

	mu    sync.Mutex
	level float64
}

// NewRetryBudget returns a budget.
func NewRetryBudget(settings RetryBudgetSettings) *RetryBudget {
	settings.Ratio = cmp.Or(settings.Ratio, DefaultRetryRatio)
	settings.Burst = cmp.Or(settings.Burst, float64(DefaultRetryBurst))
	budget := &RetryBudget{settings: settings, level: settings.Burst}
	if settings.StartsEmpty {
		budget.level = 0
	}
	return budget
}

// Deposit adds the retries for one admitted call to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.settings.Ratio, b.settings.Burst)
}

// TryWithdraw takes one retry from the budget, or reports false if less than one is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// SetBurst changes the largest number of retries that the budget holds, for example when the
// number of daemons that share a budget changes.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
	b.level = min(b.level, burst)
}
