package admitter

import (
	"math"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// exportInterval is the shortest time between two exports.
const exportInterval = 250 * time.Millisecond

// Export returns what accounts demanded of this daemon lately and what became of it, of services that are strained here or
// elsewhere. It returns nothing if the last export was shortly before.
func (a *Admitter) Export() (demands []placer.AccountDemand, supplies []placer.ServiceSupply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	if now.Sub(a.exportedAt) < exportInterval {
		return nil, nil
	}
	for _, s := range a.services {
		s.sweep(now)
		if s.shortage.room == 0 && !s.totalSupply(now).strained() {
			continue
		}
		a.exportedAt = now
		supplies = append(supplies, s.exportSupply(now))
		for hash, known := range s.accounts {
			if demand := known.demand(s.hash, hash, now); demand.Total() > 0 {
				demands = append(demands, demand)
			}
		}
	}
	return placer.LargestDemands(demands), supplies
}

func (s *service) exportSupply(now time.Time) placer.ServiceSupply {
	own := s.ownSupply(now)
	return placer.ServiceSupply{
		Service: s.hash, Served: int(math.Round(own.served)), Late: int(math.Round(own.late)), Refused: int(math.Round(own.refused)),
		Shed: int(math.Round(own.shed)),
	}
}

// Import replaces what a peer, or the rest of the fleet, told of all services. Without numbers, what it told before remains
// valid.
func (a *Admitter) Import(peer string, demands []placer.AccountDemand, supplies []placer.ServiceSupply) {
	if len(demands) == 0 && len(supplies) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	reports := make(map[placer.ServiceHash]report, len(supplies))
	for _, told := range supplies {
		reports[told.Service] = report{supply: told, demands: make(map[placer.AccountHash]placer.AccountDemand), receivedAt: now}
	}
	for _, demand := range demands {
		if told, exists := reports[demand.Service]; exists {
			told.demands[demand.Account] = demand
		}
	}
	for _, s := range a.services {
		delete(s.reports, peer)
	}
	for hash, told := range reports {
		a.service(hash).reports[peer] = told
	}
}
