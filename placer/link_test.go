package placer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against requests that wait for targets to which the links are lost, in place of going to another daemon (RECOVER).
func TestUnreachableTargetsAreNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	p := placer.New(placer.Settings{Now: func() time.Time { return now }, VersionBound: time.Minute})
	targets := []placer.Target{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}, {ID: "other", Service: "t", Slots: 4}}
	p.SetTargets(targets)
	choose := func() (string, error) {
		choice, err := p.Choose(placer.Call{Service: "s"}, nil)
		if err != nil {
			return "", err
		}
		defer choice.Attempt.Finish()
		choice.Attempt.RecordUnreachable()
		return choice.Target.ID, nil
	}
	first, err := choose()
	if err != nil {
		t.Fatal(err)
	}
	if second, err := choose(); err != nil || second == first {
		t.Fatalf("chosen %q after %q, %v", second, first, err)
	}
	var unreachable *placer.UnreachableError
	if _, err := choose(); !errors.As(err, &unreachable) {
		t.Errorf("got %v, want an UnreachableError", err)
	}
	if links := p.Links(); len(links.Suspects) != 2 || len(links.Others) != 1 {
		t.Errorf("links %+v", links)
	}
	p.RecordLink(targets[0].Hash(), true)
	if got, err := choose(); got != "a" {
		t.Errorf("chosen %q, %v, want the target that is reached again", got, err)
	}
	now = now.Add(time.Minute)
	if _, err := choose(); err != nil {
		t.Errorf("an old failure counts for good: %v", err)
	}
}

// Guards against requests that go round in a fleet whose targets have left: that is no lost link.
func TestServiceWithoutTargetsIsNotUnreachable(t *testing.T) {
	p := placer.New(placer.Settings{Now: time.Now, VersionBound: time.Minute})
	p.SetTargets([]placer.Target{{ID: "a", Service: "s", Slots: 4, Leaving: true}})
	var noTarget *placer.NoTargetError
	if _, err := p.Choose(placer.Call{Service: "s"}, nil); !errors.As(err, &noTarget) {
		t.Errorf("got %v, want a NoTargetError", err)
	}
}
