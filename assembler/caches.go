package assembler

import (
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/poller"
	"github.com/rosemaryrill/rosemaryrill/ranker"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

const (
	// eventsPollTimeout is the long-poll timeout of a request for cache events.
	eventsPollTimeout = 800 * time.Millisecond
	// eventsPollInterval is the pause between two polls of an engine if the first of them returned events.
	eventsPollInterval = 300 * time.Millisecond
	// warmUpDuration is how long a starting daemon polls all engines, to learn the contents of their
	// caches.
	warmUpDuration = 3 * time.Second
	// maxWarmUpPeers bounds the polling of all engines: a starting daemon with this many peers or more
	// polls only the engines assigned to it, since an engine accepts only a few concurrent polls.
	maxWarmUpPeers = 10
)

// cachePolling polls the cache events of engines and of the cache stores, which store cached prompt parts
// for engines. Each engine and each cache store is polled by one daemon, which sends the changes to the other
// daemons. See isAssigned for which daemon that is.
type cachePolling struct {
	poller *poller.Poller[placer.CacheEvents]

	mu      sync.Mutex
	engines []placer.Target
	stores  []placer.CacheStore
	peers   []tracker.Peer
}

func (d *Daemon) newPoller() *poller.Poller[placer.CacheEvents] {
	return poller.New(poller.Settings[placer.CacheEvents]{
		Engines: d.engineClient(), Observer: d.view.placer, Assigned: d.isAssigned,
		EventWait: eventsPollTimeout, EventInterval: eventsPollInterval, Logger: d.loggerFor("poller"),
		OnPoll: d.view.placer.ObserveStorePoll,
	})
}

func (d *Daemon) engineClient() platform.EngineClient {
	return platform.EngineClient{Connector: d.connector, Observer: d.view.placer, Memory: d.memory.Answers()}
}

// applyTargets passes the targets to the placer and the engines among them to the poller.
func (d *Daemon) applyTargets(targets []placer.Target) {
	d.origins.versions.SetTargets(targets)
	d.view.placer.SetTargets(targets)
	d.cachePolling.mu.Lock()
	d.cachePolling.engines = nil
	for _, target := range targets {
		if len(target.Versions) > 0 {
			d.cachePolling.engines = append(d.cachePolling.engines, target)
		}
	}
	d.cachePolling.mu.Unlock()
	d.cachePolling.updateTargets()
}

func (c *cachePolling) setStores(stores []placer.CacheStore) {
	c.mu.Lock()
	c.stores = stores
	c.mu.Unlock()
	c.updateTargets()
}

// updateTargets sets the poller's targets to the engines and the cache stores.
func (c *cachePolling) updateTargets() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var polled []poller.Target
	for _, engine := range c.engines {
		polled = append(polled, poller.Target{Name: engine.ID, Address: engine.Address})
	}
	for _, store := range c.stores {
		if store.Address.IsValid() {
			polled = append(polled, poller.Target{Name: store.Name, Address: store.Address})
		}
	}
	c.poller.SetTargets(polled)
}

// applyPeers passes the other daemons to the broadcaster, the allocator and the shared store, their names to the attributor and the placer,
// and the daemons to the assignment of the polling.
func (d *Daemon) applyPeers(peers []tracker.Peer, own tracker.OwnEntry) {
	receivers, names := make([]broadcaster.Peer, 0, len(peers)), make([]string, 0, len(peers))
	for _, peer := range peers {
		receivers = append(receivers, broadcastPeer(peer))
		names = append(names, receivers[len(receivers)-1].Name)
	}
	d.view.attributor.SetPeers(names)
	d.broadcaster.SetPeers(receivers)
	d.view.placer.SetPeers(names)
	d.setOriginPeers(receivers, names)
	d.accounts.SetPeers(names)
	d.setDelegates(receivers)
	d.sharing.setPeers(d.settings.DataCentre, receivers)
	d.setQuotaPeers(receivers, own)
	d.catchUpWith(receivers)
	d.cachePolling.mu.Lock()
	defer d.cachePolling.mu.Unlock()
	d.cachePolling.peers = peers
}

func broadcastPeer(peer tracker.Peer) broadcaster.Peer {
	return broadcaster.Peer{Name: strings.TrimPrefix(peer.Key, hostsPrefix), Address: peer.Address, DataCentre: peer.DataCentre, LinkMegabits: peer.LinkMegabits}
}

// isAssigned reports whether this daemon polls the named engine or cache store. The first daemon by ranker.Position
// among those in the data centre of the engine or cache store polls it. If that data centre has no daemon, the first
// one of all data centres does. While a daemon warms up, it polls all engines and cache stores, see warmUpDuration
// and maxWarmUpPeers.
func (d *Daemon) isAssigned(name string) bool {
	c := &d.cachePolling
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(d.startTime) < warmUpDuration && len(c.peers) < maxWarmUpPeers {
		return true
	}
	dataCentre := c.dataCentreOf(name)
	own := tracker.Peer{Key: hostsPrefix + d.settings.Name, DataCentre: d.settings.DataCentre}
	candidates := c.peersIn(dataCentre)
	if len(candidates) > 0 && own.DataCentre != dataCentre {
		return false
	}
	if len(candidates) == 0 && own.DataCentre != dataCentre {
		candidates = c.peers
	}
	var others []string
	for _, peer := range candidates {
		if d.broadcaster.Alive(broadcastPeer(peer)) { // The presence entry of a stopped peer remains until it expires.
			others = append(others, peer.Key)
		}
	}
	return ranker.Position(own.Key, others, xxh3.HashString(name)) == 0
}

func (c *cachePolling) dataCentreOf(name string) string {
	for _, engine := range c.engines {
		if engine.ID == name {
			return engine.DataCentre
		}
	}
	for _, store := range c.stores {
		if store.Name == name {
			return store.DataCentre
		}
	}
	return ""
}

// peersIn returns the peers in the data centre.
func (c *cachePolling) peersIn(dataCentre string) (peers []tracker.Peer) {
	for _, peer := range c.peers {
		if peer.DataCentre == dataCentre {
			peers = append(peers, peer)
		}
	}
	return peers
}
