package assembler

import (
	"sync"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

// spareDaemons are counted beside those that are known: some may not have been heard of yet.
const spareDaemons = 3

// budgets holds this daemon's part of the retry budget of each service. All parts together stay
// within the budget, since each request pays for its share where it arrives and the rest is divided
// by the number of daemons.
type budgets struct {
	settings func() *loader.Hosted
	// peers counts the other daemons that were heard of lately.
	peers func() int

	mu        sync.Mutex
	byService map[string]*limiter.Budget
}

func newBudgets(settings func() *loader.Hosted, peers func() int) *budgets {
	return &budgets{settings: settings, peers: peers, byService: make(map[string]*limiter.Budget)}
}

// Deposit counts a request to a service.
func (b *budgets) Deposit(service string) { b.of(service).Deposit() }

// Withdraw asks to send a request of the service once more.
func (b *budgets) Withdraw(service string) bool {
	budget := b.of(service)
	budget.SetBurst(b.burst())
	return budget.Withdraw()
}

func (b *budgets) burst() float64 {
	return max(float64(b.settings().RetryBurst)/float64(b.peers()+1+spareDaemons), 1)
}

func (b *budgets) of(service string) *limiter.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = limiter.NewBudget(limiter.BudgetSettings{Ratio: b.settings().RetryRatio, Burst: b.burst()})
		b.byService[service] = budget
	}
	return budget
}
