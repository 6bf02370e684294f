package assembler_test

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/rosemaryrill/rosemaryrill/listener"
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
		return listener.Drop(socket)
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
			err = listener.Drop(socket)
		case linksRefused:
			controlErr := socket.Control(func(descriptor uintptr) { err = unix.Shutdown(int(descriptor), unix.SHUT_RDWR) })
			err = errors.Join(controlErr, err)
		default:
			err = listener.Deliver(socket)
		}
		if err == nil {
			open = append(open, socket)
		}
	}
	l.sockets = open
}
