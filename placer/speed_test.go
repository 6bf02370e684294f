package placer_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// serve sends a prompt to one of two engines that takes a multiple of the usual time, and reports it if set.
func (f *fixture) serve(id string, factor float64, reports bool) {
	other := map[string]string{"e0": "e1", "e1": "e0"}[id]
	choice := f.choose(placer.Call{Service: service, Model: model, PromptTokens: 9_000, Parts: []placer.Part{{ID: "own", Tokens: 9_000}}}, other)
	f.now = f.now.Add(time.Duration(factor * float64(200*time.Millisecond)))
	if reports {
		choice.Attempt.RecordLoad(placer.LoadReport{WorkPercent: int(100 * factor)})
	}
	choice.Attempt.RecordFirstEvent()
	choice.Attempt.Finish()
}

// expected returns the expected time of a prompt at one of two engines.
func (f *fixture) expected(id string) time.Duration {
	other := map[string]string{"e0": "e1", "e1": "e0"}[id]
	choice := f.choose(placer.Call{Service: service, Model: model, PromptTokens: 9_000, Parts: []placer.Part{{ID: "own", Tokens: 9_000}}}, other)
	choice.Attempt.Finish()
	return choice.Expected
}

// A lasting speed counts once: the expected time at a fast engine is its actual one, whether the engine reports its speed or not.
// If the samples counted beside the reports, it would be 0.36 of the usual time in place of 0.6.
func TestLastingSpeedCountsOnce(t *testing.T) {
	for _, reports := range []bool{false, true} {
		f := newFixture(t, 2)
		for range 60 {
			f.serve("e0", 0.6, reports)
			f.serve("e1", 1, reports)
			f.now = f.now.Add(3 * time.Second)
		}
		ratio := float64(f.expected("e0")) / float64(f.expected("e1"))
		if ratio < 0.55 || ratio > 0.72 {
			t.Errorf("reports %v: the expected time at the fast engine is %.2f of that at the other one, want about 0.6", reports, ratio)
		}
	}
}

// A report counts in full while it is fresh, and no longer once it is old.
func TestMomentaryFactorFades(t *testing.T) {
	f := newFixture(t, 2)
	for range 20 {
		f.serve("e0", 1, true)
		f.serve("e1", 1, true)
		f.now = f.now.Add(time.Second)
	}
	usual := f.expected("e0")
	choice := f.choose(shortCall(), "e1")
	choice.Attempt.RecordLoad(placer.LoadReport{WorkPercent: 250})
	choice.Attempt.Finish()
	if slow := f.expected("e0"); slow < 2*usual {
		t.Errorf("%s are expected just after a report of 250%%, %s before", slow, usual)
	}
	f.now = f.now.Add(2 * time.Second)
	if faded := f.expected("e0"); faded > usual*5/4 {
		t.Errorf("%s are expected 2 s after a report of 250%%, %s before", faded, usual)
	}
}

// A report reaches the peers if it is news to them, and only once.
func TestWorkFactorsAreTold(t *testing.T) {
	f := newFixture(t, 2)
	f.placer.SetPeers([]string{"peer"})
	peer := f.newPlacer(2)
	f.serve("e0", 2.5, true)
	update := f.placer.Export()
	if len(update.WorkFactors) != 1 || update.WorkFactors[0].WorkPercent != 250 || len(f.placer.Export().WorkFactors) != 0 {
		t.Fatalf("told %+v", update.WorkFactors)
	}
	peer.Import("d", update)
	choice, err := peer.Choose(shortCall(), nil)
	if err != nil || choice.Target.ID != "e1" {
		t.Errorf("a peer chose %s, which it knows to be slow: %v", choice.Target.ID, err)
	}
}

// Without a model, the target whose answers take longer gets fewer requests.
func TestSlowPlainTargetGetsFewerRequests(t *testing.T) {
	f := newFixture(t, 2)
	counts := make(map[string]int)
	var open []placer.Choice
	serve := func(choice placer.Choice) {
		counts[choice.Target.ID]++
		open = append(open, choice)
		f.now = f.now.Add(20 * time.Millisecond)
		if len(open) < 4 {
			return
		}
		if open[0].Target.ID == "e0" {
			f.now = f.now.Add(60 * time.Millisecond)
		}
		open[0].Attempt.RecordAnswer()
		open[0].Attempt.Finish()
		open = open[1:]
	}
	for range 20 {
		serve(f.choose(placer.Call{Service: service}, "e0"))
		serve(f.choose(placer.Call{Service: service}, "e1"))
	}
	clear(counts)
	for range 200 {
		serve(f.choose(placer.Call{Service: service}))
	}
	if counts["e0"]*2 > counts["e1"] {
		t.Errorf("the slow target got %d requests, the other one %d", counts["e0"], counts["e1"])
	}
}

// A session whose requests all come to one daemon of many stays with the target that has its parts, since the other daemons send none of
// them.
func TestSessionStaysWithItsTarget(t *testing.T) {
	f := newFixture(t, 16)
	f.placer.SetPeers(make([]string, 57))
	first := f.choose(longCall("session"))
	first.Attempt.RecordFirstEvent()
	first.Attempt.Finish()
	for range 50 {
		f.now = f.now.Add(300 * time.Millisecond)
		choice := f.choose(longCall("session"))
		if choice.Target.ID != first.Target.ID {
			t.Fatalf("a request of the session went to %s, the first to %s", choice.Target.ID, first.Target.ID)
		}
		choice.Attempt.RecordFirstEvent()
		choice.Attempt.Finish()
	}
}
