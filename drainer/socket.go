package drainer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxUnsent is how much of an answer the kernel holds that it can't send yet, since the caller doesn't read. What is on its way isn't limited,
	// so long links aren't slowed.
	maxUnsent = 64 << 10
	// refusedReceiveBuffer is the size of the kernel's buffer for what a refused caller goes on to send.
	refusedReceiveBuffer = 64 << 10
	// backlogRatio is how many connections may wait to be accepted for each one that may be open, and minBacklog the least number.
	backlogRatio = 1.0 / 8
	minBacklog   = 128
)

// limitBacklog bounds the connections that wait to be accepted. Each may have filled its receive buffer, which no bound of the daemon counts. The
// kernel leaves the first packets of others unanswered, so their callers send them again.
func limitBacklog(listener net.Listener, maxConnections int) {
	control(listener, func(fd int) {
		_ = unix.Listen(fd, max(int(backlogRatio*float64(maxConnections)), minBacklog)) // Without it, only the default holds.
	})
}

// limitUnsent bounds what the kernel holds for a caller that doesn't read, which otherwise are several megabytes.
func limitUnsent(conn net.Conn) {
	setSocketOption(conn, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
}

// limitReceived bounds what the kernel holds of a refused request that nobody reads any more. Otherwise the buffer grows to several megabytes
// while the rest is read and discarded, and is full when that ends.
func limitReceived(conn net.Conn) {
	setSocketOption(conn, unix.SOL_SOCKET, unix.SO_RCVBUF, refusedReceiveBuffer)
}

// setSocketOption sets an option of a connection; if that fails, the kernel's default stays.
func setSocketOption(conn net.Conn, level, option, value int) {
	control(conn, func(fd int) { _ = unix.SetsockoptInt(fd, level, option, value) })
}

// control calls change with the descriptor of a connection or a listener. Those of tests that aren't sockets are left alone.
func control(owner any, change func(fd int)) {
	socket, ok := owner.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { change(int(fd)) })
}
