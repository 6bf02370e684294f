package configurator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxRecreatesPerRound bounds the entries that one maintenance round recreates.
const maxRecreatesPerRound = 200

// recreateLost recreates entries of the current history that the platform has lost. It acts only
// after the platform has been behind for BehindAfter, and does not touch a fork, which operators
// must resolve.
func (c *Configurator) recreateLost(ctx context.Context, l *leadership, m manifest, cause error) error {
	var behind *BehindError
	var gap *GapError
	if !errors.As(cause, &behind) && !errors.As(cause, &gap) {
		return cause
	}
	if !c.platformBehindFor(c.settings.BehindAfter) {
		return nil
	}
	c.mu.Lock()
	current := c.history
	c.mu.Unlock()
	missing, err := c.missingEntries(ctx, current, m)
	if err != nil {
		return err
	}
	if err := c.recreate(ctx, l, missing); err != nil {
		return err
	}
	if m.digest.Revision < current.oldestBase() {
		return c.writeSnapshot(ctx, l, m)
	}
	return nil
}

func (c *Configurator) platformBehindFor(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.platform.behindSince.IsZero() && time.Since(c.platform.behindSince) >= d
}

// missingEntries returns the entries in the window that the platform does not store and that a
// reader needs: those after the snapshot, and the newest one in any case. An entry with different
// content is a fork.
func (c *Configurator) missingEntries(ctx context.Context, current history, m manifest) (missing []entry, err error) {
	listed, err := c.listHashes(ctx, current.oldestBase()+1)
	if err != nil {
		return nil, err
	}
	for _, e := range current.entries {
		hash, present := listed[e.revision]
		if present && hash != e.hash {
			return nil, c.reject(&ForkError{Revision: e.revision, Known: e.hash, Received: hash})
		}
		needed := e.revision > m.digest.Revision || e.revision == current.revision
		if needed && !present {
			missing = append(missing, e)
		}
	}
	return missing, nil
}

// listHashes returns the hashes of the entries on the platform, starting at a revision.
func (c *Configurator) listHashes(ctx context.Context, from registrar.Revision) (hashes map[registrar.Revision]Hash, err error) {
	hashes = map[registrar.Revision]Hash{}
	after := keyBefore(from)
	for {
		page, err := c.settings.Store.List(ctx, logPrefix, after, c.settings.PageEntries)
		if err != nil {
			return nil, err
		}
		entries, err := c.decodeItems(page.Items)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			hashes[e.revision] = e.hash
			after = logKey(e.revision)
		}
		if !page.More {
			return hashes, nil
		}
	}
}

// recreate creates the missing entries, the newest first: once the newest exists, a daemon with
// fewer entries sees a gap and does not append its own entry at the missing revision.
func (c *Configurator) recreate(ctx context.Context, l *leadership, missing []entry) error {
	created := 0
	for _, e := range slices.Backward(missing) {
		if created == maxRecreatesPerRound {
			return nil
		}
		if err := l.checkLease(); err != nil {
			return err
		}
		_, err := c.settings.Store.Create(ctx, logKey(e.revision), e.raw, storer.NoLease)
		var conflict *storer.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return err
		}
		created++
		c.counters.recreated.Add(1)
	}
	if created > 0 {
		c.settings.Log.Warn("configurator: recreated lost entries on the platform", "entries", created)
	}
	return nil
}
