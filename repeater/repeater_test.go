package repeater_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
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

// The calls to the store must not grow with the number of daemons, and a change reaches all of them at once.
func TestStoreCallsDoNotGrowWithDaemons(t *testing.T) {
	for _, count := range []int{4, 40} {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(count)
			ctx, cancel := context.WithCancel(t.Context())
			g.start(ctx)
			time.Sleep(5 * time.Second)
			before := g.store.callCount()
			time.Sleep(10 * time.Second)
			if calls := g.store.callCount() - before; calls > 20 {
				t.Errorf("%d daemons made %d calls in 10 s", count, calls)
			}
			g.store.change()
			time.Sleep(50 * time.Millisecond)
			for i, d := range g.daemons {
				if d.knownChanges() != 2 {
					t.Errorf("daemon %d of %d does not know the change after 50 ms", i, count)
				}
			}
			cancel()
			g.close()
		})
	}
}

// The daemon that reads for the others is suspended, or cut off from the store. The others must find another way before
// their contact is too old for keys, with 4.4 s as the bound.
func TestContactGoesOnWithoutTheReadingDaemon(t *testing.T) {
	const bound = 4400 * time.Millisecond
	for name, harm := range map[string]func(g *group){
		"suspended": func(g *group) { g.daemons[0].stall(20 * time.Second) },
		"cut off":   func(g *group) { g.daemons[0].cutOff(20 * time.Second) },
		"both first suspended": func(g *group) {
			g.daemons[0].stall(20 * time.Second)
			g.daemons[1].stall(20 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(10)
				ctx, cancel := context.WithCancel(t.Context())
				g.start(ctx)
				time.Sleep(3 * time.Second)
				harm(g)
				for range 150 {
					time.Sleep(100 * time.Millisecond)
					for i, d := range g.daemons[1:] {
						if age := d.follower.ContactAge(); age > bound {
							t.Fatalf("the contact of daemon %d is %s old", i+1, age)
						}
					}
				}
				cancel()
				g.close()
			})
		})
	}
}

// put returns the event of an item.
func put(key, value string, version storer.Version) storer.Event {
	return storer.Event{Kind: storer.EventPut, Item: storer.Item{Key: key, Value: []byte(value), Version: version}}
}

func deletion(key string, version storer.Version) storer.Event {
	return storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: version}}
}

// keysOf describes events in short.
func keysOf(events storer.Events) (keys []string) {
	for _, event := range events.Events {
		sign := "+"
		if event.Kind == storer.EventDelete {
			sign = "-"
		}
		keys = append(keys, sign+event.Item.Key+string(event.Item.Value))
	}
	slices.Sort(keys)
	return keys
}

// discard is a Sink that ignores all.
type discard struct{}

func (discard) Reset([]storer.Item, bool)         {}
func (discard) HandleEvents([]storer.Event, bool) {}

func TestCopyTellsRelevantChangesOnce(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}, Equivalent: func(before, after storer.Item) bool {
		return string(before.Value) == string(after.Value)
	}})
	var unconfirmed *repeater.UnconfirmedError
	if _, err := items.Watch(t.Context(), 0, 0); !errors.As(err, &unconfirmed) {
		t.Fatalf("items that were not read: %v", err)
	}
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: 5}, {Key: "b", Value: []byte("1"), Version: 7}}, false)
	items.Confirm(10, clocker.Now())
	items.HandleEvents([]storer.Event{put("a", "1", 11), put("b", "2", 12), put("c", "1", 13), deletion("c", 14), put("b", "1", 6)}, false)
	items.Confirm(14, clocker.Now())
	for _, expected := range []struct {
		after storer.Version
		want  []string
	}{{0, []string{"+a1", "+b2"}}, {10, []string{"+b2", "-c"}}, {12, []string{"-c"}}, {14, nil}} {
		events, err := items.Watch(t.Context(), expected.after, 0)
		if err != nil || events.Compacted || events.Revision != 14 || !slices.Equal(keysOf(events), expected.want) {
			t.Errorf("after %d: %v, %+v, %v, want %v", expected.after, keysOf(events), events, err, expected.want)
		}
	}
	if events, err := items.Watch(t.Context(), 9, 0); err != nil || !events.Compacted {
		t.Errorf("changes before the list are reported as known: %+v, %v", events, err)
	}
}

// The store has forgotten its history, so the copy is listed again. Readers get only what differs, and need not list the
// keys themselves.
func TestListedAgainTellsOnlyDifferences(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}})
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: 5}, {Key: "b", Value: []byte("1"), Version: 7}}, false)
	items.Confirm(10, clocker.Now())
	items.Reset([]storer.Item{{Key: "a", Value: []byte("1"), Version: 5}, {Key: "c", Value: []byte("1"), Version: 15}}, false)
	items.Confirm(20, clocker.Now())
	events, err := items.Watch(t.Context(), 10, 0)
	if err != nil || events.Compacted || events.Revision != 20 || !slices.Equal(keysOf(events), []string{"+c1", "-b"}) {
		t.Errorf("got %v, %+v, %v", keysOf(events), events, err)
	}
	if events, err := items.Watch(t.Context(), 0, 0); err != nil || !slices.Equal(keysOf(events), []string{"+a1", "+c1"}) {
		t.Errorf("a list gives %v, %v", keysOf(events), err)
	}
}

// More keys are deleted than a copy remembers. A reader that has missed some of them must list the keys again.
func TestForgottenDeletionsCountAsCompacted(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}})
	items.Reset(nil, false)
	items.Confirm(1, clocker.Now())
	const deleted = 1500
	for i := range storer.Version(deleted) {
		items.HandleEvents([]storer.Event{put("k", "", 2+2*i), deletion("k", 3+2*i)}, false)
	}
	items.Confirm(2+2*deleted, clocker.Now())
	if events, err := items.Watch(t.Context(), 2, 0); err != nil || !events.Compacted {
		t.Errorf("a reader that misses deletions gets %d changes, %v", len(events.Events), err)
	}
	if events, err := items.Watch(t.Context(), 2*deleted-10, 0); err != nil || events.Compacted || len(events.Events) == 0 {
		t.Errorf("a reader that misses few deletions gets %+v, %v", events, err)
	}
}

// Real daemons read from each other by HTTP.
func TestChangesPassOverHTTP(t *testing.T) {
	items := repeater.NewCopy(repeater.CopySettings{Sink: discard{}})
	items.Reset([]storer.Item{{Key: "a", Value: []byte{0, 255}, Version: 5, Lease: "7"}}, false)
	items.Confirm(10, clocker.Now().Add(-time.Second))
	_, handler := repeater.NewHandler(map[string]*repeater.Copy{prefix: items})
	server := httptest.NewServer(handler)
	defer server.Close()
	client := repeater.NewClient()
	defer func() { _ = client.Close() }()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	events, err := client.Watch(t.Context(), address, prefix, 0, 0)
	if err != nil || len(events.Events) != 1 || events.Revision != 10 || events.Age < time.Second {
		t.Fatalf("got %+v, %v", events, err)
	}
	if item := events.Events[0].Item; item.Key != "a" || !slices.Equal(item.Value, []byte{0, 255}) || item.Version != 5 || item.Lease != "7" {
		t.Errorf("got the item %+v", item)
	}
	items.HandleEvents([]storer.Event{deletion("a", 11)}, true)
	events, err = client.Watch(t.Context(), address, prefix, 10, time.Second)
	if err != nil || !slices.Equal(keysOf(events), []string{"-a"}) || !events.AfterOutage {
		t.Errorf("got %+v, %v", events, err)
	}
	if _, err := client.Watch(t.Context(), address, "other/", 0, 0); err == nil {
		t.Error("a prefix that is not copied was answered")
	}
}

func TestDaemonsAgreeOnWhoReads(t *testing.T) {
	var daemons []repeater.Daemon
	for i := range 40 {
		daemons = append(daemons, repeater.Daemon{Name: fmt.Sprint("d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
	}
	daemons[17].LinkMegabits = 200
	everybody := func(repeater.Daemon) bool { return true }
	readers := make(map[netip.AddrPort]int)
	for i, self := range daemons {
		peers := slices.Delete(slices.Clone(daemons), i, i+1)
		sources := repeater.Sources(self, peers, everybody)
		if len(sources) == 0 {
			sources = []netip.AddrPort{self.Address}
		}
		readers[sources[0]]++
	}
	reader := daemons[17].Address // The only one with a large link.
	if len(readers) != 1 || readers[reader] == 0 {
		t.Errorf("daemons read from %v", readers)
	}
	if sources := repeater.Sources(repeater.Daemon{Name: "a"}, daemons[:repeater.MinDaemons-2], everybody); sources != nil {
		t.Errorf("a small data centre reads through %v", sources)
	}
}
