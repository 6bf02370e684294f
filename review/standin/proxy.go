package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// proxy forwards the channels of one machine to the store. While it is cut, it forwards nothing and closes nothing, as a
// link that is cut; the channels that were open then end when the cut heals.
type proxy struct {
	to       netip.AddrPort
	listener net.Listener

	mu          sync.Mutex
	isCut       bool
	healed      chan struct{}
	connections []net.Conn
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: listener, healed: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) close() { _ = p.listener.Close() }

// cut stops the forwarding.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

// heal forwards new channels again and ends those of before.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	close(p.healed)
	p.healed = make(chan struct{})
	for _, conn := range p.connections {
		_ = conn.Close()
	}
	p.connections = nil
}

func (p *proxy) state() (isCut bool, healed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut, p.healed
}

func (p *proxy) forward(near net.Conn) {
	if isCut, healed := p.state(); isCut {
		<-healed
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.connections = append(p.connections, near, far)
	p.mu.Unlock()
	go p.copy(far, near)
	p.copy(near, far)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if isCut, healed := p.state(); isCut {
			<-healed
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
