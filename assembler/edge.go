package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemaryrill/rosemaryrill/drainer"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/relayer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// headerTimeout limits the time for reading the header of a request.
	headerTimeout = 10 * time.Second
	// defaultMaxHeaderBytes and defaultMaxBodyBytes limit the size of requests while no configuration
	// with such limits is known.
	defaultMaxHeaderBytes = 1 << 20
	defaultMaxBodyBytes   = 32 << 20
	// idleCheckInterval is the time between two searches for connections that exceed the idle timeout.
	idleCheckInterval = 500 * time.Millisecond
	// deregistrationDelay is how long a stopping daemon still accepts requests. The load balancer sends a
	// readiness probe every second, so two probes fail in this time, after which it sends no more requests.
	deregistrationDelay = 2600 * time.Millisecond
	// keepAliveTimeout is how long callers may use an idle connection again. It is shorter than deregistrationDelay, so
	// that a stopping daemon closes only connections that callers no longer use.
	keepAliveTimeout = 2 * time.Second
	// stopBoundMargin is the time between the end of the drain and the stop bound, in which the open requests are
	// answered and the daemon is closed.
	stopBoundMargin = 700 * time.Millisecond
)

// edge serves the ports for callers, for readiness probes and for metrics.
type edge struct {
	daemon          *Daemon
	relayer         *relayer.Relayer
	callerServer    *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server
	drainer         *drainer.Drainer
	// probes and scrapes track the connections of the ports for readiness probes and for metrics.
	probes, scrapes *drainer.Drainer
	group           conc.WaitGroup
	cancel          context.CancelFunc
	// refuseNew is set when the daemon starts to refuse new requests.
	refuseNew atomic.Bool
}

// newEdge creates the edge; start opens its ports.
func (d *Daemon) newEdge() *edge {
	e := &edge{daemon: d, relayer: d.newRelayer(d.view)}
	e.callerServer = &http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
	}
	e.drainer = drainer.New(e.callerServer, drainer.Settings{
		AbortCause: relayer.ErrStopping, KeepAlive: keepAliveTimeout, Logger: d.loggerFor("drainer"),
		MaxConnections: d.connections.Callers, Heads: d.memory, EndStalled: d.memory.EvictStalled, WriteTimeout: answerTimeout,
	})
	probes := httprouter.New()
	probes.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { e.serveReady(w) })
	e.readinessServer = &http.Server{Handler: probes, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	e.metricsServer = &http.Server{Handler: d.observer.MetricsHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	internal := drainer.Settings{MaxConnections: d.connections.Internal, WriteTimeout: answerTimeout}
	e.probes, e.scrapes = drainer.New(e.readinessServer, internal), drainer.New(e.metricsServer, internal)
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	e.group.Go(func() { supervisor.Run(ctx, d.logger, "close idle", e.closeIdle) })
	e.group.Go(func() { d.memory.Report(ctx.Done(), d.loggerFor("reserver"), e.drainer.Connections) })
	return e
}

// start opens the ports. It opens the one for callers last, so that no request arrives at a daemon that fails to start.
func (e *edge) start() error {
	settings := e.daemon.settings
	if err := e.serveOn(e.readinessServer, e.probes, settings.Hosted.ReadyListen); err != nil {
		return err
	}
	if err := e.serveOn(e.metricsServer, e.scrapes, settings.Hosted.MetricsListen); err != nil {
		return err
	}
	return e.serveOn(e.callerServer, e.drainer, settings.CallersListen)
}

// closeIdle closes callers' connections that exceed the idle timeout of the current configuration.
func (e *edge) closeIdle(ctx context.Context) {
	for waiter.Sleep(ctx, idleCheckInterval) {
		if catalog := e.daemon.view.Catalog(); catalog != nil && catalog.Limits().IdleTimeout > 0 {
			e.drainer.CloseIdle(catalog.Limits().IdleTimeout)
		}
	}
}

// serveOn opens a port for the server.
func (e *edge) serveOn(server *http.Server, connections *drainer.Drainer, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	listener = connections.Track(listener)
	e.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.daemon.logger.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return nil
}

// serveReady answers a readiness probe. The daemon is ready if it has read the configuration and the
// targets, its contact with the store is recent enough to accept keys, and it is not stopping.
func (e *edge) serveReady(w http.ResponseWriter) {
	v := e.daemon.view
	if e.daemon.stopping.Load() || !v.Complete() || v.ContactAge() > e.daemon.contactAgeLimits().KeyUse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve reads one request of a caller, checks its size and passes it to the relayer.
func (e *edge) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if e.refuseNew.Load() {
		platform.Codec{}.Refuse(w, relayer.Stopping())
		return
	}
	if e.headerTooLarge(r) {
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: relayer.ReasonHeaderTooLarge, NotRun: true})
		return
	}
	body, share, err := e.readBody(w, r)
	defer share.Release()
	if err != nil {
		share.Release() // Nothing is kept while the refusal is read.
		e.refuseBody(w, r, err)
		return
	}
	if e.refuseNew.Load() { // The body took its time. What is sent on now may be cut at the end of the stop.
		platform.Codec{}.Refuse(w, relayer.Stopping())
		return
	}
	call, err := platform.DecodeCall(r, body, arrived)
	if err != nil {
		e.daemon.logger.Info("malformed request refused", "error", err)
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true})
		return
	}
	call.ReleaseBody = share.Release
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	e.relayer.Relay(ctx, w, call)
}

// headerTooLarge reports whether the request line and the header together exceed the configured limit.
func (e *edge) headerTooLarge(r *http.Request) bool {
	catalog := e.daemon.view.Catalog()
	if catalog == nil || catalog.Limits().MaxHeaderBytes <= 0 {
		return false
	}
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerSeparatorBytes
		}
	}
	return size > catalog.Limits().MaxHeaderBytes
}

// headerSeparatorBytes is the number of bytes that separate the name, the value and the next line of a
// header.
const headerSeparatorBytes = 4

// drain waits until the load balancer sends no more requests, and then until all requests are answered and all
// connections closed. Shortly before stopAt it cancels the requests that are still open.
func (e *edge) drain(stopAt time.Time) {
	time.Sleep(deregistrationDelay)
	e.refuseNew.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), stopAt.Add(-stopBoundMargin))
	defer cancel()
	var delegated conc.WaitGroup
	delegated.Go(func() { e.daemon.delegation.handler.Drain(ctx) })
	e.drainer.Drain(ctx)
	delegated.Wait()
}

// close closes all ports and waits for the goroutines of the edge.
func (e *edge) close() error {
	e.cancel()
	err := errors.Join(e.drainer.Close(), e.readinessServer.Close(), e.metricsServer.Close())
	e.group.Wait()
	return err
}
