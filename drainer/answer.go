package drainer

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

// reusableRatio is the part of the idle timeout within which callers may use a connection again, so that their requests
// arrive before its end.
const reusableRatio = 0.8

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// addConnection adds the tracked connection to the contexts of its requests, after the server's own hook.
func addConnection(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, conn net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, conn)
		}
		return context.WithValue(ctx, connectionKey{}, tracked(conn))
	}
}

// connectionOf returns the tracked connection of a request, or nil.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// announce adds to each answer, when its head is written, how long its connection may stay idle or, if the server is
// leaving, that it ends.
func (d *Drainer) announce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &answer{ResponseWriter: w, drainer: d, connection: connectionOf(r), mayKeep: r.ProtoMajor == 1 && r.ProtoAtLeast(1, 1) && !r.Close, multiplexed: r.ProtoMajor > 1}
		next.ServeHTTP(a, r)
		a.announce()
		a.limitWrite() // The rest of the answer is sent when the handler has returned.
		if a.tracked() {
			_ = a.FlushError() // The request holds its memory until its caller has read the answer, or has left.
		}
	})
}

// keepAlive returns the time that answers announce, in whole seconds; zero if they announce none.
func (d *Drainer) keepAlive() time.Duration {
	timeout := d.settings.KeepAlive
	if idle := time.Duration(d.idleTimeout.Load()); idle > 0 {
		timeout = min(timeout, time.Duration(reusableRatio*float64(idle)))
	}
	return timeout.Truncate(time.Second)
}

// answer is the answer to one request.
type answer struct {
	http.ResponseWriter
	drainer    *Drainer
	connection *connection
	// mayKeep is set if the caller may keep its connection.
	mayKeep   bool
	announced bool
	// multiplexed is set if requests share the connection (HTTP/2). Such a request ends at its write deadline even if nothing is being written.
	multiplexed bool
}

// announce completes the header.
func (a *answer) announce() {
	if a.announced {
		return
	}
	a.announced = true
	header := a.Header()
	if a.drainer.leaving.Load() {
		header.Set("Connection", "close")
	}
	timeout := a.drainer.keepAlive()
	if !a.mayKeep || header.Get("Connection") == "close" || a.connection == nil {
		timeout = 0
	}
	if timeout > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(timeout/time.Second)))
	}
	if a.connection != nil {
		a.connection.setKeepAlive(timeout)
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.announce()
	}
	a.limitWrite()
	a.ResponseWriter.WriteHeader(status)
	a.endWrite()
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (written int, err error) {
	a.announce()
	if a.drainer.settings.WriteTimeout == 0 {
		return a.ResponseWriter.Write(p)
	}
	for {
		a.limitWrite()
		n, err := a.ResponseWriter.Write(p[:min(len(p), writtenAtOnce)])
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			a.endWrite()
			return written, err
		}
	}
}

// tracked reports whether the request holds memory beside its body, which it has to give back when memory is scarce.
func (a *answer) tracked() bool { return a.multiplexed && a.drainer.settings.Streams != nil }

// limitWrite sets the time by which the caller has to have read what is written next.
func (a *answer) limitWrite() {
	if a.tracked() {
		a.drainer.unread.add(a)
	}
	if timeout := a.drainer.settings.WriteTimeout; timeout > 0 {
		_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Now().Add(timeout)) // Writers of tests have none.
	}
}

// FlushError implements the interface of http.ResponseController.
func (a *answer) FlushError() error {
	a.announce()
	a.limitWrite()
	defer a.endWrite()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// endWrite tells that nothing is being written, so that a pause within an answer has no limit.
func (a *answer) endWrite() {
	if a.tracked() {
		a.drainer.unread.remove(a)
	}
	if a.multiplexed && a.drainer.settings.WriteTimeout > 0 {
		_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(time.Time{}) // Writers of tests have none.
	}
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// Unwrap returns the writer of the server to http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
