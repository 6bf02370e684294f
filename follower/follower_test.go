package follower_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// store is a fake store; the tests set its state and send the events of its watches.
type store struct {
	mu        sync.Mutex
	items     []storer.Item
	revision  storer.Version
	down      bool
	compacted bool
	lists     int
	watches   int
	changes   chan storer.Events
}

var errDown = errors.New("down")

const pageItems = 2

func (s *store) List(_ context.Context, _, after string) (page storer.Page, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return storer.Page{}, errDown
	}
	page.Revision = s.revision
	for _, item := range s.items {
		if item.Key <= after {
			continue
		}
		if len(page.Items) == pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (s *store) Watch(ctx context.Context, _ string, _ storer.Version, wait time.Duration) (storer.Events, error) {
	s.mu.Lock()
	s.watches++
	down, compacted := s.down, s.compacted
	s.compacted = false
	s.mu.Unlock()
	switch {
	case down:
		return storer.Events{}, errDown
	case compacted:
		return storer.Events{Compacted: true}, nil
	}
	select {
	case events := <-s.changes:
		return events, nil
	case <-time.After(wait):
		return storer.Events{Revision: s.revision}, nil
	case <-ctx.Done():
		return storer.Events{}, ctx.Err()
	}
}

func (s *store) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// watchCalls returns the number of watch calls.
func (s *store) watchCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// sink records its calls as text.
type sink struct {
	mu     sync.Mutex
	resets []string
	events []string
}

func (s *sink) Reset(items []storer.Item, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets = append(s.resets, fmt.Sprintf("%d items, outage %v", len(items), afterOutage))
}

func (s *sink) HandleEvents(events []storer.Event, afterOutage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range events {
		s.events = append(s.events, fmt.Sprintf("%s, outage %v", event.Item.Key, afterOutage))
	}
}

// last returns the texts of the last call of Reset and of the last event.
func (s *sink) last() (reset, event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.resets) > 0 {
		reset = s.resets[len(s.resets)-1]
	}
	if len(s.events) > 0 {
		event = s.events[len(s.events)-1]
	}
	return reset, event
}

// withFollower runs a test with a follower of a fake store in virtual time.
func withFollower(t *testing.T, run func(f *follower.Follower, s *store, seen *sink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &store{revision: 10, changes: make(chan storer.Events, 10), items: []storer.Item{{Key: "a"}, {Key: "b"}, {Key: "c"}}}
		seen := &sink{}
		started := time.Now()
		f := follower.New(follower.Settings{
			Store: s, Prefix: "p/", Sink: seen, Wait: time.Second,
			Now: func() clocker.Instant { return clocker.Instant(time.Since(started) + time.Minute) },
		})
		f.Start(t.Context())
		defer func() { _ = f.Close() }()
		time.Sleep(100 * time.Millisecond)
		run(f, s, seen)
	})
}

func putEvents(key string) storer.Events {
	return storer.Events{Revision: 11, Events: []storer.Event{{Kind: storer.EventPut, Item: storer.Item{Key: key, Version: 11}}}}
}

func TestAllPagesAreRead(t *testing.T) {
	withFollower(t, func(_ *follower.Follower, s *store, seen *sink) {
		lists := 0
		s.withLock(func() { lists = s.lists })
		if reset, _ := seen.last(); reset != "3 items, outage false" || lists != 2 {
			t.Errorf("%q after %d pages", reset, lists)
		}
	})
}

func TestContactAgeCountsFromSendTime(t *testing.T) {
	withFollower(t, func(f *follower.Follower, s *store, _ *sink) {
		time.Sleep(3 * time.Second)
		if age := f.ContactAge(); age > 2*time.Second || age < time.Second {
			t.Errorf("contact is %s old while each watch waits a second", age)
		}
		s.withLock(func() { s.down = true })
		before := f.ContactAge()
		time.Sleep(10 * time.Second)
		if age := f.ContactAge(); age < before+9*time.Second {
			t.Errorf("contact is %s old after an outage of 10 s", age)
		}
	})
}

func TestCompactedHistoryIsListedAgain(t *testing.T) {
	withFollower(t, func(_ *follower.Follower, s *store, seen *sink) {
		s.withLock(func() { s.compacted = true; s.items = s.items[:1] })
		time.Sleep(2 * time.Second)
		if reset, _ := seen.last(); reset != "1 items, outage false" {
			t.Errorf("after the history was compacted: %q", reset)
		}
	})
}

func TestChangesAfterAnOutageAreMarked(t *testing.T) {
	withFollower(t, func(_ *follower.Follower, s *store, seen *sink) {
		s.changes <- putEvents("x")
		time.Sleep(100 * time.Millisecond)
		if _, last := seen.last(); last != "x, outage false" {
			t.Errorf("a change without an outage: %q", last)
		}
		s.withLock(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.withLock(func() { s.down = false })
		time.Sleep(time.Second)
		s.changes <- putEvents("y")
		time.Sleep(100 * time.Millisecond)
		if _, last := seen.last(); last != "y, outage true" {
			t.Errorf("a change right after an outage: %q", last)
		}
		time.Sleep(5 * time.Second)
		s.changes <- putEvents("z")
		time.Sleep(100 * time.Millisecond)
		if _, last := seen.last(); last != "z, outage false" {
			t.Errorf("a change long after an outage: %q", last)
		}
	})
}

// A follower backs off from a store that is down.
func TestCallsDuringOutageAreBounded(t *testing.T) {
	withFollower(t, func(_ *follower.Follower, s *store, _ *sink) {
		s.withLock(func() { s.down = true })
		before := s.watchCalls()
		time.Sleep(10 * time.Second)
		if calls := s.watchCalls() - before; calls > 30 {
			t.Errorf("%d calls in 10 s of an outage", calls)
		}
	})
}

// panickingSink panics at the first events that it gets.
type panickingSink struct {
	mu       sync.Mutex
	panicked bool
	resets   int
}

func (s *panickingSink) Reset([]storer.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
}

func (s *panickingSink) HandleEvents([]storer.Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.panicked {
		s.panicked = true
		panic("unexpected item")
	}
}

// An unexpected error while events are applied must not end the follower, whose copy would silently become old. It lists
// the prefix again.
func TestFollowerGoesOnAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &store{revision: 1, changes: make(chan storer.Events, 1)}
		sink := &panickingSink{}
		f := follower.New(follower.Settings{
			Store: fake, Prefix: "a/", Sink: sink, Wait: time.Second,
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		f.Start(t.Context())
		time.Sleep(100 * time.Millisecond)
		fake.changes <- storer.Events{Revision: 2, Events: []storer.Event{{Kind: storer.EventPut, Item: storer.Item{Key: "a/1", Version: 2}}}}
		time.Sleep(5 * time.Second)
		if age := f.ContactAge(); age > 2*time.Second || sink.resets != 2 {
			t.Errorf("after a panic the copy was listed %d times and its contact is %s old", sink.resets, age)
		}
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
}
