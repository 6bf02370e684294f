package limiter

import "sync"

// undiscoveredDaemons is added to the number of known daemons, since there may be daemons that this one does not know yet.
const undiscoveredDaemons = 3

// FleetRetrySettings are the parameters of FleetRetryBudgets. The functions are called for each retry.
type FleetRetrySettings struct {
	// Ratio and Burst bound the retries to a service by all daemons together to Ratio times the number of its requests
	// plus Burst.
	Ratio, Burst func() float64
	// Peers returns the number of other daemons that this one knows, and whether it has read at least once which there are.
	Peers func() (count int, known bool)
}

// FleetRetryBudgets holds a daemon's part of the retry budget of each service. The parts of all daemons add up
// to no more than the budget: each request adds Ratio only at the daemon where it arrives, and the burst is divided by the
// number of daemons. A daemon starts without retries, since it does not know what the process before it has used, and saves up
// at most one until it has read which others there are.
type FleetRetryBudgets struct {
	settings FleetRetrySettings

	mu        sync.Mutex
	byService map[string]*RetryBudget
}

// NewFleetRetryBudgets returns budgets for services that are named by the first calls.
func NewFleetRetryBudgets(settings FleetRetrySettings) *FleetRetryBudgets {
	return &FleetRetryBudgets{settings: settings, byService: make(map[string]*RetryBudget)}
}

// Deposit adds the retry ratio of one request to the budget of the service.
func (b *FleetRetryBudgets) Deposit(service string) { b.forService(service).Deposit() }

// TryWithdraw takes one retry from the budget of the service and reports whether the budget had one left.
func (b *FleetRetryBudgets) TryWithdraw(service string) bool {
	budget := b.forService(service)
	budget.SetBurst(b.burst())
	return budget.TryWithdraw()
}

func (b *FleetRetryBudgets) burst() float64 {
	peers, known := b.settings.Peers()
	if !known {
		return 1
	}
	return max(b.settings.Burst()/float64(peers+1+undiscoveredDaemons), 1)
}

func (b *FleetRetryBudgets) forService(service string) *RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = NewRetryBudget(RetryBudgetSettings{Ratio: b.settings.Ratio(), Burst: b.burst(), StartsEmpty: true})
		b.byService[service] = budget
	}
	return budget
}
