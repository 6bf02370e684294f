package assembler

import (
	"cmp"
	"time"

	"github.com/zeebo/errs"

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

// otherAccounts is the label of the accounts whose usage is not reported one by one.
const otherAccounts = "other"

// registerQuotaMetrics registers the metrics of the quotas by account.
func (d *Daemon) registerQuotaMetrics() error {
	metrics := d.observer.Metrics()
	var group errs.Group
	for _, total := range []struct {
		name, description string
		read              func(usage allocator.AccountUsage) uint64
	}{
		{"rill_quota_used", "Units of quotas that requests of this daemon acquired.", func(u allocator.AccountUsage) uint64 { return u.Used }},
		{"rill_quota_refunded", "Units of quotas that were given back, since no target ran the request.", func(u allocator.AccountUsage) uint64 { return u.Refunded }},
		{"rill_quota_granted", "Units of quotas that this daemon granted to others.", func(u allocator.AccountUsage) uint64 { return u.Granted }},
		{"rill_quota_refused", "Requests that were refused since their quota was used up.", func(u allocator.AccountUsage) uint64 { return u.Refused }},
		{"rill_quota_waited", "Requests that waited for their quota.", func(u allocator.AccountUsage) uint64 { return u.Waited }},
	} {
		group.Add(metrics.LabelledTotals(total.name, total.description, "account", func(observe func(string, int64)) {
			for _, usage := range d.quotas.Report() {
				observe(cmp.Or(usage.Account, otherAccounts), int64(total.read(usage)))
			}
		}))
	}
	group.Add(metrics.Gauge("rill_quota_waiting", "Requests that wait for their quota.", func() (waiting int64) {
		for _, usage := range d.quotas.Report() {
			waiting += int64(usage.Waiting)
		}
		return waiting
	}))
	return group.Err()
}
