package platformemulator

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Connection is the client of one caller of the Platform. Its methods have the signatures of
// storer.Client.
type Connection struct {
	store  *store
	name   string
	faults Faults
	counts map[Call]int
}

// Name returns the name of the caller.
func (c *Connection) Name() string { return c.name }

// SetFaults replaces the faults of this caller.
func (c *Connection) SetFaults(faults Faults) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.faults = faults
	c.store.broadcast()
}

// Calls returns the number of calls of each kind by this caller, including refused ones.
func (c *Connection) Calls() map[Call]int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return copyCounts(c.counts)
}

// Close does nothing; storer.Client has a method with this signature.
func (c *Connection) Close() error { return nil }

// request is one call to the platform. The key is included in errors; effect applies the call to
// the store while mu is held.
type request struct {
	call   Call
	key    string
	write  bool
	effect func(s *store) error
}

// execute executes a request under the faults in force: it waits for half of the delay,
// applies the effect, and waits for the rest. A write whose context ends in the first half
// still takes effect at the end of that half.
func (c *Connection) execute(ctx context.Context, r request) error {
	if err := ctx.Err(); err != nil {
		return &storer.UnavailableError{Cause: err}
	}
	delay, err := c.admit(r)
	if err != nil {
		return err
	}
	arrival := time.Now().Add(delay / 2)
	if err := sleep(ctx, delay/2); err != nil {
		c.scheduleEffect(r, time.Until(arrival))
		return r.interruptedError(err)
	}
	if err := c.applyEffect(r); err != nil {
		return err
	}
	if err := sleep(ctx, delay-delay/2); err != nil {
		return r.interruptedError(err)
	}
	return c.deliverAnswer(r)
}

// interruptedError returns the error of a call whose connection broke or whose caller gave up. The
// outcome of a write is then unknown.
func (r request) interruptedError(cause error) error {
	if r.write {
		return &storer.UnknownOutcomeError{Key: r.key, Cause: cause}
	}
	return &storer.UnavailableError{Cause: cause}
}

// admit counts the request and returns its delay. It refuses the request during an outage, if
// the caller is partitioned from the platform, and beyond the rate limit.
func (c *Connection) admit(r request) (delay time.Duration, err error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[r.call]++
	if c.counts == nil {
		c.counts = map[Call]int{}
	}
	c.counts[r.call]++
	if cause := c.unavailableCause(); cause != nil {
		return 0, &storer.UnavailableError{Cause: cause}
	}
	limiter := s.readLimiter
	if r.write {
		limiter = s.writeLimiter
	}
	if !limiter.Allow() {
		return 0, &storer.UnavailableError{Cause: ErrRateLimited}
	}
	return s.faults.Delay + c.faults.Delay, nil
}

// unavailableCause returns why the caller can't reach the platform, or nil. mu must be held.
func (c *Connection) unavailableCause() error {
	if c.store.faults.Outage || c.faults.Outage {
		return ErrOutage
	}
	if c.faults.Partitioned {
		return ErrPartitioned
	}
	return nil
}

// applyEffect applies the request to the store. It injects Faults.LoseRequests before and
// Faults.LoseAnswers after the effect.
func (c *Connection) applyEffect(r request) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause := c.unavailableCause(); cause != nil {
		return r.interruptedError(cause)
	}
	if r.write && (consumeFault(&s.faults.LoseRequests) || consumeFault(&c.faults.LoseRequests)) {
		return r.interruptedError(ErrRequestLost)
	}
	s.expireLeases()
	if err := r.effect(s); err != nil {
		return err
	}
	if r.write && (consumeFault(&s.faults.LoseAnswers) || consumeFault(&c.faults.LoseAnswers)) {
		return r.interruptedError(ErrAnswerLost)
	}
	return nil
}

// scheduleEffect applies a write, whose caller has given up, after the given time.
func (c *Connection) scheduleEffect(r request, after time.Duration) {
	if !r.write {
		return
	}
	time.AfterFunc(after, func() { _ = c.applyEffect(r) })
}

// deliverAnswer fails the request if an outage or a partition began while its answer was in
// transit.
func (c *Connection) deliverAnswer(r request) error {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if cause := c.unavailableCause(); cause != nil {
		return r.interruptedError(cause)
	}
	return nil
}

// consumeFault reports whether a counted fault applies, and decrements its count if so.
func consumeFault(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// readView returns the state for the next read. While StaleReads is above zero, it decrements
// the count and returns an older state. mu must be held.
func (c *Connection) readView() storeView {
	s := c.store
	if consumeFault(&s.faults.StaleReads) {
		return s.staleView(staleVersions(s.faults))
	}
	if consumeFault(&c.faults.StaleReads) {
		return s.staleView(staleVersions(c.faults))
	}
	return s.currentView()
}

// staleVersions returns Faults.StaleBy or its default.
func staleVersions(faults Faults) int {
	if faults.StaleBy == 0 {
		return DefaultStaleBy
	}
	return faults.StaleBy
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
