package recorder_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/recorder"
)

// The versions of a service are removed from the store once their streams must have ended.
func TestVersionsThatLeftAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3, "v1", "v2")
		w.serve("v2")
		time.Sleep(longest)
		if possible := w.daemons[0].versions.Possible(service); !slices.Equal(possible, []string{"v1", "v2"}) {
			t.Errorf("shortly after v1 left: %v", possible)
		}
		time.Sleep(time.Minute)
		if possible := w.daemons[0].versions.Possible(service); !slices.Equal(possible, []string{"v2"}) {
			t.Errorf("long after v1 left: %v", possible)
		}
		revision := w.stored().Version
		time.Sleep(time.Hour)
		if now := w.stored().Version; now != revision {
			t.Errorf("the store was written %d times in an hour without a change", now-revision)
		}
		for _, d := range w.daemons {
			d.stop()
		}
	})
}

// Guards against a stream that is joined (ORDER) since the store has lost a version that had begun it, and no daemon has seen a target
// of that version.
func TestVersionsThatStoreLosesAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3, "v2")
		older := w.stored()
		w.serve("v1", "v2")
		time.Sleep(3 * time.Second)
		w.serve("v2")
		time.Sleep(time.Second)
		for _, d := range w.daemons {
			d.start()
		}
		time.Sleep(time.Second)
		w.restore(older)
		time.Sleep(3 * time.Second)
		for _, d := range w.daemons {
			if software, known := d.origins.Find(context.Background(), recorder.Stream{Service: service, ID: "1"}); known {
				t.Errorf("a stream that v1 may have begun goes on at %s", software)
			}
			d.stop()
		}
	})
}

// Guards against a stream that is joined (ORDER) since the store has lost a version that had begun it, and all daemons that knew it are
// killed before they have written it again. Once streams of that time have ended, one version counts as the only one again.
func TestVersionsOfRestoredStoreMayBeIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3, "v1")
		older := w.stored()
		w.serve("v1", "v2")
		time.Sleep(3 * time.Second)
		stream := recorder.Stream{Service: service, Account: "a", ID: "1"}
		w.daemons[0].origins.Record(stream, "v2")
		w.serve("v1")
		time.Sleep(time.Second)
		w.restore(older)
		for _, d := range w.daemons {
			d.start()
		}
		for range 10 {
			time.Sleep(time.Second)
			if software, known := w.daemons[1].origins.Find(context.Background(), stream); known {
				t.Errorf("a stream of v2 goes on at %s", software)
			}
		}
		time.Sleep(time.Minute)
		if software, known := w.daemons[1].origins.Find(context.Background(), stream); !known || software != "v1" {
			t.Errorf("long after the restore a stream goes on at %q, known %v", software, known)
		}
		for _, d := range w.daemons {
			d.stop()
		}
	})
}
