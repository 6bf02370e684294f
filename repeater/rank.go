package repeater

import (
	"net/netip"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/ranker"
)

// MinDaemons is the number of daemons of a data centre from which on they read the store through each other. Fewer of
// them save little, and each is better off with its own contact.
const MinDaemons = 4

// Daemon is a daemon of the data centre.
type Daemon struct {
	Name    string
	Address netip.AddrPort
	// LinkMegabits is the bandwidth of the daemon's link in Mbit/s.
	LinkMegabits float64
}

// compareRanks orders the daemons of a data centre. The largest link comes first.
func compareRanks(a, b Daemon) int {
	return ranker.Compare("store reader", ranker.Member{Name: a.Name, LinkMegabits: a.LinkMegabits}, ranker.Member{Name: b.Name, LinkMegabits: b.LinkMegabits})
}

// Sources returns the daemons from which a daemon may read, best first: those that rank before it. The first daemon of
// a data centre has none and reads the store. If there are fewer than MinDaemons, there are none either.
func Sources(self Daemon, peers []Daemon, alive func(Daemon) bool) (sources []netip.AddrPort) {
	if len(peers)+1 < MinDaemons {
		return nil
	}
	var before []Daemon
	for _, peer := range peers {
		if compareRanks(peer, self) < 0 && alive(peer) {
			before = append(before, peer)
		}
	}
	slices.SortFunc(before, compareRanks)
	for _, peer := range before {
		sources = append(sources, peer.Address)
	}
	return sources
}
