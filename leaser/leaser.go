// Package leaser acquires and renews a lease on the platform's store, either for as long as the daemon runs
// or only while the daemon needs it. A key can be bound to the lease, such as the entry with the
// daemon's address.
//
// The validity of the lease is counted from the time at which the grant or renewal was sent, by a clock that
// advances while the host is suspended. The daemon therefore never considers the lease valid for longer than
// the store does.
//
// # Usage
//
//	l := leaser.New(leaser.Settings{Store: store, TTL: 3 * time.Second, Key: "hosts/a", Value: value})
//	l.Start(ctx)
//	defer l.Close()
//	if lease, held := l.Held(); held {
//		// Bind keys to the lease.
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
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// renewalsPerTTL is the default number of renewals of a lease within its TTL.
	renewalsPerTTL = 3
	// ttlMarginDivisor sets the safety margin: the last tenth of the TTL counts as expired.
	ttlMarginDivisor = 10
	// meanRetryDelay is the mean delay before a failed call is retried.
	meanRetryDelay = 300 * time.Millisecond
	// revokeTimeout bounds the revocation of the lease in Close.
	revokeTimeout = 300 * time.Millisecond
)

// Store is the part of the platform's store that a Leaser needs.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	// Renew returns the new TTL, or a storer.NotFoundError if the lease has expired.
	Renew(ctx context.Context, lease storer.LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease storer.LeaseID) error
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Settings are the parameters of a Leaser.
type Settings struct {
	Store Store
	TTL   time.Duration
	// Key and Value are written after each grant, bound to the new lease. Without a Key nothing is written.
	Key    string
	Value  []byte
	Logger *slog.Logger
	// OnDemand is set if the lease is acquired and renewed only while SetWanted has set it as wanted. Otherwise
	// the lease is wanted from the start.
	OnDemand bool
	// OnAcquired is called after each acquisition of a new lease.
	OnAcquired func()
	// RenewalInterval returns the time until the next renewal. Default: a third of TTL.
	RenewalInterval func() time.Duration
	// Now is the clock of the lease. Default: clocker.Now.
	Now func() clocker.Instant
}

// Leaser acquires and renews a lease, and acquires a new one when the lease has expired.
type Leaser struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	// wake is signalled when the lease becomes wanted, and renew when it is to be renewed at once.
	wake, renew chan struct{}

	mu     sync.Mutex
	wanted bool
	lease  storer.LeaseID
	// validUntil is when this daemon starts to consider the lease expired, a safety margin before its end.
	validUntil clocker.Instant
	// renewedAt is when the last successful grant or renewal was sent.
	renewedAt clocker.Instant
}

// New returns a Leaser without a lease.
func New(settings Settings) *Leaser {
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	if settings.RenewalInterval == nil {
		settings.RenewalInterval = func() time.Duration { return settings.TTL / renewalsPerTTL }
	}
	if settings.OnAcquired == nil {
		settings.OnAcquired = func() {}
	}
	return &Leaser{settings: settings, cancel: func() {}, wake: make(chan struct{}, 1), renew: make(chan struct{}, 1), wanted: !settings.OnDemand}
}

// Start acquires and renews the lease until Close or the end of ctx.
func (l *Leaser) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.tasks.Go(func() { supervisor.Run(ctx, l.settings.Logger, "renew", l.run) })
}

// Close stops the renewals, waits for the pending calls to the store and revokes the lease if it is still held. If the
// store cannot be reached, the lease expires by itself.
func (l *Leaser) Close() error {
	l.cancel()
	l.tasks.Wait()
	lease, held := l.Held()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	return l.revoke(ctx, lease)
}

// revoke ends a lease. A renewal shows before whether the lease still exists: after a restore of the store, its id may be that of
// another daemon's lease, which the call would end.
func (l *Leaser) revoke(ctx context.Context, lease storer.LeaseID) error {
	_, err := l.settings.Store.Renew(ctx, lease)
	var ended *storer.NotFoundError
	if errors.As(err, &ended) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.settings.Store.Revoke(ctx, lease)
}

// Held returns the lease and whether it is certain to be valid now.
func (l *Leaser) Held() (lease storer.LeaseID, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease, l.lease != storer.NoLease && l.settings.Now().Before(l.validUntil)
}

// SetWanted sets whether the lease is wanted. A lease that is no longer wanted is revoked when its next renewal
// is due.
func (l *Leaser) SetWanted(wanted bool) {
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

// RenewNow renews the lease without waiting for the next interval, for example because the store may have lost it. A lease that
// the store does not have any more is replaced by a new one.
func (l *Leaser) RenewNow() {
	select {
	case l.renew <- struct{}{}:
	default:
	}
}

// waitForRenewal waits for the given time or for RenewNow, and reports whether ctx is still active.
func (l *Leaser) waitForRenewal(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.renew:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (l *Leaser) isWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// RenewalAge returns the time since the last successful grant or renewal was sent. It has no meaning unless Held reports
// a lease.
func (l *Leaser) RenewalAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings.Now().Sub(l.renewedAt)
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
			l.settings.Logger.Warn("failed to acquire a lease", "error", err)
			waiter.Sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
			continue
		}
		l.keepAlive(ctx)
	}
}

// acquire asks the store for a new lease and writes the key, bound to it.
func (l *Leaser) acquire(ctx context.Context) error {
	sentAt := l.settings.Now()
	granted, err := l.settings.Store.Grant(ctx, l.settings.TTL)
	if err != nil {
		return err
	}
	if err := l.writeEntry(ctx, granted.ID); err != nil {
		return err
	}
	l.setLease(granted.ID, sentAt, granted.TTL)
	l.settings.Logger.Info("lease acquired", "lease", granted.ID, "ttl", granted.TTL, "key", l.settings.Key)
	l.settings.OnAcquired()
	return nil
}

// writeEntry writes Key and Value, bound to the lease.
func (l *Leaser) writeEntry(ctx context.Context, lease storer.LeaseID) error {
	if l.settings.Key == "" {
		return nil
	}
	_, err := l.settings.Store.Commit(ctx, storer.Transaction{
		Puts: []storer.Put{{Key: l.settings.Key, Value: l.settings.Value, Lease: lease}},
	})
	return err
}

// release revokes a lease that is no longer wanted.
func (l *Leaser) release(ctx context.Context, lease storer.LeaseID) {
	// Held must not report the lease during the call, since the store may end the lease at any time from then on.
	l.setLease(storer.NoLease, l.settings.Now(), 0)
	err := l.revoke(ctx, lease)
	l.settings.Logger.Info("lease revocation requested", "lease", lease, "error", err)
}

// keepAlive renews the lease until it has expired at the store, is no longer wanted or ctx ends. It retries failed
// renewals.
func (l *Leaser) keepAlive(ctx context.Context) {
	wait := l.settings.RenewalInterval()
	for l.waitForRenewal(ctx, wait) {
		sentAt := l.settings.Now()
		lease, _ := l.Held()
		if !l.isWanted() {
			l.release(ctx, lease)
			return
		}
		ttl, err := l.settings.Store.Renew(ctx, lease)
		var expired *storer.NotFoundError
		if errors.As(err, &expired) {
			l.settings.Logger.Warn("lease expired", "lease", lease, "error", err)
			l.setLease(storer.NoLease, sentAt, 0)
			return
		}
		if err != nil {
			wait = meanRetryDelay/2 + rand.N(meanRetryDelay)
			continue
		}
		wait = l.settings.RenewalInterval()
		l.setLease(lease, sentAt, ttl)
	}
}

// setLease sets the lease and its validity: ttl, less a safety margin, from when its grant or renewal was sent.
func (l *Leaser) setLease(lease storer.LeaseID, sentAt clocker.Instant, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.validUntil = sentAt.Add(ttl - ttl/ttlMarginDivisor)
	l.renewedAt = sentAt
}
