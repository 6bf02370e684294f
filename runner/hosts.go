package runner

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	hostsPollInterval = time.Second
	hostsDuty         = "hosts"
)

// pollHosts reads the platform's host list every second on platformWatchers daemons of each data
// centre. It passes the addresses of possible other daemons to the gossip membership, and reports
// the targets on leaving hosts to the detector.
func (d *Daemon) pollHosts() {
	ticker := time.NewTicker(hostsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		}
		d.assignment.invalidate()
		if d.gossip.AmongFirst(hostsDuty, platformWatchers) {
			d.readHosts()
		}
	}
}

func (d *Daemon) readHosts() {
	ctx, cancel := context.WithTimeout(context.Background(), hostsPollInterval)
	defer cancel()
	hosts, err := d.store.Hosts(ctx)
	d.outages.observePlatform(err)
	if err != nil {
		return
	}
	objects := d.configuration.Current().Objects()
	d.gossip.SetDiscovered(d.daemonCandidates(hosts, objects))
	leaving := leavingHosts(hosts)
	for i := range objects.Targets {
		target := &objects.Targets[i]
		d.detector.ObserveHostList(target.Name, leaving[target.Address.Addr()])
	}
}

// daemonCandidates returns the addresses at which other daemons may listen: this daemon's peers'
// port on each live host that runs no target.
func (d *Daemon) daemonCandidates(hosts []storer.Host, objects registrar.Objects) []netip.AddrPort {
	targetHosts := make(map[netip.Addr]bool, len(objects.Targets))
	for i := range objects.Targets {
		targetHosts[objects.Targets[i].Address.Addr()] = true
	}
	var candidates []netip.AddrPort
	for _, host := range hosts {
		if host.State == storer.HostLive && !targetHosts[host.Address] {
			candidates = append(candidates, netip.AddrPortFrom(host.Address, d.advertisedAddress().Port()))
		}
	}
	return candidates
}

// leavingHosts returns the addresses of leaving hosts.
func leavingHosts(hosts []storer.Host) map[netip.Addr]bool {
	leaving := make(map[netip.Addr]bool)
	for _, host := range hosts {
		if host.State == storer.HostLeaving {
			leaving[host.Address] = true
		}
	}
	return leaving
}
