// Package drainer closes the connections of an HTTP server between requests only, and drains the server when
// its process stops.
//
// Package net/http calls a connection idle until it has read the whole head of the next request, and its handler
// has returned before the last bytes of the answer are written. A server that is closed by these two signs loses
// requests that have arrived and answers that are in its buffers. A Drainer follows the bytes instead: a connection
// is idle from the moment at which its answer was written until the first byte of the next request, and the
// goroutine that reads from the connection decides whether that byte or the end came first.
//
// # Usage
//
//	server := &http.Server{Handler: handler}
//	d := drainer.New(server, drainer.Settings{AbortCause: errStopping, Logger: logger})
//	go server.Serve(d.Track(listener))
//	d.CloseIdle(idleTimeout) // From time to time.
//	d.Leave()                // Answers announce the end of their connections.
//	report := d.Drain(ctx)
//	err := d.Close()
package drainer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstRequestTimeout is how long a draining server waits for the first byte of a new connection.
	firstRequestTimeout = 500 * time.Millisecond
	// headStallTimeout is how long a draining server waits for the next byte of a request's head.
	headStallTimeout = time.Second
	// reuseMargin is how long after the announced time a connection is kept for a request that is still on the network.
	reuseMargin = 500 * time.Millisecond
	// multiplexedTimeout is how long a draining server keeps an idle connection of HTTP/2. Package net/http calls it idle
	// before it has written the last bytes of the answer, and closes it one second after an answer that announces its end.
	multiplexedTimeout = 1500 * time.Millisecond
	// checkInterval is the time between two checks of the timeouts while the server drains.
	checkInterval = 50 * time.Millisecond
	// abortTimeout is the time for the answers to requests that are cancelled at the end of the drain.
	abortTimeout = 400 * time.Millisecond
)

// Settings are the parameters of a Drainer.
type Settings struct {
	// AbortCause is the cause with which the contexts of requests are cancelled that are open when the drain has to
	// end. Default: context.Canceled.
	AbortCause error
	// KeepAlive is the time after an answer within which its caller may use the connection again; it is at most four fifths of
	// the idle timeout. Answers announce it, in whole seconds. Drain closes an idle connection only after this time, so if it is
	// shorter than the time between Leave and Drain, no request meets the close. Default: none is announced.
	KeepAlive time.Duration
	// MaxConnections bounds the connections that are open at once. When it comes near, those that wait longest for a request make room for new
	// ones; beyond it, new ones are closed. Default: no bound.
	MaxConnections int
	// EndStalled ends the request that has stopped arriving for longest, if there is one. It is called when the connections come near their
	// bound and all have a request. Default: none is ended.
	EndStalled func() bool
	// Heads is the memory for heads of requests that are long. Default: no bound.
	Heads HeadMemory
	// Streams is the memory for requests over HTTP/2, and RefuseStream refuses one for which there is none. Default: no bound.
	Streams      StreamMemory
	RefuseStream func(w http.ResponseWriter, r *http.Request)
	// WriteTimeout is how long a caller may leave a piece of its answer unread. Default: no bound.
	WriteTimeout time.Duration
	// Logger receives a line for each drain, and one for each connection that was cut during a request. Default: none.
	Logger *slog.Logger
}

// HeadMemory is the memory for long heads. Its methods must not block.
type HeadMemory interface {
	TryTake(bytes int) bool
	GiveBack(bytes int)
}

// Drainer tracks the connections of one http.Server. Its methods are safe for concurrent use.
type Drainer struct {
	settings Settings
	server   *http.Server
	cancel   context.CancelCauseFunc
	leaving  atomic.Bool
	draining atomic.Bool
	// lingering counts the calls of Linger that read.
	lingering atomic.Int64
	// unread are the answers over HTTP/2 that are being written.
	unread unreadAnswers
	// refusing counts the calls of refuseStream.
	refusing atomic.Int64
	// refused counts the connections that were closed since there were too many, and displaced those that made room.
	refused, displaced atomic.Int64
	// idleTimeout is the timeout of the last call of CloseIdle.
	idleTimeout atomic.Int64
	// changed is signalled when a connection becomes idle or closed while the server drains, and when it has stopped
	// accepting.
	changed chan struct{}

	mu          sync.Mutex
	connections map[*connection]struct{}
	listeners   map[*listener]struct{}
	report      Report
}

// Report tells how the connections of a drained server ended.
type Report struct {
	// Idle connections were closed between requests.
	Idle int
	// Unfinished connections were closed before the whole head of a request had arrived.
	Unfinished int
	// Aborted requests were cancelled, since the drain had to end; they were answered unless they count as Cut.
	Aborted int
	// Cut connections were closed during a request, without a whole answer.
	Cut int
}

// New returns a Drainer of the server, which must not serve yet. It adds to the server's handler and hooks.
func New(server *http.Server, settings Settings) *Drainer {
	if settings.AbortCause == nil {
		settings.AbortCause = context.Canceled
	}
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	d := &Drainer{
		settings: settings, server: server, changed: make(chan struct{}, 1),
		connections: make(map[*connection]struct{}), listeners: make(map[*listener]struct{}),
	}
	var base context.Context
	base, d.cancel = context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return base }
	server.Handler = d.boundStreams(d.announce(server.Handler))
	server.ConnState = d.trackState(server.ConnState)
	server.ConnContext = addConnection(server.ConnContext)
	return d
}

// trackState follows the states of the server's connections, and then calls the server's own hook.
func (d *Drainer) trackState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		if c := tracked(conn); c != nil {
			c.follow(conn, state)
		}
		if next != nil {
			next(conn, state)
		}
	}
}

// tracked returns the tracked connection in a connection of the server, which may be wrapped, or nil.
func tracked(conn net.Conn) *connection {
	for {
		switch c := conn.(type) {
		case *connection:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// Leave makes all further answers announce the end of their connections.
func (d *Drainer) Leave() { d.leaving.Store(true) }

// CloseIdle closes the connections that have been idle for longer than the timeout. A connection that became idle under
// a longer timeout keeps that one, since its caller may still rely on it, and so does one whose announced time is longer.
func (d *Drainer) CloseIdle(timeout time.Duration) {
	d.idleTimeout.Store(int64(timeout))
	for _, c := range d.snapshot() {
		c.closeIfIdle(timeout)
	}
}

// Drain waits until all requests are answered that reach the server, closes connections between requests, and stops
// accepting new ones once no request is open. It returns when no connection is left. When ctx ends before, it cancels the
// open requests and waits shortly for their answers. Close must follow.
func (d *Drainer) Drain(ctx context.Context) Report {
	d.Leave()
	d.draining.Store(true)
	d.awaitQuiet(ctx)
	if ctx.Err() != nil {
		d.abort()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.report
	d.settings.Logger.Info("connections drained", "idle", report.Idle, "unfinished", report.Unfinished,
		"aborted", report.Aborted, "left", len(d.connections))
	return report
}

// awaitQuiet closes connections between requests until none is left or ctx ends.
func (d *Drainer) awaitQuiet(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for !d.closeQuiet() && ctx.Err() == nil {
		select {
		case <-d.changed:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// closeQuiet closes the connections on which no request is open, stops accepting once there is none, and reports whether
// no connection and no listener is left.
func (d *Drainer) closeQuiet() (done bool) {
	busy := false
	for _, c := range d.snapshot() {
		busy = c.closeIfQuiet() || busy
	}
	if !busy {
		d.stopAccepting()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.listeners) == 0 && len(d.connections) == 0
}

func (d *Drainer) stopAccepting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for l := range d.listeners {
		l.stopAccepting()
	}
}

// abort cancels the open requests and waits shortly for their answers.
func (d *Drainer) abort() {
	d.stopAccepting()
	open := d.OpenRequests()
	d.count(func(r *Report) { r.Aborted += open })
	d.cancel(d.settings.AbortCause)
	for _, c := range d.snapshot() {
		c.interruptBody()
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	d.awaitQuiet(ctx)
}

// Close closes the listeners and all connections at once, and counts those that it cuts during a request.
func (d *Drainer) Close() error {
	d.cancel(d.settings.AbortCause)
	for _, c := range d.snapshot() {
		if c.currentState() == stateServing {
			d.count(func(r *Report) { r.Cut++ })
			d.settings.Logger.Warn("connection cut during a request", "caller", c.RemoteAddr().String())
		}
	}
	return d.server.Close()
}

// OpenRequests returns the number of connections on which a request is being served.
func (d *Drainer) OpenRequests() int {
	open := 0
	for _, c := range d.snapshot() {
		if c.currentState() == stateServing {
			open++
		}
	}
	return open
}

// Report returns how connections ended so far.
func (d *Drainer) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.report
}

func (d *Drainer) count(add func(*Report)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	add(&d.report)
}

// snapshot returns the connections that are open now.
func (d *Drainer) snapshot() []*connection {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := make([]*connection, 0, len(d.connections))
	for c := range d.connections {
		open = append(open, c)
	}
	return open
}

// signal wakes Drain.
func (d *Drainer) signal() {
	if !d.draining.Load() {
		return
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
