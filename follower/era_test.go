package follower_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// script is a store with prepared answers. The last ones are given again and again.
type script struct {
	mu      sync.Mutex
	pages   []storer.Page
	watches []storer.Events
}

func (s *script) List(context.Context, string, string) (page storer.Page, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page = s.pages[0]
	s.pages = s.pages[min(1, len(s.pages)-1):]
	return page, nil
}

func (s *script) Watch(ctx context.Context, _ string, _ storer.Version, wait time.Duration) (events storer.Events, err error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return storer.Events{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events = s.watches[0]
	s.watches = s.watches[min(1, len(s.watches)-1):]
	return events, nil
}

// at returns a version.
func at(t *testing.T, era storer.Era, revision uint64) storer.Version {
	t.Helper()
	version, err := storer.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// follow lets a follower read the script for some seconds, and returns what its sink got.
func follow(t *testing.T, s *script) (seen *sink) {
	t.Helper()
	seen = &sink{}
	synctest.Test(t, func(t *testing.T) {
		f := follower.New(follower.Settings{
			Store: s, Prefix: "p/", Sink: seen, Wait: time.Second,
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		f.Start(t.Context())
		time.Sleep(5500 * time.Millisecond)
		_ = f.Close()
	})
	return seen
}

// Guards against a list that mixes two states of the store (CONFIG): it comes back from a copy between two pages.
func TestListAcrossRestoreStartsAgain(t *testing.T) {
	seen := follow(t, &script{
		pages: []storer.Page{
			{Items: []storer.Item{{Key: "a"}, {Key: "b"}}, More: true, Revision: at(t, 1, 20)},
			{Items: []storer.Item{{Key: "c"}}, Revision: at(t, 2, 15)},
			{Items: []storer.Item{{Key: "d"}}, Revision: at(t, 2, 16)},
		},
		watches: []storer.Events{{Revision: at(t, 2, 16)}},
	})
	if !slices.Equal(seen.resets, []string{"1 items, outage true"}) {
		t.Errorf("the sink was reset with %v", seen.resets)
	}
}

// Guards against events that are applied to the state before a restore (CONFIG): which ones came before them is not known.
func TestEventsOfLaterEraAreDiscarded(t *testing.T) {
	lost := storer.Event{Kind: storer.EventPut, Item: storer.Item{Key: "x"}}
	seen := follow(t, &script{
		pages:   []storer.Page{{Items: []storer.Item{{Key: "a"}, {Key: "b"}}, Revision: at(t, 1, 20)}, {Items: []storer.Item{{Key: "a"}}, Revision: at(t, 2, 25)}},
		watches: []storer.Events{{Events: []storer.Event{lost}, Revision: at(t, 2, 23)}, {Revision: at(t, 2, 25)}},
	})
	if !slices.Equal(seen.resets, []string{"2 items, outage false", "1 items, outage true"}) || len(seen.events) > 0 {
		t.Errorf("the sink was reset with %v, and got the events %v", seen.resets, seen.events)
	}
}

// Guards against a source of items that has not noticed a restore yet (CONFIG).
func TestAnswersOfEarlierEraAreRefused(t *testing.T) {
	stale := storer.Event{Kind: storer.EventPut, Item: storer.Item{Key: "x"}}
	seen := follow(t, &script{
		pages: []storer.Page{
			{Items: []storer.Item{{Key: "a"}}, Revision: at(t, 2, 25)},
			{Items: []storer.Item{{Key: "b"}}, Revision: at(t, 1, 90)},
			{Items: []storer.Item{{Key: "c"}}, Revision: at(t, 2, 30)},
		},
		watches: []storer.Events{{Events: []storer.Event{stale}, Revision: at(t, 1, 90)}, {Compacted: true}, {Revision: at(t, 2, 30)}},
	})
	if !slices.Equal(seen.resets, []string{"1 items, outage false", "1 items, outage true"}) || len(seen.events) > 0 {
		t.Errorf("the sink was reset with %v, and got the events %v", seen.resets, seen.events)
	}
}
