package leaser_test

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/leaser"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const ttl = 3 * time.Second

// store is a fake store whose leases expire by the clock. If down is set, calls fail without effect. delay is the time
// after which each call returns.
type store struct {
	mu      sync.Mutex
	down    bool
	delay   time.Duration
	granted int
	expiry  map[storer.LeaseID]time.Time
	revoked int
	puts    int
}

var errDown = errors.New("down")

// call simulates a call: change takes effect at once if the store is up, and the answer follows after delay.
func (s *store) call(change func()) error {
	s.mu.Lock()
	down := s.down
	if !down {
		change()
	}
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if down {
		return errDown
	}
	return nil
}

func (s *store) Grant(context.Context, time.Duration) (lease storer.Lease, err error) {
	err = s.call(func() {
		s.granted++
		lease = storer.Lease{ID: storer.LeaseID(strconv.Itoa(s.granted)), TTL: ttl}
		s.expiry[lease.ID] = time.Now().Add(ttl)
	})
	return lease, err
}

func (s *store) Renew(_ context.Context, lease storer.LeaseID) (time.Duration, error) {
	expired := false
	err := s.call(func() {
		if expired = time.Now().After(s.expiry[lease]); !expired {
			s.expiry[lease] = time.Now().Add(ttl)
		}
	})
	if expired {
		err = &storer.NotFoundError{Key: string(lease)}
	}
	return ttl, err
}

func (s *store) Revoke(context.Context, storer.LeaseID) error {
	return s.call(func() { s.revoked++ })
}

func (s *store) Commit(context.Context, storer.Transaction) (storer.Version, error) {
	return 1, s.call(func() { s.puts++ })
}

func (s *store) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// counts are the numbers of calls that took effect, by kind.
type counts struct{ granted, revoked, puts int }

func (s *store) count() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counts{granted: s.granted, revoked: s.revoked, puts: s.puts}
}

// leaseValid reports whether the lease is valid at the store.
func (s *store) leaseValid(lease storer.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.expiry[lease])
}

// withLeaser runs a test with a leaser of a fake store in virtual time.
func withLeaser(t *testing.T, run func(l *leaser.Leaser, s *store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &store{expiry: make(map[storer.LeaseID]time.Time)}
		l := leaser.New(leaser.Settings{
			Store: s, TTL: ttl, Key: "k", Logger: slog.New(slog.DiscardHandler),
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		l.Start(t.Context())
		defer func() { _ = l.Close() }()
		time.Sleep(100 * time.Millisecond)
		run(l, s)
	})
}

func TestLeaseIsRenewed(t *testing.T) {
	withLeaser(t, func(l *leaser.Leaser, s *store) {
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if lease, held := l.Held(); !held || !s.leaseValid(lease) {
				t.Fatalf("lease %s is held: %v, valid at the store: %v", lease, held, s.leaseValid(lease))
			}
		}
		if s.granted != 1 || s.puts != 1 {
			t.Errorf("%d leases and %d entries", s.granted, s.puts)
		}
	})
}

// Held never reports a lease that has expired at the store, even if answers are slow or missing.
func TestExpiredLeaseIsNotHeld(t *testing.T) {
	withLeaser(t, func(l *leaser.Leaser, s *store) {
		s.withLock(func() { s.delay = 700 * time.Millisecond })
		time.Sleep(5 * time.Second)
		s.withLock(func() { s.down = true })
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if lease, held := l.Held(); held && !s.leaseValid(lease) {
				t.Fatal("the daemon holds a lease that has expired at the store")
			}
		}
		if _, held := l.Held(); held {
			t.Error("a lease is held after an outage of 10 s")
		}
		s.withLock(func() { s.down, s.delay = false, 0 })
		time.Sleep(2 * time.Second)
		if lease, held := l.Held(); !held || !s.leaseValid(lease) || s.granted != 2 || s.puts != 2 {
			t.Errorf("after the outage held is %v, %d granted, %d entries", held, s.granted, s.puts)
		}
	})
}

func TestCloseRevokesLease(t *testing.T) {
	withLeaser(t, func(l *leaser.Leaser, s *store) {
		if err := l.Close(); err != nil || s.revoked != 1 {
			t.Errorf("%v, %d revoked", err, s.revoked)
		}
	})
}

// A lease on demand causes no store calls until it is wanted, is acquired at once then, and is revoked when it is
// no longer wanted.
func TestLeaseOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{expiry: make(map[storer.LeaseID]time.Time)}
		var acquired atomic.Int32
		l := leaser.New(leaser.Settings{
			Store: s, TTL: ttl, Logger: slog.New(slog.DiscardHandler), OnDemand: true, OnAcquired: func() { acquired.Add(1) },
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		l.Start(t.Context())
		defer func() { _ = l.Close() }()
		time.Sleep(time.Minute)
		if _, held := l.Held(); held || s.count().granted > 0 {
			t.Errorf("not wanted: held %v, %d granted", held, s.count().granted)
		}
		l.SetWanted(true)
		time.Sleep(time.Millisecond)
		if _, held := l.Held(); !held || acquired.Load() != 1 || s.count().puts > 0 {
			t.Errorf("wanted: held %v, acquired %d, %d entries", held, acquired.Load(), s.count().puts)
		}
		time.Sleep(time.Minute)
		l.SetWanted(false)
		time.Sleep(ttl)
		counted := s.count()
		if _, held := l.Held(); held || counted.revoked != 1 || counted.granted != 1 {
			t.Errorf("no longer wanted: held %v, %d revoked, %d granted", held, counted.revoked, counted.granted)
		}
		l.SetWanted(true)
		time.Sleep(time.Millisecond)
		if _, held := l.Held(); !held {
			t.Error("wanted again, but not held")
		}
	})
}

// A lease may end at the store at any time after its revocation was sent, so Held must not report it from then on.
func TestReleasedLeaseIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{expiry: make(map[storer.LeaseID]time.Time)}
		l := leaser.New(leaser.Settings{
			Store: s, TTL: ttl, Logger: slog.New(slog.DiscardHandler), OnDemand: true,
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		l.Start(t.Context())
		defer func() { _ = l.Close() }()
		l.SetWanted(true)
		time.Sleep(time.Millisecond)
		s.withLock(func() { s.delay = time.Second })
		l.SetWanted(false)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if _, held := l.Held(); held && s.count().revoked > 0 {
				t.Fatal("a lease is held whose revocation has reached the store")
			}
		}
		if s.count().revoked != 1 {
			t.Errorf("the lease was revoked %d times", s.count().revoked)
		}
	})
}

// Guards against a daemon that others do not know for seconds (CONFIG): the store has lost the lease with the daemon's entry,
// and the daemon hears of it between two renewals.
func TestRenewNowReplacesLostLease(t *testing.T) {
	withLeaser(t, func(l *leaser.Leaser, s *store) {
		s.withLock(func() { clear(s.expiry) })
		l.RenewNow()
		time.Sleep(10 * time.Millisecond)
		if lease, held := l.Held(); !held || !s.leaseValid(lease) || s.count().puts != 2 {
			t.Errorf("lease %s is held: %v, %d entries were written", lease, held, s.count().puts)
		}
	})
}
