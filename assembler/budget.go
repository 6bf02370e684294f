package assembler

import (
	"sync"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

// presumedDaemons share the budget where their number is not known.
const presumedDaemons = 12

// budgets holds this daemon's part of the retry budget of each service.
type budgets struct {
	settings loader.Hosted

	mu        sync.Mutex
	byService map[string]*limiter.Budget
}

func newBudgets(settings loader.Hosted) *budgets {
	return &budgets{settings: settings, byService: make(map[string]*limiter.Budget)}
}

// Deposit counts a request to a service.
func (b *budgets) Deposit(service string) { b.of(service).Deposit() }

// Withdraw asks to send a request of the service once more.
func (b *budgets) Withdraw(service string) bool { return b.of(service).Withdraw() }

func (b *budgets) of(service string) *limiter.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = limiter.NewBudget(limiter.BudgetSettings{
			Ratio: b.settings.RetryRatio, Burst: float64(b.settings.RetryBurst) / presumedDaemons,
		})
		b.byService[service] = budget
	}
	return budget
}
