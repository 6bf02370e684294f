package placer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Weights are replaced when a newer version is wanted.
func TestReplacedWeightsAreRefusedAfterVersionBound(t *testing.T) {
	f := newFixture(t, 2)
	f.now = f.now.Add(time.Minute)
	f.placer.SetWantedVersion(model, 2, true)
	f.choose(shortCall()).Attempt.Finish()
	f.now = f.now.Add(versionBound)
	var none *placer.NoTargetError
	if _, err := f.placer.Choose(shortCall(), nil); !errors.As(err, &none) || none.RetryAfter <= 0 {
		t.Errorf("replaced weights are used after the version bound: %v", err)
	}
	f.placer.MarkUpgraded("e1", model, 2)
	if choice := f.choose(shortCall()); choice.Target.ID != "e1" || choice.Version != 2 {
		t.Errorf("chose %s with weights %d", choice.Target.ID, choice.Version)
	}
}

// The version bound counts from the first version that replaced the weights, also when a newer one follows.
func TestNewerVersionDoesNotExtendUseOfReplacedWeights(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	f.placer.SetWantedVersion(model, 2, true)
	f.now = f.now.Add(versionBound - time.Second)
	f.placer.SetWantedVersion(model, 3, true)
	f.now = f.now.Add(time.Second)
	if _, err := f.placer.Choose(shortCall(), nil); err == nil {
		t.Error("weights are used although the version bound has passed since they were replaced")
	}
}

// A daemon that starts does not know when weights were replaced until it receives an update from a peer.
func TestStartingDaemonUsesReplacedWeightsBriefly(t *testing.T) {
	f := newFixture(t, 1)
	f.placer.SetWantedVersion(model, 2, false)
	f.choose(shortCall()).Attempt.Finish()
	f.now = f.now.Add(3 * time.Second)
	if _, err := f.placer.Choose(shortCall(), nil); err == nil {
		t.Error("a daemon that does not know when the weights were replaced still uses them after 3 s")
	}
	peer := f.newPlacer(1)
	peer.SetWantedVersion(model, 2, true)
	f.placer.Import("peer", peer.Export())
	f.choose(shortCall())
}

// A daemon that starts reads only the newest wanted version, and imports the older ones from a peer.
func TestOlderWantedVersionsAreImportedFromPeers(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	peer := f.newPlacer(1)
	peer.SetWantedVersion(model, 2, true)
	f.now = f.now.Add(versionBound)
	peer.SetWantedVersion(model, 3, true)
	f.placer.SetWantedVersion(model, 3, true)
	f.placer.Import("peer", peer.Export())
	if _, err := f.placer.Choose(shortCall(), nil); err == nil {
		t.Error("weights are used although the version bound has passed since an older wanted version replaced them")
	}
}

// The expected wait at an engine with replaced weights is longer than the time left until the version bound, so no further
// request is sent there.
func TestExpectedWaitCountsAgainstVersionBound(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	f.placer.SetWantedVersion(model, 2, true)
	f.now = f.now.Add(versionBound - 2*time.Second)
	for i := range 8 {
		if choice, err := f.placer.Choose(longCall(fmt.Sprint(i)), nil); err == nil && choice.Expected > 1200*time.Millisecond {
			t.Fatalf("a request whose first event is expected after %s was sent 2 s before the version bound", choice.Expected)
		}
	}
}

func TestBeginByFollowsVersionBound(t *testing.T) {
	f := newFixture(t, 1)
	f.placer.SetWantedVersion(model, 1, true)
	attempt := f.choose(shortCall()).Attempt
	newest := attempt.BeginBy().Sub(f.now)
	f.now = f.now.Add(2 * time.Second)
	replacedAt := f.now
	f.placer.SetWantedVersion(model, 2, true)
	f.now = f.now.Add(3 * time.Second)
	replaced := attempt.BeginBy().Sub(replacedAt)
	if newest != replaced || replaced >= versionBound || replaced < versionBound-time.Second {
		t.Errorf("a request must begin within %s on the newest weights and %s after they are replaced, the version bound is %s", newest, replaced, versionBound)
	}
	attempt.RecordVersion(2)
	if upgraded := attempt.BeginBy(); !upgraded.Equal(f.now.Add(newest)) {
		t.Errorf("a request on a target that has loaded the newest weights must begin within %s", upgraded.Sub(f.now))
	}
}
