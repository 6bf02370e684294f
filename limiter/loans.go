package limiter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// demandHeadroom is the multiple of its current demand that a lending daemon keeps.
	demandHeadroom = 1.25
	// minLoanFraction is the smallest fraction of a limit that is lent.
	minLoanFraction = 0.01
	// clockSkewAllowance is how much earlier than the lender the borrower treats a loan as ended.
	clockSkewAllowance = time.Second
	// reservedFraction is the fraction of its even part that a daemon never lends, so that its
	// first calls are not refused. A loan is also not renewed if a borrower would get less than
	// this fraction of what it has now.
	reservedFraction = 0.2
)

// Usage is what a daemon reports to its peers about an account with limits.
type Usage struct {
	Account string
	// DemandFraction is the demand at this daemon, as a fraction of the account's limits.
	DemandFraction float64
	// Lent contains the fractions of the limits that this daemon lends, by the name of the peer.
	Lent map[string]float64
	// LoansEndAt is when the loans end.
	LoansEndAt time.Time
}

// SortByImportance returns the usages in the order of their importance to peers, for a caller
// that can send only the first ones: usages with loans, which a borrower depends on, then the
// largest demands.
func SortByImportance(usages []Usage) []Usage {
	ordered := slices.Clone(usages)
	slices.SortStableFunc(ordered, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(min(1, len(b.Lent)), min(1, len(a.Lent))), cmp.Compare(b.DemandFraction, a.DemandFraction))
	})
	return ordered
}

// peerReport is the last report of another daemon of the data centre, or empty before the first.
type peerReport struct {
	reportedAt time.Time
	usages     map[string]Usage
}

// loan contains the fractions of an account's limits that this daemon has lent, by the name of the
// peer. This daemon may not use them until the loan ends.
type loan struct {
	fractions map[string]float64
	endsAt    time.Time
}

// total returns the sum of the lent fractions, or zero after the end of the loan.
func (l loan) total(now time.Time) float64 {
	if !now.Before(l.endsAt) {
		return 0
	}
	total := 0.0
	for _, fraction := range l.fractions {
		total += fraction
	}
	return total
}

// Usage makes or renews the loans to peers and returns the demand and the loans of this daemon, for
// each account that has a loan or whose demand is at least minLoanFraction of its limits. Call it
// once for each exchange with the peers, and pass the same result to all of them.
func (l *Limiter) Usage() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var usages []Usage
	for name, a := range l.accounts {
		demand := a.demandFraction(now)
		l.renewLoan(a, demand, now)
		if demand < minLoanFraction && a.loan.total(now) == 0 {
			continue
		}
		usage := Usage{Account: name, DemandFraction: demand}
		if now.Before(a.loan.endsAt) {
			usage.Lent, usage.LoansEndAt = maps.Clone(a.loan.fractions), a.loan.endsAt
		}
		usages = append(usages, usage)
	}
	slices.SortFunc(usages, func(a, b Usage) int { return strings.Compare(a.Account, b.Account) })
	return usages
}

// renewLoan extends the loan of an account while this daemon does not need the lent fraction, and
// makes a new loan once the old one has ended. The fractions never change before the loan ends,
// since a peer may have received them and miss the change.
func (l *Limiter) renewLoan(a *account, demand float64, now time.Time) {
	offered := l.computeLoan(a, demand, now)
	if now.Before(a.loan.endsAt) {
		if covers(offered, a.loan.fractions) {
			a.loan.endsAt = now.Add(l.settings.LoanDuration)
		}
		return
	}
	a.loan = loan{}
	if len(offered) > 0 {
		a.loan = loan{fractions: offered, endsAt: now.Add(l.settings.LoanDuration)}
	}
}

// covers reports whether the offered fractions are in total at least as large as the lent ones,
// and for each borrower at least reservedFraction of what it has now.
func covers(offered, lent map[string]float64) bool {
	for name, fraction := range lent {
		if offered[name] < fraction*reservedFraction {
			return false
		}
	}
	return sum(offered) >= sum(lent)
}

func sum(fractions map[string]float64) float64 {
	total := 0.0
	for _, fraction := range fractions {
		total += fraction
	}
	return total
}

// computeLoan divides the fraction that this daemon does not need among the peers whose demand
// exceeds their even part, in proportion to the excess.
func (l *Limiter) computeLoan(a *account, demand float64, now time.Time) map[string]float64 {
	even := l.evenFraction()
	lendable := min(even-demand*demandHeadroom, even*(1-reservedFraction))
	if lendable < minLoanFraction || a.limits == (Limits{}) {
		return nil
	}
	loans := make(map[string]float64)
	for name, known := range l.peers {
		if excess := known.usages[a.name].DemandFraction - even; excess > 0 && now.Sub(known.reportedAt) < l.settings.PeerTimeout {
			loans[name] = excess
		}
	}
	total := sum(loans)
	for name := range loans {
		loans[name] *= min(lendable/total, 1)
	}
	return loans
}

// SetPeers sets the names of the other daemons of the data centre. A daemon that is unreachable
// but may still be running must stay in the list, so that its part of the limits stays reserved.
func (l *Limiter) SetPeers(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make(map[string]*peerReport, len(names))
	for _, name := range names {
		peers[name] = l.peers[name]
		if peers[name] == nil {
			peers[name] = &peerReport{}
		}
	}
	l.peers = peers
}

// ObservePeer records the usage that a peer reported at the given time. Reports of peers that
// SetPeers did not name and reports older than the last one are dropped.
func (l *Limiter) ObservePeer(name string, usages []Usage, reportedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[name]
	if known == nil || reportedAt.Before(known.reportedAt) {
		return
	}
	known.reportedAt = reportedAt
	known.usages = make(map[string]Usage, len(usages))
	for _, usage := range usages {
		known.usages[usage.Account] = usage
	}
}

// evenFraction returns the fraction of each limit that a daemon owns, which is equal for all daemons.
func (l *Limiter) evenFraction() float64 { return 1 / float64(len(l.peers)+1) }

// usableFraction returns the fraction of an account's limits that this daemon may use now: its even
// part, less what it has lent, plus what it has borrowed. The caller holds the lock.
func (l *Limiter) usableFraction(a *account, now time.Time) float64 {
	fraction := l.evenFraction() - a.loan.total(now)
	for _, known := range l.peers {
		usage := known.usages[a.name]
		if now.Before(usage.LoansEndAt.Add(-clockSkewAllowance)) {
			fraction += usage.Lent[l.settings.Name]
		}
	}
	return fraction
}

// demandFraction returns the account's demand at this daemon as a fraction of its limits, for
// the limit that is closest to being reached.
func (a *account) demandFraction(now time.Time) float64 {
	demand := 0.0
	if a.limits.RequestsPerSecond > 0 {
		demand = a.requests.demand.perSecond(now) / a.limits.RequestsPerSecond
	}
	if a.limits.TokensPerSecond > 0 {
		demand = max(demand, a.tokens.demand.perSecond(now)/a.limits.TokensPerSecond)
	}
	if a.limits.MaxConcurrent > 0 {
		demand = max(demand, float64(a.inFlight+a.waitingCalls())/float64(a.limits.MaxConcurrent))
	}
	return demand
}
