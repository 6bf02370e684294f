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

// places gives out its news once and notes what comes in.
type places struct {
	mu     sync.Mutex
	outgo  []placer.News
	heard  map[string][]placer.News
	number int
}

func (p *places) Export() (news placer.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.outgo) > 0 {
		news, p.outgo = p.outgo[0], p.outgo[1:]
	}
	return news
}

func (p *places) Import(peer string, news placer.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = make(map[string][]placer.News)
	}
	p.heard[peer] = append(p.heard[peer], news)
	p.number++
}

func (p *places) await(t *testing.T, count int) {
	t.Helper()
	for range 500 {
		p.mu.Lock()
		number := p.number
		p.mu.Unlock()
		if number >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d messages did not arrive", count)
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

func newBroadcaster(t *testing.T, name string, p *places) (*broadcaster.Broadcaster, netip.AddrPort) {
	t.Helper()
	address := freeAddress(t)
	b, err := broadcaster.New(broadcaster.Settings{Listen: address, Name: name, Places: p, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.Close() })
	return b, address
}

func TestNewsReachPeersWhole(t *testing.T) {
	sent := placer.News{
		Loads: []placer.Load{
			{Target: 1 << 60, Requests: 3, Unread: placer.Unread{0: 100, 9: 7}, Held: 5000},
			{Target: 2, Requests: 1},
		},
		Changes: placer.Changes{Fence: 9, Changing: []placer.TargetHash{1 << 50, 3}, Changed: []placer.Changed{{Target: 4, Model: "m", Version: 7}}},
		Namings: []placer.Naming{{Model: "m", Version: 7, Age: 1500 * time.Millisecond}},
	}
	for i := range 300 {
		sent.Holdings = append(sent.Holdings, placer.Holding{Target: 2, Key: uint64(i) << 40, Tokens: 1000 + i})
	}
	from, to := &places{}, &places{}
	_, address := newBroadcaster(t, "to", to)
	b, _ := newBroadcaster(t, "from", from)
	b.SetPeers([]netip.AddrPort{address})
	from.mu.Lock()
	from.outgo = []placer.News{sent}
	from.mu.Unlock()
	to.await(t, 4)
	to.mu.Lock()
	defer to.mu.Unlock()
	var holdings []placer.Holding
	for _, heard := range to.heard["from"] {
		holdings = append(holdings, heard.Holdings...)
		if len(heard.Holdings) > 0 && (!reflect.DeepEqual(heard.Loads, sent.Loads) || !reflect.DeepEqual(heard.Namings, sent.Namings) || !reflect.DeepEqual(heard.Changes, sent.Changes)) {
			t.Fatalf("a message tells %+v", heard)
		}
	}
	if !reflect.DeepEqual(holdings, sent.Holdings) {
		t.Errorf("%d holdings arrived of %d", len(holdings), len(sent.Holdings))
	}
}

// Any datagram is either taken or refused; the ones after it are heard.
func TestMalformedDatagramsAreDropped(t *testing.T) {
	to := &places{}
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
	to.await(t, 1)
	to.mu.Lock()
	defer to.mu.Unlock()
	if len(to.heard["x"]) != 1 || to.number != 1 {
		t.Errorf("heard %v", to.heard)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x0a, 0x01, 'x', 0x12, 0x02, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, message []byte) {
		name, _, err := broadcaster.Decode(message)
		if err == nil && name == "" {
			t.Error("a message without a sender was taken")
		}
	})
}
