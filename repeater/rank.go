package repeater

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// MinDaemons is the number of daemons of a data centre from which on they read the store through each other. Fewer of
// them save little, and each is better off with its own contact.
const MinDaemons = 4

// Daemon is a daemon of the data centre.
type Daemon struct {
	Name    string
	Address netip.AddrPort
}

func (d Daemon) rank() uint64 { return xxh3.HashString("store reader " + d.Name) }

// Sources returns the daemons from which a daemon may read, best first: those that rank before it. The first daemon of
// a data centre has none and reads the store. If there are fewer than MinDaemons, there are none either.
func Sources(self string, peers []Daemon, alive func(Daemon) bool) (sources []netip.AddrPort) {
	if len(peers)+1 < MinDaemons {
		return nil
	}
	own := Daemon{Name: self}.rank()
	var before []Daemon
	for _, peer := range peers {
		if peer.rank() < own && alive(peer) {
			before = append(before, peer)
		}
	}
	slices.SortFunc(before, func(a, b Daemon) int { return cmp.Compare(a.rank(), b.rank()) })
	for _, peer := range before {
		sources = append(sources, peer.Address)
	}
	return sources
}
