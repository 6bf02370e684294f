// Package poller asks the engines for their cache events.
//
// Where there are many engines, each is asked by a few daemons of its data centre only. Which
// daemons ask is decided by Assigned, so that the work spreads evenly and moves on when a
// daemon dies.
//
// # Usage
//
//	p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: client, Observer: observer, Assigned: assigned})
//	p.SetTargets(targets)
//	defer p.Close()
package poller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	defaultEventWait     = 2 * time.Second
	defaultEventInterval = 500 * time.Millisecond
	maxEventBackoff      = 5 * time.Second
)

// Target is one engine to ask.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Events is an answer with cache events, in the form of one kind of engine.
type Events interface {
	// Life names the incarnation of the engine.
	Life() string
	// Following is the place behind the events.
	Following() uint64
	// Count is the number of events.
	Count() int
}

// Engines asks engines.
type Engines[E Events] interface {
	CacheEvents(ctx context.Context, target netip.AddrPort, after uint64, wait time.Duration) (E, error)
}

// Observer is told the answers.
type Observer[E Events] interface {
	// ObserveCache takes cache events of an engine.
	ObserveCache(target string, events E)
}

// Settings are the parameters of a Poller. Zero durations take the defaults.
type Settings[E Events] struct {
	Engines  Engines[E]
	Observer Observer[E]
	// Assigned says whether this daemon asks the target; all are by default.
	Assigned func(target string) bool
	// EventWait is how long an engine may hold a question for cache events; 2 s by default.
	EventWait time.Duration
	// EventInterval is the least time between two of them; 500 ms by default. It grows to 5 s
	// while an engine fails or has no events.
	EventInterval time.Duration
}

func (s Settings[E]) withDefaults() Settings[E] {
	if s.EventWait == 0 {
		s.EventWait = defaultEventWait
	}
	if s.EventInterval == 0 {
		s.EventInterval = defaultEventInterval
	}
	if s.Assigned == nil {
		s.Assigned = func(string) bool { return true }
	}
	return s
}

// Poller asks targets until it is closed.
type Poller[E Events] struct {
	settings Settings[E]
	ctx      context.Context
	cancel   context.CancelFunc
	running  conc.WaitGroup

	mu    sync.Mutex
	loops map[Target]context.CancelFunc
}

// New returns a Poller without targets.
func New[E Events](settings Settings[E]) *Poller[E] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Poller[E]{
		settings: settings.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		loops:    make(map[Target]context.CancelFunc),
	}
}

// Close ends all questions and waits for them.
func (p *Poller[E]) Close() error {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.running.Wait()
	return nil
}

// SetTargets replaces the targets. Those that stay are asked on without a pause.
func (p *Poller[E]) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	wanted := make(map[Target]bool, len(targets))
	for _, target := range targets {
		wanted[target] = true
		if _, ok := p.loops[target]; !ok {
			p.start(target)
		}
	}
	for target, cancel := range p.loops {
		if !wanted[target] {
			cancel()
			delete(p.loops, target)
		}
	}
}

func (p *Poller[E]) start(target Target) {
	ctx, cancel := context.WithCancel(p.ctx)
	p.loops[target] = cancel
	p.running.Go(func() { p.askEvents(ctx, target) })
}

func (p *Poller[E]) askEvents(ctx context.Context, target Target) {
	cursor := cursor{}
	backoff := p.settings.EventInterval
	for ctx.Err() == nil {
		if p.settings.Assigned(target.Name) {
			events, err := p.settings.Engines.CacheEvents(ctx, target.Address, cursor.after, p.settings.EventWait)
			backoff = p.nextBackoff(backoff, countOf(events, err), err)
			if err == nil && cursor.advance(events.Life(), events.Following()) && events.Count() > 0 {
				p.settings.Observer.ObserveCache(target.Name, events)
			}
		}
		waiter.Pause(ctx, jittered(backoff))
	}
}

// countOf counts the events of an answer; there are none in a failed one.
func countOf[E Events](events E, err error) int {
	if err != nil {
		return 0
	}
	return events.Count()
}

// nextBackoff returns the pause before the next question. It grows while there is nothing to
// hear, since questions to engines without work would cost more than all else.
func (p *Poller[E]) nextBackoff(backoff time.Duration, events int, err error) time.Duration {
	if err == nil && events > 0 {
		return p.settings.EventInterval
	}
	return min(2*backoff, maxEventBackoff)
}

// cursor is the place in an engine's cache events.
type cursor struct {
	incarnation string
	after       uint64
}

// advance moves the cursor behind the events and says whether they may be used. Events of a
// new incarnation begin anew: the old place means nothing in them.
func (c *cursor) advance(life string, following uint64) bool {
	if c.incarnation != "" && life != c.incarnation {
		c.incarnation = life
		c.after = 0
		return false
	}
	c.incarnation = life
	c.after = following
	return true
}

func jittered(period time.Duration) time.Duration {
	return period*4/5 + rand.N(period*2/5)
}
