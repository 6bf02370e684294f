package gossiper

import (
	"net/netip"

	"github.com/sourcegraph/conc/pool"
)

const (
	maxConcurrentSends = 8
	// remoteNotifierCount is how many daemons of a data centre push configuration digests to other
	// data centres.
	remoteNotifierCount = 3
	remoteNotifierDuty  = "outside"
)

// Broadcast sends the section to all live members of this daemon's data centre, without waiting for
// the next round. It is meant for rare, urgent data, such as the report of a frozen target or of a
// call that crashes targets. It returns when the exchange with each member has succeeded or failed.
func (g *Gossiper) Broadcast(section Section) {
	message := g.buildMessage(0)
	message.Sections = []Section{section}
	g.sendAll(addressesOf(g.table.live()), message)
}

// PushDigest pushes the configuration digest to pushFanOut random members after a change;
// remoteNotifierCount daemons of a data centre also push it to a contact in another one. A receiver
// with an older configuration fetches the new one and then calls PushDigest itself. Members that no
// push reaches see the digest in a later round.
func (g *Gossiper) PushDigest() {
	members := g.table.live()
	g.random.shuffle(members)
	members = members[:min(len(members), pushFanOut)]
	if member, ok := g.pickRandom(g.table.remoteContacts()); ok && g.AmongFirst(remoteNotifierDuty, remoteNotifierCount) {
		members = append(members, member)
	}
	g.sendAll(addressesOf(members), g.buildMessage(0))
}

// Leave notifies the live members of this daemon's data centre that this daemon is shutting down.
func (g *Gossiper) Leave() {
	g.table.leave()
	g.sendAll(addressesOf(g.table.live()), g.buildMessage(0))
}

// sendAll exchanges the message with all addresses, up to maxConcurrentSends at a time, and
// waits for the exchanges.
func (g *Gossiper) sendAll(addresses []netip.AddrPort, message Message) {
	workers := pool.New().WithMaxGoroutines(maxConcurrentSends)
	for _, address := range addresses {
		workers.Go(func() { g.exchange(address, message) })
	}
	workers.Wait()
}

func addressesOf(members []Member) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
