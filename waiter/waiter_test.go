package waiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		if !waiter.Sleep(t.Context(), time.Second) || time.Since(started) != time.Second {
			t.Errorf("a sleep of one second took %s", time.Since(started))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if waiter.Sleep(ctx, time.Minute) || time.Since(started) != 2*time.Second {
			t.Errorf("the sleep did not end with its context, time since the start: %s", time.Since(started))
		}
	})
}
