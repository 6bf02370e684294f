package configurator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// revokeTimeout bounds the call that revokes the lease.
const revokeTimeout = time.Second

// errLeaseExpired reports that the maintenance lease has expired or is about to.
var errLeaseExpired = errors.New("the maintenance lease has expired")

// leadership is the state of the maintenance leader, the daemon that writes snapshots, trims the
// log and recreates lost entries. The lease only avoids duplicate work; correctness follows from
// the conditional writes.
type leadership struct {
	lease storer.Lease
	// keyValue is the value of MaintenanceKey under this lease. It identifies the lease, since a
	// platform that was restored gives IDs of leases out again.
	keyValue []byte
	// expires is when the lease ends, counted from before the call that granted or renewed it.
	expires time.Time
	// verifiedSnapshot is the revision of the last snapshot that was read back completely.
	verifiedSnapshot registrar.Revision
	// trimPoints are the verified snapshots that allow trimming, oldest first.
	trimPoints []trimPoint
	// partsDeletedBefore is the revision of a snapshot; the parts of all older snapshots have been
	// deleted.
	partsDeletedBefore registrar.Revision
}

func (l *leadership) holdsLease() bool {
	return l.lease.ID != storer.NoLease
}

// checkLease fails if the lease could expire before a write arrives at the platform: it requires a
// quarter of the TTL to be left.
func (l *leadership) checkLease() error {
	if !l.holdsLease() || !time.Now().Before(l.expires.Add(-l.lease.TTL/4)) {
		return errLeaseExpired
	}
	return nil
}

// maintenanceLoop takes part in the election of the maintenance leader until the context ends.
// Daemons that do not hold the lease check it only about once per TTL, to limit calls to the
// platform. While the platform is behind they check it at each read that shows so: the lease may be gone
// together with the entries.
func (c *Configurator) maintenanceLoop(ctx context.Context) {
	l := &leadership{}
	for ctx.Err() == nil {
		pause := c.settings.MaintenanceInterval
		if !l.holdsLease() {
			pause = c.settings.MaintenanceTTL
		}
		c.waitForMaintenance(ctx, pause/2+jitter(pause/2))
		if !c.Ready() || !c.settings.WatchRole.Watches() {
			c.releaseLease(ctx, l)
			continue
		}
		if err := c.maintenanceRound(ctx, l); err != nil && ctx.Err() == nil {
			c.settings.Log.Debug("configurator: maintenance round failed", "error", err)
		}
		// What the round itself has read does not start the next one.
		select {
		case <-c.repairDue:
		default:
		}
	}
	c.releaseLease(ctx, l)
}

// waitForMaintenance waits for the duration, or until the platform has been behind for BehindAfter and
// for a random part of RetryBase more, by which the daemons that notice together differ.
func (c *Configurator) waitForMaintenance(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.repairDue:
		c.sleep(ctx, jitter(c.settings.RetryBase))
	case <-ctx.Done():
	}
}

// maintenanceRound acquires or renews the lease and, if this daemon holds it, does one round of
// work.
func (c *Configurator) maintenanceRound(ctx context.Context, l *leadership) error {
	acquireOrRenew := c.acquireLease
	if l.holdsLease() {
		acquireOrRenew = c.renewLease
	}
	if err := acquireOrRenew(ctx, l); err != nil || !l.holdsLease() {
		return err
	}
	return c.maintain(ctx, l)
}

// acquireLease makes this daemon the maintenance leader if there is none, by creating the key of
// the leader with a new lease.
func (c *Configurator) acquireLease(ctx context.Context, l *leadership) error {
	_, err := c.settings.Store.Get(ctx, c.settings.MaintenanceKey)
	var notFound *storer.NotFoundError
	if !errors.As(err, &notFound) {
		return err
	}
	requested := time.Now()
	lease, err := c.settings.Store.Grant(ctx, c.settings.MaintenanceTTL)
	if err != nil {
		return err
	}
	value, err := encodeHolder(c.settings.Daemon)
	if err != nil {
		return err
	}
	_, err = c.settings.Store.Create(ctx, c.settings.MaintenanceKey, value, lease.ID)
	if err != nil {
		// A lease that cannot be revoked expires on its own.
		_ = c.settings.Store.Revoke(ctx, lease.ID)
		return err
	}
	*l = leadership{lease: lease, keyValue: value, expires: requested.Add(lease.TTL)}
	c.settings.Log.Info("configurator: acquired the maintenance lease", "fencing", lease.FencingToken)
	return nil
}

// renewLease renews the lease. If the lease has expired or is that of another daemon by now, the daemon
// stops being the leader.
func (c *Configurator) renewLease(ctx context.Context, l *leadership) error {
	requested := time.Now()
	owned, err := c.ownsLease(ctx, l)
	var lease storer.Lease
	if err == nil && owned {
		lease, err = c.settings.Store.Renew(ctx, l.lease.ID)
	}
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) || (err == nil && !owned) || (err != nil && !requested.Before(l.expires)) {
		c.counters.leadershipLost.Add(1)
		c.settings.Log.Warn("configurator: lost the maintenance lease", "fencing", l.lease.FencingToken)
		*l = leadership{}
	}
	if err != nil || !owned {
		return err
	}
	l.expires = requested.Add(lease.TTL)
	return nil
}

// ownsLease reports whether the platform shows MaintenanceKey with the value of this lease. A lease
// without it is not renewed or revoked, as it may be that of another daemon.
func (c *Configurator) ownsLease(ctx context.Context, l *leadership) (owned bool, err error) {
	item, err := c.settings.Store.Get(ctx, c.settings.MaintenanceKey)
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) {
		return false, nil
	}
	return err == nil && item.Lease == l.lease.ID && bytes.Equal(item.Value, l.keyValue), err
}

// releaseLease revokes the lease if this daemon holds it.
func (c *Configurator) releaseLease(ctx context.Context, l *leadership) {
	if !l.holdsLease() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if owned, err := c.ownsLease(ctx, l); err == nil && owned {
		_ = c.settings.Store.Revoke(ctx, l.lease.ID)
	}
	*l = leadership{}
}

// wireHolder is the value of MaintenanceKey.
type wireHolder struct {
	Daemon string `json:"daemon"`
	Nonce  string `json:"nonce"`
}

// encodeHolder returns a value for MaintenanceKey that no other lease has.
func encodeHolder(daemon string) (value []byte, err error) {
	return json.Marshal(wireHolder{Daemon: daemon, Nonce: uuid.NewString()})
}
