package dispatcher_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
)

// TestOutcomeIsStoredAfterRestoreWithoutItsIntent guards against an outcome that is never stored, and a
// run that is never given up, because the store has lost the intent that the outcome replaces.
func TestOutcomeIsStoredAfterRestoreWithoutItsIntent(t *testing.T) {
	withFleet(t, 2, []string{faultLateAnswer}, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot()
		var calls sync.WaitGroup
		var first dispatcher.Answer
		calls.Go(func() { first, _ = dispatch(f.host(0), "k", "wheel") })
		time.Sleep(time.Second)
		f.platform.Restore(backup)
		calls.Wait()
		time.Sleep(time.Second)
		if page, err := f.platform.List(t.Context(), "orders/", "", 0); err != nil || len(page.Items) != 1 {
			t.Errorf("%d records are stored after the answer, %v", len(page.Items), err)
		}
		closing := time.Now()
		f.host(0).d.Close()
		if took := time.Since(closing); took > time.Second {
			t.Errorf("the daemon took %v to close", took)
		}
		again, refused := dispatch(f.host(1), "k", "wheel")
		if refused != nil || !again.Repeated || !bytes.Equal(again.Body, first.Body) {
			t.Errorf("first %+v, repeat at another daemon %+v, %v", first, again, refused)
		}
		if runs := len(f.service.allRuns()); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestRepeatAfterRestoreRunsOnce guards against a call that runs again when it is repeated at the
// daemon that ran it, because the store has lost its outcome.
func TestRepeatAfterRestoreRunsOnce(t *testing.T) {
	withFleet(t, 1, nil, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot()
		first, _ := dispatch(f.host(0), "k", "wheel")
		time.Sleep(9 * time.Second)
		f.platform.Restore(backup)
		again, refused := dispatch(f.host(0), "k", "wheel")
		if refused != nil || !again.Repeated || !bytes.Equal(again.Body, first.Body) {
			t.Errorf("first %+v, again %+v, %v", first, again, refused)
		}
		if runs := len(f.service.allRuns()); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// TestRepeatElsewhereAfterRestoreRunsOnce guards against a call that runs again when it is repeated at
// another daemon, because the store has lost its outcome.
func TestRepeatElsewhereAfterRestoreRunsOnce(t *testing.T) {
	withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
		backup := f.platform.Snapshot()
		first, _ := dispatch(f.host(0), "k", "wheel")
		time.Sleep(9 * time.Second)
		f.platform.Restore(backup)
		again, refused := dispatch(f.host(1), "k", "wheel")
		if refused != nil || !again.Repeated || !bytes.Equal(again.Body, first.Body) {
			t.Errorf("first %+v, again %+v, %v", first, again, refused)
		}
		if runs := len(f.service.allRuns()); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}
