package attributor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// liveIncarnations is the set of incarnations that are alive.
type liveIncarnations map[uint64]bool

func (l liveIncarnations) newAttributor() *attributor.Attributor {
	return attributor.New(attributor.Settings{KnowsIncarnation: func(i uint64) bool { return l[i] }, Now: time.Now})
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	live := liveIncarnations{}
	a := live.newAttributor()
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		if a.CrashesTargets(7) {
			t.Fatalf("the request is refused before crash %d", incarnation)
		}
		a.Strike(7, incarnation)
		a.Strike(7, incarnation)
	}
	if !a.CrashesTargets(7) || a.CrashesTargets(8) {
		t.Error("the request is not refused after three crashes, or another one is")
	}
}

// A strike does not count while its incarnation still exists, since only the connection may have broken.
func TestStrikesOfLiveIncarnationsDoNotCount(t *testing.T) {
	live := liveIncarnations{1: true, 2: true, 3: true, 4: true}
	a := live.newAttributor()
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		a.Strike(7, incarnation)
	}
	if a.CrashesTargets(7) {
		t.Error("the request is refused though all targets are alive")
	}
	clear(live)
	if !a.CrashesTargets(7) {
		t.Error("the request is not refused though all targets have crashed")
	}
}

// Daemons that exchange strikes agree on which requests to refuse, even if one of the three messages that carry a
// strike is lost.
func TestDaemonsAgreeDespiteLostMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []*attributor.Attributor{liveIncarnations{}.newAttributor(), liveIncarnations{}.newAttributor(), liveIncarnations{}.newAttributor()}
		strikes := map[uint64]map[uint64]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "strikes") {
			request, incarnation := rapid.Uint64Range(1, 3).Draw(t, "request"), rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].Strike(request, incarnation)
			if strikes[request] == nil {
				strikes[request] = map[uint64]bool{}
			}
			strikes[request][incarnation] = true
		}
		lost := rapid.IntRange(0, 2).Draw(t, "lost message")
		for message := range 3 {
			for _, from := range daemons {
				for _, strike := range from.Export() {
					for _, to := range daemons {
						if to != from && message != lost {
							to.Import(strike)
						}
					}
				}
			}
		}
		for request := uint64(1); request <= 3; request++ {
			for i, a := range daemons {
				if want := len(strikes[request]) >= 3; a.CrashesTargets(request) != want {
					t.Fatalf("daemon %d: request %d with %d crashes, refused is %v", i, request, len(strikes[request]), !want)
				}
			}
		}
	})
}

func TestNewRequestIsTrackedAtCapacity(t *testing.T) {
	a := liveIncarnations{}.newAttributor()
	for request := range uint64(10_000) {
		a.Strike(request, 1)
	}
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		a.Strike(1<<40, incarnation)
	}
	if !a.CrashesTargets(1 << 40) {
		t.Error("the strikes of a new request are not recorded when the table is full")
	}
}
