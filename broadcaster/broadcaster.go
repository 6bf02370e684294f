// Package broadcaster tells the other daemons what this one has at the targets, in datagrams.
//
// Datagrams may be lost: each tells the whole load, so the next one makes up for it. What a target
// holds is told once, and a lost one costs a fetch that somebody else would have known of.
//
// # Usage
//
//	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: name, Places: placer})
//	defer b.Close()
//	b.SetPeers(addresses)
package broadcaster

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("broadcaster")

const (
	// shortestInterval is the time between two messages to few peers.
	shortestInterval = 50 * time.Millisecond
	// intervalPerPeer lengthens the interval, so that a daemon sends and receives at most a
	// hundred datagrams a second, however many peers there are.
	intervalPerPeer = 10 * time.Millisecond
	// maxDatagram keeps a message within one packet of an ordinary network.
	maxDatagram = 1400
)

// Places holds the loads.
type Places interface {
	Export() placer.News
	Import(peer string, news placer.News)
}

// Settings are the parameters of a Broadcaster.
type Settings struct {
	Listen netip.AddrPort
	Name   string
	Places Places
	Logger *slog.Logger
}

// Broadcaster sends to and hears from its peers.
type Broadcaster struct {
	settings Settings
	socket   *net.UDPConn
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	// soon asks for a message before the interval is over.
	soon chan struct{}

	mu    sync.Mutex
	peers []netip.AddrPort
	quiet bool
}

// New opens the port and begins to hear and tell.
func New(settings Settings) (b *Broadcaster, err error) {
	defer Error.WrapP(&err)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, err
	}
	b = &Broadcaster{settings: settings, socket: socket, soon: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.tasks.Go(func() { b.tell(ctx) })
	b.tasks.Go(b.hear)
	return b, nil
}

// Close closes the port and waits.
func (b *Broadcaster) Close() error {
	b.cancel()
	err := b.socket.Close()
	b.tasks.Wait()
	return err
}

// SetPeers replaces the addresses of the other daemons.
func (b *Broadcaster) SetPeers(peers []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = peers
}

// addresses returns the peers and the interval for that many.
func (b *Broadcaster) addresses() (peers []netip.AddrPort, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers, max(shortestInterval, time.Duration(len(b.peers))*intervalPerPeer)
}

func (b *Broadcaster) tell(ctx context.Context) {
	for {
		_, interval := b.addresses()
		if !b.pause(ctx, interval) {
			return
		}
		peers, _ := b.addresses()
		news := b.settings.Places.Export()
		if news.Empty() && b.quiet {
			continue
		}
		b.quiet = news.Empty() // The end of all work is told once.
		for _, message := range encode(b.settings.Name, news) {
			b.send(message, peers)
		}
	}
}

// Soon sends a message without waiting for the interval.
func (b *Broadcaster) Soon() {
	select {
	case b.soon <- struct{}{}:
	default:
	}
}

// pause waits for the interval or for Soon, and says whether ctx goes on.
func (b *Broadcaster) pause(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.soon:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (b *Broadcaster) send(message []byte, peers []netip.AddrPort) {
	for _, peer := range peers {
		if _, err := b.socket.WriteToUDPAddrPort(message, peer); err != nil && !errors.Is(err, net.ErrClosed) {
			b.settings.Logger.Debug("datagram not sent", "peer", peer, "error", err)
		}
	}
}

func (b *Broadcaster) hear() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An earlier datagram met a closed port.
		}
		name, news, err := Decode(buffer[:n])
		if err != nil {
			b.settings.Logger.Warn("datagram not understood", "from", from, "error", err)
			continue
		}
		if name != b.settings.Name {
			b.settings.Places.Import(name, news)
		}
	}
}
