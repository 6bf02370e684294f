package placer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against requests to a target that asked for time, or to none although the time is over, was taken back or belonged to the
// incarnation before (BUDGET). One odd answer shuts no target out for good.
func TestTargetsThatAskForTimeAreLeftAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return now }, VersionBound: versionBound})
	described := targets(2, 1)
	p.SetTargets(described)
	choose := func() (placer.Choice, error) {
		choice, err := p.Choose(placer.Call{Service: service}, nil)
		if err == nil {
			choice.Attempt.Finish()
		}
		return choice, err
	}
	askAll := func(times map[string]time.Duration) {
		for asked := 0; asked < len(times); {
			choice, err := choose()
			if err != nil {
				t.Fatalf("%d of %d targets asked: %v", asked, len(times), err)
			}
			choice.Attempt.RecordPause(times[choice.Target.ID])
			asked++
		}
	}
	waits := func(want time.Duration) {
		t.Helper()
		_, err := choose()
		var none *placer.NoTargetError
		if !errors.As(err, &none) || none.RetryAfter != want {
			t.Errorf("%v, want a target in %s", err, want)
		}
	}
	askAll(map[string]time.Duration{"e0": 5 * time.Second, "e1": 1000 * time.Hour})
	waits(5 * time.Second)
	now = now.Add(5 * time.Second)
	choice, err := choose()
	if err != nil || choice.Target.ID != "e0" {
		t.Errorf("after the time of e0: %s, %v", choice.Target.ID, err)
	}
	choice.Attempt.RecordPause(10 * time.Minute)
	waits(55 * time.Second) // The bound of a minute counts for e1 since its answer.
	now = now.Add(time.Second)
	described[0].Started = described[0].Started.Add(time.Minute)
	p.SetTargets(described)
	if choice, err = choose(); err != nil || choice.Target.ID != "e0" {
		t.Errorf("e0 has started anew: %s, %v", choice.Target.ID, err)
	}
}
