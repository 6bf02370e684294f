// Package broadcaster sends the state of this daemon, such as its load at the targets, to the other daemons in
// UDP datagrams, and receives theirs.
//
// Up to maxDirectPeers peers, each daemon sends its state to all others. Beyond that the daemons of a data centre send
// theirs to an aggregator, so that the datagrams of a daemon do not grow with the number of data centres. The aggregator
// adds the loads up, exchanges the sums with the aggregators of the other data centres, and sends the sum of all to the
// daemons of its own. It is the first daemon of its data centre that is alive, in an order that all daemons compute from
// the bandwidths of the links and the names. No lease is needed: while two daemons act as aggregators, each serves those that report to it.
//
// Datagrams may be lost. Each one contains the whole load, so the next one replaces a lost one. A change of the
// prompt parts that a target caches (see placer.Holding) is sent only once. If that datagram is lost, a peer may miss a
// cache fetch.
//
// # Usage
//
//	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: name, DataCentre: "north", State: state})
//	defer b.Close()
//	b.SetPeers(peers)
package broadcaster

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
)

// Error is the class of all errors of this package.
var Error = errs.Class("broadcaster")

// maxDatagramBytes is the size of the largest datagram that is received.
const maxDatagramBytes = 64 << 10

// State provides the state that is sent to the peers and imports the state that is received from them.
type State interface {
	// Export returns the state of this daemon.
	Export() placer.PeerUpdate
	// Import replaces the known load of a peer and merges the rest of the peer's state.
	Import(peer string, update placer.PeerUpdate)
}

// Origins receives what other daemons tell of the origins of streams.
type Origins interface {
	// Import takes the origins that a daemon tells.
	Import(daemon string, origins []recorder.Origin)
	// Acknowledge takes the news that a daemon knows the origins of some streams.
	Acknowledge(daemon string, streams []uint64)
}

// Quotas receives the messages of other daemons on quotas.
type Quotas interface {
	// Receive processes a message, which it does not keep.
	Receive(daemon string, message []byte)
}

// Settings are the parameters of a Broadcaster.
type Settings struct {
	Listen     netip.AddrPort
	Name       string
	DataCentre string
	// LinkMegabits is the bandwidth of this daemon's link in Mbit/s, as the peers know it.
	LinkMegabits float64
	State        State
	// Origins gets what other daemons tell of the origins of streams. Default: nobody.
	Origins Origins
	// Snapshot returns some of the parts that targets and stores hold, for a daemon that starts. Default: none.
	Snapshot func(count int) []placer.Holding
	// Quotas gets the messages of other daemons on quotas. Default: nobody.
	Quotas Quotas
	Logger *slog.Logger
}

// Broadcaster exchanges datagrams with its peers.
type Broadcaster struct {
	*Exchange
	logger *slog.Logger
	socket *net.UDPConn
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	// wake makes sendLoop send a message before the interval is over.
	wake chan struct{}
}

// New opens the UDP port and starts the goroutines that send and receive.
func New(settings Settings) (b *Broadcaster, err error) {
	defer Error.WrapP(&err)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Listen))
	if err != nil {
		return nil, err
	}
	exchange := NewExchange(ExchangeSettings{
		Name: settings.Name, DataCentre: settings.DataCentre, LinkMegabits: settings.LinkMegabits,
		State: settings.State, Origins: settings.Origins, Quotas: settings.Quotas, Snapshot: settings.Snapshot, Now: time.Now,
	})
	b = &Broadcaster{Exchange: exchange, logger: settings.Logger, socket: socket, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.tasks.Go(func() { supervisor.Run(ctx, settings.Logger, "send", b.sendLoop) })
	b.tasks.Go(func() { supervisor.Run(ctx, settings.Logger, "receive", b.receiveLoop) })
	return b, nil
}

// Close closes the port and waits for the goroutines to end.
func (b *Broadcaster) Close() error {
	b.cancel()
	err := b.socket.Close()
	b.tasks.Wait()
	return err
}

func (b *Broadcaster) sendLoop(ctx context.Context) {
	for b.waitForSend(ctx, b.Interval()) {
		for _, outgoing := range b.Send() {
			b.write(outgoing)
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

// TellOrigins tells some daemons the origins of streams.
func (b *Broadcaster) TellOrigins(daemons []netip.AddrPort, origins []recorder.Origin) {
	message := Message{Sender: b.self.Name, Scope: ScopeReceiver, Origins: origins}
	b.write(Outgoing{To: daemons, Datagrams: message.Encode()})
}

// AcknowledgeOrigins tells a daemon that the origins of some streams have arrived.
func (b *Broadcaster) AcknowledgeOrigins(daemon netip.AddrPort, streams []uint64) {
	message := Message{Sender: b.self.Name, Scope: ScopeReceiver, Acknowledged: streams}
	b.write(Outgoing{To: []netip.AddrPort{daemon}, Datagrams: message.Encode()})
}

// SendQuota sends a message on quotas to a daemon. Nothing is sent to a daemon that is not registered.
func (b *Broadcaster) SendQuota(daemon string, message []byte) {
	if address, found := b.address(daemon); found {
		datagram := Message{Sender: b.self.Name, Scope: ScopeReceiver, Quota: message}
		b.write(Outgoing{To: []netip.AddrPort{address}, Datagrams: datagram.Encode()})
	}
}

func (b *Broadcaster) write(outgoing Outgoing) {
	for _, datagram := range outgoing.Datagrams {
		for _, receiver := range outgoing.To {
			if _, err := b.socket.WriteToUDPAddrPort(datagram, receiver); err != nil && !errors.Is(err, net.ErrClosed) {
				b.logger.Debug("failed to send a datagram", "peer", receiver, "error", err)
			}
		}
	}
}

func (b *Broadcaster) receiveLoop(context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := b.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error reports that an earlier datagram was sent to a closed port.
		}
		sendNow, err := b.Receive(buffer[:n])
		if err != nil {
			b.logger.Warn("received a malformed datagram", "from", from, "error", err)
		}
		if sendNow {
			b.SendNow()
		}
		for _, outgoing := range b.TakeSnapshots() {
			b.write(outgoing)
		}
	}
}
