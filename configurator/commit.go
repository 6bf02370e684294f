package configurator

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxBehindReads is the number of consecutive reads that may return an incomplete log before a
// commit fails. A single read may be stale.
const maxBehindReads = 5

// Commit applies the change on top of base, the revision that its author has read, and returns the
// revision of the change. The change is then part of the current configuration of this daemon. If
// other changes were committed after base, the change is rebased, provided that they touch other
// objects.
//
// Commit returns an OverlapError, a BaseError, an InvalidError, a NotReadyError, a BehindError, a
// GapError or a storer.UnavailableError if the change did not take effect, and an UnsettledError if
// it is unknown whether it did. The context should have a deadline.
func (c *Configurator) Commit(ctx context.Context, base registrar.Revision, change registrar.Change) (revision registrar.Revision, err error) {
	defer Error.WrapP(&err)
	if !c.Ready() {
		return 0, &NotReadyError{}
	}
	select {
	case c.commitSlot <- struct{}{}:
		defer func() { <-c.commitSlot }()
	case <-ctx.Done():
		return 0, &storer.UnavailableError{Cause: ctx.Err()}
	}
	e, err := c.commit(ctx, base, change)
	if err != nil {
		return 0, err
	}
	if err := c.applyEntries([]entry{e}); err != nil {
		return 0, err
	}
	c.counters.committed.Add(1)
	return e.revision, nil
}

// commit writes the change as the next entry of the log. It retries whenever another entry takes
// the revision first.
func (c *Configurator) commit(ctx context.Context, base registrar.Revision, change registrar.Change) (e entry, err error) {
	nonce := uuid.NewString()
	retry := c.newBackoff()
	for attempt := 0; ; attempt++ {
		readStarted := time.Now()
		end, err := c.catchUp(ctx)
		if err != nil {
			return entry{}, err
		}
		current := c.cloneHistory()
		if current.revision != end {
			continue // A peer brought a later revision, which this read has not found on the platform.
		}
		e, err := c.prepare(current, base, nonce, change)
		if err != nil {
			return entry{}, err
		}
		write := &entryWrite{c: c, entry: e, readStarted: readStarted}
		won, err := write.run(ctx)
		if err != nil || won {
			return e, err
		}
		c.counters.rebased.Add(1)
		retry.pause(ctx)
		if ctx.Err() != nil {
			return entry{}, &storer.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// catchUp reads the log up to its end and returns its last revision, so that the next entry extends
// the log that all daemons have accepted. It fails unless the platform returns the entry of the
// current revision and no reachable peer has a later one: writing after missing entries would let a
// restored platform start a second log.
func (c *Configurator) catchUp(ctx context.Context) (end registrar.Revision, err error) {
	retry := c.newBackoff()
	for read := 1; ; read++ {
		end, err = c.readLog(ctx)
		if err == nil {
			err = c.checkPeers(ctx, end)
		}
		var behind *BehindError
		var gap *GapError
		transient := errors.As(err, &behind) || errors.As(err, &gap)
		if !transient || read == maxBehindReads || ctx.Err() != nil {
			return end, err
		}
		retry.pause(ctx)
	}
}

// checkPeers returns a BehindError if a reachable peer has a later revision than the end of the log, which
// has just been read. The peers are asked after that read: an entry that the platform had accepted and
// lost before it is then in force at the daemon that committed it. What this daemon got from a peer since
// the read began does not count as read.
func (c *Configurator) checkPeers(ctx context.Context, end registrar.Revision) error {
	peers := c.queryPeers(ctx)
	if !peers.exceed(end) {
		return nil
	}
	return &BehindError{Current: peers.highest}
}

// prepare rebases the change onto the end of the log, validates the result and encodes the change as
// the next entry.
func (c *Configurator) prepare(h history, base registrar.Revision, nonce string, change registrar.Change) (e entry, err error) {
	if err := h.checkOverlap(base, change.References()); err != nil {
		return entry{}, err
	}
	e, err = newEntry(h.digest(), nonce, c.settings.Daemon, change)
	if err != nil {
		return entry{}, &InvalidError{Revision: h.revision, Cause: err}
	}
	objects := h.objects.Apply(e.change)
	if err := c.settings.Validate(objects); err != nil {
		return entry{}, &InvalidError{Revision: h.revision, Cause: err}
	}
	if _, err := registrar.NewSnapshot(e.revision, objects); err != nil {
		return entry{}, &InvalidError{Revision: h.revision, Cause: err}
	}
	return e, nil
}

// checkOverlap returns an OverlapError if an entry after base changed one of the referenced
// objects, and a BaseError if the entries after base are not in the window.
func (h history) checkOverlap(base registrar.Revision, references []registrar.Reference) error {
	entries, ok := h.entriesAfter(base)
	if !ok || base > h.revision {
		return &BaseError{Base: base, Oldest: h.oldestBase(), Current: h.revision}
	}
	touched := make(map[registrar.Reference]bool, len(references))
	for _, reference := range references {
		touched[reference] = true
	}
	var overlaps []Overlap
	for _, e := range entries {
		for _, reference := range e.references {
			if touched[reference] {
				overlaps = append(overlaps, Overlap{
					Reference: reference,
					Revision:  e.revision,
					Author:    e.change.Author,
					Committed: e.committed,
				})
			}
		}
	}
	if len(overlaps) == 0 {
		return nil
	}
	return &OverlapError{Base: base, Current: h.revision, Overlaps: overlaps}
}
