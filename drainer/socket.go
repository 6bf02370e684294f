package drainer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsent is how much of an answer the kernel holds that it can't send yet, since the caller doesn't read. What is on its way isn't limited, so
// long links aren't slowed.
const maxUnsent = 64 << 10

// limitUnsent bounds what the kernel holds for a caller that doesn't read, which otherwise are several megabytes. Connections of tests that aren't
// sockets are left alone.
func limitUnsent(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent) // Without it, only the default holds.
	})
}
