package assembler

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/allocator"
	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// newQuotas creates the allocator, whose messages the broadcaster sends.
func (d *Daemon) newQuotas() *allocator.Allocator {
	return allocator.New(allocator.Settings{
		Self:       allocator.Peer{Name: d.settings.Name, DataCentre: d.settings.DataCentre, LinkMegabits: d.settings.Hosted.LinkMegabits},
		Send:       func(daemon string, message []byte) { d.broadcaster.SendQuota(daemon, message) },
		ContactAge: func() time.Duration { return d.view.daemonsFollower.ContactAge() },
		Logger:     d.loggerFor("allocator"),
	})
}

// setQuotaPeers sets the daemons that share the quotas. The entry of this daemon is that of a former process unless it is bound to
// the lease of this one.
func (d *Daemon) setQuotaPeers(peers []broadcaster.Peer, own tracker.OwnEntry) {
	lease, held := d.coordination.presenceLease.Held()
	listing := allocator.Listing{Listed: own.Listed, Earlier: own.Listed && (!held || own.Lease != lease)}
	for _, peer := range peers {
		if peer.Name != d.settings.Name { // The entry of a former process at another address.
			listing.Peers = append(listing.Peers, allocator.Peer{Name: peer.Name, DataCentre: peer.DataCentre, LinkMegabits: peer.LinkMegabits})
		}
	}
	d.quotas.SetListing(listing)
}
