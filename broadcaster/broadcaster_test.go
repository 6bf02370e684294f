package broadcaster_test

import (
	"log/slog"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// fakeState exports each of its outgoing updates once and records the imported ones.
type fakeState struct {
	mu       sync.Mutex
	outgoing []placer.PeerUpdate
	received map[string][]placer.PeerUpdate
	count    int
}

func (s *fakeState) Export() (update placer.PeerUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outgoing) > 0 {
		update, s.outgoing = s.outgoing[0], s.outgoing[1:]
	}
	return update
}

func (s *fakeState) Import(peer string, update placer.PeerUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = make(map[string][]placer.PeerUpdate)
	}
	s.received[peer] = append(s.received[peer], update)
	s.count++
}

func (s *fakeState) awaitMessages(t *testing.T, count int) {
	t.Helper()
	for range 500 {
		s.mu.Lock()
		received := s.count
		s.mu.Unlock()
		if received >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("fewer than %d messages arrived", count)
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return netip.MustParseAddrPort(socket.LocalAddr().String())
}

func newBroadcaster(t *testing.T, name string, state *fakeState) (*broadcaster.Broadcaster, netip.AddrPort) {
	t.Helper()
	address := freeAddress(t)
	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: name, DataCentre: "north", State: state, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b, address
}

func TestStateReachesPeersUnchanged(t *testing.T) {
	sent := placer.PeerUpdate{
		Loads: []placer.Load{
			{Target: 1 << 60, Requests: 3, PendingPrefill: placer.PendingPrefill{0: 100, 9: 7}, KVCacheTokens: 5000},
			{Target: 2, Requests: 1},
		},
		UpgradePlan:       placer.UpgradePlan{FencingToken: 9, Upgrading: []placer.TargetHash{1 << 50, 3}, Upgraded: []placer.UpgradedTarget{{Target: 4, Model: "m", Version: 7}}},
		AnnouncedVersions: []placer.AnnouncedVersion{{Model: "m", Version: 7, Age: 1500 * time.Millisecond}},
	}
	for i := range 300 {
		sent.Holdings = append(sent.Holdings, placer.Holding{Target: 2, Key: uint64(i) << 40, Tokens: 1000 + i})
	}
	from, to := &fakeState{}, &fakeState{}
	_, address := newBroadcaster(t, "to", to)
	b, _ := newBroadcaster(t, "from", from)
	b.SetPeers([]broadcaster.Peer{{Name: "to", Address: address, DataCentre: "north"}})
	from.mu.Lock()
	from.outgoing = []placer.PeerUpdate{sent}
	from.mu.Unlock()
	to.awaitMessages(t, 4)
	to.mu.Lock()
	defer to.mu.Unlock()
	var holdings []placer.Holding
	for i, received := range to.received["from"] {
		holdings = append(holdings, received.Holdings...)
		if received.LoadsOmitted != (i > 0) {
			t.Fatalf("message %d of the update has LoadsOmitted %t", i, received.LoadsOmitted)
		}
		if i == 0 && (!reflect.DeepEqual(received.Loads, sent.Loads) || !reflect.DeepEqual(received.AnnouncedVersions, sent.AnnouncedVersions) || !reflect.DeepEqual(received.UpgradePlan, sent.UpgradePlan)) {
			t.Fatalf("a message contains %+v", received)
		}
	}
	if !reflect.DeepEqual(holdings, sent.Holdings) {
		t.Errorf("%d of %d holdings arrived, or they differ", len(holdings), len(sent.Holdings))
	}
}

// A malformed datagram is dropped, and the datagrams after it are still received.
func TestMalformedDatagramsAreDropped(t *testing.T) {
	to := &fakeState{}
	_, address := newBroadcaster(t, "to", to)
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	for _, message := range [][]byte{{0xff}, {}, {0x0a, 0x05, 'a'}, []byte("hello"), {0x0a, 0x01, 'x', 0x12, 0x02, 0x08}, {0x0a, 0x01, 'x'}} {
		if _, err := socket.Write(message); err != nil {
			t.Fatal(err)
		}
	}
	to.awaitMessages(t, 1)
	to.mu.Lock()
	defer to.mu.Unlock()
	if len(to.received["x"]) != 1 || to.count != 1 {
		t.Errorf("received %v, want one message of x", to.received)
	}
}

// panickingState panics at the first message that it imports.
type panickingState struct {
	fakeState
	panicked bool
}

func (s *panickingState) Import(peer string, update placer.PeerUpdate) {
	if !s.panicked {
		s.panicked = true
		panic("unexpected message")
	}
	s.fakeState.Import(peer, update)
}

// An unexpected error while one message is processed must neither end the process nor the reception of further messages.
func TestReceptionGoesOnAfterPanic(t *testing.T) {
	to := &panickingState{}
	address := freeAddress(t)
	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: "to", DataCentre: "north", State: to, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = b.Close() }()
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	for range 100 {
		if _, err := socket.Write([]byte{0x0a, 0x01, 'x'}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	to.awaitMessages(t, 1)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x01, 'x', 0x12, 0x02, 0x08, 0x01})
	for field := range byte(13) {
		f.Add(hugeNumbers(field + 1))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		decoded, err := broadcaster.Decode(message)
		if err != nil {
			return
		}
		if decoded.Sender == "" {
			t.Error("a message without a sender was accepted")
		}
		checkNumbers(t, decoded.Update)
	})
}

// hugeNumbers is a message whose field with the number has a submessage in which all numbers are the largest.
func hugeNumbers(field byte) []byte {
	var submessage []byte
	for number := range byte(14) {
		submessage = append(submessage, (number+1)<<3, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01)
	}
	return append([]byte{0x0a, 0x01, 'x', field<<3 | 2, byte(len(submessage))&0x7f | 0x80, byte(len(submessage) >> 7)}, submessage...)
}

// checkNumbers checks that no number of an update is negative, or so large that the sum of some is.
func checkNumbers(t *testing.T, update placer.PeerUpdate) {
	t.Helper()
	const most = 1 << 40
	for _, load := range update.Loads {
		for _, count := range append(load.PendingPrefill[:], load.Requests, load.KVCacheTokens) {
			if count < 0 || count > most {
				t.Errorf("load %+v", load)
			}
		}
	}
	for _, holding := range update.Holdings {
		if holding.Tokens < 0 || holding.Tokens > most {
			t.Errorf("holding %+v", holding)
		}
	}
	var ages []time.Duration
	for _, announced := range update.AnnouncedVersions {
		ages = append(ages, announced.Age)
		if announced.Version < 0 {
			t.Errorf("version %+v", announced)
		}
	}
	for _, strike := range update.Strikes {
		ages = append(ages, strike.Age)
	}
	for _, completion := range update.Completions {
		ages = append(ages, completion.Age)
	}
	for _, limit := range update.RateLimits {
		ages = append(ages, limit.Age)
	}
	for _, upgraded := range update.UpgradePlan.Upgraded {
		if upgraded.Version < 0 {
			t.Errorf("version %+v", upgraded)
		}
	}
	for _, age := range ages {
		if age < 0 {
			t.Errorf("age %s", age)
		}
	}
}

// Guards against numbers of a malformed message that overflow: a negative load makes a target look idle, and a negative age
// puts what happened into the future.
func TestHugeNumbersInMessageDoNotOverflow(t *testing.T) {
	for field := range byte(13) {
		if decoded, err := broadcaster.Decode(hugeNumbers(field + 1)); err == nil {
			checkNumbers(t, decoded.Update)
		}
	}
}
