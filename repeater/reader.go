package repeater

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	// callMargin is the time for which a call of another daemon may take longer than it waits for changes.
	callMargin = 400 * time.Millisecond
	// maxSourceAge is the age of the store's confirmation beyond which a source is not relied on. It exceeds twice the
	// longest wait of a daemon that reads for others.
	maxSourceAge = 1800 * time.Millisecond
	// sourcePause is how long a source that failed is not asked.
	sourcePause = 3 * time.Second
	// maxSources bounds the sources that are tried before the store.
	maxSources = 2
)

// Peers calls other daemons.
type Peers interface {
	// Watch returns the changes that a daemon has read after a revision, see Copy.Watch.
	Watch(ctx context.Context, daemon netip.AddrPort, prefix string, after storer.Version, wait time.Duration) (storer.Events, error)
}

// ReaderSettings are the parameters of a Reader.
type ReaderSettings struct {
	Store follower.Store
	Peers Peers
	// Sources returns the daemons from which this one may read, best first. If there are none, this daemon reads the
	// store, for itself and for others.
	Sources func() []netip.AddrPort
	// Serves reports whether other daemons may read from this one.
	Serves func() bool
	// Waits limits how long a call for each prefix waits for changes, while the daemons read from each other.
	Waits  map[string]time.Duration
	Logger *slog.Logger
	Now    func() time.Time
}

// Reader reads the store through another daemon of the data centre if there is a sound one, and otherwise itself. It is
// the Store of a follower.
type Reader struct {
	settings ReaderSettings

	mu       sync.Mutex
	sources  map[netip.AddrPort]*source
	fallback bool
	// era is the latest era of the store in any answer. Answers of earlier ones tell what the store has lost.
	era storer.Era
}

// source is a daemon from which this one reads.
type source struct {
	// ctx ends when the source fails, which ends all calls to it.
	ctx         context.Context
	cancel      context.CancelFunc
	pausedUntil time.Time
}

// NewReader returns a Reader.
func NewReader(settings ReaderSettings) *Reader {
	if settings.Now == nil {
		settings.Now = time.Now
	}
	return &Reader{settings: settings, sources: make(map[netip.AddrPort]*source)}
}

// List returns the items under a prefix: all of them if they are read from another daemon, or a page.
func (r *Reader) List(ctx context.Context, prefix, after string) (page storer.Page, err error) {
	if after == "" {
		if events, found := r.fromSources(ctx, prefix, 0, 0); found {
			page = storer.Page{Revision: events.Revision, Age: events.Age}
			for _, event := range events.Events {
				page.Items = append(page.Items, event.Item)
			}
			return page, nil
		}
	}
	page, err = r.settings.Store.List(ctx, prefix, after)
	r.noteEra(page.Revision)
	return page, err
}

// noteEra records the era of an answer, and reports whether no answer of a later one is known.
func (r *Reader) noteEra(revision storer.Version) (current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = max(r.era, revision.Era())
	return revision.Era() == r.era
}

// Watch returns the changes under a prefix after a revision.
func (r *Reader) Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Events, error) {
	shared := min(wait, r.settings.Waits[prefix])
	if events, found := r.fromSources(ctx, prefix, after, shared); found {
		return events, nil
	}
	if r.settings.Serves() {
		wait = min(wait, directWait)
	}
	events, err := r.settings.Store.Watch(ctx, prefix, after, wait)
	r.noteEra(events.Revision)
	return events, err
}

// directWait is how long a daemon that reads for others lets the store wait for changes. The age of what it tells them is
// at most about twice as long.
const directWait = 600 * time.Millisecond

// fromSources asks the sources in turn, and reports whether one of them answered soundly.
func (r *Reader) fromSources(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (events storer.Events, found bool) {
	addresses := r.settings.Sources()
	for _, address := range addresses[:min(len(addresses), maxSources)] {
		s, usable := r.source(address)
		if !usable {
			continue
		}
		events, err := r.call(ctx, s, address, prefix, after, wait)
		if err == nil && events.Age <= maxSourceAge && r.noteEra(events.Revision) {
			r.logSource(address, true)
			return events, true
		}
		if ctx.Err() != nil {
			return storer.Events{}, false
		}
		r.pause(address, s, events, err)
	}
	if len(addresses) > 0 {
		r.logSource(netip.AddrPort{}, false)
	}
	return storer.Events{}, false
}

func (r *Reader) call(ctx context.Context, s *source, address netip.AddrPort, prefix string, after storer.Version, wait time.Duration) (storer.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	return r.settings.Peers.Watch(ctx, address, prefix, after, wait)
}

// source returns the state of a source, and whether it may be asked.
func (r *Reader) source(address netip.AddrPort) (s *source, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s = r.sources[address]
	if s != nil && s.ctx.Err() != nil && !r.settings.Now().Before(s.pausedUntil) {
		s = nil
	}
	if s == nil {
		s = &source{}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		r.sources[address] = s
	}
	return s, s.ctx.Err() == nil
}

// pause ends all calls to a source that failed or gave no sound answer, and keeps it from being asked for sourcePause.
func (r *Reader) pause(address netip.AddrPort, s *source, events storer.Events, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.ctx.Err() != nil {
		return // Another call has found the failure.
	}
	s.cancel()
	s.pausedUntil = r.settings.Now().Add(sourcePause)
	r.settings.Logger.Info("source of the store's items paused", "source", address, "age_ms", events.Age.Milliseconds(), "era", events.Revision.Era(), "known_era", r.era, "error", err)
}

// logSource logs a change between reading through another daemon and reading the store.
func (r *Reader) logSource(address netip.AddrPort, shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fallback != shared {
		return
	}
	r.fallback = !shared
	if shared {
		r.settings.Logger.Info("store read through another daemon again", "source", address)
		return
	}
	r.settings.Logger.Info("store read directly, since no other daemon answers soundly")
}

// Close ends the calls to other daemons.
func (r *Reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sources {
		s.cancel()
	}
	return nil
}
