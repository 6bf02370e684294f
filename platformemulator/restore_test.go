package platformemulator_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// TestRestoreWithoutLeases checks what a platform shows that came back from a copy without leases:
// versions, fencing tokens and IDs of leases are assigned again.
func TestRestoreWithoutLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		platform := platformemulator.New(platformemulator.Settings{})
		held, _ := platform.Grant(ctx, time.Hour)
		if _, err := platform.Create(ctx, "kept", nil, storer.NoLease); err != nil {
			t.Fatal(err)
		}
		if _, err := platform.Create(ctx, "leased", nil, held.ID); err != nil {
			t.Fatal(err)
		}
		backup := platform.Snapshot().WithoutLeases()
		later, _ := platform.Grant(ctx, time.Hour)
		lost, err := platform.Create(ctx, "lost", nil, storer.NoLease)
		if err != nil {
			t.Fatal(err)
		}
		platform.Restore(backup)
		page, err := platform.List(ctx, "", "", 0)
		if err != nil || len(page.Items) != 1 || page.Items[0].Key != "kept" || page.Revision != lost-1 {
			t.Errorf("after the restore: %+v, %v", page, err)
		}
		var missing *storer.NotFoundError
		if _, err := platform.Renew(ctx, held.ID); !errors.As(err, &missing) {
			t.Errorf("renewal of a lease from before the copy: %v", err)
		}
		if again, _ := platform.Grant(ctx, time.Hour); again != later {
			t.Errorf("got the lease %+v, want %+v again", again, later)
		}
		started := time.Now()
		events, err := platform.Watch(ctx, "", lost, time.Minute)
		if err != nil || !events.Compacted || time.Since(started) > 0 {
			t.Errorf("watch from a lost version: %+v after %v, %v", events, time.Since(started), err)
		}
		if again, _ := platform.Create(ctx, "new", nil, storer.NoLease); again != lost {
			t.Errorf("got version %d, want %d again", again, lost)
		}
		events, err = platform.Watch(ctx, "", lost, time.Minute)
		if err != nil || events.Compacted || len(events.Events) != 0 {
			t.Errorf("watch from a version that was assigned again: %+v, %v", events, err)
		}
	})
}
