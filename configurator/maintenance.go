package configurator

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxPartDeletesPerRound bounds the parts of old snapshots that one maintenance round deletes.
const maxPartDeletesPerRound = 4

// revokeTimeout bounds the call that revokes the lease.
const revokeTimeout = time.Second

// errLeaseExpired reports that the maintenance lease has expired or is about to.
var errLeaseExpired = errors.New("the maintenance lease has expired")

// leadership is the state of the maintenance leader, the daemon that writes snapshots, trims the
// log and recreates lost entries. The lease only avoids duplicate work; correctness follows from
// the conditional writes.
type leadership struct {
	lease storer.Lease
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

// trimPoint allows the deletion of entries up to revision, and of the parts of snapshots older than
// snapshot, once TrimAge has passed since verifiedAt.
type trimPoint struct {
	revision   registrar.Revision
	snapshot   registrar.Revision
	verifiedAt time.Time
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
// platform.
func (c *Configurator) maintenanceLoop(ctx context.Context) {
	l := &leadership{}
	for ctx.Err() == nil {
		pause := c.settings.MaintenanceInterval
		if !l.holdsLease() {
			pause = c.settings.MaintenanceTTL
		}
		c.sleep(ctx, pause/2+jitter(pause/2))
		if !c.Ready() || !c.settings.WatchRole.Watches() {
			c.releaseLease(ctx, l)
			continue
		}
		if err := c.maintenanceRound(ctx, l); err != nil && ctx.Err() == nil {
			c.settings.Log.Debug("configurator: maintenance round failed", "error", err)
		}
	}
	c.releaseLease(ctx, l)
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
	_, err = c.settings.Store.Create(ctx, c.settings.MaintenanceKey, []byte(c.settings.Daemon), lease.ID)
	if err != nil {
		// A lease that cannot be revoked expires on its own.
		_ = c.settings.Store.Revoke(ctx, lease.ID)
		return err
	}
	*l = leadership{lease: lease, expires: requested.Add(lease.TTL)}
	c.settings.Log.Info("configurator: acquired the maintenance lease", "fencing", lease.FencingToken)
	return nil
}

// renewLease renews the lease. If the lease has expired, the daemon stops being the leader.
func (c *Configurator) renewLease(ctx context.Context, l *leadership) error {
	requested := time.Now()
	lease, err := c.settings.Store.Renew(ctx, l.lease.ID)
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) || (err != nil && !requested.Before(l.expires)) {
		c.counters.leadershipLost.Add(1)
		c.settings.Log.Warn("configurator: lost the maintenance lease", "fencing", l.lease.FencingToken)
		*l = leadership{}
	}
	if err != nil {
		return err
	}
	l.expires = requested.Add(lease.TTL)
	return nil
}

// releaseLease revokes the lease if this daemon holds it.
func (c *Configurator) releaseLease(ctx context.Context, l *leadership) {
	if !l.holdsLease() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = c.settings.Store.Revoke(ctx, l.lease.ID)
	*l = leadership{}
}

// maintain does one step of maintenance. It recreates lost entries, or writes the next snapshot
// when it is due, or else trims the log and deletes old snapshots.
func (c *Configurator) maintain(ctx context.Context, l *leadership) error {
	m, err := c.readManifest(ctx)
	if err != nil {
		return err
	}
	if err := c.readLog(ctx); err != nil {
		return c.recreateLost(ctx, l, m, err)
	}
	current := c.Digest().Revision
	if current >= m.digest.Revision+registrar.Revision(c.settings.SnapshotEvery) {
		return c.writeSnapshot(ctx, l, m)
	}
	if m.digest.Revision == 0 {
		return nil
	}
	if err := c.verifySnapshot(ctx, l, m); err != nil {
		return err
	}
	if err := c.trim(ctx, l); err != nil {
		return err
	}
	return c.deleteOldSnapshots(ctx, l)
}

// verifySnapshot reads the snapshot of the manifest back once. Entries are deleted from the log
// only if a snapshot that was verified in this way contains them.
func (c *Configurator) verifySnapshot(ctx context.Context, l *leadership, m manifest) error {
	if l.verifiedSnapshot == m.digest.Revision {
		return nil
	}
	if _, err := c.readSnapshot(ctx, m); err != nil {
		return err
	}
	l.verifiedSnapshot = m.digest.Revision
	keepEntries := min(registrar.Revision(c.settings.KeepEntries), m.digest.Revision)
	l.trimPoints = append(l.trimPoints, trimPoint{
		revision:   m.digest.Revision - keepEntries,
		snapshot:   m.digest.Revision,
		verifiedAt: time.Now(),
	})
	return nil
}

// trim deletes up to TrimBatch entries at or below the due trim point.
func (c *Configurator) trim(ctx context.Context, l *leadership) error {
	due, ok := l.dueTrimPoint(c.settings.TrimAge)
	if !ok || due.revision == 0 {
		return nil
	}
	page, err := c.settings.Store.List(ctx, logPrefix, "", c.settings.TrimBatch)
	if err != nil {
		return err
	}
	for _, item := range page.Items {
		revision, ok := parseRevision(item.Key, logPrefix)
		if !ok || revision > due.revision {
			return nil
		}
		if err := c.deleteItem(ctx, l, item); err != nil {
			return err
		}
		c.counters.trimmed.Add(1)
	}
	return nil
}

// dueTrimPoint returns the newest trim point of at least the given age and discards the older ones.
func (l *leadership) dueTrimPoint(age time.Duration) (due trimPoint, ok bool) {
	for len(l.trimPoints) > 1 && time.Since(l.trimPoints[1].verifiedAt) >= age {
		l.trimPoints = l.trimPoints[1:]
	}
	if len(l.trimPoints) == 0 || time.Since(l.trimPoints[0].verifiedAt) < age {
		return trimPoint{}, false
	}
	return l.trimPoints[0], true
}

// deleteOldSnapshots deletes some parts of the snapshots before the due trim point. Those snapshots
// were replaced at least TrimAge ago, so that no daemon reads them any more.
func (c *Configurator) deleteOldSnapshots(ctx context.Context, l *leadership) error {
	due, ok := l.dueTrimPoint(c.settings.TrimAge)
	if !ok || l.partsDeletedBefore == due.snapshot {
		return nil
	}
	for range maxPartDeletesPerRound {
		page, err := c.settings.Store.List(ctx, snapshotPrefix, "", 1)
		if err != nil || len(page.Items) == 0 {
			return err
		}
		revision, ok := parseRevision(page.Items[0].Key, snapshotPrefix)
		if !ok || revision >= due.snapshot {
			l.partsDeletedBefore = due.snapshot
			return nil
		}
		if err := c.deleteItem(ctx, l, page.Items[0]); err != nil {
			return err
		}
	}
	return nil
}

// deleteItem deletes an item if it still has the version that was read. It succeeds if the item no
// longer exists.
func (c *Configurator) deleteItem(ctx context.Context, l *leadership, item storer.Item) error {
	if err := l.checkLease(); err != nil {
		return err
	}
	err := c.settings.Store.Delete(ctx, item.Key, item.Version)
	var notFound *storer.NotFoundError
	if errors.As(err, &notFound) {
		return nil
	}
	return err
}
