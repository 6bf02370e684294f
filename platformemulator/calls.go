package platformemulator

import (
	"bytes"
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Get returns the item of a key, or a storer.NotFoundError.
func (c *Connection) Get(ctx context.Context, key string) (item storer.Item, err error) {
	defer storer.Error.WrapP(&err)
	err = c.execute(ctx, request{call: CallGet, key: key, effect: func(*store) error {
		found, ok := c.readView().items[key]
		if !ok {
			return &storer.NotFoundError{Key: key}
		}
		item = found
		item.Value = bytes.Clone(found.Value)
		return nil
	}})
	return item, err
}

// List returns the items below a prefix that come after a key, at most limit of them.
func (c *Connection) List(ctx context.Context, prefix, after string, limit int) (page storer.Page, err error) {
	defer storer.Error.WrapP(&err)
	err = c.execute(ctx, request{call: CallList, effect: func(*store) error {
		page = c.readView().page(prefix, after, limit)
		return nil
	}})
	return page, err
}

// Create writes a key that must not exist yet, or returns a storer.ConflictError.
func (c *Connection) Create(ctx context.Context, key string, value []byte, id storer.LeaseID) (storer.Version, error) {
	return c.write(ctx, CallCreate, storer.Item{Key: key, Value: value, Lease: id})
}

// Swap replaces the value of a key with the expected version (compare-and-swap), or returns a
// storer.ConflictError.
func (c *Connection) Swap(ctx context.Context, key string, value []byte, expected storer.Version, id storer.LeaseID) (storer.Version, error) {
	return c.write(ctx, CallSwap, storer.Item{Key: key, Value: value, Version: expected, Lease: id})
}

// write sets a key whose current version is item.Version, where zero means that the key does
// not exist.
func (c *Connection) write(ctx context.Context, call Call, item storer.Item) (version storer.Version, err error) {
	defer storer.Error.WrapP(&err)
	if len(item.Value) > storer.MaxValueBytes {
		return 0, &storer.ValueTooLargeError{Key: item.Key, Bytes: len(item.Value)}
	}
	written := make(chan storer.Version, 1)
	value := bytes.Clone(item.Value)
	err = c.execute(ctx, request{call: call, key: item.Key, write: true, effect: func(s *store) error {
		current := s.items[item.Key].Version
		if current != item.Version {
			return &storer.ConflictError{Key: item.Key, Expected: item.Version, Current: current}
		}
		if _, ok := s.leases[item.Lease]; item.Lease != storer.NoLease && !ok {
			return &storer.NotFoundError{Key: string(item.Lease)}
		}
		written <- s.put(item.Key, value, item.Lease)
		return nil
	}})
	if err != nil {
		return 0, err
	}
	return <-written, nil
}

// Delete deletes a key with the expected version. It returns a storer.NotFoundError or a
// storer.ConflictError otherwise.
func (c *Connection) Delete(ctx context.Context, key string, expected storer.Version) (err error) {
	defer storer.Error.WrapP(&err)
	return c.execute(ctx, request{call: CallDelete, key: key, write: true, effect: func(s *store) error {
		current, ok := s.items[key]
		if !ok {
			return &storer.NotFoundError{Key: key}
		}
		if current.Version != expected {
			return &storer.ConflictError{Key: key, Expected: expected, Current: current.Version}
		}
		s.remove(key)
		return nil
	}})
}

// Grant creates a lease.
func (c *Connection) Grant(ctx context.Context, ttl time.Duration) (granted storer.Lease, err error) {
	defer storer.Error.WrapP(&err)
	answer := make(chan storer.Lease, 1)
	err = c.execute(ctx, request{call: CallGrant, write: true, effect: func(s *store) error {
		answer <- s.grant(ttl)
		return nil
	}})
	if err != nil {
		return storer.Lease{}, err
	}
	return <-answer, nil
}

// Renew restarts the TTL of a lease, or returns a storer.NotFoundError if it has expired.
func (c *Connection) Renew(ctx context.Context, id storer.LeaseID) (renewed storer.Lease, err error) {
	defer storer.Error.WrapP(&err)
	answer := make(chan storer.Lease, 1)
	err = c.execute(ctx, request{call: CallRenew, key: string(id), write: true, effect: func(s *store) error {
		granted, ok := s.leases[id]
		if !ok {
			return &storer.NotFoundError{Key: string(id)}
		}
		granted.expires = time.Now().Add(granted.TTL)
		s.leases[id] = granted
		answer <- granted.Lease
		return nil
	}})
	if err != nil {
		return storer.Lease{}, err
	}
	return <-answer, nil
}

// Revoke ends a lease and deletes its keys.
func (c *Connection) Revoke(ctx context.Context, id storer.LeaseID) (err error) {
	defer storer.Error.WrapP(&err)
	return c.execute(ctx, request{call: CallRevoke, key: string(id), write: true, effect: func(s *store) error {
		if _, ok := s.leases[id]; !ok {
			return &storer.NotFoundError{Key: string(id)}
		}
		s.endLease(id)
		return nil
	}})
}

// Hosts returns the host list as it was Faults.HostLag ago.
func (c *Connection) Hosts(ctx context.Context) (hosts []storer.Host, err error) {
	defer storer.Error.WrapP(&err)
	err = c.execute(ctx, request{call: CallHosts, effect: func(s *store) error {
		hosts = s.laggedHosts(max(s.faults.HostLag, c.faults.HostLag))
		return nil
	}})
	return hosts, err
}

// Watch returns the events below a prefix after a version. If there is none, it waits for at
// most the given time until an event occurs.
func (c *Connection) Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (events storer.Events, err error) {
	defer storer.Error.WrapP(&err)
	err = c.execute(ctx, request{call: CallWatch, effect: func(*store) error { return nil }})
	if err != nil {
		return storer.Events{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		events, next, found, err := c.poll(prefix, after)
		if err != nil || found {
			return events, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return events, nil
		}
		if err := next.wait(ctx, left); err != nil {
			return storer.Events{}, &storer.UnavailableError{Cause: err}
		}
	}
}

// poll checks for events once. If it finds none, it returns what to wait for before the next
// check.
func (c *Connection) poll(prefix string, after storer.Version) (events storer.Events, next watchWait, found bool, err error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if cause := c.unavailableCause(); cause != nil {
		return storer.Events{}, watchWait{}, false, &storer.UnavailableError{Cause: cause}
	}
	s.expireLeases()
	events.Revision = s.revision
	if after < s.compacted || after > s.revision {
		events.Compacted = true
		return events, watchWait{}, true, nil
	}
	events.Events = s.events(prefix, after)
	next.storeChanged = s.changed
	next.untilExpiry, next.hasExpiry = s.nextExpiry()
	return events, next, len(events.Events) > 0, nil
}

// watchWait contains the conditions on which a watch polls again: a change of the store or of the
// faults, or the expiry of the next lease.
type watchWait struct {
	storeChanged chan struct{}
	untilExpiry  time.Duration
	hasExpiry    bool
}

func (w watchWait) wait(ctx context.Context, maxWait time.Duration) error {
	if w.hasExpiry {
		maxWait = min(maxWait, max(w.untilExpiry, 0))
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-w.storeChanged:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
