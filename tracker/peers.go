package tracker

import (
	"log/slog"
	"net/netip"
	"strings"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Peer is another daemon.
type Peer struct {
	// Key is where the daemon says that it runs; it names the daemon.
	Key        string
	Address    netip.AddrPort
	DataCentre string
}

// EncodePeer writes what a daemon says of itself.
func EncodePeer(address netip.AddrPort, dataCentre string) []byte {
	return []byte(address.String() + " " + dataCentre)
}

// PeersSettings are the parameters of Peers.
type PeersSettings struct {
	// Own is the address of this daemon, which is left out.
	Own netip.AddrPort
	// Changed is called with all other daemons after each change.
	Changed func([]Peer)
	Logger  *slog.Logger
}

// Peers follow the keys at which daemons say where they are.
type Peers struct {
	settings PeersSettings

	mu    sync.Mutex
	known map[string]Peer
}

// NewPeers returns Peers that know none.
func NewPeers(settings PeersSettings) *Peers {
	return &Peers{settings: settings, known: make(map[string]Peer)}
}

// Reset replaces all peers. After an outage those that are missing are kept until they change, since
// their entries lapsed with their leases.
func (p *Peers) Reset(items []storer.Item, afterOutage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !afterOutage {
		clear(p.known)
	}
	for _, item := range items {
		p.put(item)
	}
	p.publish()
}

// Change takes over changes.
func (p *Peers) Change(events []storer.Event, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		if event.Kind == storer.EventDelete {
			delete(p.known, event.Item.Key)
			continue
		}
		p.put(event.Item)
	}
	p.publish()
}

func (p *Peers) put(item storer.Item) {
	text, dataCentre, _ := strings.Cut(string(item.Value), " ")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		p.settings.Logger.Warn("entry names no daemon", "key", item.Key, "error", err)
		return
	}
	p.known[item.Key] = Peer{Key: item.Key, Address: address, DataCentre: dataCentre}
}

func (p *Peers) publish() {
	peers := make([]Peer, 0, len(p.known))
	for _, peer := range p.known {
		if peer.Address != p.settings.Own {
			peers = append(peers, peer)
		}
	}
	p.settings.Changed(peers)
}

// Sink takes items and changes, as a follower gives them.
type Sink interface {
	Reset(items []storer.Item, afterOutage bool)
	Change(events []storer.Event, afterOutage bool)
}

// Split hands the keys of one followed prefix to several sinks by longer prefixes.
type Split map[string]Sink

// Reset gives each sink the items of its prefix.
func (s Split) Reset(items []storer.Item, afterOutage bool) {
	for prefix, sink := range s {
		var own []storer.Item
		for _, item := range items {
			if strings.HasPrefix(item.Key, prefix) {
				own = append(own, item)
			}
		}
		sink.Reset(own, afterOutage)
	}
}

// Change gives each sink the changes of its prefix, and none to a sink without any.
func (s Split) Change(events []storer.Event, afterOutage bool) {
	for prefix, sink := range s {
		var own []storer.Event
		for _, event := range events {
			if strings.HasPrefix(event.Item.Key, prefix) {
				own = append(own, event)
			}
		}
		if len(own) > 0 {
			sink.Change(own, afterOutage)
		}
	}
}
