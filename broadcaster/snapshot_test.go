package broadcaster_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against daemons that start and know nothing of what targets and stores hold until others use it again. A daemon
// that isn't registered gets no answer, which is a hundred times as large as the question.
func TestStartingDaemonLearnsHoldings(t *testing.T) {
	var known []placer.Holding
	for i := range 500 {
		known = append(known, placer.Holding{Target: 1 << 60, Key: uint64(i) << 40, Tokens: 13_300})
	}
	now := time.Unix(1000, 0)
	started := &simulatedDaemon{work: make(map[string][]placer.Load)}
	exchange := func(name string, state broadcaster.State) *broadcaster.Exchange {
		return broadcaster.NewExchange(broadcaster.ExchangeSettings{
			Name: name, State: state, Now: func() time.Time { return now },
			Snapshot: func(count int) []placer.Holding { return known[:min(count, len(known))] },
		})
	}
	asker, asked := exchange("asker", started), exchange("asked", noState{})
	question := broadcaster.Message{Sender: "asker", Scope: broadcaster.ScopeReceiver, HoldingsWanted: 1 << 40}.Encode()[0]
	ask := func() []broadcaster.Outgoing {
		if _, err := asked.Receive(question); err != nil {
			t.Fatal(err)
		}
		return asked.TakeSnapshots()
	}
	if answers := ask(); len(answers) > 0 {
		t.Errorf("an unknown daemon gets %+v", answers)
	}
	peer := broadcaster.Peer{Name: "asker", Address: netip.MustParseAddrPort("10.0.0.1:9")}
	asked.SetPeers([]broadcaster.Peer{peer})
	answers := ask()
	if again := ask(); len(answers) != 1 || !slices.Equal(answers[0].To, []netip.AddrPort{peer.Address}) || len(again) != 0 {
		t.Fatalf("%d answers, %d to a question at the same time", len(answers), len(again))
	}
	for _, datagram := range answers[0].Datagrams {
		if _, err := asker.Receive(datagram); err != nil || len(datagram) > 1500 {
			t.Errorf("%d bytes, %v", len(datagram), err)
		}
	}
	if !slices.Equal(started.holdings, known) || len(started.work) > 0 {
		t.Errorf("%d of %d holdings arrived, and the work %v", len(started.holdings), len(known), started.work)
	}
}
