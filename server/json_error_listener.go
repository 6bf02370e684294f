package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/rosemaryrill/rosemaryrill/refuser"
)

// jsonErrorListener wraps accepted connections in jsonErrorConnection. The HTTP server rejects
// late, too large and malformed headers before it calls a handler; the wrapped connections answer
// them with refusals in JSON.
type jsonErrorListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l jsonErrorListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &jsonErrorConnection{Conn: accepted}, nil
}

// jsonErrorConnection replaces the error responses that the HTTP server writes in plain text before
// a handler has started.
type jsonErrorConnection struct {
	net.Conn
	// requestStarted is set once the first bytes of a request header have arrived.
	requestStarted atomic.Bool
	// handlerStarted is set once a handler serves the request.
	handlerStarted atomic.Bool
}

// NetConn returns the accepted connection, by which a drainer.Drainer finds its own.
func (c *jsonErrorConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It writes a refusal if a partial header exceeds the read deadline.
func (c *jsonErrorConnection) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 && !c.handlerStarted.Load() {
		c.requestStarted.Store(true)
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.requestStarted.Load() && !c.handlerStarted.Load() {
		refusal := refuser.New(refuser.CodeHeaderTimeout, "the header did not arrive in time")
		// Writing fails if the caller has disconnected, so there is nobody to report the error to.
		_, _ = c.Conn.Write(closingResponse(refusal))
	}
	return n, err
}

// The prefixes of error responses that the HTTP server writes without a handler.
var (
	badRequestPrefix     = []byte("HTTP/1.1 400 ")
	headerTooLargePrefix = []byte("HTTP/1.1 431 ")
)

// Write implements net.Conn. It replaces error responses that the HTTP server writes without a
// handler with refusals in JSON.
func (c *jsonErrorConnection) Write(p []byte) (n int, err error) {
	if c.handlerStarted.Load() {
		return c.Conn.Write(p)
	}
	var refusal *refuser.Refusal
	switch {
	case bytes.HasPrefix(p, badRequestPrefix):
		refusal = refuser.New(refuser.CodeBadRequest, "the request is not well-formed HTTP")
	case bytes.HasPrefix(p, headerTooLargePrefix):
		refusal = refuser.New(refuser.CodeHeaderTooLarge, "the header is too large")
	default:
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(closingResponse(refusal)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// closingResponse returns a complete HTTP response that announces the close of the connection.
func closingResponse(refusal *refuser.Refusal) []byte {
	// A refusal can always be encoded.
	body, _ := json.Marshal(refusalToWire(refusal))
	status := refusal.Status()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), contentTypeJSON, len(body))
	return append([]byte(head), body...)
}

// resetIdleConnection is the ConnState hook of the HTTP server. It clears requestStarted and
// handlerStarted when a connection becomes idle after a request, since the next request may have a
// late or malformed header too.
func resetIdleConnection(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*jsonErrorConnection)
	if ok && state == http.StateIdle {
		tracked.handlerStarted.Store(false)
		tracked.requestStarted.Store(false)
	}
}

type connectionContextKey struct{}

// contextWithConnection adds the connection to the context of its requests.
func contextWithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionContextKey{}, connection)
}

// markHandlerStarted sets handlerStarted on the connection of a request before it calls next.
func markHandlerStarted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionContextKey{}).(*jsonErrorConnection)
		if ok {
			connection.handlerStarted.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}
