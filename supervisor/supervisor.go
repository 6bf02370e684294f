// Package supervisor keeps background loops running after a panic.
//
// A panic that nobody recovers ends the process, and conc.WaitGroup holds one back until Wait, so that a loop ends
// without anybody noticing. Both are worse than the failure of one round of the loop, which one malformed message can
// cause.
//
// # Usage
//
//	tasks.Go(func() { supervisor.Run(ctx, logger, "receive", b.receiveLoop) })
package supervisor

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

// restartPause is the time between a panic and the next call of the loop.
const restartPause = 200 * time.Millisecond

var panics atomic.Int64

// Panics returns the number of panics of all loops since the start of the process.
func Panics() int64 { return panics.Load() }

// Run calls loop until it returns without a panic or ctx ends. It logs each panic with its stack, and then calls loop
// again after a pause.
func Run(ctx context.Context, logger *slog.Logger, name string, loop func(context.Context)) {
	for !Try(ctx, logger, name, loop) {
		if !waiter.Sleep(ctx, restartPause) {
			return
		}
	}
}

// Try calls a task once and reports whether it returned without a panic. It logs a panic with its stack.
func Try(ctx context.Context, logger *slog.Logger, name string, task func(context.Context)) (completed bool) {
	defer func() {
		if completed {
			return
		}
		panics.Add(1)
		logger.Error("background task panicked", "task", name, "panic", recover(), "stack", string(debug.Stack()))
	}()
	task(ctx)
	return true
}
