package connector

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// tcpUserTimeoutMS is how many milliseconds sent bytes may stay unacknowledged before the kernel closes
	// the connection.
	tcpUserTimeoutMS = 1500
	// probeIdleSeconds, probeIntervalSeconds and probeCount set TCP keep-alive probes that detect an
	// unreachable peer on an idle connection within three seconds.
	probeIdleSeconds     = 1
	probeIntervalSeconds = 1
	probeCount           = 2
)

// setDeadPeerTimeouts sets socket options by which the kernel closes a connection to an unreachable peer.
func setDeadPeerTimeouts(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		socket := int(fd)
		err = errors.Join(
			unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdleSeconds),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeIntervalSeconds),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount),
			unix.SetsockoptInt(socket, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMS),
		)
	})
	return errors.Join(controlErr, err)
}

// reusable reports whether an idle connection is open and has no unread bytes, neither in its buffer nor in the kernel.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
