// Package listener provides an HTTP listener for emulators that can crash and then listen again
// on the same address.
//
// # Usage
//
//	var l listener.Listener
//	err := l.Start(handler, netip.MustParseAddrPort("127.0.0.1:0"))
//	l.Stop()                  // Closes the socket and every connection, as a crash does.
//	err = l.Restart(handler)  // Listens on the former address.
//	l.Stop()
//	l.Wait()
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("listener")

const readHeaderTimeout = 10 * time.Second

// Listener is a listening socket with its HTTP server. The zero value does not listen. After
// Stop, it can listen again.
type Listener struct {
	// ReceiveBuffer is the size of the receive buffer of each connection in bytes, and so of the window that it offers; zero
	// leaves it to the system. It must not change after Start.
	ReceiveBuffer int

	pause   pause
	mu      sync.Mutex
	address netip.AddrPort
	server  *http.Server
	socket  net.Listener
	// connections are the open connections.
	connections map[*net.TCPConn]struct{}
	workers     conc.WaitGroup
}

// Start listens on the address and serves the handler until Stop. Port zero picks a free port.
func (l *Listener) Start(handler http.Handler, address netip.AddrPort) (err error) {
	defer Error.WrapP(&err)
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Its sockets take no filters, which Silence needs.
	socket, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	l.mu.Lock()
	l.address = socket.Addr().(*net.TCPAddr).AddrPort()
	l.server = server
	l.socket = socket
	l.mu.Unlock()
	l.workers.Go(func() {
		// Serve returns once Stop closes the socket or the server.
		if err := server.Serve(&pausedSocket{Listener: socket, pause: &l.pause, receiveBuffer: l.ReceiveBuffer, track: l.track}); !errors.Is(err, http.ErrServerClosed) {
			_ = server.Close()
		}
	})
	return nil
}

// Address returns the address of the last successful Start, also after Stop.
func (l *Listener) Address() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Restart listens on the former address again. It does nothing if Start has never
// succeeded.
func (l *Listener) Restart(handler http.Handler) (err error) {
	defer Error.WrapP(&err)
	address := l.Address()
	if !address.IsValid() {
		return nil
	}
	return l.Start(handler, address)
}

// Stop closes the socket and every connection. It does not wait for running handlers.
func (l *Listener) Stop() {
	l.mu.Lock()
	server, socket := l.server, l.socket
	l.server, l.socket = nil, nil
	l.mu.Unlock()
	if server == nil {
		return
	}
	// Close the socket explicitly: until Serve is called, the server has not registered the
	// socket and server.Close leaves it open.
	_ = socket.Close()
	_ = server.Close()
}

// Wait waits until the goroutines that serve stopped sockets have returned. It does not wait
// for handlers.
func (l *Listener) Wait() {
	l.workers.Wait()
}
