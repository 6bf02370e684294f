package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// Guards against a target that is used for as long as an odd entry lies in place of its own (LOST, GONE).
func TestOddEntryInPlaceOfTargetEndsItsUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &idRecorder{}
		targets := newTargets(s)
		defer func() { _ = targets.Close() }()
		targets.Reset([]storer.Item{item("a", "", 1), item("b", "", 2), item("c", "", 3)}, false)
		targets.HandleEvents([]storer.Event{put("a", "torn", 4), put("b", "torn", 5)}, false)
		if s.ids != "a b c" {
			t.Errorf("right after the odd entries, which live targets replace: %q", s.ids)
		}
		time.Sleep(tracker.MissingEntryGrace / 2)
		targets.HandleEvents([]storer.Event{put("a", "torn", 6), put("b", "", 7)}, false)
		time.Sleep(tracker.MissingEntryGrace/2 + time.Millisecond)
		synctest.Wait()
		if s.ids != "b c" {
			t.Errorf("after MissingEntryGrace: %q", s.ids)
		}
		targets.HandleEvents([]storer.Event{put("c", "torn", 8), put("c", "", 3), put("a", "", 9), put("b", "torn", 10)}, false)
		time.Sleep(tracker.MissingEntryGrace / 2)
		targets.Reset([]storer.Item{item("a", "", 9), item("b", "", 11), item("c", "torn", 8)}, false)
		time.Sleep(2 * tracker.MissingEntryGrace)
		synctest.Wait()
		if s.ids != "a b" {
			t.Errorf("after an older event of one, and a sound entry of the other: %q", s.ids)
		}
	})
}

// Guards against a target that stays for MissingEntryGrace although its odd entry was deleted.
func TestDeletedOddEntryRemovesTargetAtOnce(t *testing.T) {
	s := &idRecorder{}
	targets := newTargets(s)
	defer func() { _ = targets.Close() }()
	targets.Reset([]storer.Item{item("a", "", 1), item("b", "", 2)}, false)
	targets.HandleEvents([]storer.Event{put("a", "torn", 3)}, false)
	targets.HandleEvents([]storer.Event{deleted("a", 4)}, false)
	if s.ids != "b" {
		t.Errorf("targets are %q", s.ids)
	}
}
