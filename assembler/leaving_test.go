package assembler_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// heedTime is the time after the first answer in which a target says that it is leaving, from which no daemon sends it
	// requests. It lies below the time that leaving targets serve at least.
	heedTime = time.Second
	// leavingTime is how long a target goes on serving while it says that it is leaving.
	leavingTime = 3 * time.Second
	// restartTime is the time after a crash in which a target starts anew and the daemons learn of it.
	restartTime = time.Second
)

// runsBetween counts the runs from one time to another.
func runsBetween(target *hostingemulator.Target, from, to time.Time) (count int) {
	for _, run := range target.Runs() {
		if !run.At.Before(from) && run.At.Before(to) {
			count++
		}
	}
	return count
}

// Guards against requests that are cut when a leaving target ends (DRAIN): it says in its answers that it is leaving, while
// its entry in the store stays as it was. No daemon sends it requests any more, until it has started anew.
func TestTargetThatSaysItIsLeavingGetsNoNewRequests(t *testing.T) {
	for _, c := range targetKinds {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			leaver := c.targets(f)[0]
			stop := f.load(c.send(f))
			time.Sleep(time.Second)
			said := time.Now()
			leaver.SetFaults(hostingemulator.TargetFaults{SaysLeaving: true})
			time.Sleep(leavingTime)
			ended := time.Now()
			leaver.SetFaults(hostingemulator.TargetFaults{})
			leaver.Crash()
			time.Sleep(restartTime)
			for _, other := range c.targets(f)[1:] {
				other.Drain() // Otherwise prompts might all go to where they are cached.
			}
			f.await("requests to the next incarnation", func() bool { return runsBetween(leaver, ended, time.Now()) > 5 })
			sent, served := stop()
			if before := runsBetween(leaver, said.Add(-time.Second), said); before == 0 {
				t.Error("the target got no requests before")
			}
			if late := runsBetween(leaver, said.Add(heedTime), ended); late > 0 {
				t.Errorf("the target got %d requests later than %s after it said that it is leaving", late, heedTime)
			}
			if served < sent {
				t.Errorf("%d of %d requests were served", served, sent)
			}
		})
	}
}
