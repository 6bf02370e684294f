package configurator

import (
	"context"
	"errors"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// logReader reads the log from the platform once. It collects the result separately, and the caller
// applies it at the end, so that a starting daemon never exposes part of a log.
type logReader struct {
	c    *Configurator
	next history
}

// readLog reads the entries after the current revision from the platform and applies them. It
// returns the last revision of the platform's log if the platform returned its log to the end; peers
// may have brought a later one meanwhile. When the read fails halfway, a daemon that is ready still
// applies the entries that were read, since the configuration after each of them was once the
// current one.
func (c *Configurator) readLog(ctx context.Context) (end registrar.Revision, err error) {
	r := &logReader{c: c, next: c.cloneHistory()}
	version, err := r.run(ctx)
	if err != nil && !c.Ready() {
		return 0, err
	}
	if applyErr := c.applyHistory(r.next); applyErr != nil {
		return 0, applyErr
	}
	if err != nil {
		return 0, err
	}
	c.recordUpToDate(version)
	return r.next.revision, nil
}

// cloneHistory returns a copy of the current history that can be extended separately.
func (c *Configurator) cloneHistory() history {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.clone()
}

// run reads page by page and returns the version of the platform's store at the last page.
func (r *logReader) run(ctx context.Context) (version storer.Version, err error) {
	if r.next.revision == 0 {
		if _, err := r.loadSnapshot(ctx); err != nil {
			return 0, err
		}
	}
	for {
		page, err := r.readPage(ctx)
		if err != nil {
			return 0, err
		}
		if !page.More {
			return page.Revision, nil
		}
	}
}

// readPage reads one page. The page begins with the newest known entry, to verify that the platform
// still stores it.
func (r *logReader) readPage(ctx context.Context) (page storer.Page, err error) {
	from := r.next.revision
	page, err = r.c.settings.Store.List(ctx, logPrefix, keyBefore(from), r.c.settings.PageEntries)
	if err != nil {
		return storer.Page{}, err
	}
	r.c.observeStoreVersion(page.Revision)
	entries, err := r.c.decodeItems(page.Items)
	if err != nil {
		return storer.Page{}, err
	}
	if len(entries) == 0 && from > 0 {
		return storer.Page{}, r.c.recordBehind(&BehindError{Current: from})
	}
	if len(entries) > 0 && entries[0].revision > max(from, 1) {
		page.More = true
		return page, r.closeGap(ctx, &GapError{Current: from, Received: entries[0].revision})
	}
	err = r.extend(entries)
	var gap *GapError
	if errors.As(err, &gap) {
		page.More = true
		return page, r.closeGap(ctx, gap)
	}
	return page, err
}

// extend appends the entries and raises an alarm on a fork.
func (r *logReader) extend(entries []entry) (err error) {
	r.next, err = r.next.extend(entries)
	var fork *ForkError
	if errors.As(err, &fork) {
		return r.c.reject(err)
	}
	return err
}

// closeGap loads a newer snapshot to skip missing entries. If there is none, the platform has lost
// entries, which closeGap reports to recordBehind.
func (r *logReader) closeGap(ctx context.Context, gap *GapError) error {
	loaded, err := r.loadSnapshot(ctx)
	if err != nil || loaded {
		return err
	}
	return r.c.recordBehind(gap)
}

// loadSnapshot loads the latest snapshot if it is newer than what has been read.
func (r *logReader) loadSnapshot(ctx context.Context) (loaded bool, err error) {
	m, err := r.c.readManifest(ctx)
	if err != nil || m.digest.Revision <= r.next.revision {
		return false, err
	}
	s, err := r.c.readSnapshot(ctx, m)
	if err != nil {
		return false, err
	}
	r.next, err = r.next.withState(s)
	if err != nil {
		return false, r.c.reject(err)
	}
	return true, nil
}
