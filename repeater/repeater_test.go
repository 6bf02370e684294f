package repeater_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/repeater"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

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
