package broadcaster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The field numbers of fieldDemand.
const (
	fieldService protowire.Number = 1
	fieldAccount protowire.Number = 2
	// fieldUsual is the work per second of an account that is admitted in the long run. The work demanded lately follows, by urgency.
	fieldUsual      protowire.Number = 3
	fieldDemanded                    = fieldUsual + 1
	fieldAccounts                    = fieldDemanded + placer.Urgencies
	fieldServedWork protowire.Number = 3
	fieldLateWork   protowire.Number = 4
	// fieldRefusedWork is the work that was refused for lack of capacity or time.
	fieldRefusedWork protowire.Number = 5
	fieldShedWork    protowire.Number = 6
)

// demandInterval is the shortest time between two messages of an aggregator with demands. Three of them fit into
// contributionTimeout, so that the loss of two does no harm.
const demandInterval = 250 * time.Millisecond

func appendDemands(datagram []byte, update placer.PeerUpdate) []byte {
	for _, supply := range update.ServiceSupplies {
		datagram = appendVarints(datagram, fieldDemand, uint64(supply.Service), 0, uint64(max(supply.Served, 0)), uint64(max(supply.Late, 0)), uint64(max(supply.Refused, 0)), uint64(max(supply.Shed, 0)))
	}
	for _, demand := range update.AccountDemands {
		values := []uint64{uint64(demand.Service), uint64(demand.Account), uint64(max(demand.Usual, 0))}
		for _, work := range demand.Work {
			values = append(values, uint64(max(work, 0)))
		}
		datagram = appendVarints(datagram, fieldDemand, append(values, uint64(max(demand.Accounts, 1)))...)
	}
	return datagram
}

// addDemand adds the submessage to the demands of accounts, or to what became of the work of services.
func (s submessage) addDemand(update *placer.PeerUpdate) {
	service := placer.ServiceHash(s.numbers[fieldService])
	if s.numbers[fieldAccounts] == 0 {
		update.ServiceSupplies = append(update.ServiceSupplies, placer.ServiceSupply{
			Service: service, Served: s.count(fieldServedWork), Late: s.count(fieldLateWork), Refused: s.count(fieldRefusedWork), Shed: s.count(fieldShedWork),
		})
		return
	}
	demand := placer.AccountDemand{
		Service: service, Account: placer.AccountHash(s.numbers[fieldAccount]), Accounts: s.count(fieldAccounts), Usual: s.count(fieldUsual),
	}
	for urgency := range demand.Work {
		demand.Work[urgency] = s.count(fieldDemanded + protowire.Number(urgency))
	}
	update.AccountDemands = append(update.AccountDemands, demand)
}

// demandReports are the demands that senders last told, by the name of the sender.
type demandReports map[string]demandReport

type demandReport struct {
	update     placer.PeerUpdate
	receivedAt time.Time
}

// current returns the demands, or none if they were not told lately.
func (r demandReport) current(now time.Time) placer.PeerUpdate {
	if now.Sub(r.receivedAt) > contributionTimeout {
		return placer.PeerUpdate{}
	}
	return r.update
}

// record keeps the demands of an update. An update without any leaves the known ones valid.
func (r demandReports) record(sender string, update placer.PeerUpdate, now time.Time) {
	if len(update.ServiceSupplies) > 0 {
		r[sender] = demandReport{
			update:     placer.PeerUpdate{AccountDemands: update.AccountDemands, ServiceSupplies: update.ServiceSupplies},
			receivedAt: now,
		}
	}
}

// demandBook contains the demands that an aggregator knows, by the side of their origin.
type demandBook struct {
	// local are those of the daemons of the data centre, with this one, and remote those of other data centres.
	local, remote demandReports
	filledAt      time.Time
}

func newDemandBook() demandBook {
	return demandBook{local: make(demandReports), remote: make(demandReports)}
}

// fill sets the demands in the states of the data centre and of the fleet, unless that was done within demandInterval.
func (b *demandBook) fill(local, fleet *placer.PeerUpdate, now time.Time) {
	for _, reports := range []demandReports{b.local, b.remote} {
		maps.DeleteFunc(reports, func(_ string, known demandReport) bool { return now.Sub(known.receivedAt) > contributionTimeout })
	}
	if now.Sub(b.filledAt) < demandInterval || len(b.local)+len(b.remote) == 0 {
		return
	}
	b.filledAt = now
	sum := newDemandSum()
	sum.add(b.local)
	local.AccountDemands, local.ServiceSupplies = sum.list()
	sum.add(b.remote)
	fleet.AccountDemands, fleet.ServiceSupplies = sum.list()
}

// demandKey identifies an account's demand of a service.
type demandKey struct {
	service placer.ServiceHash
	account placer.AccountHash
}

func keyOf(demand placer.AccountDemand) demandKey {
	return demandKey{service: demand.Service, account: demand.Account}
}

// demandSum is the sum of the demands of several daemons.
type demandSum struct {
	demands  map[demandKey]placer.AccountDemand
	supplies map[placer.ServiceHash]placer.ServiceSupply
}

func newDemandSum() demandSum {
	return demandSum{demands: make(map[demandKey]placer.AccountDemand), supplies: make(map[placer.ServiceHash]placer.ServiceSupply)}
}

func (s demandSum) add(reports demandReports) {
	for _, known := range reports {
		for _, demand := range known.update.AccountDemands {
			s.demands[keyOf(demand)] = s.demands[keyOf(demand)].Plus(demand)
		}
		for _, supply := range known.update.ServiceSupplies {
			s.supplies[supply.Service] = s.supplies[supply.Service].Plus(supply)
		}
	}
}

func (s demandSum) list() (demands []placer.AccountDemand, supplies []placer.ServiceSupply) {
	supplies = slices.SortedFunc(maps.Values(s.supplies), func(a, b placer.ServiceSupply) int { return cmp.Compare(a.Service, b.Service) })
	return placer.LargestDemands(slices.Collect(maps.Values(s.demands))), supplies
}

// demandsWithout returns the demands of the fleet less the own ones.
func demandsWithout(fleet, own placer.PeerUpdate) (demands []placer.AccountDemand, supplies []placer.ServiceSupply) {
	ownDemands := make(map[demandKey]placer.AccountDemand, len(own.AccountDemands))
	for _, demand := range own.AccountDemands {
		ownDemands[keyOf(demand)] = demand
	}
	for _, demand := range fleet.AccountDemands {
		demands = append(demands, demand.Minus(ownDemands[keyOf(demand)]))
	}
	ownSupplies := make(map[placer.ServiceHash]placer.ServiceSupply, len(own.ServiceSupplies))
	for _, supply := range own.ServiceSupplies {
		ownSupplies[supply.Service] = supply
	}
	for _, supply := range fleet.ServiceSupplies {
		supplies = append(supplies, supply.Minus(ownSupplies[supply.Service]))
	}
	return demands, supplies
}
