package drainer

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

// connectionState is what a connection is used for.
type connectionState int

const (
	// stateNew: no byte has arrived yet.
	stateNew connectionState = iota
	// stateReceiving: bytes have arrived, but not the whole head of a request.
	stateReceiving
	// stateServing: a request is being served, until its answer was written.
	stateServing
	// stateIdle: the last answer was written, and no byte has arrived since.
	stateIdle
	// stateEnding: the last answer was written, and the server only waits for the caller to read it.
	stateEnding
)

// connection is a connection of a tracked server. Only the goroutine that reads from it ends it between requests.
type connection struct {
	net.Conn
	drainer   *Drainer
	closeOnce sync.Once
	closeErr  error
	// endedBy is the error with which Read has ended the connection. All further calls return it: package net/textproto ignores an error between two
	// fields of a head, and would wait for bytes without a deadline. Only the goroutine that reads uses it.
	endedBy error

	mu    sync.Mutex
	state connectionState
	// since is when the state began or, in stateReceiving, when the last byte arrived.
	since time.Time
	// idleTimeout is the timeout in force when the connection became idle, and keepAlive the time that the last answer
	// announced.
	idleTimeout time.Duration
	keepAlive   time.Duration
	// multiplexed is set if requests share the connection (HTTP/2).
	multiplexed bool
	// ending is set when Read is to end the connection unless a byte has arrived.
	ending bool
	// readDeadline is the read deadline that the server has set.
	readDeadline time.Time
	// headBytes and headFields are what has arrived of the current head, and headTaken is the memory that was taken for it.
	headBytes  int
	headFields int
	headTaken  int
	// writing is the number of writes that are under way on a connection of HTTP/2, written is closed when they have ended, and unanswered is
	// what has arrived since they began.
	writing    int
	written    chan struct{}
	unanswered int
	// pausedUntil is when the connection may be read again.
	pausedUntil time.Time
}

func (d *Drainer) add(conn net.Conn) *connection {
	limitUnsent(conn)
	c := &connection{Conn: conn, drainer: d, since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections[c] = struct{}{}
	return c
}

// Read implements net.Conn. If the connection is to end and nothing has arrived, it returns io.EOF, so that the server
// closes it as if the caller had done so, or a timeout within the head of a request.
func (c *connection) Read(p []byte) (n int, err error) {
	if c.endedBy != nil {
		return 0, c.endedBy
	}
	c.awaitWritten()
	c.awaitPause()
	n, err = c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		n, err = c.lookAgain(p)
		if n == 0 {
			c.endedBy = c.endError(err)
			return 0, c.endedBy
		}
	}
	if n == 0 {
		return 0, err
	}
	if c.endedBy = c.received(p[:n]); c.endedBy != nil {
		return 0, c.endedBy // What has arrived isn't parsed, since there is no memory for that.
	}
	return n, nil
}

// lookAgain reads what has arrived or arrives within lastLook. A goroutine that gets to run only after the deadline would
// get an error from Read without a look into the socket, so the socket is read once more without a deadline.
func (c *connection) lookAgain(p []byte) (n int, err error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
	n, err = c.Conn.Read(p)
	socket, ok := c.Conn.(syscall.Conn)
	if n > 0 || !ok || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	raw, rawErr := socket.SyscallConn()
	if rawErr != nil {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	_ = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), p)
		return true
	})
	return max(n, 0), err
}

// endError counts the end of the connection and returns the error with which Read reports it.
func (c *connection) endError(err error) error {
	if c.currentState() == stateReceiving {
		c.drainer.count(func(r *Report) { r.Unfinished++ })
		return err
	}
	c.drainer.count(func(r *Report) { r.Idle++ })
	return io.EOF
}

func (c *connection) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// received records that bytes have arrived. They begin a request if none is being served. The error is one of the connection if there is no
// memory for the rest of a head.
func (c *connection) received(piece []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep()
	c.unanswered += len(piece)
	if c.state != stateServing && c.state != stateEnding {
		c.state, c.since = stateReceiving, time.Now()
		if c.multiplexed {
			return nil // These may be frames that belong to no request.
		}
		return c.takeHead(piece)
	}
	return nil
}

// keep revokes an end that Read has not carried out. The caller holds mu.
func (c *connection) keep() {
	if c.ending {
		c.ending = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		c.closeErr = c.Conn.Close()
		c.drainer.mu.Lock()
		delete(c.drainer.connections, c)
		c.drainer.mu.Unlock()
		c.mu.Lock()
		c.giveHeadBack()
		c.mu.Unlock()
		c.drainer.signal()
	})
	return c.closeErr
}

// isMultiplexed reports whether requests share a connection of the server.
func isMultiplexed(conn net.Conn) bool {
	encrypted, ok := conn.(*tls.Conn)
	return ok && encrypted.ConnectionState().NegotiatedProtocol == "h2"
}

// follow takes over a state of the server, which calls the connection conn.
func (c *connection) follow(conn net.Conn, state http.ConnState) {
	multiplexed := state == http.StateActive && isMultiplexed(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.keep()
		c.multiplexed = multiplexed
		c.state, c.since = stateServing, time.Now()
		_ = c.Conn.SetWriteDeadline(time.Time{}) // That of the last answer has passed, perhaps.
	case http.StateIdle:
		c.giveHeadBack()
		c.state, c.since = stateIdle, time.Now()
		c.idleTimeout = time.Duration(c.drainer.idleTimeout.Load())
		c.drainer.signal()
	}
}

func (c *connection) currentState() connectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// end makes Read end the connection unless a byte has arrived. The caller holds mu.
func (c *connection) end() {
	if !c.ending {
		c.ending = true
		_ = c.Conn.SetReadDeadline(dialer.ExpiredDeadline)
	}
}

// setKeepAlive records the time that an answer announces.
func (c *connection) setKeepAlive(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepAlive = timeout
}

// CloseWrite ends the direction to the caller. The server calls it when it has written the last answer.
func (c *connection) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	c.mu.Lock()
	c.state, c.since = stateEnding, time.Now()
	c.mu.Unlock()
	c.drainer.signal()
	return inner.CloseWrite()
}

// closeIfIdle ends the connection if it has been idle for longer than the timeout, than the one in force when it became
// idle, and than the announced time.
func (c *connection) closeIfIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle && time.Since(c.since) > max(timeout, c.idleTimeout, c.reuseTime()) {
		c.end()
	}
}

// closeIfQuiet ends the connection if it may be closed between requests, and reports whether a request is being received
// or served.
func (c *connection) closeIfQuiet() (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.since)
	stalled := c.state == stateReceiving && age > headStallTimeout
	unused := c.state == stateNew && age > firstRequestTimeout
	unpromised := c.state == stateIdle && age > c.reuseTime()
	if stalled || unused || unpromised {
		c.end()
	}
	return c.state == stateServing || c.state == stateReceiving && !stalled
}

// reuseTime returns how long a draining server keeps the connection after an answer. The caller holds mu.
func (c *connection) reuseTime() time.Duration {
	reuseTime := time.Duration(0)
	if c.keepAlive > 0 {
		reuseTime = c.keepAlive + reuseMargin
	}
	if c.multiplexed {
		reuseTime = max(reuseTime, multiplexedTimeout)
	}
	return reuseTime
}

// interruptBody ends the reading of a request's body. It spares connections that requests share, since all of them would
// lose their answers.
func (c *connection) interruptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateServing && !c.multiplexed {
		_ = c.Conn.SetReadDeadline(dialer.ExpiredDeadline)
	}
}
