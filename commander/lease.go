package commander

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// leaderKey returns the platform key that names the leader of a data centre.
func leaderKey(dataCentre string) string { return "duties/" + dataCentre + "/commander" }

// maxGrantsPerRound bounds the leases that are requested before a pause of PlanInterval.
const maxGrantsPerRound = 8

// maxLostTokens bounds how far an engine's highest fencing token may lie above the one of an order for
// the engine to be believed.
const maxLostTokens = 10_000

// lease is this daemon's leader lease. All times are of the monotonic clock. The expiry counts from
// before the request to the platform, so that the lease never expires later here than on the
// platform.
type lease struct {
	mu           sync.Mutex
	id           storer.LeaseID
	fencingToken uint64
	// keyValue is the value of the leader key under this lease. It identifies the lease, since a
	// platform that was restored gives IDs of leases out again.
	keyValue []byte
	// highestToken is the highest fencing token that this daemon knows to be in use in its data centre.
	highestToken uint64
	// expiry is when the lease expires unless it is renewed.
	expiry time.Time
	// ordersFrom is the time from which orders may be sent: LeaseTTL plus LoadTimeout after the leader
	// key on the platform was bound to this lease. An earlier leader can send orders until its lease
	// expires, and a load counts as running for LoadTimeout. The time is zero until the key is bound.
	ordersFrom time.Time
}

// authorize reports whether an order with the timeout may be sent now, and with which fencing token.
func (l *lease) authorize(timeout time.Duration) (fencingToken uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.ordersFrom.IsZero() || now.Before(l.ordersFrom) {
		return 0, false
	}
	return l.fencingToken, now.Add(timeout).Before(l.expiry)
}

// refresh drops the lease if it has expired. It returns the ID of the lease, and whether the leader
// key is bound to it.
func (l *lease) refresh() (id storer.LeaseID, keyBound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(l.expiry) {
		l.id = storer.NoLease
		l.ordersFrom = time.Time{}
	}
	return l.id, !l.ordersFrom.IsZero()
}

// learnToken records a fencing token that a leader of the data centre uses.
func (l *lease) learnToken(fencingToken uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestToken = max(l.highestToken, fencingToken)
}

// isUsed reports whether a fencing token is not higher than all that this daemon knows.
func (l *lease) isUsed(fencingToken uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fencingToken <= l.highestToken
}

// setGranted records a lease that the platform has granted, and the value with which the leader key
// is to be bound to it.
func (l *lease) setGranted(granted storer.Lease, requestedAt time.Time, keyValue []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = granted.ID
	l.fencingToken = granted.FencingToken
	l.highestToken = max(l.highestToken, granted.FencingToken)
	l.keyValue = keyValue
	l.expiry = requestedAt.Add(granted.TTL)
	l.ordersFrom = time.Time{}
}

// ownsKey reports whether the leader key with the value is bound to this lease.
func (l *lease) ownsKey(item storer.Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return item.Lease == l.id && bytes.Equal(item.Value, l.keyValue)
}

// setKeyBound records that the leader key is bound to the lease.
func (l *lease) setKeyBound(ordersFrom time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordersFrom = ordersFrom
}

func (l *lease) extend(expiry time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiry = expiry
}

func (l *lease) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = storer.NoLease
	l.ordersFrom = time.Time{}
	l.expiry = time.Time{}
}

// leaseLoop acquires the lease, renews it, and revokes it when the Commander is closed.
func (c *Commander) leaseLoop() {
	for c.ctx.Err() == nil {
		c.sleep(c.advanceLease())
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.settings.StoreTimeout)
	defer cancel()
	c.releaseLease(ctx)
}

// advanceLease requests the lease, binds the leader key to it or renews it, and returns the pause
// before the next call.
func (c *Commander) advanceLease() time.Duration {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.StoreTimeout)
	defer cancel()
	id, keyBound := c.lease.refresh()
	switch {
	case keyBound:
		return c.renewLease(ctx, id)
	case id != storer.NoLease:
		return c.bindLeaderKey(ctx, id)
	}
	return c.requestLease(ctx)
}

// requestLease requests a lease if the data centre has no leader. It reads the leader key first,
// since reads are cheaper for the platform than leases, and learns from it the fencing token in use.
// bindLeaderKey then binds the leader key to the lease.
func (c *Commander) requestLease(ctx context.Context) time.Duration {
	item, err := c.settings.Store.Get(ctx, leaderKey(c.settings.DataCentre))
	if err == nil {
		c.lease.learnToken(decodeFencingToken(item.Value))
	}
	var missing *storer.NotFoundError
	if !errors.As(err, &missing) {
		return c.settings.PollInterval
	}
	return c.acquireLease(ctx)
}

// acquireLease requests leases until one has a fencing token that is higher than all that are known
// to be in use: a platform that was restored counts from its copy. Those that are passed over expire
// without a key.
func (c *Commander) acquireLease(ctx context.Context) time.Duration {
	for range maxGrantsPerRound {
		requestedAt := time.Now()
		granted, err := c.settings.Store.Grant(ctx, c.settings.LeaseTTL)
		if err != nil {
			return c.settings.PollInterval
		}
		if c.lease.isUsed(granted.FencingToken) {
			c.logger.Warn("commander: the platform granted a fencing token that was used before", "data_centre", c.settings.DataCentre, "fencing", granted.FencingToken)
			continue
		}
		c.lease.setGranted(granted, requestedAt, encodeHolder(c.settings.Daemon, granted.FencingToken))
		c.logger.Info("commander: lease granted", "data_centre", c.settings.DataCentre, "lease", string(granted.ID), "fencing", granted.FencingToken)
		return 0
	}
	return c.settings.PlanInterval
}

// bindLeaderKey creates the leader key, bound to the lease. If the response is lost, the next
// attempt conflicts and finds the key with the value of this lease.
func (c *Commander) bindLeaderKey(ctx context.Context, id storer.LeaseID) time.Duration {
	key := leaderKey(c.settings.DataCentre)
	_, err := c.settings.Store.Create(ctx, key, c.lease.keyValue, id)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		item, readErr := c.settings.Store.Get(ctx, key)
		switch {
		case readErr != nil:
		case c.lease.ownsKey(item):
			err = nil
		case item.Lease == id:
			// The lease with this ID is that of another daemon by now, which must not lose it.
			c.lease.reset()
			return c.settings.PollInterval
		default:
			c.releaseLease(ctx)
			return c.settings.PollInterval
		}
	}
	if err != nil {
		return c.settings.PlanInterval
	}
	wait := c.settings.LeaseTTL + c.settings.LoadTimeout
	c.lease.setKeyBound(time.Now().Add(wait))
	c.logger.Info("commander: became leader, orders start after a wait", "data_centre", c.settings.DataCentre, "after", wait)
	return 0
}

// renewLease renews the lease, and extends it here only if the leader key still has the value of this
// lease: a platform that was restored may have given its ID to another daemon. If neither can be
// confirmed, the lease expires after its TTL.
func (c *Commander) renewLease(ctx context.Context, id storer.LeaseID) time.Duration {
	requestedAt := time.Now()
	granted, err := c.settings.Store.Renew(ctx, id)
	var missing *storer.NotFoundError
	switch {
	case err == nil && c.confirmLeaderKey():
		c.lease.extend(requestedAt.Add(granted.TTL))
	case err == nil:
		return c.settings.PlanInterval
	case errors.As(err, &missing):
		c.lease.reset()
		c.logger.Warn("commander: lease lost")
		return c.settings.PollInterval
	}
	return c.settings.LeaseTTL / 4
}

// confirmLeaderKey reports whether the platform shows the leader key of this lease.
func (c *Commander) confirmLeaderKey() bool {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.StoreTimeout)
	defer cancel()
	item, err := c.settings.Store.Get(ctx, leaderKey(c.settings.DataCentre))
	if err == nil && c.lease.ownsKey(item) {
		return true
	}
	c.logger.Warn("commander: the platform does not show this daemon as the leader", "holder", string(item.Value), "lease", string(item.Lease), "error", err)
	return false
}

// releaseLease revokes the lease, if there is one.
func (c *Commander) releaseLease(ctx context.Context) {
	id, _ := c.lease.refresh()
	if id == storer.NoLease {
		return
	}
	c.lease.reset()
	if err := c.settings.Store.Revoke(ctx, id); err != nil {
		c.logger.Warn("commander: could not revoke the lease", "error", err)
	}
}
