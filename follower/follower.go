// Package follower keeps a local copy of the keys below a prefix of the platform's store up to date, and
// reports how old the last confirmation is that the copy is current.
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
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// baseBackoff is the longest delay after a failed call. It doubles with each consecutive failure up to
	// maxBackoff.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
)

// Store is the part of the platform's store that a Follower needs.
type Store interface {
	List(ctx context.Context, prefix, after string) (storer.Page, error)
	Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Events, error)
}

// Sink receives the items and events that a Follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Reset replaces all items. afterOutage is true if the store was unreachable until shortly before, for so long that
	// leases may have expired, or has come back from a copy: keys may be missing although their owners still run.
	Reset(items []storer.Item, afterOutage bool)
	// HandleEvents applies events, which may be older than the items of the last Reset. afterOutage has the
	// same meaning as in Reset.
	HandleEvents(events []storer.Event, afterOutage bool)
}

// Settings are the parameters of a Follower.
type Settings struct {
	Store  Store
	Prefix string
	Sink   Sink
	// Wait is how long one watch call waits for events at the store.
	Wait time.Duration
	// BatchDelay returns the delay after a watch call that returned events. The events of this time are
	// returned by the next call as one batch. Default: no delay.
	BatchDelay func() time.Duration
	// OnContact is called when the store has confirmed all items up to a revision, with the time for which it did so.
	// It is called after the items were passed to Sink. Default: no call.
	OnContact func(revision storer.Version, contact clocker.Instant)
	// Contact tells an outage of the store from a single call that failed. Followers that read the same store share one.
	// Default: one of this follower's own, with DefaultMinOutage.
	Contact *Contact
	Logger  *slog.Logger
	// Now is the clock of ContactAge. Default: clocker.Now.
	Now func() clocker.Instant
}

// Follower lists and watches one prefix.
type Follower struct {
	settings Settings
	// lastContact is when the last answered call was sent, by the boot clock; zero before the first complete
	// list.
	lastContact atomic.Int64
	// listedAt is the revision of the store at the last list; zero before it. Only the goroutine of run uses it.
	listedAt storer.Version
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
	if settings.OnContact == nil {
		settings.OnContact = func(storer.Version, clocker.Instant) {}
	}
	if settings.Contact == nil {
		settings.Contact = NewContact(DefaultMinOutage)
	}
	return &Follower{settings: settings, cancel: func() {}}
}

// Start lists and watches the prefix until Close or the end of ctx.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.tasks.Go(func() { supervisor.Run(ctx, f.settings.Logger, "follow "+f.settings.Prefix, f.run) })
}

// Close stops the watch and waits for its end.
func (f *Follower) Close() error {
	f.cancel()
	f.tasks.Wait()
	return nil
}

// ContactAge returns the time since the copy was last known to be current, counted from when the last answered
// call was sent. Before the first complete list it returns an hour.
func (f *Follower) ContactAge() time.Duration {
	contact := clocker.Instant(f.lastContact.Load())
	if contact == 0 {
		return noContactAge
	}
	return f.settings.Now().Sub(contact)
}

// Listed reports whether the prefix has been listed completely at least once.
func (f *Follower) Listed() bool { return f.lastContact.Load() != 0 }

// noContactAge is the ContactAge before the first contact.
const noContactAge = time.Hour

func (f *Follower) run(ctx context.Context) {
	after, failures := storer.Version(0), 0
	listed := false
	for ctx.Err() == nil {
		sent := f.settings.Now()
		var age time.Duration
		var err error
		if !listed {
			after, age, err = f.list(ctx)
			listed = err == nil
		} else {
			after, age, listed, err = f.watch(ctx, after, f.watchTime(failures))
		}
		if err != nil {
			failures++
			f.noteFailure(ctx, failures, err)
			waiter.Sleep(ctx, backoff(failures))
			continue
		}
		if failures > 0 {
			f.settings.Logger.Info("store reachable again", "prefix", f.settings.Prefix, "failures", failures, "after_outage", f.afterOutage())
		}
		failures = 0
		if listed {
			f.confirm(after, sent.Add(-age))
		}
	}
}

// watchTime returns how long the next watch waits for events. After a failure it does not wait, so that its answer tells at once
// whether the store is reachable.
func (f *Follower) watchTime(failures int) time.Duration {
	if failures > 0 {
		return 0
	}
	return f.settings.Wait
}

// confirm records the time for which the store has confirmed all items up to a revision. That time never goes back.
func (f *Follower) confirm(revision storer.Version, contact clocker.Instant) {
	contact = max(contact, clocker.Instant(f.lastContact.Load()))
	f.lastContact.Store(int64(contact))
	f.settings.OnContact(revision, contact)
}

// noteFailure records a failed call, and logs the first of several in a row.
func (f *Follower) noteFailure(ctx context.Context, failures int, err error) {
	if ctx.Err() != nil {
		return
	}
	now := f.settings.Now()
	f.settings.Contact.fail(now)
	var otherEra *storer.EraError
	if errors.As(err, &otherEra) {
		f.settings.Contact.restore(now)
	}
	if failures == 1 {
		f.settings.Logger.Warn("store unreachable", "prefix", f.settings.Prefix, "error", err, "contact_age_ms", f.ContactAge().Milliseconds(),
			"answer_age_ms", f.settings.Contact.answerAge(now).Milliseconds())
	}
}

// noteRestore records that the store has come back from a copy. That counts as an outage, since keys may be missing although
// their owners still run.
func (f *Follower) noteRestore(at storer.Version) {
	f.settings.Contact.restore(f.settings.Now())
	f.settings.Logger.Warn("store has come back from a copy", "prefix", f.settings.Prefix, "revision", at.Revision(), "era", at.Era(),
		"listed_revision", f.listedAt.Revision(), "listed_era", f.listedAt.Era())
}

// noteAnswer records an answer of the store, which another daemon may have got some time ago.
func (f *Follower) noteAnswer(age time.Duration) {
	f.settings.Contact.answer(f.settings.Now().Add(-age))
}

func (f *Follower) afterOutage() bool { return f.settings.Contact.afterOutage(f.settings.Now()) }

// backoff returns the delay after consecutive failures. Its random part spreads the calls of daemons whose calls failed
// at the same time.
func backoff(failures int) time.Duration {
	longest := min(baseBackoff<<min(failures-1, 8), maxBackoff)
	return longest/2 + rand.N(longest/2)
}

// list reads all pages and passes their items to Sink.Reset. It returns the revision of the first page and the greatest age
// of a page. The watch starts from that revision, since the pages do not form one snapshot. It fails with a storer.EraError if
// the pages are from several eras of the store, or from an earlier one than the last list.
func (f *Follower) list(ctx context.Context) (first storer.Version, age time.Duration, err error) {
	var items []storer.Item
	last := ""
	for {
		page, err := f.settings.Store.List(ctx, f.settings.Prefix, last)
		if err != nil {
			return 0, 0, err
		}
		f.noteAnswer(page.Age)
		if first == 0 {
			first = page.Revision
		}
		if err := f.checkPage(first, page); err != nil {
			return 0, 0, err
		}
		age = max(age, page.Age)
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		last = page.Items[len(page.Items)-1].Key
	}
	if f.listedAt != 0 && first.Era() != f.listedAt.Era() {
		f.noteRestore(first)
	}
	f.listedAt = first
	f.settings.Logger.Info("prefix listed", "prefix", f.settings.Prefix, "revision", first.Revision(), "era", first.Era(), "items", len(items))
	f.settings.Sink.Reset(items, f.afterOutage())
	return first, age, nil
}

// checkPage returns a storer.EraError if a page is from another era than the first one, or from an earlier one than the last
// list.
func (f *Follower) checkPage(first storer.Version, page storer.Page) error {
	expected, current := max(first.Era(), f.listedAt.Era()), page.Revision.Era()
	if current != first.Era() || current < expected {
		return &storer.EraError{Expected: expected, Current: current}
	}
	return nil
}

// watch reads the events after a revision, for which it waits up to the given time. It returns the revision from which the next watch continues, and the age of the
// events. listed is false if the store has compacted these events or has come back from a copy, so that the prefix has to be
// listed again. The events of another era are discarded: which ones came before them is not known.
func (f *Follower) watch(ctx context.Context, after storer.Version, wait time.Duration) (next storer.Version, age time.Duration, listed bool, err error) {
	events, err := f.settings.Store.Watch(ctx, f.settings.Prefix, after, wait)
	if err != nil {
		return after, 0, true, err
	}
	f.noteAnswer(events.Age)
	if events.Compacted {
		f.settings.Logger.Info("store has compacted the history; listing the prefix again", "prefix", f.settings.Prefix, "after", after.Revision(), "era", after.Era())
		return 0, 0, false, nil
	}
	current := events.Revision.Era()
	if current < after.Era() {
		return after, 0, true, &storer.EraError{Expected: after.Era(), Current: current}
	}
	if current > after.Era() {
		f.settings.Logger.Info("events of a later era discarded; listing the prefix again", "prefix", f.settings.Prefix, "after", after.Revision(), "era", after.Era(), "current_era", current)
		return 0, 0, false, nil
	}
	if len(events.Events) > 0 {
		f.settings.Sink.HandleEvents(events.Events, events.AfterOutage || f.afterOutage())
		if f.settings.BatchDelay != nil {
			waiter.Sleep(ctx, f.settings.BatchDelay())
		}
	}
	return max(after, events.Revision), events.Age, true, nil
}
