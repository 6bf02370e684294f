package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/tracker"
)

// at returns a version.
func at(t *testing.T, era storer.Era, revision uint64) storer.Version {
	t.Helper()
	version, err := storer.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// Guards against a target that is never used again (CONFIG): its entry was removed wrongly before a restore of the store, and
// what it writes since then is not told, since nothing but the heartbeat changes.
func TestRestoredEntryThatStaysIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &idRecorder{}
		targets := newTargets(s)
		defer func() { _ = targets.Close() }()
		targets.Reset([]storer.Item{item("a", "", at(t, 1, 5)), item("b", "", at(t, 1, 6))}, false)
		targets.HandleEvents([]storer.Event{deleted("a", at(t, 1, 7)), deleted("b", at(t, 1, 8))}, false)
		targets.Reset([]storer.Item{item("a", "", at(t, 2, 5)), item("b", "", at(t, 2, 6))}, true)
		if s.ids != "" {
			t.Errorf("right after the restore: %q", s.ids)
		}
		targets.HandleEvents([]storer.Event{deleted("b", at(t, 2, 9))}, true)
		time.Sleep(tracker.RestoredEntryDelay + time.Millisecond)
		synctest.Wait()
		if s.ids != "a" {
			t.Errorf("after RestoredEntryDelay: %q", s.ids)
		}
	})
}

// Guards against a target that is brought back by a second list (DRAIN, CONFIG), and one that is kept away though it has
// written its entry.
func TestRestoredEntryIsTakenOnceItWasWritten(t *testing.T) {
	s := &idRecorder{}
	targets := newTargets(s)
	defer func() { _ = targets.Close() }()
	targets.Reset([]storer.Item{item("a", "", at(t, 1, 5)), item("b", "", at(t, 1, 6)), item("c", "leaving", at(t, 1, 7))}, false)
	targets.HandleEvents([]storer.Event{deleted("a", at(t, 1, 8)), deleted("b", at(t, 1, 9))}, false)
	targets.Reset([]storer.Item{item("a", "", at(t, 2, 5)), item("b", "", at(t, 2, 6)), item("c", "", at(t, 2, 7))}, true)
	targets.Reset([]storer.Item{item("a", "", at(t, 2, 5)), item("b", "", at(t, 2, 12)), item("c", "", at(t, 2, 13))}, false)
	if s.ids != "b c-" {
		t.Errorf("after the second list: %q", s.ids)
	}
	targets.HandleEvents([]storer.Event{put("a", "", at(t, 2, 14))}, false)
	if s.ids != "a b c-" {
		t.Errorf("after the entry was written: %q", s.ids)
	}
}

// Without eras, and within one, an entry that is listed again is used at once.
func TestEntryOfTheSameEraIsUsedAtOnce(t *testing.T) {
	s := &idRecorder{}
	targets := newTargets(s)
	defer func() { _ = targets.Close() }()
	targets.Reset([]storer.Item{item("a", "", 5), item("b", "leaving", 6)}, false)
	targets.HandleEvents([]storer.Event{deleted("a", 7)}, false)
	targets.Reset([]storer.Item{item("a", "", 8), item("b", "", 9)}, true)
	if s.ids != "a b" {
		t.Errorf("after the list: %q", s.ids)
	}
}

// Guards against a target that is kept away although it was found missing after the restore (CONFIG): its entry is new.
func TestTargetThatWasMissingAfterRestoreReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &idRecorder{}
		targets := newTargets(s)
		defer func() { _ = targets.Close() }()
		targets.Reset([]storer.Item{item("a", "", at(t, 1, 5)), item("b", "", at(t, 1, 6))}, false)
		targets.Reset([]storer.Item{item("b", "", at(t, 2, 4))}, true)
		time.Sleep(tracker.MissingEntryGrace + time.Millisecond)
		synctest.Wait()
		if s.ids != "b" {
			t.Errorf("after MissingEntryGrace: %q", s.ids)
		}
		targets.Reset([]storer.Item{item("a", "", at(t, 2, 9)), item("b", "", at(t, 2, 4))}, false)
		if s.ids != "a b" {
			t.Errorf("after its entry was written again: %q", s.ids)
		}
	})
}
