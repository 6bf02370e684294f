package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// errReplacedWeights is the cause with which a startTimer cancels an attempt.
var errReplacedWeights = errors.New("the target did not start the request within the time limit for replaced weights")

// startTimer cancels an attempt that has had no first event by the time that placer.Attempt.BeginBy returns. A
// target that started the request after that time would run it on weights that were replaced too long ago.
type startTimer struct {
	attempt *placer.Attempt
	cancel  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// newStartTimer starts a timer and returns the context that it cancels.
func newStartTimer(ctx context.Context, attempt *placer.Attempt) (context.Context, *startTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &startTimer{attempt: attempt, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Until(attempt.BeginBy()), t.check)
	return ctx, t
}

// check cancels the attempt if the time that BeginBy returns has passed. Otherwise it resets the timer to that
// time, which keeps moving into the future while the weights of the target are the newest.
func (t *startTimer) check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	remaining := time.Until(t.attempt.BeginBy())
	if remaining <= 0 {
		t.cancel(errReplacedWeights)
		return
	}
	t.timer.Reset(remaining)
}

// stop stops the timer at the first event, which shows that the target has started the request.
func (t *startTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// release stops the timer and releases the context.
func (t *startTimer) release() {
	t.stop()
	t.cancel(nil)
}

// startTimedOut reports whether a startTimer cancelled the context.
func startTimedOut(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errReplacedWeights)
}
