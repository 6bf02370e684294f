package repeater_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/repeater"
	"github.com/rosemaryrill/rosemaryrill/seeder"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const prefix = "keys/"

var errUnreachable = errors.New("unreachable")

// instant is the clock of a synctest bubble as a boot clock.
func instant() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) }

// store is a store whose only key holds the number of its changes. Each change has the next revision.
type store struct {
	mu       sync.Mutex
	revision storer.Version
	// changedAt is the time of each change, by its revision less one.
	changedAt []time.Time
	changed   chan struct{}
	calls     int
}

func newStore() *store {
	s := &store{changed: make(chan struct{})}
	s.change()
	return s
}

func (s *store) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changedAt = append(s.changedAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// changesBefore returns the number of changes up to a time.
func (s *store) changesBefore(at time.Time) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, changed := range s.changedAt {
		if changed.Before(at) {
			count++
		}
	}
	return count
}

func (s *store) item() storer.Item {
	return storer.Item{Key: prefix + "count", Value: fmt.Append(nil, s.revision), Version: s.revision}
}

func (s *store) List(context.Context, string, string) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return storer.Page{Items: []storer.Item{s.item()}, Revision: s.revision}, nil
}

func (s *store) Watch(ctx context.Context, _ string, after storer.Version, wait time.Duration) (storer.Events, error) {
	s.mu.Lock()
	s.calls++
	changed := s.changed
	if s.revision > after {
		defer s.mu.Unlock()
		return storer.Events{Revision: s.revision, Events: []storer.Event{{Kind: storer.EventPut, Item: s.item()}}}, nil
	}
	s.mu.Unlock()
	select {
	case <-changed:
		return s.Watch(ctx, "", after, wait)
	case <-time.After(wait):
		return storer.Events{Revision: after}, nil
	case <-ctx.Done():
		return storer.Events{}, ctx.Err()
	}
}

// daemon follows the store through others.
type daemon struct {
	address  netip.AddrPort
	items    *repeater.Copy
	follower *follower.Follower

	mu    sync.Mutex
	known storer.Version
	// stalledUntil is the time until which the daemon answers no call, as if it were suspended, and cutUntil the time
	// until which it does not reach the store.
	stalledUntil, cutUntil time.Time
}

func (d *daemon) stall(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalledUntil = time.Now().Add(duration)
}

func (d *daemon) stalled() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.stalledUntil)
}

func (d *daemon) cutOff(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutUntil = time.Now().Add(duration)
}

func (d *daemon) isCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.cutUntil)
}

func (d *daemon) Reset(items []storer.Item, _ bool) {
	for _, item := range items {
		d.see(item)
	}
}

func (d *daemon) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		d.see(event.Item)
	}
}

func (d *daemon) see(item storer.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = max(d.known, item.Version)
}

func (d *daemon) knownChanges() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(d.known)
}

// group is a data centre whose daemons read the store through each other, by their order in daemons.
type group struct {
	store   *store
	daemons []*daemon
	// delay is how long an answer takes.
	delay func() time.Duration
}

func newGroup(count int) *group {
	g := &group{store: newStore(), delay: func() time.Duration { return time.Millisecond }}
	for i := range count {
		d := &daemon{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
		d.items = repeater.NewCopy(repeater.CopySettings{Sink: d, Now: instant})
		reader := repeater.NewReader(repeater.ReaderSettings{
			Store: &reach{group: g, daemon: d}, Peers: g, Serves: func() bool { return true }, Logger: slog.New(slog.DiscardHandler),
			Sources: func() (sources []netip.AddrPort) {
				for _, other := range g.daemons[:i] {
					sources = append(sources, other.address)
				}
				return sources
			},
			Waits: map[string]time.Duration{prefix: 600 * time.Millisecond},
		})
		d.follower = follower.New(follower.Settings{
			Store: reader, Prefix: prefix, Sink: d.items, OnContact: d.items.Confirm, Wait: 1900 * time.Millisecond, Now: instant,
		})
		g.daemons = append(g.daemons, d)
	}
	return g
}

func (g *group) start(ctx context.Context) {
	for _, d := range g.daemons {
		d.follower.Start(ctx)
	}
}

func (g *group) close() {
	for _, d := range g.daemons {
		_ = d.follower.Close()
	}
}

// Watch calls another daemon, whose answer takes the delay of the group.
func (g *group) Watch(ctx context.Context, address netip.AddrPort, _ string, after storer.Version, wait time.Duration) (storer.Events, error) {
	at := slices.IndexFunc(g.daemons, func(d *daemon) bool { return d.address == address })
	if !pause(ctx, g.daemons[at].stalled()) {
		return storer.Events{}, ctx.Err()
	}
	events, err := g.daemons[at].items.Watch(ctx, after, wait)
	if !pause(ctx, g.delay()) {
		return storer.Events{}, ctx.Err()
	}
	return events, err
}

// reach is the way of one daemon to the store.
type reach struct {
	group  *group
	daemon *daemon
}

func (r *reach) List(ctx context.Context, prefix, after string) (storer.Page, error) {
	if r.daemon.isCut() {
		return storer.Page{}, errUnreachable
	}
	page, err := r.group.store.List(ctx, prefix, after)
	pause(ctx, r.group.delay())
	return page, err
}

func (r *reach) Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Events, error) {
	if r.daemon.isCut() {
		return storer.Events{}, errUnreachable
	}
	events, err := r.group.store.Watch(ctx, prefix, after, wait)
	pause(ctx, r.group.delay())
	if r.daemon.isCut() {
		return storer.Events{}, errUnreachable
	}
	return events, err
}

// pause waits, and reports whether ctx is still active.
func pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(duration):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Answers are delayed, daemons are suspended and cut off from the store. A daemon that claims to know the store's state of
// some moment must know every change up to that moment: a request with a key that was taken away may depend on it.
func TestContactAgeNeverHidesAChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			g := newGroup(6)
			var mu sync.Mutex
			g.delay = func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if random.IntN(5) == 0 {
					return time.Duration(random.IntN(900)) * time.Millisecond
				}
				return time.Millisecond
			}
			ctx, cancel := context.WithCancel(t.Context())
			g.start(ctx)
			for range 100 {
				mu.Lock()
				step, victim := random.IntN(8), g.daemons[random.IntN(len(g.daemons))]
				wait := time.Duration(random.IntN(700)) * time.Millisecond
				if step == 0 {
					victim.cutOff(time.Duration(random.IntN(4000)) * time.Millisecond)
				}
				mu.Unlock()
				if step < 4 {
					g.store.change()
				}
				time.Sleep(wait)
				for i, d := range g.daemons {
					age := d.follower.ContactAge()
					if age >= time.Hour {
						continue
					}
					if known, made := d.knownChanges(), g.store.changesBefore(time.Now().Add(-age)); known < made {
						t.Errorf("seed %d: daemon %d knows %d changes and claims an age of %s, at which there were %d", seed, i, known, age, made)
					}
				}
			}
			cancel()
			g.close()
		})
	})
}
