package configurator

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// entryWrite writes one entry and determines the outcome.
type entryWrite struct {
	c     *Configurator
	entry entry
	// readStarted is when the read of the log began on which the entry is based.
	readStarted time.Time
	// outcomeUnknown is set once a write was sent whose response was lost.
	outcomeUnknown bool
}

// run creates the key of the entry's revision. It returns whether the log now contains this entry.
// An error means that the entry did not take effect, except for an UnsettledError.
func (w *entryWrite) run(ctx context.Context) (won bool, err error) {
	retry := w.c.newBackoff()
	for {
		version, err := w.c.settings.Store.Create(ctx, logKey(w.entry.revision), w.entry.raw, storer.NoLease)
		if err == nil {
			return w.verifySuccessor(ctx, version)
		}
		settled, won, err := w.handleCreateError(ctx, err)
		if settled {
			return won, err
		}
		retry.pause(ctx)
		if ctx.Err() != nil {
			return false, w.unsettledError(ctx.Err())
		}
	}
}

// handleCreateError decides whether a failed create is final. Once the outcome of one attempt is
// unknown, it reads the key back, also when a later attempt conflicts: the conflicting value may be
// this entry.
func (w *entryWrite) handleCreateError(ctx context.Context, err error) (settled, won bool, cause error) {
	var unknown *storer.UnknownOutcomeError
	var conflict *storer.ConflictError
	var unavailable *storer.UnavailableError
	switch {
	case errors.As(err, &unknown):
		w.outcomeUnknown = true
		w.c.counters.lostAnswers.Add(1)
	case errors.As(err, &conflict) && !w.outcomeUnknown:
		return true, false, nil
	case errors.As(err, &conflict):
	case errors.As(err, &unavailable) && w.outcomeUnknown:
	default:
		if w.outcomeUnknown {
			return true, false, w.unsettledError(err)
		}
		return true, false, err
	}
	return w.readBack(ctx)
}

// readBack compares the nonce of the stored entry with that of this one. If the key does not exist,
// the outcome remains unknown: the write may still be in flight, or the read may be stale.
func (w *entryWrite) readBack(ctx context.Context) (settled, won bool, err error) {
	item, err := w.c.settings.Store.Get(ctx, logKey(w.entry.revision))
	if err != nil {
		return false, false, nil
	}
	stored, err := decodeEntry(item.Value)
	if err != nil {
		return true, false, w.c.reject(&MalformedError{Name: item.Key, Cause: err})
	}
	if stored.nonce != w.entry.nonce {
		w.c.counters.settledLost.Add(1)
		return true, false, nil
	}
	w.c.counters.settled.Add(1)
	won, err = w.verifySuccessor(ctx, item.Version)
	return true, won, err
}

// verifySuccessor verifies a create that succeeded long after the read that it is based on.
// Meanwhile the log may have been trimmed beyond this revision, in which case a create succeeds
// although the revision was already in use. The next entry reveals this, since it contains the hash
// of its predecessor.
func (w *entryWrite) verifySuccessor(ctx context.Context, version storer.Version) (won bool, err error) {
	if time.Since(w.readStarted) <= w.c.settings.TrimAge/2 {
		return true, nil
	}
	page, err := w.c.settings.Store.List(ctx, logPrefix, logKey(w.entry.revision), 1)
	if err != nil {
		return false, w.unsettledError(err)
	}
	if page.Revision < version {
		return false, w.unsettledError(errors.New("the platform showed an older state"))
	}
	if len(page.Items) == 0 {
		return true, nil
	}
	successor, err := decodeEntry(page.Items[0].Value)
	if err != nil {
		return false, w.unsettledError(err)
	}
	if successor.revision == w.entry.revision+1 && successor.previous == w.entry.hash {
		return true, nil
	}
	return false, w.deleteMisplaced(ctx, version)
}

// deleteMisplaced deletes an entry that was created at the key of a trimmed entry.
func (w *entryWrite) deleteMisplaced(ctx context.Context, version storer.Version) error {
	err := w.c.settings.Store.Delete(ctx, logKey(w.entry.revision), version)
	var notFound *storer.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		w.c.settings.Log.Warn("configurator: failed to delete a misplaced entry", "revision", uint64(w.entry.revision), "error", err)
	}
	return nil
}

func (w *entryWrite) unsettledError(cause error) error {
	return &UnsettledError{Revision: w.entry.revision, Nonce: w.entry.nonce, Cause: cause}
}
