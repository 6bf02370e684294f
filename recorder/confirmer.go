package recorder

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// confirmDelay is the time after which a daemon is asked whether an attempt was the last one. Most streams have begun by then.
	confirmDelay = 600 * time.Millisecond
	// confirmInterval is the time between two looks at which daemons have to be asked, and the time until a failed question is repeated.
	confirmInterval = 250 * time.Millisecond
	// maxQuestions bounds the questions in a confirmInterval.
	maxQuestions = 16
	// maxAttempts bounds the attempts that are remembered. The oldest ones are given up first.
	maxAttempts = 1 << 12
)

// confirmer finds the origins of streams that daemons of older releases begin. These tell each attempt to begin a stream, and don't tell
// which one began it, so an attempt counts only once its daemon has confirmed, some time later, that there was no further one.
type confirmer struct {
	ask       Asker
	addressOf func(daemon string) (address netip.AddrPort, known bool)
	retention func() time.Duration
	now       func() time.Time

	mu sync.Mutex
	// attempts are the last attempts that were told, by stream, and order lists all from the oldest one on.
	attempts map[uint64]*attempt
	order    []*attempt
}

// attempt is an attempt to begin a stream.
type attempt struct {
	origin    Origin
	daemon    string
	toldAt    time.Time
	askAt     time.Time
	confirmed bool
}

func newConfirmer(settings OriginsSettings, addressOf func(daemon string) (netip.AddrPort, bool)) *confirmer {
	return &confirmer{
		ask: settings.Ask, addressOf: addressOf, retention: settings.Retention, now: settings.Now, attempts: make(map[uint64]*attempt),
	}
}

// add takes an attempt that a daemon tells. It replaces an earlier one to begin the same stream, also a confirmed one.
func (c *confirmer) add(daemon string, origin Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.forget(now)
	a := &attempt{origin: origin, daemon: daemon, toldAt: now, askAt: now.Add(confirmDelay)}
	c.attempts[origin.Stream] = a
	c.order = append(c.order, a)
}

// forget forgets the attempts that are older than the retention, and the oldest ones of too many. The caller holds mu.
func (c *confirmer) forget(now time.Time) {
	for len(c.order) > 0 && (len(c.order) >= maxAttempts || now.Sub(c.order[0].toldAt) > c.retention()) {
		oldest := c.order[0]
		c.order = c.order[1:]
		if c.attempts[oldest.origin.Stream] == oldest {
			delete(c.attempts, oldest.origin.Stream)
		}
	}
}

// known returns the origin of a stream if it is confirmed.
func (c *confirmer) known(stream uint64) (origin Origin, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[stream]
	if a == nil || !a.confirmed {
		return Origin{}, false
	}
	return a.origin, true
}

// run asks the daemons until the end of ctx.
func (c *confirmer) run(ctx context.Context) {
	for waiter.Sleep(ctx, confirmInterval) {
		var questions conc.WaitGroup
		for _, a := range c.due() {
			questions.Go(func() { c.confirm(ctx, a) })
		}
		questions.Wait()
	}
}

// due returns the attempts whose daemons have to be asked now, those that have waited longest first.
func (c *confirmer) due() (due []*attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.forget(now)
	for _, a := range c.attempts {
		if !a.confirmed && !now.Before(a.askAt) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *attempt) int {
		return cmp.Or(a.askAt.Compare(b.askAt), cmp.Compare(a.origin.Stream, b.origin.Stream))
	})
	due = due[:min(len(due), maxQuestions)]
	for _, a := range due {
		a.askAt = now.Add(confirmInterval)
	}
	return due
}

// confirm asks the daemon that told an attempt for the last one, and keeps its answer as the stream's origin. A daemon that does not know
// the stream was started anew, and never will.
func (c *confirmer) confirm(ctx context.Context, a *attempt) {
	address, reachable := c.addressOf(a.daemon)
	if !reachable {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	last, known, err := c.ask.Find(ctx, address, a.origin.Stream)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !known {
		if c.attempts[a.origin.Stream] == a {
			delete(c.attempts, a.origin.Stream)
		}
		return
	}
	a.origin = Origin{Stream: a.origin.Stream, Software: last.Software, Began: true}
	a.confirmed = true
}
