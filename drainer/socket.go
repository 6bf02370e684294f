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
)

// limitUnsent bounds what the kernel holds for a caller that doesn't read, which otherwise are several megabytes.
func limitUnsent(conn net.Conn) {
	setSocketOption(conn, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
}

// limitReceived bounds what the kernel holds of a refused request that nobody reads any more. Otherwise the buffer grows to several megabytes
// while the rest is read and discarded, and is full when that ends.
func limitReceived(conn net.Conn) {
	setSocketOption(conn, unix.SOL_SOCKET, unix.SO_RCVBUF, refusedReceiveBuffer)
}

// setSocketOption sets an option of a connection; if that fails, the kernel's default stays. Connections of tests that aren't sockets are left
// alone.
func setSocketOption(conn net.Conn, level, option, value int) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), level, option, value)
	})
}
