// Package runner puts the parts of a daemon together, starts them in their order and stops
// them without cutting a request.
//
// # Usage
//
//	daemon, err := runner.New(ctx, runner.Settings{Settings: settings, LogOutput: os.Stderr})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	err = daemon.Shutdown() // Waits for open requests up to the drain bound.
package runner

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/commander"
	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/mover"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/poller"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/server"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("runner")

const closeTimeout = 5 * time.Second

// Settings are the parameters of a Daemon.
type Settings struct {
	loader.Settings
	// LogOutput takes the log lines; nothing is logged without it.
	LogOutput io.Writer
	// LogParts names the parts whose debug lines are logged too.
	LogParts []string
}

// Daemon is a running daemon.
type Daemon struct {
	settings Settings
	observer *observer.Observer
	store    *storer.Client

	doors
	membership
	knowledge
	serving
	orders

	stop    chan struct{}
	group   conc.WaitGroup
	closing sync.Once
	closed  error
}

// doors are the ports of the daemon and what answers there.
type doors struct {
	callers         net.Listener
	inside          net.Listener
	operators       net.Listener
	callersTLS      port
	peersTLS        port
	callersServer   *server.Server
	peersServer     *http.Server
	operatorsServer *http.Server
}

// membership is how the daemon talks with the others and knows that they live.
type membership struct {
	peers    *exchanger.Client
	gossip   *gossiper.Gossiper
	spread   *spread
	detector *detector.Detector
	liveness liveness
	// assignment and observations share out the questions to targets among the daemons.
	assignment   *assignment
	observations *observationShare
}

// knowledge is what the daemon believes of its deployment.
type knowledge struct {
	configuration *configurator.Configurator
	// applied is the revision that the parts of the daemon have taken over.
	applied     atomic.Uint64
	pools       *pooler.Pooler
	poller      *poller.Poller[forwarder.CacheEvents]
	quarantine  *quarantiner.Quarantiner
	reports     *engineReports
	holder      *reporter.Holder
	recorder    *reporter.Recorder
	outages     *outages
	warm        *warmth
	manyTargets atomic.Bool
}

// serving is what calls go through.
type serving struct {
	targets        *forwarder.Client
	serviceTargets *invoker.Targets
	models         *limiter.Limiter
	services       *limiter.Limiter
	selectors      *limiter.Limiter
	streams        *streamer.Streamer
	ledger         *dispatcher.Dispatcher
}

// orders are what the daemon asks of engines beside calls.
type orders struct {
	commander *commander.Commander
	transfers *forwarder.Client
	mover     *mover.Mover
}

// New starts a daemon. It takes no traffic until /readyz says so.
func New(ctx context.Context, settings Settings) (daemon *Daemon, err error) {
	defer Error.WrapP(&err)
	d := &Daemon{settings: settings, stop: make(chan struct{})}
	d.warm = newWarmth()
	d.observations = &observationShare{daemon: d}
	d.assignment = newAssignment(func(target string) bool {
		return d.gossip.AmongFirst("poll "+target, pollingDaemons)
	})
	d.reports = newEngineReports(d)
	steps := []func(context.Context) error{
		d.openListeners,
		d.startObserver,
		d.startCertificates,
		d.startPlatform,
		d.startPeers,
		d.startQuarantine,
		d.startRecord,
		d.startConfiguration,
		d.startTargets,
		d.startOrders,
		d.startCalls,
		d.startServer,
		d.startWork,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, d.closeListeners())
		}
	}
	return d, nil
}

// CallersAddress is where callers reach the daemon.
func (d *Daemon) CallersAddress() netip.AddrPort {
	return addressOf(d.callers)
}

// PeersAddress is where other daemons reach the daemon.
func (d *Daemon) PeersAddress() netip.AddrPort {
	return addressOf(d.inside)
}

// OperatorsAddress is where operators reach the daemon.
func (d *Daemon) OperatorsAddress() netip.AddrPort {
	return addressOf(d.operators)
}

func addressOf(listener net.Listener) netip.AddrPort {
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Current returns the configuration in force.
func (d *Daemon) Current() *registrar.Snapshot {
	return d.configuration.Current()
}

// Commit makes a change of the configuration on top of the revision that its author saw.
func (d *Daemon) Commit(ctx context.Context, base registrar.Revision, change registrar.Change) (registrar.Revision, error) {
	return d.configuration.Commit(ctx, base, change)
}

// NotReady says why the daemon may not take traffic, or nothing.
func (d *Daemon) NotReady() []string {
	var reasons []string
	if !d.configuration.Ready() || d.applied.Load() == 0 {
		reasons = append(reasons, "configuration")
	}
	if !d.gossip.Joined() {
		reasons = append(reasons, "peers")
	}
	if !d.warm.enough() {
		reasons = append(reasons, "targets")
	}
	return reasons
}

func (d *Daemon) openListeners(context.Context) (err error) {
	d.callers, err = net.Listen("tcp", d.settings.CallersListen.String())
	if err != nil {
		return err
	}
	d.inside, err = net.Listen("tcp", d.settings.PeersListen.String())
	if err != nil {
		return err
	}
	d.operators, err = net.Listen("tcp", d.settings.OperatorsListen.String())
	return err
}

func (d *Daemon) closeListeners() error {
	var group errs.Group
	for _, listener := range []net.Listener{d.callers, d.inside, d.operators} {
		if listener != nil {
			group.Add(listener.Close())
		}
	}
	return group.Err()
}

func (d *Daemon) startObserver(ctx context.Context) (err error) {
	d.observer, err = observer.New(ctx, observer.Settings{
		Service:    "rilld",
		Instance:   d.settings.Name,
		DataCentre: d.settings.DataCentre,
		Log: observer.LogSettings{
			Output: d.settings.LogOutput,
			Level:  d.settings.Log.Level,
			Levels: d.settings.Log.Parts,
			Parts:  d.settings.LogParts,
			JSON:   d.settings.Log.Format == loader.LogJSON,
		},
		TraceEndpoint: d.settings.Telemetry.OTLPEndpoint,
		SampleRatio:   d.settings.Telemetry.SampleRatio,
	})
	return err
}

func (d *Daemon) startPlatform(context.Context) (err error) {
	d.store, err = storer.NewClient(storer.Settings{
		Addresses: d.settings.Platform,
		Wire:      d.wire("platform"),
		Wrap:      d.observer.Traced("platform"),
	})
	return err
}

func (d *Daemon) startPeers(context.Context) (err error) {
	metrics := d.observer.Metrics()
	d.peers = exchanger.NewClient(exchanger.ClientSettings{
		Wire:     d.wire("daemons"),
		TLS:      d.peersTLS.client(),
		Wrap:     d.observer.Traced("peer"),
		Sent:     func(bytes int) { metrics.ControlBytes("sent", bytes) },
		Received: func(bytes int) { metrics.ControlBytes("received", bytes) },
	})
	d.spread = newSpread(d.peers, d.settings.SeedPeers, d.observer.Log("spread"))
	d.gossip, err = gossiper.New(gossiper.Settings{
		Self: gossiper.Member{
			Name:       d.settings.Name,
			Address:    d.advertised(),
			DataCentre: d.settings.DataCentre,
		},
		Transport:     d.peers,
		Configuration: d.spread,
		Topics:        d.topics(),
		Seeds:         d.settings.SeedPeers,
		Log:           d.observer.Log("gossiper"),
	})
	if err != nil {
		return err
	}
	d.gossip.OnChange(d.membersChanged)
	d.spread.gossip = d.gossip
	return nil
}

// advertised is the address that other daemons use.
func (d *Daemon) advertised() netip.AddrPort {
	if d.settings.PeersAdvertise.IsValid() && d.settings.PeersAdvertise.Port() != 0 {
		return d.settings.PeersAdvertise
	}
	return d.PeersAddress()
}

func (d *Daemon) startConfiguration(context.Context) (err error) {
	d.configuration, err = configurator.New(configurator.Settings{
		Daemon:     d.settings.Name,
		Store:      d.store,
		Peers:      d.spread,
		Membership: watchers{gossip: d.gossip},
		Validate:   registrar.Validate,
		Log:        d.observer.Log("configurator"),
	})
	if err != nil {
		return err
	}
	d.spread.attach(d.configuration)
	return nil
}

func (d *Daemon) startServer(context.Context) (err error) {
	targets := invoker.NewTargets(d.configuration, d.targets, d.liveness, d.settings.DataCentre)
	d.serviceTargets = targets
	d.ledger = dispatcher.New(dispatcher.Settings{
		Daemon:  d.settings.Name,
		Store:   d.store,
		Sender:  targets,
		Chooser: targets,
		Peers:   d.spread,
		Lookup:  targets,
		Logger:  d.observer.Log("dispatcher"),
	})
	d.callersServer, err = server.New(server.Settings{
		Configuration: d.configuration,
		Completer: completer.New(completer.Settings{
			Admission:  d.models,
			Selectors:  d.selectors,
			Pools:      d.pools,
			Streams:    d.streams,
			Quarantine: d.quarantine,
			Moves:      d.mover,
			Metrics:    d.observer.Metrics(),
			Tracer:     d.observer.Tracer(),
			Log:        d.observer.Log("completer"),
		}),
		Invoker: invoker.New(invoker.Settings{
			Configuration: d.configuration,
			Admission:     d.services,
			Selectors:     d.selectors,
			Ledger:        d.ledger,
			Targets:       targets,
			Retry:         d.services.Retry,
			Metrics:       d.observer.Metrics(),
			Tracer:        d.observer.Tracer(),
			Log:           d.observer.Log("invoker"),
		}),
		Readiness:       d,
		Recorder:        d.recordRefusal,
		Ended:           d.observer.Metrics().Request,
		Metrics:         d.observer.MetricsHandler(),
		Tracer:          d.observer.Tracer(),
		Log:             d.observer.Log("server"),
		MaxBodyBytes:    int64(d.settings.Limits.MaxBodyBytes),
		MaxHeaderBytes:  d.settings.Limits.MaxHeaderBytes,
		HeaderTimeout:   d.settings.Limits.HeaderTimeout,
		BodyTimeout:     d.settings.Limits.BodyTimeout,
		DefaultDeadline: d.settings.Limits.DefaultDeadline,
		TLS:             d.callersTLS.server(),
	})
	return err
}

// startWork opens the ports and starts what goes on in the background.
func (d *Daemon) startWork(context.Context) error {
	d.servePeers()
	d.serveOperators()
	d.gossip.Start()
	d.commander.Start()
	d.group.Go(d.followConfiguration)
	d.group.Go(d.followTargets)
	d.group.Go(d.followHosts)
	d.group.Go(d.followOutages)
	d.group.Go(d.followLedger)
	d.group.Go(d.commitFirst)
	if err := d.registerGauges(); err != nil {
		return err
	}
	d.group.Go(d.warmUp)
	d.group.Go(func() { d.logEnd("callers' port", d.callersServer.Serve(d.callers)) })
	d.observer.Log("runner").Info("runner: started", "name", d.settings.Name,
		"callers", d.CallersAddress().String(), "peers", d.PeersAddress().String())
	return nil
}

func (d *Daemon) servePeers() {
	mux := http.NewServeMux()
	mux.Handle(exchanger.NewHandler(exchanger.Handlers{
		Gossip:        d.gossip,
		Configuration: d.spread,
		WarmState:     d,
		Ledger:        d.ledger,
		Records:       heldRecords{holder: d.holder},
		Asked:         map[string]exchanger.Asked{topicQuarantine: d.quarantine},
	}))
	d.peersServer = d.insideServer(mux)
	d.group.Go(func() { d.logEnd("peers' port", d.peersServer.Serve(d.peersTLS.listener(d.inside))) })
}

// insideServer serves a port that callers do not reach.
func (d *Daemon) insideServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
		ErrorLog:          slog.NewLogLogger(d.observer.Log("runner").Handler(), slog.LevelDebug),
	}
}

func (d *Daemon) logEnd(port string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.observer.Log("runner").Error("runner: port closed", "port", port, "error", err)
	}
}
