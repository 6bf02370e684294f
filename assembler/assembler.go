// Package assembler puts the parts of a daemon on a hosting platform together.
//
// It is the counterpart of package runner: the same kind of daemon, whose configuration, targets
// and agreements come from the platform's store, and whose callers and targets speak the
// platform's form of HTTP. It is the only package that imports package platform.
//
// # Usage
//
//	daemon, err := assembler.New(ctx, assembler.Settings{Settings: settings, LogOutput: os.Stdout})
//	<-stopped
//	err = daemon.Shutdown()
package assembler

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/convictor"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/leaser"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
	"github.com/rosemaryrill/rosemaryrill/upgrader"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assembler")

const (
	// declarationsWait is how long one watch of the operators' keys waits. Contact is aged from
	// the start of a watch, so it bounds how old contact gets on a calm day.
	declarationsWait = 1900 * time.Millisecond
	// shortestGather, longestGather and gatherPerPeer bound how long changes gather.
	shortestGather = 200 * time.Millisecond
	longestGather  = time.Second
	gatherPerPeer  = 12 * time.Millisecond
	// targetsWait and dutyWait are how long the other watches wait.
	targetsWait = 10 * time.Second
	dutyWait    = 10 * time.Second
	// denialAge is the age of contact beyond which a watch of the operators' keys must have failed.
	denialAge = 2*declarationsWait + 400*time.Millisecond
	// keyMargin is kept from the bound on revoked keys.
	keyMargin = 600 * time.Millisecond
	// memoryShare is the part of the memory at which the collector works harder.
	memoryShare = 0.6
	// collectorPercent trades processor time for memory.
	collectorPercent = 50
	// presenceTTL is how long the entry of a daemon stays that is not heard of. Nothing waits for its end:
	// datagrams to a daemon that has ended are lost, and its work is left to the others by their absence.
	presenceTTL = 12 * time.Second
	// daemonsPrefix holds all keys of the daemons.
	daemonsPrefix = "rill/"
	// hostsPrefix is where daemons say that they run.
	hostsPrefix = "rill/hosts/"
)

// Settings are the parameters of a Daemon.
type Settings struct {
	loader.Settings
	// LogOutput takes the log lines.
	LogOutput io.Writer
	// LogParts names the parts whose debug lines are logged too.
	LogParts []string
}

// knowledge is what the daemon believes of its deployment.
type knowledge struct {
	declarations *tracker.Declarations
	targets      *tracker.Targets
	peers        *tracker.Peers
	followers    []*follower.Follower
	contact      *follower.Follower
	places       *placer.Placer
	strikes      *convictor.Convictor
	upgrader     *upgrader.Upgrader
}

// Catalog returns the configuration in force.
func (k *knowledge) Catalog() *cataloger.Catalog { return k.declarations.Catalog() }

// ContactAge is the time since the configuration was known to be the newest.
func (k *knowledge) ContactAge() time.Duration { return k.contact.ContactAge() }

// Complete says whether the configuration, the targets and the daemons were read at least once.
func (k *knowledge) Complete() bool {
	for _, f := range k.followers {
		if !f.Listed() {
			return false
		}
	}
	return k.Catalog() != nil
}

// Export returns what the other daemons should know.
func (k *knowledge) Export() placer.News {
	news := k.places.Export()
	news.Strikes = k.strikes.Export()
	news.Changes = k.upgrader.Plan()
	return news
}

// Import takes over what another daemon knows.
func (k *knowledge) Import(peer string, news placer.News) {
	k.places.Import(peer, news)
	k.upgrader.Hear(news.Changes)
	for _, strike := range news.Strikes {
		k.strikes.Import(strike)
	}
}

// duties is what one daemon does for all.
type duties struct {
	// presence keeps the entry of this daemon, and lease is that of the duty.
	presence *leaser.Leaser
	lease    *leaser.Leaser
	upgrader *upgrader.Upgrader
}

// Daemon is one running daemon.
type Daemon struct {
	settings  Settings
	hosted    atomic.Pointer[loader.Hosted]
	logs      *observer.Outlet
	observer  *observer.Observer
	logger    *slog.Logger
	store     *platform.Store
	targets   *connector.Connector
	knowledge *knowledge
	duties    duties
	edge      *edge
	peers     *broadcaster.Broadcaster
	caches    caches
	started   time.Time
	stopping  atomic.Bool
	cancel    context.CancelFunc
	closing   sync.Once
	closed    error
}

// New starts a daemon.
func New(ctx context.Context, settings Settings) (d *Daemon, err error) {
	defer Error.WrapP(&err)
	if len(settings.Platform) == 0 {
		return nil, errs.New("no address of the platform's store is set")
	}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Hosted.MemoryBytes)))
	d = &Daemon{
		settings: settings,
		logs:     observer.NewOutlet(settings.LogOutput),
		store:    platform.NewStore(settings.Platform[0]),
		targets:  connector.New(connector.Settings{}),
		started:  time.Now(),
	}
	d.hosted.Store(&settings.Hosted)
	if err := d.observe(ctx); err != nil {
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.knowledge = d.newKnowledge()
	d.duties = d.newDuties()
	d.knowledge.upgrader = d.duties.upgrader
	d.caches.poller = d.newPoller()
	d.peers, err = broadcaster.New(broadcaster.Settings{
		Listen: settings.PeersListen, Name: settings.Name, Places: d.knowledge, Logger: d.log("broadcaster"),
	})
	if err != nil {
		return nil, errs.Combine(err, d.close())
	}
	d.follow()
	if d.edge, err = d.newEdge(); err != nil {
		return nil, errs.Combine(err, d.close())
	}
	if err := d.registerGauges(); err != nil {
		return nil, errs.Combine(err, d.edge.close(), d.close())
	}
	for _, f := range d.knowledge.followers {
		f.Start(ctx)
	}
	d.duties.presence.Start(ctx)
	d.duties.lease.Start(ctx)
	d.duties.upgrader.Start(ctx)
	d.logger.Info("daemon started", "name", settings.Name, "data_centre", settings.DataCentre, "callers", settings.CallersListen)
	return d, nil
}

func (d *Daemon) newKnowledge() *knowledge {
	k := &knowledge{}
	k.places = placer.New(placer.Settings{
		DataCentre: d.settings.DataCentre, Now: time.Now, VersionBound: d.settings.Hosted.WeightsSpread,
		Seed: rand.Uint64(),
	})
	k.strikes = convictor.New(convictor.Settings{Alive: k.places.Alive, Now: time.Now})
	k.declarations = tracker.NewDeclarations(tracker.DeclarationsSettings{
		Decode: decodeDeclared,
		Accepted: func(catalog *cataloger.Catalog) {
			k.places.SetEngines(engines(catalog))
			k.places.SetStore(partStore(catalog))
			d.caches.setStore(catalog)
		},
		Wanted: func(weights tracker.Weights) {
			d.logger.Info("weights wanted", "model", weights.Model, "version", weights.Version)
			k.places.Want(weights.Model, weights.Version, !d.starting())
			d.duties.upgrader.Wake()
		},
		Logger: d.log("tracker"),
	})
	k.targets = tracker.NewTargets(tracker.TargetSettings{
		Decode: platform.DecodeTarget, Changed: d.targetsChanged, Logger: d.log("tracker"),
	})
	k.peers = tracker.NewPeers(tracker.PeersSettings{
		Own: d.settings.PeersAdvertise, Logger: d.log("tracker"),
		Changed: d.peersChanged,
	})
	return k
}

// starting says whether what the daemon reads may have been written long before.
func (d *Daemon) starting() bool { return time.Since(d.started) < time.Second }

func (d *Daemon) newDuties() duties {
	ttl := d.settings.Hosted.LeaseTime * 2 / 3
	presence := leaser.New(leaser.Settings{
		Store: d.store, TTL: presenceTTL, Logger: d.log("leaser"),
		Key: hostsPrefix + d.settings.Name, Value: tracker.EncodePeer(d.settings.PeersAdvertise, d.settings.DataCentre),
	})
	lease := leaser.New(leaser.Settings{
		Store: d.store, TTL: ttl, Interval: func() time.Duration { return d.renewal(ttl) }, Logger: d.log("leaser"),
		OnDemand: true, Acquired: func() { d.duties.upgrader.Wake() },
	})
	return duties{presence: presence, lease: lease, upgrader: upgrader.New(upgrader.Settings{
		Name: d.settings.Name, Store: d.store, Lease: lease, Engines: platform.Engines{Connector: d.targets},
		Places: d.knowledge.places, Logger: d.log("upgrader"), TakeOver: d.settings.Hosted.LeaseTime, LeaseTTL: ttl,
	})}
}

// renewal is the time between two renewals of the lease: a holder of the duty renews more often, since
// it gives orders only under a fresh lease.
func (d *Daemon) renewal(ttl time.Duration) time.Duration {
	if d.duties.upgrader != nil && d.duties.upgrader.Holding() {
		return upgrader.OrderAge / 3
	}
	return ttl / 3
}

// follow lists the prefixes of the store that the daemon follows.
func (d *Daemon) follow() {
	k := d.knowledge
	for _, settings := range []follower.Settings{
		{Prefix: platform.DeclarationsPrefix, Sink: k.declarations, Wait: declarationsWait},
		{Prefix: platform.TargetsPrefix, Sink: k.targets, Wait: targetsWait, Gather: d.gather},
		{Prefix: daemonsPrefix, Sink: tracker.Split{upgrader.KeyPrefix: d.duties.upgrader, hostsPrefix: k.peers}, Wait: dutyWait, Gather: d.gather},
	} {
		settings.Store, settings.Logger = d.store, d.log("follower")
		k.followers = append(k.followers, follower.New(settings))
	}
	k.contact = k.followers[0]
}

// gather is how long changes of targets and daemons gather before they are read: the more daemons there
// are, the longer, since each of them reads each change.
func (d *Daemon) gather() time.Duration {
	return min(max(time.Duration(d.knowledge.places.Peers())*gatherPerPeer, shortestGather), longestGather)
}

// Close stops the daemon at once and waits until all of it has ended. After Shutdown it does nothing.
func (d *Daemon) Close() (err error) {
	defer Error.WrapP(&err)
	d.closing.Do(func() {
		d.stopping.Store(true)
		d.closed = errs.Combine(d.duties.upgrader.Close(), d.edge.close(), d.close())
	})
	return d.closed
}

// Shutdown stops the daemon without cutting a request that can end in time.
func (d *Daemon) Shutdown() (err error) {
	defer Error.WrapP(&err)
	d.closing.Do(func() {
		d.stopping.Store(true)
		d.logger.Info("daemon stopping", "bound", d.hosted.Load().StopBound)
		d.closed = d.duties.upgrader.Close()
		d.edge.leave()
		d.closed = errs.Combine(d.closed, d.edge.close(), d.close())
	})
	return d.closed
}

func (d *Daemon) close() error {
	var group errs.Group
	d.cancel()
	for _, f := range d.knowledge.followers {
		group.Add(f.Close())
	}
	group.Add(d.knowledge.targets.Close())
	group.Add(d.duties.lease.Close())
	group.Add(d.duties.presence.Close())
	group.Add(d.caches.poller.Close())
	if d.peers != nil {
		group.Add(d.peers.Close())
	}
	group.Add(d.targets.Close())
	group.Add(d.store.Close())
	d.logger.Info("daemon stopped", "error", group.Err())
	group.Add(d.observer.Close())
	group.Add(d.logs.Close())
	return group.Err()
}

func (d *Daemon) newRelayer(k *knowledge) *relayer.Relayer {
	return relayer.New(relayer.Settings{
		Knowledge: k, Places: k.places, Targets: d.targets, Codec: platform.Codec{}, Strikes: k.strikes,
		Budget: newBudgets(d.hosted.Load, k.places.Peers), Logger: d.log("relayer"),
		Tracer: d.observer.Tracer(), Bounds: d.bounds, Observe: d.count,
	})
}

// bounds are those of the settings in force.
func (d *Daemon) bounds() relayer.Bounds {
	hosted := d.hosted.Load()
	return relayer.Bounds{Key: hosted.KeyRevocation - keyMargin, Denial: denialAge}
}
