package assembler

import (
	"sync"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

// undiscoveredDaemons is added to the number of known daemons, since there may be daemons from which this
// daemon has not received a datagram yet.
const undiscoveredDaemons = 3

// retryBudgets holds this daemon's part of the retry budget of each service. The parts of all daemons add up
// to no more than the budget: each request adds RetryRatio only at the daemon where it arrives, and
// the burst is divided by the number of daemons.
type retryBudgets struct {
	settings func() *loader.Hosted
	// peers returns the number of other daemons from which datagrams arrived recently.
	peers func() int

	mu        sync.Mutex
	byService map[string]*limiter.RetryBudget
}

func newRetryBudgets(settings func() *loader.Hosted, peers func() int) *retryBudgets {
	return &retryBudgets{settings: settings, peers: peers, byService: make(map[string]*limiter.RetryBudget)}
}

// Deposit adds the retry ratio of one request to the budget of the service.
func (b *retryBudgets) Deposit(service string) { b.forService(service).Deposit() }

// TryWithdraw takes one retry from the budget of the service and reports whether the budget had one left.
func (b *retryBudgets) TryWithdraw(service string) bool {
	budget := b.forService(service)
	budget.SetBurst(b.burst())
	return budget.TryWithdraw()
}

func (b *retryBudgets) burst() float64 {
	return max(b.settings().RetryBurst/float64(b.peers()+1+undiscoveredDaemons), 1)
}

func (b *retryBudgets) forService(service string) *limiter.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = limiter.NewRetryBudget(limiter.RetryBudgetSettings{Ratio: b.settings().RetryRatio, Burst: b.burst()})
		b.byService[service] = budget
	}
	return budget
}
