package hostingemulator

import (
	"context"
	"net/http"
)

// watchFate is what becomes of the watches that wait at the same time.
type watchFate struct {
	// cut is closed when their connections are cut, and silent when they fall silent.
	cut, silent chan struct{}
}

func newWatchFate() *watchFate {
	return &watchFate{cut: make(chan struct{}), silent: make(chan struct{})}
}

// await returns at once, unless the watch has fallen silent. Then it never returns: its connection is cut at last, or the
// caller gives up.
func (f *watchFate) await(ctx context.Context) {
	select {
	case <-f.silent:
	default:
		return
	}
	select {
	case <-f.cut:
	case <-ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

// CutWatches cuts the connections of the watches that wait now. All other calls are answered as before.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.waiting.cut)
	s.waiting = newWatchFate()
}

// SilenceWatches makes the watches that wait now silent for good, until end is called, which cuts their connections. All other
// calls are answered as before.
func (s *Store) SilenceWatches() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.waiting
	close(silent.silent)
	s.waiting = newWatchFate()
	return func() { close(silent.cut) }
}
