package assembler_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// peerLink is the way on which messages of the other daemons reach one daemon. While it is cut, datagrams are lost, and connections are
// refused or closed.
type peerLink struct {
	// address is the one that the others know, and daemon the one at which the daemon listens.
	address, daemon netip.AddrPort
	datagrams       *net.UDPConn
	listener        net.Listener
	group           sync.WaitGroup

	mu          sync.Mutex
	cut         bool
	connections map[net.Conn]struct{}
	// lost counts the datagrams that were lost.
	lost atomic.Int64
}

func newPeerLink(t *testing.T, daemon netip.AddrPort) *peerLink {
	t.Helper()
	l := &peerLink{address: freePort(t), daemon: daemon, connections: make(map[net.Conn]struct{})}
	var err error
	if l.datagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.address)); err != nil {
		t.Fatal(err)
	}
	if l.listener, err = net.Listen("tcp4", l.address.String()); err != nil {
		t.Fatal(err)
	}
	l.group.Add(2)
	go l.passDatagrams()
	go l.passConnections()
	t.Cleanup(l.close)
	return l
}

func (l *peerLink) close() {
	_ = l.datagrams.Close()
	_ = l.listener.Close()
	l.set(true)
	l.group.Wait()
}

// set cuts the link, or heals it.
func (l *peerLink) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.connections {
			_ = conn.Close()
		}
	}
}

func (l *peerLink) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *peerLink) passDatagrams() {
	defer l.group.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.datagrams.Read(buffer)
		if err != nil {
			return
		}
		if l.isCut() {
			l.lost.Add(1)
			continue
		}
		_, _ = l.datagrams.WriteToUDPAddrPort(buffer[:n], l.daemon) // The daemon may be gone.
	}
}

func (l *peerLink) passConnections() {
	defer l.group.Done()
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.group.Add(1)
		go l.passConnection(near)
	}
}

func (l *peerLink) passConnection(near net.Conn) {
	defer l.group.Done()
	defer l.forget(near)
	if !l.track(near) {
		return
	}
	far, err := net.DialTimeout("tcp4", l.daemon.String(), time.Second)
	if err != nil {
		return
	}
	defer l.forget(far)
	if !l.track(far) {
		return
	}
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Add(1)
		go func() {
			defer both.Done()
			_, _ = io.Copy(pair[0], pair[1]) // Either end may close.
			_ = near.Close()
			_ = far.Close()
		}()
	}
	both.Wait()
}

// track remembers a connection, so that a cut closes it. It reports whether the link works.
func (l *peerLink) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = struct{}{}
	return !l.cut
}

func (l *peerLink) forget(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}
