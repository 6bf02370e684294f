package platformemulator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

func TestWritesAreConditional(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	version, err := platform.Create(t.Context(), "a/b", []byte("1"), storer.NoLease)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *storer.ConflictError
	_, err = platform.Create(t.Context(), "a/b", []byte("2"), storer.NoLease)
	if !errors.As(err, &conflict) || conflict.Current != version {
		t.Fatalf("second create: got %v, want a conflict at version %d", err, version)
	}
	if _, err = platform.Swap(t.Context(), "a/b", []byte("3"), version, storer.NoLease); err != nil {
		t.Fatal(err)
	}
	if err = platform.Delete(t.Context(), "a/b", version); !errors.As(err, &conflict) {
		t.Fatalf("delete with an old version: got %v, want a conflict", err)
	}
}

func TestWriteWithLostResponseTakesEffect(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platform.SetFaults(platformemulator.Faults{LoseAnswers: 1})
	var unknown *storer.UnknownOutcomeError
	_, err := platform.Create(t.Context(), "k", []byte("1"), storer.NoLease)
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	if _, err := platform.Get(t.Context(), "k"); err != nil {
		t.Fatalf("the write did not take effect: %v", err)
	}
}

// TestAbandonedWriteTakesEffect abandons a write after 1 s. The write takes effect after half of the delay, at 2 s,
// which is why it is not found at 1 s and is found at 3 s.
func TestAbandonedWriteTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := platformemulator.New(platformemulator.Settings{})
		platform.SetFaults(platformemulator.Faults{Delay: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := platform.Create(ctx, "k", []byte("1"), storer.NoLease)
		var unknown *storer.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		platform.SetFaults(platformemulator.Faults{})
		if _, err := platform.Get(t.Context(), "k"); err == nil {
			t.Fatal("the write took effect at once")
		}
		time.Sleep(2 * time.Second)
		if _, err := platform.Get(t.Context(), "k"); err != nil {
			t.Fatalf("the write never took effect: %v", err)
		}
	})
}

func TestWatchReportsLeaseExpiryAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := platformemulator.New(platformemulator.Settings{})
		lease, err := platform.Grant(t.Context(), 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		version, err := platform.Create(t.Context(), "duties/x", nil, lease.ID)
		if err != nil {
			t.Fatal(err)
		}
		events, err := platform.Watch(t.Context(), "duties/", version, time.Minute)
		if err != nil || len(events.Events) != 1 || events.Events[0].Kind != storer.EventDelete {
			t.Fatalf("got %v, %v, want the deletion", events, err)
		}
		platform.Compact()
		events, err = platform.Watch(t.Context(), "duties/", version, time.Minute)
		if err != nil || !events.Compacted {
			t.Fatalf("got %v, %v, want a compacted history", events, err)
		}
	})
}

func TestPartitionAffectsOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := platformemulator.New(platformemulator.Settings{})
		isolated := platform.Connection("cut")
		time.AfterFunc(time.Second, func() { isolated.SetFaults(platformemulator.Faults{Partitioned: true}) })
		_, err := isolated.Watch(t.Context(), "", 0, time.Minute)
		var unavailable *storer.UnavailableError
		if !errors.As(err, &unavailable) || !errors.Is(err, platformemulator.ErrPartitioned) {
			t.Fatalf("got %v, want an unavailable error caused by ErrPartitioned", err)
		}
		if _, err := platform.Create(t.Context(), "k", nil, storer.NoLease); err != nil {
			t.Fatal(err)
		}
	})
}

func TestRestoreAndStaleReadsReturnOlderState(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	for _, key := range []string{"a", "b", "c"} {
		if _, err := platform.Create(t.Context(), key, []byte(key), storer.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	backup := platform.Snapshot()
	if _, err := platform.Create(t.Context(), "d", nil, storer.NoLease); err != nil {
		t.Fatal(err)
	}
	platform.SetFaults(platformemulator.Faults{StaleReads: 1, StaleBy: 2})
	page, err := platform.List(t.Context(), "", "", 0)
	if err != nil || len(page.Items) != 2 || page.Revision != 2 {
		t.Fatalf("stale list: got %v, %v, want two items at revision 2", page, err)
	}
	platform.Restore(backup)
	page, err = platform.List(t.Context(), "", "a", 1)
	if err != nil || len(page.Items) != 1 || page.Items[0].Key != "b" || !page.More {
		t.Fatalf("list after the restore: got %v, %v", page, err)
	}
	if _, err = platform.Get(t.Context(), "d"); err == nil {
		t.Fatal("the restored platform still has the key that was created after the backup")
	}
}
