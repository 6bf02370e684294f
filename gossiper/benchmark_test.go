package gossiper_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/gossiper"
)

// newWithMembers returns a daemon that knows the given number of members, itself included.
func newWithMembers(t testing.TB, members int) *gossiper.Gossiper {
	t.Helper()
	g, err := gossiper.New(gossiper.Settings{
		Self:      gossiper.Member{Name: "daemon-00", DataCentre: "sapporo"},
		Transport: &daemon{},
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i < members; i++ {
		member := gossiper.Member{Name: fmt.Sprintf("daemon-%02d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), DataCentre: "sapporo", Incarnation: 1, Heartbeat: 1, State: gossiper.StateLive}
		g.Receive(gossiper.Message{From: member})
	}
	return g
}

// TestAmongFirstMatchesRanked compares the two implementations of duty assignment: AmongFirst,
// which only counts, and Ranked, which sorts all members.
func TestAmongFirstMatchesRanked(t *testing.T) {
	g := newWithMembers(t, 15)
	if len(g.Peers()) != 14 {
		t.Fatalf("%d peers are known", len(g.Peers()))
	}
	assigned := 0
	for i := range 480 {
		duty := fmt.Sprintf("poll engine-%03d", i)
		ranked := gossiper.Ranked(append(g.Peers(), g.Self()), duty)
		for count := range 4 {
			want := false
			for _, member := range ranked[:count] {
				want = want || member.Name == g.Self().Name
			}
			if g.AmongFirst(duty, count) != want {
				t.Errorf("%s: AmongFirst(%d) is %v, want %v as by Ranked", duty, count, !want, want)
			}
			if count == 2 && want {
				assigned++
			}
		}
	}
	if assigned < 32 || assigned > 96 {
		t.Errorf("%d of 480 targets are assigned to this daemon, an even distribution gives 64", assigned)
	}
}

func BenchmarkAmongFirst(b *testing.B) {
	for _, members := range []int{3, 9, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			g := newWithMembers(b, members)
			b.ReportAllocs()
			for b.Loop() {
				g.AmongFirst("poll engine-001", 2)
			}
		})
	}
}
