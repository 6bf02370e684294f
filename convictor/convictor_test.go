package convictor_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/convictor"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// world knows which incarnations live.
type world map[uint64]bool

func (w world) newConvictor() *convictor.Convictor {
	return convictor.New(convictor.Settings{Alive: func(i uint64) bool { return w[i] }, Now: time.Now})
}

func TestThirdCrashConvicts(t *testing.T) {
	w := world{}
	c := w.newConvictor()
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		if c.Convicted(7) {
			t.Fatalf("convicted before crash %d", incarnation)
		}
		c.Strike(7, incarnation)
		c.Strike(7, incarnation)
	}
	if !c.Convicted(7) || c.Convicted(8) {
		t.Error("three crashes do not convict the request, or convict another one")
	}
}

// Targets that live on have only lost a connection.
func TestBrokenConnectionsOfLiveTargetsConvictNobody(t *testing.T) {
	w := world{1: true, 2: true, 3: true, 4: true}
	c := w.newConvictor()
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		c.Strike(7, incarnation)
	}
	if c.Convicted(7) {
		t.Error("convicted though all targets live")
	}
	clear(w)
	if !c.Convicted(7) {
		t.Error("not convicted though all targets have crashed")
	}
}

// However strikes are spread over daemons and datagrams are lost, all daemons that hear each strike
// once agree.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []*convictor.Convictor{world{}.newConvictor(), world{}.newConvictor(), world{}.newConvictor()}
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
			for i, c := range daemons {
				if want := len(strikes[request]) >= 3; c.Convicted(request) != want {
					t.Fatalf("daemon %d: request %d with %d crashes convicted is %v", i, request, len(strikes[request]), !want)
				}
			}
		}
	})
}

func TestStrikesAreBounded(t *testing.T) {
	c := world{}.newConvictor()
	for request := range uint64(10_000) {
		c.Strike(request, 1)
	}
	for incarnation := uint64(1); incarnation <= 3; incarnation++ {
		c.Strike(1<<40, incarnation)
	}
	if !c.Convicted(1 << 40) {
		t.Error("a new request is not noted beside many others")
	}
}
