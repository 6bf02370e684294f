package assembler

import (
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/poller"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

const (
	// eventsWait is how long an engine may hold a question for cache events.
	eventsWait = 800 * time.Millisecond
	// eventsInterval is the time between two questions to a busy engine.
	eventsInterval = 300 * time.Millisecond
	// warmUp is how long a daemon that starts asks all engines, so that it knows what they hold.
	warmUp = 3 * time.Second
	// warmUpPeers is the number of daemons beyond which only the assigned ones ask: an engine
	// takes few such questions at once.
	warmUpPeers = 10
)

// caches follows what engines and the store of cached parts hold. Each of them is asked by one
// daemon of its data centre, which tells the others.
type caches struct {
	poller *poller.Poller[placer.CacheEvents]

	mu      sync.Mutex
	engines []placer.Target
	store   netip.AddrPort
	// storeIn is the data centre of the store.
	storeIn string
	peers   []tracker.Peer
}

func (d *Daemon) newPoller() *poller.Poller[placer.CacheEvents] {
	return poller.New(poller.Settings[placer.CacheEvents]{
		Engines: platform.Engines{Connector: d.targets}, Observer: d.knowledge.places, Assigned: d.assigned,
		EventWait: eventsWait, EventInterval: eventsInterval,
	})
}

// targetsChanged hands the targets to all that follow them.
func (d *Daemon) targetsChanged(targets []placer.Target) {
	d.knowledge.places.SetTargets(targets)
	d.caches.mu.Lock()
	d.caches.engines = nil
	for _, target := range targets {
		if len(target.Versions) > 0 {
			d.caches.engines = append(d.caches.engines, target)
		}
	}
	d.caches.mu.Unlock()
	d.caches.update()
}

func (c *caches) setStore(catalog *cataloger.Catalog) {
	c.mu.Lock()
	c.store, c.storeIn = netip.AddrPort{}, ""
	if store, found := catalog.CacheStore(); found {
		c.store, c.storeIn = store.Address, store.DataCentre
	}
	c.mu.Unlock()
	c.update()
}

// update tells the poller whom to ask.
func (c *caches) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var asked []poller.Target
	for _, engine := range c.engines {
		asked = append(asked, poller.Target{Name: engine.ID, Address: engine.Address})
	}
	if c.store.IsValid() {
		asked = append(asked, poller.Target{Name: placer.StoreName, Address: c.store})
	}
	c.poller.SetTargets(asked)
}

// peersChanged hands the other daemons to all that follow them.
func (d *Daemon) peersChanged(peers []tracker.Peer) {
	var addresses []netip.AddrPort
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	d.peers.SetPeers(addresses)
	d.caches.mu.Lock()
	defer d.caches.mu.Unlock()
	d.caches.peers = peers
}

// assigned says whether this daemon asks the engine or store: the one of its data centre with the
// highest score does, or of all data centres where that one has no daemon.
func (d *Daemon) assigned(name string) bool {
	c := &d.caches
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(d.started) < warmUp && len(c.peers) < warmUpPeers {
		return true
	}
	dataCentre := c.dataCentre(name)
	own := tracker.Peer{Key: hostsPrefix + d.settings.Name, DataCentre: d.settings.DataCentre}
	near := c.near(dataCentre)
	if len(near) > 0 && own.DataCentre != dataCentre {
		return false
	}
	if len(near) == 0 && own.DataCentre != dataCentre {
		near = c.peers
	}
	for _, peer := range near {
		if !d.knowledge.places.Hears(strings.TrimPrefix(peer.Key, hostsPrefix)) {
			continue // It may have ended: its entry stays for some time.
		}
		if score(peer, name) > score(own, name) {
			return false
		}
	}
	return true
}

func (c *caches) dataCentre(name string) string {
	for _, engine := range c.engines {
		if engine.ID == name {
			return engine.DataCentre
		}
	}
	return c.storeIn
}

// near lists the peers of a data centre.
func (c *caches) near(dataCentre string) (near []tracker.Peer) {
	for _, peer := range c.peers {
		if peer.DataCentre == dataCentre {
			near = append(near, peer)
		}
	}
	return near
}

func score(peer tracker.Peer, name string) uint64 { return xxh3.HashString(peer.Key + " " + name) }
