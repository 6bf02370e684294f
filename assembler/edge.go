package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

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
	// drainCheckInterval is the time between two checks of a stopping daemon for open requests.
	drainCheckInterval = 50 * time.Millisecond
	// stopBoundMargin is the time between the end of the drain and the stop bound, in which the daemon is
	// closed.
	stopBoundMargin = 700 * time.Millisecond
)

// edge serves the ports for callers, for readiness probes and for metrics.
type edge struct {
	daemon          *Daemon
	relayer         *relayer.Relayer
	callerServer    *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server
	group           conc.WaitGroup
	openRequests    atomic.Int64
	idle            idleConnections
	cancel          context.CancelFunc
	// refuseNew is set when the daemon starts to refuse new requests.
	refuseNew atomic.Bool
}

func (d *Daemon) newEdge() (e *edge, err error) {
	e = &edge{daemon: d, relayer: d.newRelayer(d.view)}
	e.idle.idleSince, e.idle.states = make(map[net.Conn]time.Time), make(map[net.Conn]http.ConnState)
	e.callerServer = &http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
		ConnState: e.idle.trackState,
	}
	probes := httprouter.New()
	probes.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { e.serveReady(w) })
	e.readinessServer = &http.Server{Handler: probes, ReadHeaderTimeout: headerTimeout}
	e.metricsServer = &http.Server{Handler: d.observer.MetricsHandler(), ReadHeaderTimeout: headerTimeout}
	if err := e.listen(e.callerServer, d.settings.CallersListen); err != nil {
		return nil, err
	}
	if err := e.listen(e.readinessServer, d.settings.Hosted.ReadyListen); err != nil {
		return nil, errors.Join(err, e.callerServer.Close())
	}
	if err := e.listen(e.metricsServer, d.settings.Hosted.MetricsListen); err != nil {
		return nil, errors.Join(err, e.callerServer.Close(), e.readinessServer.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() { supervisor.Run(ctx, d.logger, "close idle", e.closeIdle) })
	return e, nil
}

// closeIdle closes callers' connections that exceed the idle timeout of the current configuration.
func (e *edge) closeIdle(ctx context.Context) {
	for waiter.Sleep(ctx, idleCheckInterval) {
		if catalog := e.daemon.view.Catalog(); catalog != nil && catalog.Limits().IdleTimeout > 0 {
			e.idle.closeOlder(catalog.Limits().IdleTimeout)
		}
	}
}

func (e *edge) listen(server *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
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
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	if e.daemon.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.refuseNew.Load() {
		platform.Codec{}.Refuse(w, relayer.Stopping())
		return
	}
	if e.headerTooLarge(r) {
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: relayer.ReasonHeaderTooLarge, NotRun: true})
		return
	}
	body, err := platform.ReadBody(w, r, e.maxBodyBytes())
	if err != nil {
		e.refuseBody(w, err)
		return
	}
	call, err := platform.DecodeCall(r, body, arrived)
	if err != nil {
		e.daemon.logger.Info("malformed request refused", "error", err)
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true})
		return
	}
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

func (e *edge) maxBodyBytes() int64 {
	if catalog := e.daemon.view.Catalog(); catalog != nil && catalog.Limits().MaxBodyBytes > 0 {
		return int64(catalog.Limits().MaxBodyBytes)
	}
	return defaultMaxBodyBytes
}

func (e *edge) refuseBody(w http.ResponseWriter, err error) {
	e.daemon.logger.Info("failed to read the request body", "error", err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: relayer.ReasonTooLarge, NotRun: true})
		return
	}
	panic(http.ErrAbortHandler) // The caller disconnected or sent an incomplete request.
}

// drain waits until the load balancer sends no more requests, closes the idle connections, and then
// waits until the open requests have ended or only stopBoundMargin remains.
func (e *edge) drain() {
	deadline := time.Now().Add(e.daemon.hosted.Load().StopBound - stopBoundMargin)
	time.Sleep(deregistrationDelay)
	e.refuseNew.Store(true)
	e.idle.closeOlder(0)
	defer e.logConnections()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for e.openRequests.Load() > 0 {
		if !waiter.Sleep(ctx, drainCheckInterval) {
			return
		}
	}
}

// logConnections logs how many callers' connections are open in which state when the drain ends. A connection that is
// active without an open request has an answer that is not written yet.
func (e *edge) logConnections() {
	counts := e.idle.count()
	e.daemon.logger.Info("callers' connections are closed", "open_requests", e.openRequests.Load(), "new", counts[http.StateNew],
		"active", counts[http.StateActive], "idle", counts[http.StateIdle])
}

// close closes all ports and waits for the goroutines of the edge.
func (e *edge) close() error {
	e.cancel()
	err := errors.Join(e.callerServer.Close(), e.readinessServer.Close(), e.metricsServer.Close())
	e.group.Wait()
	return err
}

// idleConnections tracks callers' idle connections and closes those that exceed the configured idle
// timeout.
type idleConnections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// states are the states of all open connections.
	states map[net.Conn]http.ConnState
}

func (i *idleConnections) trackState(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.states[conn] = state
	if state == http.StateClosed || state == http.StateHijacked {
		delete(i.states, conn)
	}
	if state == http.StateIdle {
		i.idleSince[conn] = time.Now()
		return
	}
	delete(i.idleSince, conn)
}

// count returns the number of open connections by state.
func (i *idleConnections) count() map[http.ConnState]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[http.ConnState]int)
	for _, state := range i.states {
		counts[state]++
	}
	return counts
}

// closeOlder closes the connections that have been idle for longer than the bound.
func (i *idleConnections) closeOlder(bound time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.idleSince {
		if time.Since(since) > bound {
			_ = conn.Close() // http.Server ends the connection's goroutine.
			delete(i.idleSince, conn)
		}
	}
}
