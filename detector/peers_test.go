package detector_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/detector"
)

// mergeInto merges all observations of one detector into another.
func mergeInto(from, to *detector.Detector) { to.Merge(from.Export()) }

// newDetectorsWithSuspicion returns three detectors. The first has suspected the target, and the others have
// adopted its suspicion.
func newDetectorsWithSuspicion(t *testing.T) (first, second, third *detector.Detector) {
	t.Helper()
	first, second, third = newPassiveDetector(t), newPassiveDetector(t), newPassiveDetector(t)
	first.ObserveReport("t", report("i1", 5), time.Now(), false)
	mergeInto(first, second)
	mergeInto(first, third)
	end := first.Begin("t")
	time.Sleep(1700 * time.Millisecond)
	end()
	mergeInto(first, second)
	mergeInto(first, third)
	for _, d := range []*detector.Detector{second, third} {
		if status := d.Status("t"); status.State != detector.Suspect {
			t.Errorf("after the stop: %+v", status)
		}
	}
	return first, second, third
}

// TestOutdatedSuspicionIsNotAdopted has a daemon that did not observe a target's return send its old
// suspicion repeatedly, while no daemon polls the target. The others must not adopt it.
func TestOutdatedSuspicionIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := newDetectorsWithSuspicion(t)
		first.ObserveReport("t", report("i1", 5), time.Now(), false)
		mergeInto(first, second)
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			mergeInto(third, second)
			mergeInto(third, first)
			if !first.Usable("t") || !second.Usable("t") {
				t.Errorf("an outdated suspicion was adopted: %+v, %+v", first.Status("t"), second.Status("t"))
				break
			}
		}
		mergeInto(second, third)
		if !third.Usable("t") {
			t.Errorf("after the merge of newer progress: %+v", third.Status("t"))
		}
		for _, d := range []*detector.Detector{first, second, third} {
			_ = d.Close()
		}
	})
}

// TestTargetStaysSuspectAfterItsCallEnds ends the only call at a target whose scheduler has stalled while it
// still answers polls. The target must stay suspect until its counter grows.
func TestTargetStaysSuspectAfterItsCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newPassiveDetector(t)
		defer func() { _ = d.Close() }()
		busy := detector.Report{Incarnation: "i1", Progress: 5, Running: 1}
		d.ObserveReport("t", busy, time.Now(), false)
		end := d.Begin("t")
		<-d.Stalled("t")
		end()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			d.ObserveReport("t", busy, time.Now(), false)
			if d.Usable("t") {
				t.Errorf("a stalled target became usable again: %+v", d.Status("t"))
			}
		}
		busy.Progress = 6
		d.ObserveReport("t", busy, time.Now(), false)
		if !d.Usable("t") {
			t.Errorf("after progress: %+v", d.Status("t"))
		}
	})
}

// TestEarlierProgressDoesNotEndSuspicion merges an observation of progress from before the target stopped.
// Only progress after the suspicion may end it.
func TestEarlierProgressDoesNotEndSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := newPassiveDetector(t)
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { late.ObserveReport("t", report("i1", 5), time.Now(), false) })
		first, second, third := newDetectorsWithSuspicion(t)
		mergeInto(late, second)
		if second.Usable("t") {
			t.Errorf("progress before the suspicion ended it %s after the start", time.Since(start))
		}
		late.ObserveReport("t", report("i1", 6), time.Now(), false)
		time.Sleep(time.Millisecond)
		mergeInto(late, second)
		if !second.Usable("t") {
			t.Errorf("progress after the suspicion did not end it: %+v", second.Status("t"))
		}
		for _, d := range []*detector.Detector{late, first, second, third} {
			_ = d.Close()
		}
	})
}

// TestMergeAppliesPeerObservations merges reports and suspicions of one daemon into one that observes nothing
// itself.
func TestMergeAppliesPeerObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observing, passive := newPassiveDetector(t), newPassiveDetector(t)
		defer func() { _ = observing.Close() }()
		defer func() { _ = passive.Close() }()
		exchange := func() { passive.Merge(observing.Export()) }
		observing.ObserveReport("t", report("i1", 5), time.Now(), false)
		exchange()
		if status := passive.Status("t"); status.Incarnation != "i1" || status.State != detector.Live {
			t.Errorf("after the report: %+v", status)
		}
		end := observing.Begin("t")
		time.Sleep(1700 * time.Millisecond)
		exchange()
		if status := passive.Status("t"); status.State != detector.Suspect || status.Reason != detector.ReasonPeer {
			t.Errorf("after the stop: %+v", status)
		}
		end()
		observing.ObserveReport("t", report("i1", 6), time.Now(), false)
		exchange()
		if !passive.Usable("t") {
			t.Errorf("after the next report: %+v", passive.Status("t"))
		}
		old := detector.Observation{Target: "t", Incarnation: "i0", Progress: 99, State: detector.Leaving}
		passive.Merge([]detector.Observation{old})
		if !passive.Usable("t") {
			t.Error("an observation of an old incarnation was applied")
		}
	})
}

// TestPeerProgressDoesNotHideUnansweredPolls merges progress of a target that a peer can reach, while the
// polls of this daemon get no answer.
func TestPeerProgressDoesNotHideUnansweredPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := detector.New(detector.Settings{Poller: unreachablePoller{}})
		defer func() { _ = d.Close() }()
		d.SetTargets([]detector.Target{{Name: "t"}})
		for progress := range uint64(30) {
			time.Sleep(100 * time.Millisecond)
			d.Merge([]detector.Observation{{Target: "t", Incarnation: "i1", Progress: progress}})
		}
		if status := d.Status("t"); status.State != detector.Suspect || status.Reason != detector.ReasonUnanswered {
			t.Errorf("got %+v", status)
		}
	})
}

type unreachablePoller struct{}

func (unreachablePoller) Poll(ctx context.Context, _ detector.Target, _ bool) (report detector.Report, err error) {
	<-ctx.Done()
	return report, errors.New("no answer")
}
