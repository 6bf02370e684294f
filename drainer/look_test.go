package drainer_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// laggingListener accepts connections whose goroutine does not run for a while after it has set a read deadline in the
// future, as on a host whose processors are busy or whose share of them is used up.
type laggingListener struct {
	*net.TCPListener
	lag func()
	// armed is set once the lag applies.
	armed atomic.Bool
	// queue makes it apply to the listener, not to its connections.
	queue bool
}

func (l *laggingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &laggingConn{Conn: conn, listener: l}, nil
}

func (l *laggingListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	if l.armed.Load() && l.queue && time.Until(t) > 0 {
		l.lag()
	}
	return err
}

type laggingConn struct {
	net.Conn
	listener *laggingListener
}

func (c *laggingConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.listener.armed.Load() && !c.listener.queue && time.Until(t) > 0 {
		c.listener.lag()
	}
	return err
}

// Guards against requests that a busy host resets (LOST): one that waits in the socket before the last look is seen by
// it, however late the goroutine that looks gets to run.
func TestLastLookSeesWaitingRequest(t *testing.T) {
	var c *caller
	l := &laggingListener{TCPListener: listen(t).(*net.TCPListener)}
	l.lag = func() {
		l.armed.Store(false)
		_, _ = io.WriteString(c, getRequest) // Arrives before the last look reads.
		time.Sleep(20 * time.Millisecond)
	}
	s := startServer(t, drainer.Settings{}, l, answerOK)
	c = dial(t, s.address)
	c.send(getRequest)
	if _, err := c.response(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // The connection is idle.
	l.armed.Store(true)
	s.drain(drainTimeout)
	if r, err := c.response(); err != nil || r.body != "ok" {
		t.Errorf("the request had arrived 20 ms before the last look, and got %q, %v", r.body, err)
	}
}

// Guards against connections that a busy host resets (LOST): one that waits in the queue with its request before
// the last look is seen by it.
func TestLastLookIntoQueueSeesWaitingConnection(t *testing.T) {
	var c *caller
	l := &laggingListener{TCPListener: listen(t).(*net.TCPListener), queue: true}
	l.lag = func() {
		l.armed.Store(false)
		c = dial(t, l.Addr().String())
		_, _ = io.WriteString(c, getRequest)
		time.Sleep(20 * time.Millisecond)
	}
	s := startServer(t, drainer.Settings{}, l, answerOK)
	time.Sleep(50 * time.Millisecond)
	l.armed.Store(true)
	s.drain(drainTimeout)
	if r, err := c.response(); err != nil || r.body != "ok" {
		t.Errorf("the connection had been in the queue for 20 ms, and got %q, %v", r.body, err)
	}
}
