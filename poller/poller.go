// Package poller polls engines for the events of their prefix caches.
//
// In a data centre with many engines, each engine is polled by only a few daemons. The function
// Settings.Assigned decides which: it should distribute the engines evenly and reassign those of a
// daemon that fails.
//
// # Usage
//
//	p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: client, Observer: observer, Assigned: assigned})
//	p.SetTargets(targets)
//	defer p.Close()
package poller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	defaultEventWait     = 2 * time.Second
	defaultEventInterval = 500 * time.Millisecond
	maxEventBackoff      = 5 * time.Second
)

// Target is one engine to poll.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Events is a response with cache events. Its type depends on the kind of engine.
type Events interface {
	// IncarnationID returns the incarnation of the engine.
	IncarnationID() string
	// NextPosition returns the position after the events, from which the next poll continues.
	NextPosition() uint64
	// Count returns the number of events.
	Count() int
}

// EngineClient requests cache events from engines.
type EngineClient[E Events] interface {
	CacheEvents(ctx context.Context, target netip.AddrPort, after uint64, wait time.Duration) (E, error)
}

// CacheEventObserver receives the cache events.
type CacheEventObserver[E Events] interface {
	// ObserveCache processes cache events of a target.
	ObserveCache(target string, events E)
}

// Settings are the parameters of a Poller. Zero durations are replaced by the defaults.
type Settings[E Events] struct {
	Engines  EngineClient[E]
	Observer CacheEventObserver[E]
	// Assigned reports whether this daemon polls the target. Default: all targets.
	Assigned func(target string) bool
	// EventWait is how long an engine may delay its response until it has events; 2 s by default.
	EventWait time.Duration
	// EventInterval is the pause between two polls of an engine, with ±20 % jitter; 500 ms by
	// default. It doubles up to 5 s while an engine fails or has no events.
	EventInterval time.Duration
	// OnPoll is called after each poll, before Observer, with the events or the error. It is optional.
	OnPoll func(target string, events E, err error)
	// Logger logs panics of a poll loop, which goes on after them. Default: no log.
	Logger *slog.Logger
}

func (s Settings[E]) withDefaults() Settings[E] {
	if s.EventWait == 0 {
		s.EventWait = defaultEventWait
	}
	if s.EventInterval == 0 {
		s.EventInterval = defaultEventInterval
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	if s.OnPoll == nil {
		s.OnPoll = func(string, E, error) {}
	}
	if s.Assigned == nil {
		s.Assigned = func(string) bool { return true }
	}
	return s
}

// Poller polls targets until it is closed.
type Poller[E Events] struct {
	settings  Settings[E]
	ctx       context.Context
	cancel    context.CancelFunc
	pollLoops conc.WaitGroup

	mu sync.Mutex
	// cancels contains the function that stops the poll loop of each target.
	cancels map[Target]context.CancelFunc
}

// New returns a Poller without targets.
func New[E Events](settings Settings[E]) *Poller[E] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Poller[E]{
		settings: settings.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		cancels:  make(map[Target]context.CancelFunc),
	}
}

// Close cancels all polls and waits until they have ended.
func (p *Poller[E]) Close() error {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.pollLoops.Wait()
	return nil
}

// SetTargets replaces the targets. The polling of targets in both sets is not interrupted.
func (p *Poller[E]) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	wanted := make(map[Target]bool, len(targets))
	for _, target := range targets {
		wanted[target] = true
		if _, ok := p.cancels[target]; !ok {
			p.startLoop(target)
		}
	}
	for target, cancel := range p.cancels {
		if !wanted[target] {
			cancel()
			delete(p.cancels, target)
		}
	}
}

func (p *Poller[E]) startLoop(target Target) {
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancels[target] = cancel
	p.pollLoops.Go(func() {
		supervisor.Run(ctx, p.settings.Logger, "poll "+target.Name, func(ctx context.Context) { p.pollEvents(ctx, target) })
	})
}

func (p *Poller[E]) pollEvents(ctx context.Context, target Target) {
	pollCursor := cursor{}
	backoff := p.settings.EventInterval
	for ctx.Err() == nil {
		if p.settings.Assigned(target.Name) {
			events, err := p.settings.Engines.CacheEvents(ctx, target.Address, pollCursor.after, p.settings.EventWait)
			if ctx.Err() == nil {
				p.settings.OnPoll(target.Name, events, err)
			}
			backoff = p.nextBackoff(backoff, eventCount(events, err), err)
			if err == nil && pollCursor.advance(events.IncarnationID(), events.NextPosition()) && events.Count() > 0 {
				p.settings.Observer.ObserveCache(target.Name, events)
			}
		}
		waiter.Sleep(ctx, jittered(backoff))
	}
}

// eventCount returns the number of events in a response, and 0 if the poll failed.
func eventCount[E Events](events E, err error) int {
	if err != nil {
		return 0
	}
	return events.Count()
}

// nextBackoff returns the pause before the next poll. The pause doubles up to maxEventBackoff while an
// engine fails or has no events, since polls of idle engines would otherwise use more of a daemon's
// resources than all its other work.
func (p *Poller[E]) nextBackoff(backoff time.Duration, events int, err error) time.Duration {
	if err == nil && events > 0 {
		return p.settings.EventInterval
	}
	return min(2*backoff, maxEventBackoff)
}

// cursor is the position in the cache events of one incarnation of an engine.
type cursor struct {
	incarnation string
	after       uint64
}

// advance moves the cursor after the events of a response and reports whether they may be used. If
// the incarnation has changed, they may not be used, since they were requested with a position of
// the former incarnation; the cursor is then reset to the start. Nor may those before the cursor,
// which are a late copy of an earlier response.
func (c *cursor) advance(incarnation string, next uint64) bool {
	if incarnation == c.incarnation && next < c.after {
		return false
	}
	if c.incarnation != "" && incarnation != c.incarnation {
		c.incarnation = incarnation
		c.after = 0
		return false
	}
	c.incarnation = incarnation
	c.after = next
	return true
}

func jittered(period time.Duration) time.Duration {
	return period*4/5 + rand.N(period*2/5)
}
