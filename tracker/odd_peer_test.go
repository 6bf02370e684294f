package tracker_test

import (
	"net/netip"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// Guards against a peer that is nowhere: it counts among the daemons, and with a link beyond all others it is asked first.
func TestOddEntryNamesNoPeer(t *testing.T) {
	var known []tracker.Peer
	peers := tracker.NewPeerTracker(tracker.PeerTrackerSettings{OnChange: func(p []tracker.Peer, _ tracker.OwnEntry) { known = p }, Logger: discardLogger()})
	for _, odd := range []string{
		"", "10.0.0.2:0 north 1", "10.0.0.2:70000 north 1", "0.0.0.0:5 north 1", "[::]:5 north 1", "224.0.0.1:5 north 1", "host:5 north 1",
		"10.0.0.2:5 north 1e400", "10.0.0.2:5 north NaN", "10.0.0.2:5 north Inf", "10.0.0.2:5 north -1", "10.0.0.2:5 north many", "10.0.0.2:5 north 1 2", "\xff",
	} {
		peers.Reset([]storer.Item{item("h/a", "10.0.0.1:5 north 100", 1), item("h/odd", odd, 2), item("h/c", "10.0.0.3:5 north", 3)}, false)
		if len(known) != 2 {
			t.Errorf("%q: peers are %v", odd, known)
		}
		// The daemon itself writes its entry again at once, and it is heard whether it lives.
		peers.HandleEvents([]storer.Event{put("h/a", odd, 4)}, false)
		if len(known) != 2 {
			t.Errorf("%q in place of the entry of a peer: peers are %v", odd, known)
		}
	}
	own := tracker.Peer{Key: "h/own", Address: netip.MustParseAddrPort("[fd00::1]:5"), DataCentre: "north", LinkMegabits: 12.5}
	peers.Reset([]storer.Item{item(own.Key, string(tracker.EncodePeer(own)), 1)}, false)
	if len(known) != 1 || known[0] != own {
		t.Errorf("peers are %v", known)
	}
}
