package admitter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// fleets are sets of daemons and how many of their messages get lost. Daemons of the last one hear nothing of each other.
var fleets = []struct {
	name    string
	daemons int
	lost    float64
	delay   time.Duration
}{
	{"one data centre", 9, 0, 100 * time.Millisecond},
	{"few callers a daemon, late and lost messages", 70, 0.2, 600 * time.Millisecond},
	{"no messages", 3, 1, 0},
}

const (
	warmUp    = 20 * time.Second
	burstTime = 8 * time.Second
)

func others(count int, rate func(time.Duration) float64, urgent float64) (loads []load) {
	for i := range count {
		loads = append(loads, load{name: fmt.Sprintf("account %d", i), rate: rate, urgent: urgent})
	}
	return loads
}

func isUrgent(name string) bool { return strings.HasSuffix(name, " urgent") }

// Guards against callers that are refused since another account sends a multiple of its usual rate: 15 others lose nothing,
// and it gets the rest.
func TestAccountSlowsItselfFirst(t *testing.T) {
	for _, fleet := range fleets {
		for _, factor := range []float64{5, 7} {
			capacity := 0.7 * (15*20 + 80*factor)
			s := newSimulation(fleet.daemons, capacity)
			s.lost, s.delay, s.counted = fleet.lost, fleet.delay, warmUp
			hot := load{name: "hot", rate: burst(80, factor, warmUp, warmUp+burstTime), daemons: 3}
			s.run(warmUp+burstTime, append(others(15, steady(20), 0.3), hot))
			rest := s.total(func(name string) bool { return name != "hot" })
			if rest.ratio() < 0.98 || rest.late > 0.02*rest.served {
				t.Errorf("%s, burst of %g: the others got %+v", fleet.name, factor, rest)
			}
			if got := s.tally("hot").served / burstTime.Seconds(); got < 0.8*(capacity-15*20) {
				t.Errorf("%s, burst of %g: the account was served %g/s of %g/s", fleet.name, factor, got, capacity-15*20)
			}
		}
	}
}

// Guards against accounts that get more than others with the same demand, against urgent requests that are shed before others,
// and against urgencies that starve.
func TestEqualAccountsHaveEqualShares(t *testing.T) {
	for _, fleet := range fleets {
		s := newSimulation(fleet.daemons, 300)
		s.lost, s.delay, s.counted = fleet.lost, fleet.delay, warmUp
		s.run(warmUp+12*time.Second, others(16, burst(15, 1.5*300/(16*15), warmUp, time.Hour), 0.3))
		urgent := s.total(isUrgent)
		other := s.total(func(name string) bool { return !isUrgent(name) })
		if urgent.ratio() < 0.95 || other.ratio() < 0.4 {
			t.Errorf("%s: urgent requests %+v, others %+v", fleet.name, urgent, other)
		}
		if served := (urgent.served + other.served) / 12; served < 0.9*300 {
			t.Errorf("%s: %g/s served of 300/s", fleet.name, served)
		}
		mean := (urgent.served + other.served) / 16
		for name := range s.tallies {
			both := s.total(func(n string) bool { return strings.TrimSuffix(n, " urgent") == strings.TrimSuffix(name, " urgent") })
			if both.served < 0.85*mean || both.served > 1.15*mean {
				t.Errorf("%s: %g requests of %s were served, the mean is %g", fleet.name, both.served, name, mean)
			}
		}
	}
}

// Guards against an account that is refused although there is nobody with whom it has to share.
func TestAccountThatIsAloneIsNotShed(t *testing.T) {
	for name, loads := range map[string][]load{
		"alone":      {{name: "a", rate: steady(400)}},
		"idle peers": append(others(15, burst(20, 0, warmUp, time.Hour), 0), load{name: "a", rate: burst(20, 20, warmUp, time.Hour)}),
	} {
		s := newSimulation(9, 300)
		s.counted = warmUp + 5*time.Second
		s.run(warmUp+15*time.Second, loads)
		if counted := s.tally("a"); counted.shed > 0 || counted.refused == 0 {
			t.Errorf("%s: %+v", name, *counted)
		}
	}
}

// Guards against requests that are shed, and messages that are sent, while a service is not overloaded or not any more.
func TestSparesServiceThatIsNotOverloaded(t *testing.T) {
	s := newSimulation(9, 300)
	s.counted = warmUp
	s.run(warmUp, others(10, burst(28, 2, 5*time.Second, 8*time.Second), 0.3))
	s.counted = 0
	s.run(10*time.Second, others(10, steady(28), 0.3))
	if all := s.total(func(string) bool { return true }); all.ratio() < 1 {
		t.Errorf("%+v", all)
	}
	for i, d := range s.daemons {
		if demands, supplies := d.Export(); len(demands) > 0 || len(supplies) > 0 || d.ShortServices() > 0 {
			t.Errorf("daemon %d exports %d demands and %d supplies", i, len(demands), len(supplies))
		}
	}
}

// Guards against a service that was down and stays cut off when its targets are back.
func TestServiceThatWasDownRecovers(t *testing.T) {
	s := newSimulation(9, 300)
	s.capacity = func(elapsed time.Duration) float64 {
		if elapsed > 10*time.Second && elapsed < 16*time.Second {
			return 0
		}
		return 300 * requestWork
	}
	s.counted = 25 * time.Second // The backlog of 450 requests is served by then.
	s.run(35*time.Second, others(10, steady(24), 0.3))
	if all := s.total(func(string) bool { return true }); all.ratio() < 0.99 {
		t.Errorf("%+v", all)
	}
}

// Guards against an account that is shed although the service has capacity: some requests are refused or late for other reasons,
// and each daemon has a few of them a second.
func TestSingleRefusalsAreNoOverload(t *testing.T) {
	for _, fleet := range fleets {
		s := newSimulation(fleet.daemons, 1000)
		s.lost, s.delay, s.latency = fleet.lost, fleet.delay, 400*time.Millisecond
		s.refusedAtRandom, s.lateAtRandom = 0.03, 0.1
		s.run(40*time.Second, others(16, steady(9), 0.3))
		if all := s.total(func(string) bool { return true }); all.shed > 0.01*all.offered {
			t.Errorf("%s: %+v", fleet.name, all)
		}
	}
}
