package broadcaster

import (
	"net/netip"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/ranker"
)

// Peer is another daemon.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// LinkMegabits is the bandwidth of the daemon's link in Mbit/s.
	LinkMegabits float64
}

// compareRanks orders the daemons of a data centre. The largest link comes first, since an aggregator sends as much as all
// others of its data centre together.
func compareRanks(a, b Peer) int {
	return ranker.Compare("aggregator", ranker.Member{Name: a.Name, LinkMegabits: a.LinkMegabits}, ranker.Member{Name: b.Name, LinkMegabits: b.LinkMegabits})
}

// topology is the set of daemons, by data centre and rank.
type topology struct {
	self Peer
	// local are the daemons of the own data centre by rank, including self, and remote those of each other data centre.
	local  []Peer
	remote map[string][]Peer
	// remoteOf is the data centre of each daemon in remote, by name.
	remoteOf map[string]string
	// addresses are the addresses of all daemons except self, by name.
	addresses map[string]netip.AddrPort
	// peerCount counts all daemons except self.
	peerCount int
}

func newTopology(self Peer, peers []Peer) *topology {
	t := &topology{self: self, local: []Peer{self}, remote: make(map[string][]Peer), remoteOf: make(map[string]string), peerCount: len(peers), addresses: make(map[string]netip.AddrPort, len(peers))}
	for _, peer := range peers {
		t.addresses[peer.Name] = peer.Address
		if peer.DataCentre == self.DataCentre {
			t.local = append(t.local, peer)
		} else {
			t.remote[peer.DataCentre] = append(t.remote[peer.DataCentre], peer)
			t.remoteOf[peer.Name] = peer.DataCentre
		}
	}
	slices.SortFunc(t.local, compareRanks)
	for _, daemons := range t.remote {
		slices.SortFunc(daemons, compareRanks)
	}
	return t
}

// dataCentreOf returns the data centre of a daemon of another one, or the empty string if the daemon is not known.
func (t *topology) dataCentreOf(name string) string { return t.remoteOf[name] }

// localPeer returns the daemon of the own data centre with a name, or one with the name alone if it is not known.
func (t *topology) localPeer(name string) Peer {
	for _, daemon := range t.local {
		if daemon.Name == name {
			return daemon
		}
	}
	return Peer{Name: name}
}

// find returns the daemon with a name.
func (t *topology) find(name string) (peer Peer, found bool) {
	for _, daemons := range t.remote {
		if i := slices.IndexFunc(daemons, func(p Peer) bool { return p.Name == name }); i >= 0 {
			return daemons[i], true
		}
	}
	peer = t.localPeer(name)
	return peer, peer.Address.IsValid()
}

// aggregated reports whether there are too many daemons for each to send to every other.
func (t *topology) aggregated() bool { return t.peerCount > maxDirectPeers }

// upstream returns the local daemons to which self sends its state: the aggregator, which is the first one that is alive,
// and those before it, which may be alive again. If none that ranks before self is alive, these are the first ones up to
// self, at most limit.
func (t *topology) upstream(limit int, alive func(Peer) bool) []Peer {
	for i, daemon := range t.local {
		if daemon.Name == t.self.Name {
			return t.local[:min(limit, i+1)]
		}
		if alive(daemon) {
			return t.local[:i+1]
		}
	}
	return nil
}

// remoteAggregators returns the daemons of the other data centres to which an aggregator sends: those that send to it, and
// in each data centre without any the first ones, up to limit(data centre).
func (t *topology) remoteAggregators(sends func(Peer) bool, limit func(dataCentre string) int) (receivers []Peer) {
	for dataCentre, daemons := range t.remote {
		senders := slices.DeleteFunc(slices.Clone(daemons), func(p Peer) bool { return !sends(p) })
		if len(senders) == 0 {
			senders = daemons[:min(len(daemons), limit(dataCentre))]
		}
		receivers = append(receivers, senders...)
	}
	return receivers
}
