package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCPInfo returns what the kernel knows of a connection.
func TCPInfo(conn net.Conn) (info *unix.TCPInfo, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(controlErr, err)
}

// Outstanding reports whether the peer has not acknowledged all that was written.
func Outstanding(info *unix.TCPInfo) bool {
	return info.Unacked > 0 || info.Notsent_bytes > 0 || info.Probes > 0
}

// Abandon closes a connection on which no answer is expected any more. If the peer has not acknowledged all that was written, the
// connection is reset: the kernel would otherwise deliver the rest, perhaps seconds later, and the end of the connection only after
// that. If it has, the end is sent as such, which is repeated if it is lost.
func Abandon(conn net.Conn) error {
	if info, err := TCPInfo(conn); err == nil && Outstanding(info) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Fails only if the connection is closed.
		}
	}
	return conn.Close()
}

// Abandoning returns a dial function whose connections are closed by Abandon, for clients that close a connection only when it is
// idle or its request is given up.
func Abandoning(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &abandonedConn{Conn: conn}, nil
	}
}

type abandonedConn struct{ net.Conn }

// Close implements net.Conn.
func (c *abandonedConn) Close() error { return Abandon(c.Conn) }
