package connector

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchDelay is the time from the start of a long body to the first look at its connection, and watchInterval the time
	// between two further ones.
	watchDelay    = time.Second
	watchInterval = 500 * time.Millisecond
	// unreachableLooks is how many looks in a row must find the peer unreachable. The answer to a probe may be on its way
	// at a single look.
	unreachableLooks = 2
)

// ErrPeerUnreachable is the cause if a target stopped acknowledging the bytes of a long body.
var ErrPeerUnreachable = errors.New("the target does not acknowledge what was sent")

// SendState is what the kernel knows of the bytes that were sent on a connection.
type SendState struct {
	// Outstanding is set if sent bytes are not acknowledged, or not sent since the peer's window is full.
	Outstanding bool
	// Unanswered is set if the last retransmission or window probe was not acknowledged.
	Unanswered bool
	// SinceAck is the time since the last acknowledgement.
	SinceAck time.Duration
}

// Unreachable reports whether the peer has acknowledged nothing for the time, although it had to.
func (s SendState) Unreachable(timeout time.Duration) bool {
	return s.Outstanding && s.Unanswered && s.SinceAck >= timeout
}

// watch finds out whether the target is unreachable while a long body is sent. The kernel's timeout cannot tell a target
// that is unreachable from one that reads nothing for a while and whose window is full, so it is switched off meanwhile.
type watch struct {
	connection *connection
	timeout    time.Duration
	written    atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	looks   int
	stopped bool
}

// startWatch starts the watch of a connection on which a long body is sent. It does nothing if the system does not tell the
// state of connections; the kernel's timeout stays on then.
func (c *connection) startWatch() {
	if _, err := c.sendState(); err != nil {
		return
	}
	w := &watch{connection: c, timeout: c.peerTimeout}
	if c.setPeerTimeout(0) != nil {
		return
	}
	c.watch = w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchDelay, w.look)
}

// setWritten records that the whole body was given to the kernel.
func (w *watch) setWritten() {
	if w != nil {
		w.written.Store(true)
	}
}

// look closes the connection if the target is unreachable, and ends the watch if all bytes were acknowledged.
func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	state, err := w.connection.sendState()
	if err != nil {
		return // The connection is closed.
	}
	if w.written.Load() && !state.Outstanding {
		w.end()
		return
	}
	if !state.Unreachable(w.timeout) {
		w.looks = 0
	} else if w.looks++; w.looks >= unreachableLooks {
		w.connection.unreachable.Store(true)
		w.connection.abort() // Makes pending reads and writes fail.
		return
	}
	w.timer.Reset(watchInterval)
}

// stop ends the watch.
func (w *watch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.end()
	}
}

// end ends the watch and switches the kernel's timeout on again. The caller holds mu.
func (w *watch) end() {
	w.stopped = true
	w.timer.Stop()
	_ = w.connection.setPeerTimeout(w.timeout) // Fails only if the connection is closed.
}
