package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link is the way from one daemon to one replica or peer. It can be cut, which resets its connections, refuses new ones and drops
// datagrams.
type link struct {
	local, remote netip.AddrPort

	mu          sync.Mutex
	isCut       bool
	listener    net.Listener
	connections map[net.Conn]struct{}
	// quiet is closed when the connections that are open fall silent.
	quiet     chan struct{}
	datagrams *net.UDPConn
}

// newLink opens a link to an address. Peers also get datagrams over it.
func newLink(remote netip.AddrPort, withDatagrams bool) (l *link, err error) {
	l = &link{remote: remote, connections: make(map[net.Conn]struct{}), quiet: make(chan struct{})}
	if l.local, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := l.open(); err != nil || !withDatagrams {
		return l, err
	}
	if l.datagrams, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.local)); err != nil {
		return nil, err
	}
	go l.forwardDatagrams()
	return l, nil
}

func (l *link) open() error {
	listener, err := net.Listen("tcp4", l.local.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.isCut = listener, false
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return nil
}

// cut resets the connections and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	_ = l.listener.Close() // It may be closed already.
	for conn := range l.connections {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection.
		}
		_ = conn.Close()
	}
}

func (l *link) closeDatagrams() {
	if l.datagrams != nil {
		_ = l.datagrams.Close()
	}
}

// silence makes the connections that are open silent for good: nothing passes any more, and they aren't closed. New ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.quiet)
	l.quiet = make(chan struct{})
}

// silencer passes on what is read until the connection falls silent.
type silencer struct {
	net.Conn
	quiet <-chan struct{}
}

// Read implements io.Reader. It returns nothing once the connection is silent, and an error once that is closed.
func (s silencer) Read(p []byte) (n int, err error) {
	for {
		n, err = s.Conn.Read(p)
		select {
		case <-s.quiet:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// heal lets connections and datagrams pass again.
func (l *link) heal() error { return l.open() }

func (l *link) track(conn net.Conn) (allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		l.connections[conn] = struct{}{}
	}
	return !l.isCut
}

func (l *link) forget(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}

func (l *link) forward(near net.Conn) {
	far, err := net.DialTimeout("tcp4", l.remote.String(), time.Second)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = near.Close()
		return
	}
	if !l.track(near) || !l.track(far) {
		_ = near.Close()
		_ = far.Close()
		return
	}
	defer l.forget(near)
	defer l.forget(far)
	l.mu.Lock()
	quiet := l.quiet
	l.mu.Unlock()
	var both sync.WaitGroup
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		both.Add(1)
		go func() {
			defer both.Done()
			from, to := pair[0], pair[1]
			if _, err := io.Copy(to, silencer{from, quiet}); err != nil { // A reset on one side is one on the other side.
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = to.Close()
				return
			}
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		}()
	}
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

func (l *link) forwardDatagrams() {
	out, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(l.remote))
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := l.datagrams.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		isCut := l.isCut
		l.mu.Unlock()
		if !isCut {
			_, _ = out.Write(buffer[:n]) // The peer may be gone.
		}
	}
}
