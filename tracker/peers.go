package tracker

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Peer is another daemon.
type Peer struct {
	// Key is the key of the daemon's entry in the store. It identifies the daemon.
	Key        string
	Address    netip.AddrPort
	DataCentre string
	// LinkMegabits is the bandwidth of the host's link in Mbit/s; zero if it is not known.
	LinkMegabits float64
}

// EncodePeer encodes the entry that a daemon writes about itself: its address, its data centre and the bandwidth of its
// host's link.
func EncodePeer(peer Peer) []byte {
	return []byte(peer.Address.String() + " " + peer.DataCentre + " " + strconv.FormatFloat(peer.LinkMegabits, 'f', -1, 64))
}

// PeerTrackerSettings are the parameters of a PeerTracker.
type PeerTrackerSettings struct {
	// OwnAddress is the address of this daemon, which is excluded from the peers.
	OwnAddress netip.AddrPort
	// OnChange is called with all peers and the own entry after each call of Reset and HandleEvents, even if nothing changed.
	OnChange func(peers []Peer, own OwnEntry)
	Logger   *slog.Logger
}

// OwnEntry is the entry of this daemon in the store.
type OwnEntry struct {
	// Listed is set if the entry is there, and Lease is the lease to which it is bound.
	Listed bool
	Lease  storer.LeaseID
}

// PeerTracker tracks the other daemons by their entries in the store.
type PeerTracker struct {
	settings PeerTrackerSettings

	mu    sync.Mutex
	known map[string]Peer
	// leases are the leases to which the entries are bound.
	leases map[string]storer.LeaseID
	odd    oddEntries
}

// NewPeerTracker returns a PeerTracker without any peer.
func NewPeerTracker(settings PeerTrackerSettings) *PeerTracker {
	return &PeerTracker{settings: settings, known: make(map[string]Peer), leases: make(map[string]storer.LeaseID)}
}

// Reset replaces all peers. After an outage, peers whose entries are missing are kept, since the entries may
// have expired with their leases while the daemons kept running. They are removed by the next Reset that does not
// follow an outage, or by an event that deletes their entries.
func (p *PeerTracker) Reset(items []storer.Item, afterOutage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !afterOutage {
		clear(p.known)
		clear(p.leases)
	}
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		p.put(item)
	}
	p.odd.retain(present)
	p.publish()
}

// HandleEvents adds, replaces and removes peers by the events of their entries.
func (p *PeerTracker) HandleEvents(events []storer.Event, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		if event.Kind == storer.EventDelete {
			delete(p.known, event.Item.Key)
			delete(p.leases, event.Item.Key)
			p.odd.forget(event.Item.Key)
			continue
		}
		p.put(event.Item)
	}
	p.publish()
}

func (p *PeerTracker) put(item storer.Item) {
	peer, err := decodePeer(item)
	if err != nil {
		if p.odd.isNew(item.Key) {
			p.settings.Logger.Warn("invalid entry of a daemon ignored", "key", item.Key, "error", shortText(err))
		}
		return
	}
	p.odd.forget(item.Key)
	p.known[item.Key], p.leases[item.Key] = peer, item.Lease
}

// decodePeer decodes the entry that a daemon wrote about itself. An entry without the bandwidth is that of an older daemon.
func decodePeer(item storer.Item) (peer Peer, err error) {
	text, rest, _ := strings.Cut(string(item.Value), " ")
	dataCentre, link, hasLink := strings.Cut(rest, " ")
	peer = Peer{Key: item.Key, DataCentre: dataCentre}
	if peer.Address, err = netip.ParseAddrPort(text); err != nil {
		return Peer{}, err
	}
	if ip := peer.Address.Addr().Unmap(); peer.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return Peer{}, fmt.Errorf("address %s", peer.Address)
	}
	if !hasLink {
		return peer, nil
	}
	peer.LinkMegabits, err = strconv.ParseFloat(link, 64)
	if isBandwidth := peer.LinkMegabits >= 0 && !math.IsInf(peer.LinkMegabits, 0); err != nil || !isBandwidth {
		return Peer{}, fmt.Errorf("bandwidth %q", link)
	}
	return peer, nil
}

func (p *PeerTracker) publish() {
	peers := make([]Peer, 0, len(p.known))
	var own OwnEntry
	for key, peer := range p.known {
		if peer.Address == p.settings.OwnAddress {
			own = OwnEntry{Listed: true, Lease: p.leases[key]}
			continue
		}
		peers = append(peers, peer)
	}
	p.settings.OnChange(peers, own)
}

// ItemSink receives items and events from a follower.
type ItemSink interface {
	Reset(items []storer.Item, afterOutage bool)
	HandleEvents(events []storer.Event, afterOutage bool)
}

// PrefixMux distributes the items and events of one followed prefix. It maps key prefixes, each of which starts with the
// followed prefix, to the sinks that receive the items and events under them.
type PrefixMux map[string]ItemSink

// Reset passes to each sink the items of its prefix.
func (m PrefixMux) Reset(items []storer.Item, afterOutage bool) {
	for prefix, sink := range m {
		var matching []storer.Item
		for _, item := range items {
			if strings.HasPrefix(item.Key, prefix) {
				matching = append(matching, item)
			}
		}
		sink.Reset(matching, afterOutage)
	}
}

// HandleEvents passes to each sink the events of its prefix. A sink without events is not called.
func (m PrefixMux) HandleEvents(events []storer.Event, afterOutage bool) {
	for prefix, sink := range m {
		var matching []storer.Event
		for _, event := range events {
			if strings.HasPrefix(event.Item.Key, prefix) {
				matching = append(matching, event)
			}
		}
		if len(matching) > 0 {
			sink.HandleEvents(matching, afterOutage)
		}
	}
}
