package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// errReplacedWeights ends an attempt that would begin on weights that are replaced for too long.
var errReplacedWeights = errors.New("the request did not begin before its weights were replaced for too long")

// beginning watches an attempt until its first event.
type beginning struct {
	flight *placer.Flight
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchBeginning returns a context that ends when the attempt must be taken back.
func watchBeginning(ctx context.Context, flight *placer.Flight) (context.Context, *beginning) {
	ctx, cancel := context.WithCancelCause(ctx)
	b := &beginning{flight: flight, cancel: cancel}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(time.Until(flight.BeginBy()), b.check)
	return ctx, b
}

// check takes the attempt back if it is time, and asks again later otherwise.
func (b *beginning) check() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	left := time.Until(b.flight.BeginBy())
	if left <= 0 {
		b.cancel(errReplacedWeights)
		return
	}
	b.timer.Reset(left)
}

// begun notes the first event: the target has begun the request.
func (b *beginning) begun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.timer.Stop()
}

// end releases the context.
func (b *beginning) end() {
	b.begun()
	b.cancel(nil)
}

// tookBack says whether the context ended because the attempt did not begin in time.
func tookBack(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errReplacedWeights) }
