// Package runner assembles the components of a daemon, starts them in order and shuts them down
// gracefully.
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
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/attributor"
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
	"github.com/rosemaryrill/rosemaryrill/reserver"
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
	// LogOutput receives the log lines; nothing is logged if it is nil.
	LogOutput io.Writer
	// DebugComponents names the components whose debug lines are logged too.
	DebugComponents []string
}

// Daemon is a running daemon.
type Daemon struct {
	settings Settings
	observer *observer.Observer
	store    *storer.Client

	// memory is that for requests, and connections bound those to the ports.
	memory      *reserver.Memory
	connections reserver.Connections

	ports
	membership
	deploymentState
	requestPath
	engineControl

	stop      chan struct{}
	group     conc.WaitGroup
	closeOnce sync.Once
	closeErr  error
}

// ports holds the listeners of the daemon, their TLS configurations and their servers.
type ports struct {
	callersListener   net.Listener
	peersListener     net.Listener
	operatorsListener net.Listener
	callersTLS        portTLS
	peersTLS          portTLS
	callersServer     *server.Server
	peersPort         internalPort
	operatorsPort     internalPort
}

// membership holds the components that exchange state with other daemons and detect failures.
type membership struct {
	peers       *exchanger.Client
	gossip      *gossiper.Gossiper
	peerAdapter *peerAdapter
	detector    *detector.Detector
	liveness    liveness
	// assignment determines which targets this daemon polls; observationExporter sends the
	// results to the peers.
	assignment          *assignmentCache
	observationExporter *observationExporter
}

// deploymentState holds the configuration in force, the components that observe the targets, and
// the records of refusals and outages.
type deploymentState struct {
	configuration *configurator.Configurator
	// applied is the configuration revision that the daemon's components have applied.
	applied        atomic.Uint64
	pools          *pooler.Pooler
	poller         *poller.Poller[forwarder.CacheEvents]
	quarantine     *quarantiner.Quarantiner
	crashes        *attributor.Attributor
	engineReports  *engineReports
	receivedCopies *reporter.Holder
	recorder       *reporter.Recorder
	outages        *outages
	warmUpTracker  *warmUpTracker
	// distributePolling is set if there are too many targets for each daemon to poll all of them.
	distributePolling atomic.Bool
}

// requestPath holds the components that handle requests.
type requestPath struct {
	targetClient    *forwarder.Client
	serviceTargets  *invoker.Targets
	modelLimiter    *limiter.Limiter
	serviceLimiter  *limiter.Limiter
	selectorLimiter *limiter.Limiter
	streamer        *streamer.Streamer
	ledger          *dispatcher.Dispatcher
}

// engineControl holds the components that send engines orders and moves of cached blocks.
type engineControl struct {
	commander      *commander.Commander
	transferClient *forwarder.Client
	mover          *mover.Mover
}

// New starts a daemon. It is not ready for traffic until /readyz answers with success.
func New(ctx context.Context, settings Settings) (daemon *Daemon, err error) {
	defer Error.WrapP(&err)
	d := &Daemon{settings: settings, stop: make(chan struct{})}
	memoryBytes := float64(settings.Limits.MemoryBytes)
	d.memory, d.connections = reserver.NewMemory(reserver.RequestBytes(memoryBytes)), reserver.NewConnections(memoryBytes, settings.TLS.CallersCertificateFile != "")
	d.warmUpTracker = newWarmUpTracker()
	d.observationExporter = &observationExporter{daemon: d}
	d.assignment = newAssignmentCache(func(target string) bool {
		return d.gossip.AmongFirst("poll "+target, pollersPerTarget)
	})
	d.engineReports = newEngineReports(d)
	steps := []func(context.Context) error{
		d.openPeersListener,
		d.startObserver,
		d.startCertificates,
		d.startPlatform,
		d.startPeers,
		d.startQuarantine,
		d.startCrashes,
		d.startRecord,
		d.startConfiguration,
		d.startTargets,
		d.startCommander,
		d.startRequestPath,
		d.startServer,
		d.registerGauges,
		d.openListeners,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return nil, errors.Join(err, d.closeListeners())
		}
	}
	d.startBackground()
	return d, nil
}

// CallersAddress returns the address at which callers reach the daemon.
func (d *Daemon) CallersAddress() netip.AddrPort {
	return addressOf(d.callersListener)
}

// PeersAddress returns the address on which the daemon listens for other daemons.
func (d *Daemon) PeersAddress() netip.AddrPort {
	return addressOf(d.peersListener)
}

// OperatorsAddress returns the address at which operators reach the daemon.
func (d *Daemon) OperatorsAddress() netip.AddrPort {
	return addressOf(d.operatorsListener)
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

// Commit commits a change of the configuration and returns its revision. base is the revision that
// the author of the change has read. The errors are those of configurator.Configurator.Commit.
func (d *Daemon) Commit(ctx context.Context, base registrar.Revision, change registrar.Change) (registrar.Revision, error) {
	return d.configuration.Commit(ctx, base, change)
}

// NotReady returns the reasons why the daemon is not ready for traffic, none if it is ready.
func (d *Daemon) NotReady() []string {
	var reasons []string
	if !d.configuration.Ready() || d.applied.Load() == 0 {
		reasons = append(reasons, "configuration")
	}
	if !d.gossip.Joined() {
		reasons = append(reasons, "peers")
	}
	if !d.warmUpTracker.complete() {
		reasons = append(reasons, "targets")
	}
	return reasons
}

// openPeersListener opens the port for peers, whose address the daemon announces.
func (d *Daemon) openPeersListener(context.Context) (err error) {
	d.peersListener, err = net.Listen("tcp", d.settings.PeersListen.String())
	return err
}

// openListeners opens the ports for operators and callers. It is the last step of the start that can fail, since a port
// accepts connections as soon as it is open.
func (d *Daemon) openListeners(context.Context) (err error) {
	d.operatorsListener, err = net.Listen("tcp", d.settings.OperatorsListen.String())
	if err != nil {
		return err
	}
	d.callersListener, err = net.Listen("tcp", d.settings.CallersListen.String())
	return err
}

func (d *Daemon) closeListeners() error {
	var group errs.Group
	for _, listener := range []net.Listener{d.callersListener, d.peersListener, d.operatorsListener} {
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
			Output:          d.settings.LogOutput,
			Level:           d.settings.Log.Level,
			Levels:          d.settings.Log.Parts,
			DebugComponents: d.settings.DebugComponents,
			JSON:            d.settings.Log.Format == loader.LogJSON,
		},
		TraceEndpoint: d.settings.Telemetry.OTLPEndpoint,
		SampleRatio:   d.settings.Telemetry.SampleRatio,
	})
	return err
}

func (d *Daemon) startPlatform(context.Context) (err error) {
	d.store, err = storer.NewClient(storer.Settings{
		Addresses:   d.settings.Platform,
		ByteCounter: d.byteCounter("platform"),
		Wrap:        d.observer.TracingTransport("platform"),
	})
	return err
}

func (d *Daemon) startPeers(context.Context) (err error) {
	metrics := d.observer.Metrics()
	d.peers = exchanger.NewClient(exchanger.ClientSettings{
		ByteCounter: d.byteCounter("daemons"),
		TLS:         d.peersTLS.clientConfig(),
		Wrap:        d.observer.TracingTransport("peer"),
		Sent:        func(bytes int) { metrics.ControlBytes("sent", bytes) },
		Received:    func(bytes int) { metrics.ControlBytes("received", bytes) },
	})
	d.peerAdapter = newPeerAdapter(d.peers, d.settings.SeedPeers, d.observer.Log("spread"))
	d.gossip, err = gossiper.New(gossiper.Settings{
		Self: gossiper.Member{
			Name:       d.settings.Name,
			Address:    d.advertisedAddress(),
			DataCentre: d.settings.DataCentre,
		},
		Transport:     d.peers,
		Configuration: d.peerAdapter,
		Topics:        d.topics(),
		Seeds:         d.settings.SeedPeers,
		Log:           d.observer.Log("gossiper"),
	})
	if err != nil {
		return err
	}
	d.gossip.OnChange(d.membersChanged)
	d.peerAdapter.gossip = d.gossip
	return nil
}

// advertisedAddress returns the address of the peers' port that this daemon announces to other
// daemons: the setting peers_advertise, or the address on which it listens if that is not set.
func (d *Daemon) advertisedAddress() netip.AddrPort {
	if d.settings.PeersAdvertise.IsValid() && d.settings.PeersAdvertise.Port() != 0 {
		return d.settings.PeersAdvertise
	}
	return d.PeersAddress()
}

func (d *Daemon) startConfiguration(context.Context) (err error) {
	d.configuration, err = configurator.New(configurator.Settings{
		Daemon:    d.settings.Name,
		Store:     d.store,
		Peers:     d.peerAdapter,
		WatchRole: watchRole{gossip: d.gossip},
		Validate:  registrar.Validate,
		Log:       d.observer.Log("configurator"),
	})
	if err != nil {
		return err
	}
	d.peerAdapter.setConfiguration(d.configuration)
	return nil
}

func (d *Daemon) startServer(context.Context) (err error) {
	targets := invoker.NewTargets(d.configuration, d.targetClient, d.liveness, d.settings.DataCentre)
	d.serviceTargets = targets
	d.ledger = dispatcher.New(dispatcher.Settings{
		Daemon:  d.settings.Name,
		Store:   d.store,
		Sender:  targets,
		Chooser: targets,
		Peers:   d.peerAdapter,
		Lookup:  targets,
		Logger:  d.observer.Log("dispatcher"),
	})
	d.callersServer, err = server.New(server.Settings{
		Configuration: d.configuration,
		Completer: completer.New(completer.Settings{
			Admission:         d.modelLimiter,
			SelectorAdmission: d.selectorLimiter,
			Planner:           d.pools,
			AttemptRunner:     d.streamer,
			Quarantine:        d.quarantine,
			Crashes:           d.crashes,
			BlockMover:        d.mover,
			Metrics:           d.observer.Metrics(),
			Tracer:            d.observer.Tracer(),
			Log:               d.observer.Log("completer"),
		}),
		Invoker: invoker.New(invoker.Settings{
			Configuration:     d.configuration,
			Admission:         d.serviceLimiter,
			SelectorAdmission: d.selectorLimiter,
			Ledger:            d.ledger,
			Targets:           targets,
			AllowRetry:        d.serviceLimiter.TryRetry,
			Metrics:           d.observer.Metrics(),
			Tracer:            d.observer.Tracer(),
			Log:               d.observer.Log("invoker"),
		}),
		Readiness:       d,
		OnRefusal:       d.recordRefusal,
		OnRequestEnd:    d.observer.Metrics().CountRequestByOutcome,
		Metrics:         d.observer.MetricsHandler(),
		Tracer:          d.observer.Tracer(),
		Log:             d.observer.Log("server"),
		MaxBodyBytes:    int64(d.settings.Limits.MaxBodyBytes),
		MaxListElements: d.settings.Limits.MaxListElements,
		MaxHeaderBytes:  d.settings.Limits.MaxHeaderBytes,
		Memory:          d.memory,
		MaxConnections:  d.connections.Callers,
		HeaderTimeout:   d.settings.Limits.HeaderTimeout,
		BodyTimeout:     d.settings.Limits.BodyTimeout,
		DefaultDeadline: d.settings.Limits.DefaultDeadline,
		TLS:             d.callersTLS.serverConfig(),
	})
	return err
}

// startBackground serves the ports and starts the background goroutines.
func (d *Daemon) startBackground() {
	d.servePeers()
	d.serveOperators()
	d.gossip.Start()
	d.commander.Start()
	d.group.Go(d.followConfiguration)
	d.group.Go(d.followTargets)
	d.group.Go(d.pollHosts)
	d.group.Go(d.monitorOutages)
	d.group.Go(d.sweepLedger)
	d.group.Go(func() { d.memory.Report(d.stop, d.observer.Log("reserver"), d.callersServer.Connections) })
	d.group.Go(d.commitFirstConfiguration)
	d.group.Go(d.warmUp)
	d.group.Go(func() { d.logServeError("callers' port", d.callersServer.Serve(d.callersListener)) })
	d.observer.Log("runner").Info("runner: started", "name", d.settings.Name,
		"callers", d.CallersAddress().String(), "peers", d.PeersAddress().String())
}

func (d *Daemon) servePeers() {
	mux := http.NewServeMux()
	mux.Handle(exchanger.NewHandler(exchanger.Handlers{
		Gossip:        d.gossip,
		Configuration: d.peerAdapter,
		StateProvider: d,
		OutcomeLedger: d.ledger,
		RecordCopies:  receivedCopiesAdapter{holder: d.receivedCopies},
		Topics:        map[string]exchanger.TopicHandler{topicQuarantine: d.quarantine},
	}))
	d.peersPort = d.newInternalPort(mux, "other daemons", d.connections.Peers)
	d.group.Go(func() { d.logServeError("peers' port", d.peersPort.serve(d.peersListener, d.peersTLS)) })
}

func (d *Daemon) logServeError(port string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.observer.Log("runner").Error("runner: server of a port stopped unexpectedly", "port", port, "error", err)
	}
}
