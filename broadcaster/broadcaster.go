// Package broadcaster sends the state of this daemon, such as its load at the targets, to the other daemons in
// UDP datagrams, and receives theirs.
//
// Datagrams may be lost. Each one contains the whole load, so the next one replaces a lost one. A change of the
// prompt parts that a target caches (see placer.Holding) is sent only once. If that datagram is lost, a peer may miss a
// cache fetch.
//
// # Usage
//
//	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: name, State: state})
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
	// minInterval is the interval between two messages with up to five peers.
	minInterval = 50 * time.Millisecond
	// intervalPerPeer makes the interval grow with the number of peers, so that a daemon sends and
	// receives at most a hundred datagrams per second whatever that number is.
	intervalPerPeer = 10 * time.Millisecond
	// maxMessageBytes is the size beyond which no further holdings are added to a message. It lies below
	// the usual MTU of 1500 bytes, so that a message fits into one packet unless it has many loads.
	maxMessageBytes = 1400
)

// State provides the state that is sent to the peers and imports the state that is received from them.
type State interface {
	// Export returns the state of this daemon.
	Export() placer.PeerUpdate
	// Import replaces the known load of a peer and merges the rest of the peer's state.
	Import(peer string, update placer.PeerUpdate)
}

// Settings are the parameters of a Broadcaster.
type Settings struct {
	Listen netip.AddrPort
	Name   string
	State  State
	Logger *slog.Logger
}

// Broadcaster exchanges datagrams with its peers.
type Broadcaster struct {
	settings Settings
	socket   *net.UDPConn
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	// wake makes sendLoop send a message before the interval is over.
	wake chan struct{}

	mu    sync.Mutex
	peers []netip.AddrPort
	// lastEmpty is set if the last exported update was empty (see placer.PeerUpdate.Empty). Only sendLoop accesses it.
	lastEmpty bool
}

// New opens the UDP port and starts the goroutines that send and receive.
func New(settings Settings) (b *Broadcaster, err error) {
	defer Error.WrapP(&err)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, err
	}
	b = &Broadcaster{settings: settings, socket: socket, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.tasks.Go(func() { b.sendLoop(ctx) })
	b.tasks.Go(b.receiveLoop)
	return b, nil
}

// Close closes the port and waits for the goroutines to end.
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

// peersAndInterval returns the peers and the interval between messages to that many peers.
func (b *Broadcaster) peersAndInterval() (peers []netip.AddrPort, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers, max(minInterval, time.Duration(len(b.peers))*intervalPerPeer)
}

func (b *Broadcaster) sendLoop(ctx context.Context) {
	for {
		_, interval := b.peersAndInterval()
		if !b.waitForSend(ctx, interval) {
			return
		}
		peers, _ := b.peersAndInterval()
		update := b.settings.State.Export()
		if update.Empty() && b.lastEmpty {
			continue
		}
		b.lastEmpty = update.Empty() // Of consecutive empty updates only the first is sent. It makes the peers drop the load of this daemon.
		for _, message := range encode(b.settings.Name, update) {
			b.send(message, peers)
		}
	}
}

// SendNow makes the broadcaster send a message without waiting for the end of the interval.
func (b *Broadcaster) SendNow() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// waitForSend waits for the end of the interval or for SendNow, and reports whether ctx is still active.
func (b *Broadcaster) waitForSend(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (b *Broadcaster) send(message []byte, peers []netip.AddrPort) {
	for _, peer := range peers {
		if _, err := b.socket.WriteToUDPAddrPort(message, peer); err != nil && !errors.Is(err, net.ErrClosed) {
			b.settings.Logger.Debug("failed to send a datagram", "peer", peer, "error", err)
		}
	}
}

func (b *Broadcaster) receiveLoop() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error reports that an earlier datagram was sent to a closed port.
		}
		name, update, err := Decode(buffer[:n])
		if err != nil {
			b.settings.Logger.Warn("received a malformed datagram", "from", from, "error", err)
			continue
		}
		if name != b.settings.Name {
			b.settings.State.Import(name, update)
		}
	}
}
