// Package waiter sleeps for a duration or until a context ends, whichever is first.
//
// # Usage
//
//	for waiter.Sleep(ctx, interval) {
//		// Runs once per interval until the context ends.
//	}
package waiter

import (
	"context"
	"time"
)

// Sleep waits for the duration or until the context ends, and reports whether the context is
// still active.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
