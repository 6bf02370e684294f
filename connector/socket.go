package connector

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

const (
	// DefaultPeerTimeout is how long a target may leave sent bytes unacknowledged before its connection ends. A sound host may
	// be silent for a second or two, and no reset reaches it then: its target goes on with the request.
	DefaultPeerTimeout = 3500 * time.Millisecond
	// probeIdleSeconds, probeIntervalSeconds and probeCount set TCP keep-alive probes that detect an unreachable peer while
	// nothing is outstanding. The kernel ignores the count: it ends the connection at the first probe after the peer timeout if
	// the one before is unanswered. So the timeout has to last for several probes, since one can be lost.
	probeIdleSeconds     = 1
	probeIntervalSeconds = 1
	probeCount           = 3
)

// control sets up a socket before it is connected.
func (s Settings) control(_, _ string, socket syscall.RawConn) error {
	err := setProbes(socket)
	if s.OnSocket != nil {
		err = errors.Join(err, s.OnSocket(socket))
	}
	return err
}

// setProbes sets socket options by which the kernel closes a connection to an unreachable peer.
func setProbes(raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		socket := int(fd)
		err = errors.Join(
			unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdleSeconds),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeIntervalSeconds),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount),
		)
	})
	return errors.Join(controlErr, err)
}

// setPeerTimeout sets the time for which sent bytes may stay unacknowledged before the kernel closes the connection. Zero
// switches that off.
func (c *connection) setPeerTimeout(timeout time.Duration) error {
	if c.peerTimeout == timeout {
		return nil
	}
	c.peerTimeout = timeout
	return c.control(func(socket int) error {
		return unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// sendState returns what the kernel knows of the bytes that were sent.
func (c *connection) sendState() (state SendState, err error) {
	info, err := dialer.TCPInfo(c.Conn)
	if err != nil {
		return SendState{}, err
	}
	return SendState{
		Outstanding: dialer.Outstanding(info),
		Unanswered:  info.Retransmits > 0 || info.Probes > 0,
		SinceAck:    time.Duration(info.Last_ack_recv) * time.Millisecond,
	}, nil
}

// abort closes the connection of a request that is given up. What the target has not got of it never reaches it.
func (c *connection) abort() { _ = dialer.Abandon(c.Conn) } // No answer is expected on it any more.

// control calls a function with the socket of the connection.
func (c *connection) control(call func(socket int) error) (err error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = call(int(fd)) })
	return errors.Join(controlErr, err)
}

// reusable reports whether an idle connection is open and has no unread bytes, neither in its buffer nor in the kernel.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); !ok {
		return true
	}
	open := false
	err := c.control(func(socket int) error {
		var one [1]byte
		_, _, err := unix.Recvfrom(socket, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return nil
	})
	return err == nil && open
}
