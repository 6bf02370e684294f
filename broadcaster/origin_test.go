package broadcaster_test

import (
	"log/slog"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/recorder"
)

func TestOriginsAndAcknowledgementsAreEncoded(t *testing.T) {
	want := broadcaster.Message{
		Sender: "d1", Scope: broadcaster.ScopeReceiver,
		Origins:      []recorder.Origin{{Stream: 1 << 63, Software: "v2", Began: true}, {Stream: 2, Began: true}, {Stream: 3, Software: "v1"}},
		Acknowledged: []uint64{1 << 63, 4},
	}
	if decoded, err := broadcaster.Decode(want.Encode()[0]); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
}

// attemptOfOlderRelease is the message with which daemons of d606fa0 tell an attempt to begin a stream.
func attemptOfOlderRelease(stream, attempt uint64) []byte {
	origin := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "v1")
	origin = protowire.AppendVarint(protowire.AppendTag(origin, 2, protowire.VarintType), attempt)
	origin = protowire.AppendVarint(protowire.AppendTag(origin, 3, protowire.VarintType), stream)
	message := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), "older")
	message = protowire.AppendVarint(protowire.AppendTag(message, 9, protowire.VarintType), 3)
	return protowire.AppendBytes(protowire.AppendTag(message, 15, protowire.BytesType), origin)
}

// Guards against an attempt that began nothing, told by a daemon of an older release, that counts as the origin of a stream (ORDER).
func TestAttemptsOfOlderReleasesAreNoOrigins(t *testing.T) {
	for _, attempt := range []uint64{0, 1, 400} {
		message, err := broadcaster.Decode(attemptOfOlderRelease(7, attempt))
		if want := []recorder.Origin{{Stream: 7, Software: "v1"}}; err != nil || !reflect.DeepEqual(message.Origins, want) {
			t.Errorf("attempt %d: decoded %+v, %v", attempt, message.Origins, err)
		}
	}
}

// toldOrigins are the origins and acknowledgements that a broadcaster has received.
type toldOrigins struct {
	origins      chan recorder.Origin
	acknowledged chan uint64
}

func (r toldOrigins) Import(_ string, origins []recorder.Origin) {
	for _, origin := range origins {
		r.origins <- origin
	}
}

func (r toldOrigins) Acknowledge(_ string, streams []uint64) {
	for _, stream := range streams {
		r.acknowledged <- stream
	}
}

type noState struct{}

func (noState) Export() placer.PeerUpdate        { return placer.PeerUpdate{} }
func (noState) Import(string, placer.PeerUpdate) {}

// Origins and acknowledgements go to the daemon to which they are sent, as datagrams.
func TestOriginsArrive(t *testing.T) {
	received := toldOrigins{origins: make(chan recorder.Origin, 1), acknowledged: make(chan uint64, 1)}
	start := func(name string, origins broadcaster.Origins) (*broadcaster.Broadcaster, netip.AddrPort) {
		listen := freeAddress(t)
		b, err := broadcaster.New(broadcaster.Settings{Listen: listen, Name: name, State: noState{}, Origins: origins, Logger: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = b.Close() })
		return b, listen
	}
	from, _ := start("a", nil)
	_, to := start("b", received)
	want := recorder.Origin{Stream: 5, Software: "v2", Began: true}
	from.TellOrigins([]netip.AddrPort{to}, []recorder.Origin{want})
	from.AcknowledgeOrigins(to, []uint64{6})
	for range 2 {
		select {
		case origin := <-received.origins:
			if origin != want {
				t.Errorf("received %+v", origin)
			}
		case stream := <-received.acknowledged:
			if stream != 6 {
				t.Errorf("acknowledged %d", stream)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("nothing arrived within 5 s")
		}
	}
}
