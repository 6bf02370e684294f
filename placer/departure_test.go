package placer_test

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against requests to a target that has said that it is leaving (DRAIN): lists that show it as ready, or without it,
// and later answers don't take that back. A new incarnation is used at once.
func TestLeavingTargetStaysLeavingWhateverListsSay(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		f := newFixture(outer, 2)
		listed, started := targets(2, 1), targets(2, 1)[0].Started
		leaves := f.choose(shortCall(), "e1")
		leaves.Attempt.RecordLeaving()
		leaves.Attempt.Finish()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"list", "missing", "again", "reborn", "answer", "wait"}).Draw(t, "step") {
			case "list":
				f.placer.SetTargets(listed)
			case "missing":
				f.placer.SetTargets(listed[1:])
			case "again":
				listed[0].Leaving = rapid.Bool().Draw(t, "leaving")
				f.placer.SetTargets(listed)
			case "reborn":
				listed[0].Started = listed[0].Started.Add(time.Second)
				listed[0].Leaving = false
				f.placer.SetTargets(listed)
			case "answer":
				leaves.Attempt.RecordFirstEvent()
				leaves.Attempt.RecordVersion(2)
			case "wait":
				f.now = f.now.Add(time.Minute)
			}
			f.placer.SetTargets(listed)
			choice, err := f.placer.Choose(shortCall(), []string{"e1"})
			if reborn := listed[0].Started.After(started); err == nil && !reborn {
				t.Fatal("a leaving target was chosen")
			} else if err != nil && reborn && !listed[0].Leaving {
				t.Fatalf("the next incarnation is not used: %v", err)
			}
			if err == nil {
				choice.Attempt.Finish()
			}
		}
	})
}

// Guards against requests that wait though all targets of their service have said that they are leaving (DRAIN).
func TestRequestIsRefusedAtOnceIfAllTargetsAreLeaving(t *testing.T) {
	f := newFixture(t, 2)
	for _, target := range targets(2, 1) {
		f.placer.RecordLeaving(target.Hash())
	}
	_, err := f.placer.Choose(shortCall(), nil)
	var none *placer.NoTargetError
	if !errors.As(err, &none) || none.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
	if left := f.placer.Targets(); len(left) != 0 {
		t.Errorf("weights of leaving targets are still upgraded: %v", left)
	}
}

// Guards against daemons that don't know what a target told another one (DRAIN), even if they learn of the target later or
// miss two messages.
func TestLeavingIsToldToPeers(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.newPlacer(0)
	f.placer.RecordLeaving(targets(2, 1)[0].Hash())
	f.placer.Export()
	f.placer.Export()
	peer.Import("d1", f.placer.Export())
	peer.SetTargets(targets(2, 1))
	for range 20 {
		choice, err := peer.Choose(shortCall(), nil)
		if err != nil || choice.Target.ID == "e0" {
			t.Fatalf("the peer chose %s, %v", choice.Target.ID, err)
		}
	}
	if told := peer.Export().Departures; len(told) != 0 {
		t.Errorf("the peer passes on %v, of which it was only told", told)
	}
	if told := f.placer.Export().Departures; len(told) != 0 {
		t.Errorf("announced a fourth time at once: %v", told)
	}
	f.now = f.now.Add(time.Second)
	if told := f.placer.Export().Departures; len(told) != 1 {
		t.Errorf("not announced again to daemons that start later: %v", told)
	}
}

// A leaving target still serves the parts that it holds for a while. Then it has ended, and fetches from it would only delay
// requests, even if the list of targets is not renewed.
func TestPartsAreFetchedFromLeavingTargetForAWhile(t *testing.T) {
	for name, leave := range map[string]func(f *fixture, id string){
		"by its word": func(f *fixture, id string) {
			for _, target := range targets(2, 1) {
				if target.ID == id {
					f.placer.RecordLeaving(target.Hash())
				}
			}
		},
		"by its entry": func(f *fixture, id string) {
			listed := targets(2, 1)
			for i := range listed {
				listed[i].Leaving = listed[i].ID == id
			}
			f.placer.SetTargets(listed)
		},
	} {
		f := newFixture(t, 2)
		holder := f.choose(longCall("book"))
		holder.Attempt.RecordFirstEvent()
		holder.Attempt.Finish()
		leave(f, holder.Target.ID)
		f.now = f.now.Add(time.Second)
		soon := f.choose(longCall("book"))
		soon.Attempt.RecordCancellation()
		soon.Attempt.Finish()
		if soon.FetchFrom != holder.Target.Address {
			t.Errorf("%s: nothing is fetched from a target that is still there", name)
		}
		f.now = f.now.Add(10 * time.Second)
		if later := f.choose(longCall("book")); later.FetchFrom.IsValid() {
			t.Errorf("%s: parts are fetched from a target that has ended", name)
		}
	}
}
