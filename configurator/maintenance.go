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

// trimPoint allows the deletion of entries up to revision, and of the parts of snapshots older than
// snapshot, once TrimAge has passed since verifiedAt.
type trimPoint struct {
	revision   registrar.Revision
	snapshot   registrar.Revision
	verifiedAt time.Time
}

// maintain does one step of maintenance. It recreates lost entries, or writes the next snapshot
// when it is due, or else trims the log and deletes old snapshots.
func (c *Configurator) maintain(ctx context.Context, l *leadership) error {
	m, err := c.readManifest(ctx)
	if err != nil {
		return err
	}
	if _, err := c.readLog(ctx); err != nil {
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
