package admitter

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// evaluationInterval is the time between two computations of the ratios.
	evaluationInterval = 100 * time.Millisecond
	// reportTimeout is how long what a peer told of a service counts. It exceeds exportInterval several times.
	reportTimeout = 1200 * time.Millisecond
	// sweepInterval is the time between two searches for accounts that demand nothing any more, and minUsual the work of the
	// last minute below which an account is forgotten.
	sweepInterval = 10 * time.Second
	minUsual      = 10
	// minPeerRatio is the fraction of all demanded work below which the other accounts count as idle: the largest account
	// is alone then, and there is nothing to share.
	minPeerRatio = 0.02
)

// report is what a peer, or the rest of the fleet, told of a service.
type report struct {
	supply     placer.ServiceSupply
	demands    map[placer.AccountHash]placer.AccountDemand
	receivedAt time.Time
}

// service is what is known of one service.
type service struct {
	hash placer.ServiceHash
	// name is empty until this daemon has a request for the service.
	name     string
	accounts map[placer.AccountHash]*account
	sweptAt  time.Time
	// served, late and refused are the work of this daemon's requests that began, began late or were refused.
	served, late, refused decayed
	// shedWork is the work of requests that were not admitted, and perRequest the mean work of this daemon's requests.
	shedWork   decayed
	perRequest float64
	// sharedTokens counts tokens of shared prompt parts, and sharedRead those of them that targets prefilled.
	sharedTokens, sharedRead decayed
	reports                  map[string]report

	shortage    shortage
	evaluatedAt time.Time
	// ratios are those of the accounts that are not admitted entirely. Unlisted accounts have those of placer.OtherAccounts.
	ratios map[placer.AccountHash]Ratios
	shed   shedCount
}

func newService(hash placer.ServiceHash) *service {
	return &service{hash: hash, accounts: make(map[placer.AccountHash]*account), reports: make(map[string]report)}
}

// requestOverhead is the work of a request without its tokens, as a number of tokens to prefill, and outputWeight the work
// of a token of the answer.
const (
	requestOverhead = 400
	outputWeight    = 10
)

// work returns the work of a request: the tokens that a target is expected to prefill, and the weighted ones of the answer.
func (s *service) work(request Request, now time.Time) float64 {
	own := request.PromptTokens - request.SharedTokens
	shared := float64(request.SharedTokens) * s.sharedRatio(now)
	return requestOverhead + float64(max(own, 0)) + shared + outputWeight*float64(request.OutputTokens)
}

// sharedRatio returns the fraction of the tokens of shared prompt parts that targets prefilled lately.
func (s *service) sharedRatio(now time.Time) float64 {
	tokens := s.sharedTokens.at(now, ratioMemory)
	if tokens < 1 {
		return 1
	}
	return min(s.sharedRead.at(now, ratioMemory)/tokens, 1)
}

// meanWeight is the weight of one request in the mean work of requests.
const meanWeight = 0.02

// noteWork adds the work of a request to the mean.
func (s *service) noteWork(work float64) {
	if s.perRequest == 0 {
		s.perRequest = work
	}
	s.perRequest += meanWeight * (work - s.perRequest)
}

// account returns an account, which begins without demand.
func (s *service) account(hash placer.AccountHash, name string) *account {
	known := s.accounts[hash]
	if known == nil {
		known = &account{name: name}
		s.accounts[hash] = known
	}
	return known
}

// sweep forgets accounts that demand nothing any more, and reports of peers that are silent.
func (s *service) sweep(now time.Time) {
	for peer, known := range s.reports {
		if now.Sub(known.receivedAt) > reportTimeout {
			delete(s.reports, peer)
		}
	}
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for hash, known := range s.accounts {
		if known.usual.at(now, usualMemory) < minUsual {
			delete(s.accounts, hash)
		}
	}
}

// evaluate computes the ratios, at most once in evaluationInterval.
func (s *service) evaluate(now time.Time) {
	if now.Sub(s.evaluatedAt) < evaluationInterval {
		return
	}
	s.evaluatedAt = now
	s.sweep(now)
	total := s.totalSupply(now)
	if s.shortage.room == 0 && !total.strained() {
		s.shortage.updatedAt = now
		s.ratios = nil
		return
	}
	demands := s.allDemands(now)
	sum, largest := 0.0, 0.0
	for _, demand := range demands {
		work := float64(demand.Total())
		sum, largest = sum+work, max(largest, work)
	}
	s.shortage.update(total, sum, now)
	s.ratios = nil
	if s.shortage.room > 0 && sum-largest > minPeerRatio*sum {
		s.ratios = ratiosOfAll(s.shortage.room, demands)
	}
}

// ownSupply returns what became of this daemon's requests.
func (s *service) ownSupply(now time.Time) supply {
	return supply{
		served: s.served.at(now, workMemory), late: s.late.at(now, workMemory), refused: s.refused.at(now, workMemory),
		shed: s.shedWork.at(now, workMemory), perRequest: s.perRequest,
	}
}

// totalSupply returns what became of the requests of all known daemons.
func (s *service) totalSupply(now time.Time) supply {
	total := s.ownSupply(now)
	for _, known := range s.reports {
		total.served += float64(known.supply.Served)
		total.late += float64(known.supply.Late)
		total.refused += float64(known.supply.Refused)
		total.shed += float64(known.supply.Shed)
	}
	return total
}

// allDemands returns what the accounts demand at all known daemons.
func (s *service) allDemands(now time.Time) (demands []placer.AccountDemand) {
	sums := make(map[placer.AccountHash]placer.AccountDemand, len(s.accounts))
	for hash, known := range s.accounts {
		sums[hash] = known.demand(s.hash, hash, now)
	}
	for _, known := range s.reports {
		for hash, demand := range known.demands {
			sums[hash] = sums[hash].Plus(demand)
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(sums)) {
		if sums[hash].Total() > 0 {
			demands = append(demands, sums[hash])
		}
	}
	return demands
}

// ratiosOfAll returns the ratios of the accounts whose demand exceeds their share of the room. An account's weight is its usual work plus
// the mean of all accounts: one that demands a multiple of its usual work is shed before a large one that does not, and one
// that has demanded little so far gets a share too.
func ratiosOfAll(room float64, demands []placer.AccountDemand) map[placer.AccountHash]Ratios {
	usual, accounts := 0.0, 0.0
	for _, demand := range demands {
		usual += float64(demand.Usual)
		accounts += float64(demand.Accounts)
	}
	mean := max(usual/accounts, 1)
	weighted := make([]Demand, len(demands))
	for i, demand := range demands {
		weighted[i] = Demand{Work: float64(demand.Total()), Weight: float64(demand.Usual) + mean*float64(demand.Accounts)}
	}
	ratios := make(map[placer.AccountHash]Ratios)
	for i, share := range FairShares(room, weighted) {
		if share >= weighted[i].Work {
			continue
		}
		ratios[demands[i].Account] = ratiosOf(share, floats(demands[i].Work))
	}
	return ratios
}

func floats(work [placer.Urgencies]int) (converted [placer.Urgencies]float64) {
	for urgency, demanded := range work {
		converted[urgency] = float64(demanded)
	}
	return converted
}

// ratio returns the fraction of the requests of an account and urgency that is admitted. An account that no peer listed may
// be one of those of which the peers told only the sum.
func (s *service) ratio(hash placer.AccountHash, urgency int) float64 {
	ratios, limited := s.ratios[hash]
	if !limited && !s.listed(hash) {
		ratios, limited = s.ratios[placer.OtherAccounts]
	}
	if !limited {
		return 1
	}
	return ratios[urgency]
}

// listed reports whether a peer told what the account demands.
func (s *service) listed(hash placer.AccountHash) bool {
	for _, known := range s.reports {
		if _, found := known.demands[hash]; found {
			return true
		}
	}
	return false
}
