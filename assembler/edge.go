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
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// largestHeader and largestBody bound requests before a configuration is known.
	largestHeader = 1 << 20
	largestBody   = 32 << 20
	// idleCheck is how often connections are looked through for idle ones.
	idleCheck = 500 * time.Millisecond
	// leaveTime is how long a stopping daemon takes connections until the balancer has noticed two
	// failed questions, a second apart.
	leaveTime = 2600 * time.Millisecond
	// stopCheck is how often a stopping daemon looks for open requests.
	stopCheck = 50 * time.Millisecond
	// stopMargin is kept from the bound on a stop.
	stopMargin = 700 * time.Millisecond
)

// edge serves callers.
type edge struct {
	daemon  *Daemon
	relayer *relayer.Relayer
	callers *http.Server
	ready   *http.Server
	metrics *http.Server
	group   conc.WaitGroup
	open    atomic.Int64
	idle    idleConnections
	stop    context.CancelFunc
	// closed says that no request is begun any more.
	closed atomic.Bool
}

func (d *Daemon) newEdge() (e *edge, err error) {
	e = &edge{daemon: d, relayer: d.newRelayer(d.knowledge)}
	e.idle.since = make(map[net.Conn]time.Time)
	e.callers = &http.Server{
		Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: largestHeader,
		ConnState: e.idle.note,
	}
	questions := httprouter.New()
	questions.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { e.answerReady(w) })
	e.ready = &http.Server{Handler: questions, ReadHeaderTimeout: headerTimeout}
	e.metrics = &http.Server{Handler: d.observer.MetricsHandler(), ReadHeaderTimeout: headerTimeout}
	if err := e.listen(e.callers, d.settings.CallersListen); err != nil {
		return nil, err
	}
	if err := e.listen(e.ready, d.settings.Hosted.ReadyListen); err != nil {
		return nil, errors.Join(err, e.callers.Close())
	}
	if err := e.listen(e.metrics, d.settings.Hosted.MetricsListen); err != nil {
		return nil, errors.Join(err, e.callers.Close(), e.ready.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.group.Go(func() { e.closeIdle(ctx) })
	return e, nil
}

// closeIdle closes callers' connections by the idle limit of the configuration in force.
func (e *edge) closeIdle(ctx context.Context) {
	for waiter.Pause(ctx, idleCheck) {
		if catalog := e.daemon.knowledge.Catalog(); catalog != nil && catalog.Limits().IdleTimeout > 0 {
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
			e.daemon.logger.Error("port lost", "address", address, "error", err)
		}
	})
	return nil
}

// answerReady says whether the daemon wants new connections: it has a configuration, knows the targets, has
// contact that lets it take keys, and does not stop.
func (e *edge) answerReady(w http.ResponseWriter) {
	k := e.daemon.knowledge
	if e.daemon.stopping.Load() || !k.Complete() || k.ContactAge() > e.daemon.bounds().Key {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve reads one request and hands it on.
func (e *edge) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.open.Add(1)
	defer e.open.Add(-1)
	if e.daemon.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.closed.Load() {
		platform.Codec{}.Refuse(w, relayer.Stopping())
		return
	}
	if e.headerTooLarge(r) {
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: relayer.ReasonHeaderTooLarge, NotRun: true})
		return
	}
	body, err := platform.ReadBody(w, r, e.bodyBound())
	if err != nil {
		e.refuseBody(w, err)
		return
	}
	call, err := platform.DecodeCall(r, body, arrived)
	if err != nil {
		e.daemon.logger.Info("request not understood", "error", err)
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusBadRequest, Reason: relayer.ReasonMalformed, NotRun: true})
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	e.relayer.Relay(ctx, w, call)
}

// headerTooLarge holds the request line and the header against the configuration's limit.
func (e *edge) headerTooLarge(r *http.Request) bool {
	catalog := e.daemon.knowledge.Catalog()
	if catalog == nil || catalog.Limits().MaxHeaderBytes <= 0 {
		return false
	}
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerSeparators
		}
	}
	return size > catalog.Limits().MaxHeaderBytes
}

// headerSeparators are the bytes between and after the name and the value of a header.
const headerSeparators = 4

func (e *edge) bodyBound() int64 {
	if catalog := e.daemon.knowledge.Catalog(); catalog != nil && catalog.Limits().MaxBodyBytes > 0 {
		return int64(catalog.Limits().MaxBodyBytes)
	}
	return largestBody
}

func (e *edge) refuseBody(w http.ResponseWriter, err error) {
	e.daemon.logger.Info("body not read", "error", err)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		platform.Codec{}.Refuse(w, relayer.Refusal{Status: http.StatusRequestEntityTooLarge, Reason: relayer.ReasonTooLarge, NotRun: true})
		return
	}
	panic(http.ErrAbortHandler) // The caller has left or sent no whole request.
}

// leave lets the balancer take the daemon out, then waits for open requests.
func (e *edge) leave() {
	deadline := time.Now().Add(e.daemon.hosted.Load().StopBound - stopMargin)
	time.Sleep(leaveTime)
	e.closed.Store(true)
	e.idle.closeOlder(0)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for e.open.Load() > 0 {
		if !waiter.Pause(ctx, stopCheck) {
			return
		}
	}
}

// close closes all ports and waits.
func (e *edge) close() error {
	e.stop()
	err := errors.Join(e.callers.Close(), e.ready.Close(), e.metrics.Close())
	e.group.Wait()
	return err
}

// idleConnections closes callers' connections that are idle for longer than the configuration
// allows.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleConnections) note(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
}

// closeOlder closes the connections that are idle for longer than the bound.
func (i *idleConnections) closeOlder(bound time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if time.Since(since) > bound {
			_ = conn.Close() // The server notices.
			delete(i.since, conn)
		}
	}
}
