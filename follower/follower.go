// Package follower keeps a copy of the keys below a prefix of the platform's store in step with
// it, and tells since when the copy is known to be the newest.
//
// # Usage
//
//	f := follower.New(follower.Settings{Store: store, Prefix: "targets/", Sink: sink})
//	f.Start(ctx)
//	defer f.Close()
//	age := f.ContactAge()
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// firstPause and longestPause bound the time between failed calls, which doubles.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// outageEcho is how long after an outage changes may still stem from it.
	outageEcho = 2 * time.Second
)

// Store is the part of the platform's store that a Follower needs.
type Store interface {
	List(ctx context.Context, prefix, after string) (storer.Page, error)
	Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Events, error)
}

// Sink takes what the Follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Reset replaces everything. afterOutage says that changes may have been missed meanwhile.
	Reset(items []storer.Item, afterOutage bool)
	// Change takes over changes, which may be older than what Reset gave. afterOutage is as in Reset.
	Change(events []storer.Event, afterOutage bool)
}

// Settings are the parameters of a Follower.
type Settings struct {
	Store  Store
	Prefix string
	Sink   Sink
	// Wait is how long one watch waits for changes.
	Wait time.Duration
	// Gather is the pause after a watch that brought changes, in which further ones gather for the
	// next. Default: none.
	Gather func() time.Duration
	Logger *slog.Logger
	// Now is the clock of contact. Default: clocker.Now.
	Now func() clocker.Instant
}

// Follower follows one prefix.
type Follower struct {
	settings Settings
	// contact is when the last answered call was sent, by the boot clock; zero before the first.
	contact atomic.Int64
	// outage and regained belong to the goroutine that follows.
	outage   bool
	regained clocker.Instant
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
}

// New returns a Follower that has not started.
func New(settings Settings) *Follower {
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	return &Follower{settings: settings, cancel: func() {}}
}

// Start begins to follow until Close or the end of ctx.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.tasks.Go(func() { f.follow(ctx) })
}

// Close ends the following and waits for it.
func (f *Follower) Close() error {
	f.cancel()
	f.tasks.Wait()
	return nil
}

// ContactAge is the time since the copy was last known to be the newest. It is an hour or more
// before the first contact.
func (f *Follower) ContactAge() time.Duration {
	contact := clocker.Instant(f.contact.Load())
	if contact == 0 {
		return neverAge
	}
	return f.settings.Now().Sub(contact)
}

// Listed says whether the copy was ever whole.
func (f *Follower) Listed() bool { return f.contact.Load() != 0 }

// neverAge stands for no contact at all.
const neverAge = time.Hour

func (f *Follower) follow(ctx context.Context) {
	after, failures := storer.Version(0), 0
	listed := false
	for ctx.Err() == nil {
		sent := f.settings.Now()
		var err error
		if !listed {
			after, err = f.list(ctx)
			listed = err == nil
		} else {
			after, listed, err = f.watch(ctx, after)
		}
		if err != nil {
			failures++
			f.outage = true
			f.lost(ctx, failures, err)
			waiter.Pause(ctx, pause(failures))
			continue
		}
		if failures > 0 {
			f.settings.Logger.Info("store regained", "prefix", f.settings.Prefix, "failures", failures)
			f.regained = f.settings.Now()
		}
		failures = 0
		if listed {
			f.outage = false
			f.contact.Store(int64(sent))
		}
	}
}

func (f *Follower) lost(ctx context.Context, failures int, err error) {
	if failures == 1 && ctx.Err() == nil {
		f.settings.Logger.Warn("store lost", "prefix", f.settings.Prefix, "error", err, "contact_age_ms", f.ContactAge().Milliseconds())
	}
}

// afterOutage says whether the store was away until now or until shortly before.
func (f *Follower) afterOutage() bool {
	return f.outage || f.regained != 0 && f.settings.Now().Sub(f.regained) < outageEcho
}

// pause spreads the calls of many daemons that failed together.
func pause(failures int) time.Duration {
	longest := min(firstPause<<min(failures-1, 8), longestPause)
	return longest/2 + rand.N(longest/2)
}

// list reads all pages. Pages are no snapshot, so the watch goes on from the first one.
func (f *Follower) list(ctx context.Context) (first storer.Version, err error) {
	var items []storer.Item
	last := ""
	for {
		page, err := f.settings.Store.List(ctx, f.settings.Prefix, last)
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		last = page.Items[len(page.Items)-1].Key
	}
	f.settings.Sink.Reset(items, f.afterOutage())
	return first, nil
}

// watch takes over changes. listed is false where the history is gone.
func (f *Follower) watch(ctx context.Context, after storer.Version) (next storer.Version, listed bool, err error) {
	events, err := f.settings.Store.Watch(ctx, f.settings.Prefix, after, f.settings.Wait)
	if err != nil {
		return after, true, err
	}
	if events.Compacted {
		f.settings.Logger.Info("history of the store is gone, listing again", "prefix", f.settings.Prefix, "after", after)
		return 0, false, nil
	}
	if len(events.Events) > 0 {
		f.settings.Sink.Change(events.Events, f.afterOutage())
		if f.settings.Gather != nil {
			waiter.Pause(ctx, f.settings.Gather())
		}
	}
	return max(after, events.Revision), true, nil
}
