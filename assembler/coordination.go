package assembler

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/leaser"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
	"github.com/rosemaryrill/rosemaryrill/upgrader"
)

// coordination holds this daemon's two leases in the store and its upgrader. Only one daemon's upgrader at a
// time updates the weights of the engines, for the whole deployment.
type coordination struct {
	// presenceLease is the lease of this daemon's presence entry.
	presenceLease *leaser.Leaser
	// upgraderLease is the lease to which the upgrader binds the update lock.
	upgraderLease *leaser.Leaser
	upgrader      *upgrader.Upgrader
}

func (d *Daemon) newCoordination() coordination {
	ttl := d.settings.Hosted.LeaseTime * 2 / 3
	presence := leaser.New(leaser.Settings{
		Store: d.store, TTL: presenceTTL, Logger: d.loggerFor("leaser"),
		Key: hostsPrefix + d.settings.Name, Value: tracker.EncodePeer(tracker.Peer{
			Address: d.settings.PeersAdvertise, DataCentre: d.settings.DataCentre, LinkMegabits: d.settings.Hosted.LinkMegabits,
		}),
	})
	lease := leaser.New(leaser.Settings{
		Store: d.store, TTL: ttl, RenewalInterval: func() time.Duration { return d.renewalInterval(ttl) }, Logger: d.loggerFor("leaser"),
		OnDemand: true, OnAcquired: func() { d.coordination.upgrader.Wake() },
	})
	return coordination{presenceLease: presence, upgraderLease: lease, upgrader: upgrader.New(upgrader.Settings{
		Name: d.settings.Name, Store: d.store, Lease: lease, Engines: d.engineClient(),
		Placer: d.view.placer, Logger: d.loggerFor("upgrader"), TakeOverDelay: d.settings.Hosted.LeaseTime, LeaseTTL: ttl,
		OnPlanChange: func() { d.broadcaster.SendNow() },
	})}
}

// noticeRestores returns the settings of a follower after whose contacts in a later era of the store the daemon renews its
// leases at once. The store has lost them, and the entries that are bound to them, if they were granted after the copy from
// which it came back.
func (d *Daemon) noticeRestores(settings follower.Settings) follower.Settings {
	var known storer.Version
	onContact := settings.OnContact
	settings.OnContact = func(revision storer.Version, contact clocker.Instant) {
		onContact(revision, contact)
		if known != 0 && revision.Era() > known.Era() {
			d.coordination.presenceLease.RenewNow()
			d.coordination.upgraderLease.RenewNow()
		}
		known = revision
	}
	return settings
}

// renewalInterval returns the time between two renewals of the upgrader's lease. The holder of the update
// lock renews it more often, since it sends orders only while the last renewal is younger than
// upgrader.MaxOrderLeaseAge.
func (d *Daemon) renewalInterval(ttl time.Duration) time.Duration {
	if d.coordination.upgrader != nil && d.coordination.upgrader.HoldsLock() {
		return upgrader.MaxOrderLeaseAge / 3
	}
	return ttl / 3
}
