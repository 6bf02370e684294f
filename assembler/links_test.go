package assembler_test

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// links are the connections of one daemon to targets, which a test can cut.
type links struct {
	mu      sync.Mutex
	state   linkState
	sockets []syscall.RawConn
}

// linkState is what happens to the links of a daemon.
type linkState int

const (
	// linksWork: nothing happens to them.
	linksWork linkState = iota
	// linksSilent: nothing arrives on them, and new ones get no answer.
	linksSilent
	// linksRefused: they are cut, and new ones are refused.
	linksRefused
	// newLinksRefused: they work, and new ones are refused.
	newLinksRefused
)

// add takes a socket that is about to be connected.
func (l *links) add(socket syscall.RawConn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.state {
	case linksRefused, newLinksRefused:
		return syscall.ECONNREFUSED
	case linksSilent:
		l.sockets = append(l.sockets, socket)
		return controlSocket(socket, dropAll)
	}
	l.sockets = append(l.sockets, socket)
	return nil
}

// set changes the state. Sockets that were closed are forgotten.
func (l *links) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	var open []syscall.RawConn
	for _, socket := range l.sockets {
		var err error
		switch state {
		case linksSilent:
			err = controlSocket(socket, dropAll)
		case linksRefused:
			err = controlSocket(socket, func(descriptor int) error { return unix.Shutdown(descriptor, unix.SHUT_RDWR) })
		default:
			err = controlSocket(socket, dropNothing)
		}
		if err == nil {
			open = append(open, socket)
		}
	}
	l.sockets = open
}

func controlSocket(socket syscall.RawConn, change func(descriptor int) error) (err error) {
	controlErr := socket.Control(func(descriptor uintptr) { err = change(int(descriptor)) })
	return errors.Join(controlErr, err)
}

// dropAll makes the kernel drop what arrives at a socket before TCP sees it.
func dropAll(descriptor int) error {
	program := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0}
	return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &program})
}

// dropNothing ends dropAll. Without a filter there is nothing to end.
func dropNothing(descriptor int) error {
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0); !errors.Is(err, unix.ENOENT) {
		return err
	}
	return nil
}
