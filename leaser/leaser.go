// Package leaser keeps a lease on the platform's store: for as long as the daemon runs, with an entry
// that says where the daemon is, or for as long as it is wanted.
//
// The time for which the lease holds is counted from before the call that renewed it, by a clock
// that goes on while the host is suspended, so that the daemon never takes it for longer than the
// store does.
//
// # Usage
//
//	l := leaser.New(leaser.Settings{Store: store, TTL: 3 * time.Second, Key: "hosts/a", Value: about})
//	l.Start(ctx)
//	defer l.Close()
//	if lease, held := l.Held(); held {
//		// Keys may be bound to lease.
//	}
package leaser

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// renewalsPerTTL is how often a lease is renewed within its time.
	renewalsPerTTL = 3
	// margin is the part of the time that is not relied on.
	margin = 10
	// retryPause is the mean time between failed calls.
	retryPause = 300 * time.Millisecond
	// endTimeout bounds the end of the lease at a stop.
	endTimeout = 300 * time.Millisecond
)

// Store is the part of the platform's store that a Leaser needs.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	Renew(ctx context.Context, lease storer.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease storer.LeaseID) error
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Settings are the parameters of a Leaser.
type Settings struct {
	Store Store
	TTL   time.Duration
	// Key and Value are written under the lease. Without a Key nothing is.
	Key    string
	Value  []byte
	Logger *slog.Logger
	// OnDemand says that the lease is kept only while it is wanted.
	OnDemand bool
	// Acquired is called after each new lease.
	Acquired func()
	// Interval is the time between two renewals. Default: a third of TTL.
	Interval func() time.Duration
	// Now is the clock of the lease. Default: clocker.Now.
	Now func() clocker.Instant
}

// Leaser holds one lease after the other.
type Leaser struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	// wake ends the wait of a Leaser whose lease is not wanted.
	wake chan struct{}

	mu     sync.Mutex
	wanted bool
	lease  storer.LeaseID
	until  clocker.Instant
	// renewed is when the last call was sent that the store has answered.
	renewed clocker.Instant
}

// New returns a Leaser without a lease.
func New(settings Settings) *Leaser {
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	if settings.Interval == nil {
		settings.Interval = func() time.Duration { return settings.TTL / renewalsPerTTL }
	}
	if settings.Acquired == nil {
		settings.Acquired = func() {}
	}
	return &Leaser{settings: settings, cancel: func() {}, wake: make(chan struct{}, 1), wanted: !settings.OnDemand}
}

// Start acquires and renews until Close or the end of ctx.
func (l *Leaser) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(func() { l.run(ctx) })
}

// Close ends the lease at the store, if it can be reached, and waits.
func (l *Leaser) Close() error {
	l.cancel()
	l.tasks.Wait()
	lease, held := l.Held()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	return l.settings.Store.Revoke(ctx, lease)
}

// Held returns the lease and whether it is certain to hold now.
func (l *Leaser) Held() (lease storer.LeaseID, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease != storer.NoLease && l.settings.Now().Before(l.until)
}

// Want says whether the lease is wanted from now on. A lease that is not is ended at its next renewal.
func (l *Leaser) Want(wanted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = wanted
	if wanted {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Leaser) isWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// Age is the time since the last renewal that the store has answered was sent.
func (l *Leaser) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.Now().Sub(l.renewed)
}

func (l *Leaser) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.isWanted() {
			select {
			case <-l.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := l.acquire(ctx); err != nil {
			l.settings.Logger.Warn("no lease", "error", err)
			waiter.Pause(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		l.keep(ctx)
	}
}

// acquire takes a new lease and writes the entry under it.
func (l *Leaser) acquire(ctx context.Context) error {
	sent := l.settings.Now()
	granted, err := l.settings.Store.Grant(ctx, l.settings.TTL)
	if err != nil {
		return err
	}
	if err := l.writeEntry(ctx, granted.ID); err != nil {
		return err
	}
	l.hold(granted.ID, sent, granted.TTL)
	l.settings.Logger.Info("lease acquired", "lease", granted.ID, "ttl", granted.TTL, "key", l.settings.Key)
	l.settings.Acquired()
	return nil
}

func (l *Leaser) writeEntry(ctx context.Context, lease storer.LeaseID) error {
	if l.settings.Key == "" {
		return nil
	}
	_, err := l.settings.Store.Commit(ctx, storer.Transaction{
		Puts: []storer.Put{{Key: l.settings.Key, Value: l.settings.Value, Lease: lease}},
	})
	return err
}

// release ends a lease that is not wanted any more.
func (l *Leaser) release(ctx context.Context, lease storer.LeaseID) {
	l.hold(storer.NoLease, l.settings.Now(), 0) // Before the call: the store may end it at once.
	err := l.settings.Store.Revoke(ctx, lease)
	l.settings.Logger.Info("lease given back", "lease", lease, "error", err)
}

// keep renews until the lease has ended.
func (l *Leaser) keep(ctx context.Context) {
	wait := l.settings.Interval()
	for waiter.Pause(ctx, wait) {
		sent := l.settings.Now()
		lease, _ := l.Held()
		if !l.isWanted() {
			l.release(ctx, lease)
			return
		}
		ttl, err := l.settings.Store.Renew(ctx, lease)
		var ended *storer.NotFoundError
		if errors.As(err, &ended) {
			l.settings.Logger.Warn("lease has ended", "lease", lease)
			l.hold(storer.NoLease, sent, 0)
			return
		}
		if err != nil {
			wait = retryPause/2 + rand.N(retryPause)
			continue
		}
		wait = l.settings.Interval()
		l.hold(lease, sent, ttl)
	}
}

func (l *Leaser) hold(lease storer.LeaseID, sent clocker.Instant, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.until = sent.Add(ttl - ttl/margin)
	l.renewed = sent
}
