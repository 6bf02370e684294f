package broadcaster

import (
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// maxSnapshotHoldings bounds the holdings of an answer. Their datagrams have to fit into the receive buffer of a socket.
	maxSnapshotHoldings = 2048
	// minSnapshotInterval is the time between two answers, since each takes processor time. Who gets none asks again.
	minSnapshotInterval = 50 * time.Millisecond
)

// snapshots are the answers to daemons that asked what targets and stores hold.
type snapshots struct {
	outgoing   []Outgoing
	answeredAt time.Time
}

// AskHoldings asks some daemons what targets and stores hold, as a daemon does that starts. They answer with datagrams.
func (b *Broadcaster) AskHoldings(daemons []netip.AddrPort) {
	message := Message{Sender: b.self.Name, Scope: ScopeReceiver, HoldingsWanted: maxSnapshotHoldings}
	b.write(Outgoing{To: daemons, Datagrams: message.Encode()})
}

// receiveHoldings imports the holdings that another daemon told this one alone, and prepares the answer if it asks for some.
func (e *Exchange) receiveHoldings(message Message) {
	if len(message.Update.Holdings) > 0 {
		e.settings.State.Import(message.Sender, placer.PeerUpdate{LoadsOmitted: true, Holdings: message.Update.Holdings})
	}
	if message.HoldingsWanted == 0 || e.settings.Snapshot == nil {
		return
	}
	e.mu.Lock()
	peer, known := e.topology.find(message.Sender)
	now := e.settings.Now()
	due := now.Sub(e.snapshots.answeredAt) >= minSnapshotInterval
	if known && due {
		e.snapshots.answeredAt = now
	}
	e.mu.Unlock()
	if !known || !due {
		return
	}
	holdings := e.settings.Snapshot(message.HoldingsWanted)
	if len(holdings) == 0 {
		return
	}
	answer := Message{Sender: e.self.Name, Scope: ScopeReceiver, Update: placer.PeerUpdate{Holdings: holdings}}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snapshots.outgoing = append(e.snapshots.outgoing, Outgoing{To: []netip.AddrPort{peer.Address}, Datagrams: answer.Encode()})
}

// TakeSnapshots returns the answers that are to be sent.
func (e *Exchange) TakeSnapshots() (outgoing []Outgoing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	outgoing, e.snapshots.outgoing = e.snapshots.outgoing, nil
	return outgoing
}
