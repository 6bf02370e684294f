package listener

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silence makes the host of the listener silent for a while, as one that is suspended: nothing that arrives is acknowledged, and
// nothing is written. Then it goes on. Pause leaves the acknowledgements to the kernel.
func (l *Listener) Silence(duration time.Duration) (err error) {
	defer Error.WrapP(&err)
	l.Pause(duration)
	for _, socket := range l.openSockets() {
		raw, socketErr := socket.SyscallConn()
		if socketErr == nil {
			socketErr = Drop(raw)
		}
		if socketErr != nil {
			err = errors.Join(err, socketErr)
			continue
		}
		time.AfterFunc(duration, func() { _ = Deliver(raw) }) // Fails only if it was closed meanwhile.
	}
	return err
}

// openSockets returns the listening socket and its open connections.
func (l *Listener) openSockets() (sockets []syscall.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if socket, ok := l.socket.(syscall.Conn); ok {
		sockets = append(sockets, socket)
	}
	for conn := range l.connections {
		sockets = append(sockets, conn)
	}
	return sockets
}

// track remembers an open connection until the returned function is called.
func (l *Listener) track(conn net.Conn) (forget func()) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return func() {}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connections == nil {
		l.connections = make(map[*net.TCPConn]struct{})
	}
	l.connections[tcp] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, tcp)
	}
}

// Drop makes the kernel drop what arrives at a TCP socket before TCP sees it, so that nothing is acknowledged, until Deliver is called.
func Drop(socket syscall.RawConn) error {
	program := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	return control(socket, func(descriptor int) error {
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program})
	})
}

// Deliver ends Drop. It does nothing if nothing is dropped.
func Deliver(socket syscall.RawConn) error {
	return control(socket, func(descriptor int) error {
		if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); !errors.Is(err, unix.ENOENT) {
			return err
		}
		return nil
	})
}

func control(socket syscall.RawConn, change func(descriptor int) error) (err error) {
	controlErr := socket.Control(func(descriptor uintptr) { err = change(int(descriptor)) })
	return errors.Join(controlErr, err)
}
