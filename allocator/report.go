package allocator

import (
	"cmp"
	"slices"
)

// maxReported is the number of accounts whose usage is reported one by one.
const maxReported = 32

// role is what a daemon does for the quotas. Each change is logged.
type role struct {
	coordinator string
	creates     bool
	daemons     int
}

// Active reports whether there are quotas.
func (n *Node) Active() bool { return len(n.accounts) > 0 }

// role returns the role of the daemon.
func (n *Node) role() role {
	r := role{creates: n.terms.creates, daemons: n.roster.count(n.now)}
	if n.parent != nil {
		r.coordinator = n.parent.Name
	}
	return r
}

// logRole logs a change of the role. The caller holds the lock.
func (a *Allocator) logRole() {
	if !a.node.Active() {
		return
	}
	now := a.node.role()
	if now == a.role {
		return
	}
	a.settings.Logger.Info("quota coordination changed",
		"coordinator", now.coordinator, "creates", now.creates, "daemons", now.daemons, "share", a.node.terms.share,
		"contact_age_ms", a.settings.ContactAge().Milliseconds(), "may_create", a.node.roster.mayCreate(a.node.now),
		"before", a.role.coordinator, "created_before", a.role.creates)
	a.role = now
}

// AccountUsage is the usage of one account, or that of the accounts without an entry of their own if Account is empty.
type AccountUsage struct {
	Account string
	Usage
	// Waiting is the number of requests that wait now.
	Waiting uint64
}

// Report returns the usage at this daemon of the accounts that used most, and the sum of the rest.
func (a *Allocator) Report() (usages []AccountUsage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, account := range a.node.accounts {
		if account.usage == (Usage{}) && len(account.entries) == 0 {
			continue
		}
		usages = append(usages, AccountUsage{Account: account.name, Usage: account.usage, Waiting: uint64(len(account.entries))})
	}
	slices.SortFunc(usages, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Used+b.Granted, a.Used+a.Granted), cmp.Compare(a.Account, b.Account))
	})
	if len(usages) <= maxReported {
		return usages
	}
	var rest AccountUsage
	for _, usage := range usages[maxReported:] {
		rest.Used += usage.Used
		rest.Granted += usage.Granted
		rest.Refunded += usage.Refunded
		rest.Refused += usage.Refused
		rest.Waited += usage.Waited
		rest.Waiting += usage.Waiting
	}
	return append(usages[:maxReported], rest)
}

// Creates reports whether the daemon creates the units that it grants, and does not get them from a coordinator.
func (n *Node) Creates() bool { return n.terms.creates }
