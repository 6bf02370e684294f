package drainer

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// lastLook is how long a listener or an idle connection that is to be closed is looked at once more. It exceeds the time
// for which a process waits for its share of a processor.
const lastLook = 100 * time.Millisecond

// deadlineListener is a listener whose Accept can be ended by a deadline, such as a net.TCPListener.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	drainer *Drainer
	// stopping is set when the listener is to end once it has accepted the connections in its queue.
	stopping  atomic.Bool
	closeOnce sync.Once
	closeErr  error
}

// Track returns a listener for the server, which tracks the connections that it accepts.
func (d *Drainer) Track(inner net.Listener) net.Listener {
	if d.settings.MaxConnections > 0 {
		limitBacklog(inner, d.settings.MaxConnections)
	}
	l := &listener{Listener: inner, drainer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners[l] = struct{}{}
	return l
}

// Accept implements net.Listener. Once the listener has stopped, it returns http.ErrServerClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if c := l.drainer.admit(conn); c != nil {
				return c, nil
			}
			continue
		}
		if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if conn := l.acceptQueued(); conn != nil {
			return l.drainer.add(conn), nil
		}
		_ = l.Close() // The server reports ErrServerClosed whatever this returns.
		return nil, http.ErrServerClosed
	}
}

// acceptQueued returns a connection that is still in the queue, or nil. Accept does not look into the queue once its
// deadline has passed.
func (l *listener) acceptQueued() net.Conn {
	inner, ok := l.Listener.(deadlineListener)
	if !ok || inner.SetDeadline(time.Now().Add(lastLook)) != nil {
		return nil
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil
	}
	return conn
}

// stopAccepting makes Accept end once the queue is empty.
func (l *listener) stopAccepting() {
	if l.stopping.Swap(true) {
		return
	}
	inner, ok := l.Listener.(deadlineListener)
	if !ok || inner.SetDeadline(time.Now()) != nil {
		go func() { _ = l.Close() }() // The caller holds the lock that Close needs.
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.closeErr = l.Listener.Close()
		l.drainer.mu.Lock()
		delete(l.drainer.listeners, l)
		l.drainer.mu.Unlock()
		l.drainer.signal()
	})
	return l.closeErr
}
