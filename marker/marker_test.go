package marker_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/marker"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const key = "example/fact"

// store has one key, and passes changes on to all markers.
type store struct {
	mu      sync.Mutex
	present bool
	// failures is the number of writes that still fail, and silent is set while changes are not passed on.
	failures int
	silent   bool
	writes   int
	markers  []*marker.Marker
}

func (s *store) Commit(_ context.Context, transaction storer.Transaction) (storer.Version, error) {
	s.mu.Lock()
	s.writes++
	switch {
	case s.failures > 0:
		s.failures--
		s.mu.Unlock()
		return 0, errors.New("store unreachable")
	case s.present || transaction.Conditions[0] != storer.Condition{Key: key}:
		s.mu.Unlock()
		return 0, &storer.ConflictError{}
	}
	s.present = true
	markers, silent := s.markers, s.silent
	s.mu.Unlock()
	for _, m := range markers {
		if !silent {
			m.HandleEvents([]storer.Event{{Kind: storer.EventPut, Item: storer.Item{Key: key, Version: 1}}}, false)
		}
	}
	return 1, nil
}

// newMarkers starts a marker for each of the daemons, which have all read a store without the key. marked counts what OnMarked told.
func newMarkers(t *testing.T, s *store, names ...string) (marked func() int) {
	count := 0
	for _, name := range names {
		m := marker.New(marker.Settings{Name: name, Store: s, Key: key, Logger: slog.New(slog.DiscardHandler), OnMarked: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			count++
		}})
		var others []string
		for _, other := range names {
			if other != name {
				others = append(others, other)
			}
		}
		m.SetPeers(others)
		m.Start(t.Context())
		m.Reset([]storer.Item{{Key: key + "-other"}}, false)
		s.markers = append(s.markers, m) // No marker writes before Declare.
	}
	return func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return count
	}
}

// state returns the number of writes and whether the store has the key.
func (s *store) state() (writes int, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.present
}

// restore makes the store come back from a copy without the key.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present, s.writes = false, 0
}

func (s *store) close() {
	for _, m := range s.markers {
		_ = m.Close()
	}
}

// A fact that many daemons find out at once is written by the first of them.
func TestOneDaemonWritesMark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		marked := newMarkers(t, s, "a", "b", "c", "d")
		defer s.close()
		time.Sleep(time.Minute)
		if writes, _ := s.state(); writes != 0 {
			t.Error("a fact that nobody declared was written")
		}
		for _, m := range s.markers {
			m.Declare()
		}
		time.Sleep(time.Minute)
		if writes, present := s.state(); writes != 1 || !present || marked() < len(s.markers) {
			t.Errorf("%d writes, %d daemons know of it", writes, marked())
		}
	})
}

// Guards against a mark that is missing since the store failed, since nobody told of a write, or since the store has come back
// from a copy without it.
func TestMarkIsWrittenUntilStoreHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{failures: 3, silent: true}
		newMarkers(t, s, "a", "b")
		defer s.close()
		s.markers[0].Declare()
		s.markers[1].Declare()
		time.Sleep(time.Minute)
		if writes, present := s.state(); !present || writes > 8 {
			t.Fatalf("after failures: %d writes, mark written: %t", writes, present)
		}
		s.restore()
		s.markers[1].Reset(nil, true)
		time.Sleep(time.Minute)
		if writes, present := s.state(); !present || writes != 1 {
			t.Errorf("after the store came back from a copy: %d writes, mark written: %t", writes, present)
		}
	})
}
