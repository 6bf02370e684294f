package placer

import (
	"cmp"
	"maps"
	"slices"
)

// ServiceHash identifies a service in the messages between daemons.
type ServiceHash uint32

// AccountHash identifies a client account in the messages between daemons.
type AccountHash uint32

// OtherAccounts stands for all accounts that are not listed one by one. No account has this hash.
const OtherAccounts AccountHash = 0

// AccountDemand is the work that requests of a client account demanded of a service lately, admitted or not. The sums
// of several daemons add up. See package admitter for the unit of work.
type AccountDemand struct {
	Service ServiceHash
	Account AccountHash
	// Accounts is the number of accounts; above one only in the sum of accounts that are not listed one by one.
	Accounts int
	// Usual is the work per second that is admitted in the long run.
	Usual int
	// Work is the work demanded within the last second, by urgency.
	Work [Urgencies]int
}

// Total returns the work of all urgencies.
func (d AccountDemand) Total() (work int) {
	for _, demanded := range d.Work {
		work += demanded
	}
	return work
}

// Plus returns the sum of both demands, which are of the same account.
func (d AccountDemand) Plus(other AccountDemand) AccountDemand {
	for urgency, work := range d.Work {
		other.Work[urgency] += work
	}
	other.Usual += d.Usual
	if other.Account == OtherAccounts {
		other.Accounts += d.Accounts
	}
	return other
}

// Minus returns the demand without that of other, but no negative numbers.
func (d AccountDemand) Minus(other AccountDemand) AccountDemand {
	for urgency, work := range other.Work {
		d.Work[urgency] = max(d.Work[urgency]-work, 0)
	}
	d.Usual = max(d.Usual-other.Usual, 0)
	return d
}

// ServiceSupply is what became lately of the work that requests of client accounts demanded of a service. The sums of
// several daemons add up.
type ServiceSupply struct {
	Service ServiceHash
	// Served is the work of requests that began within the last second, and Late the part of it that began late.
	Served, Late int
	// Refused is the work of requests that were refused within the last second for lack of capacity or time.
	Refused int
	// Shed is the work of requests that were not admitted within the last second.
	Shed int
}

// Plus returns the sum of both, which are of the same service.
func (s ServiceSupply) Plus(other ServiceSupply) ServiceSupply {
	other.Served += s.Served
	other.Late += s.Late
	other.Refused += s.Refused
	other.Shed += s.Shed
	return other
}

// Minus returns the numbers without those of other, but no negative ones.
func (s ServiceSupply) Minus(other ServiceSupply) ServiceSupply {
	s.Served = max(s.Served-other.Served, 0)
	s.Late = max(s.Late-other.Late, 0)
	s.Refused = max(s.Refused-other.Refused, 0)
	s.Shed = max(s.Shed-other.Shed, 0)
	return s
}

// MaxAccountDemands is the number of accounts that are listed in one message.
const MaxAccountDemands = 64

// LargestDemands returns the largest demands, and for each service the sum of the others as one of OtherAccounts. It orders
// the demands by size.
func LargestDemands(demands []AccountDemand) []AccountDemand {
	slices.SortFunc(demands, func(a, b AccountDemand) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service))
	})
	others := make(map[ServiceHash]AccountDemand)
	var largest []AccountDemand
	for _, demand := range demands {
		if demand.Account != OtherAccounts && len(largest) < MaxAccountDemands {
			largest = append(largest, demand)
			continue
		}
		demand.Account = OtherAccounts
		others[demand.Service] = others[demand.Service].Plus(demand)
	}
	for _, service := range slices.Sorted(maps.Keys(others)) {
		largest = append(largest, others[service])
	}
	return largest
}
