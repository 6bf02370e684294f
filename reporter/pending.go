package reporter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	flushInterval      = time.Second
	closeRetryInterval = 200 * time.Millisecond
	minBackoff         = time.Second
	maxBackoff         = 30 * time.Second
)

// UnwrittenError reports how many batches could not be written to the platform before the recorder
// closed. Peers hold copies of them if any peer was reachable.
type UnwrittenError struct {
	Batches int
}

// Error describes the number of batches.
func (e *UnwrittenError) Error() string {
	return fmt.Sprintf("%d batches of the record were not written", e.Batches)
}

// pendingBatch is a sealed batch that is not yet known to be stored.
type pendingBatch struct {
	batch Batch
	// notBefore is when the batch is due to be written to the platform.
	notBefore time.Time
	// nextCopy is when the batch is sent to the peers again.
	nextCopy time.Time
}

// writeLoop seals the open batch when it is due and writes pending batches.
func (r *Recorder) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	backoff := time.Duration(0)
	var nextFlush time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.sealDue(now)
			if now.Before(nextFlush) {
				continue
			}
			if r.flush(ctx, now) == 0 {
				backoff = 0
				continue
			}
			backoff = min(max(minBackoff, 2*backoff), maxBackoff)
			nextFlush = time.Now().Add(backoff)
		}
	}
}

// flush writes the pending batches that are due and returns how many of them remain. If now is
// zero, all batches are due. It stops at the first failure, as the platform is then likely
// unavailable.
func (r *Recorder) flush(ctx context.Context, now time.Time) (remaining int) {
	due := r.due(now)
	for i, pending := range due {
		batch := r.cloneOf(pending)
		if err := r.write(ctx, &batch); err != nil {
			return len(due) - i
		}
		r.removeStored(ctx, pending, batch.Key())
	}
	return 0
}

// flushUntilDone repeats flush until all batches are written or the context ends.
func (r *Recorder) flushUntilDone(ctx context.Context) (remaining int) {
	for {
		remaining = r.flush(ctx, time.Time{})
		if remaining == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return remaining
		case <-time.After(closeRetryInterval):
		}
	}
}

func (r *Recorder) due(now time.Time) []*pendingBatch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var due []*pendingBatch
	for _, pending := range r.pending {
		if now.IsZero() || !now.Before(pending.notBefore) {
			due = append(due, pending)
		}
	}
	return due
}

func (r *Recorder) cloneOf(pending *pendingBatch) Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return pending.batch.clone()
}

// write stores the batch. If the batch is too large for the platform, it is compacted first.
func (r *Recorder) write(ctx context.Context, batch *Batch) error {
	err := r.writeOnce(ctx, batch)
	var tooLarge *storer.ValueTooLargeError
	if errors.As(err, &tooLarge) {
		batch.compact()
		return r.writeOnce(ctx, batch)
	}
	return err
}

func (r *Recorder) writeOnce(ctx context.Context, batch *Batch) error {
	data, err := encodeBatch(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	return writeNewest(ctx, r.store, batch.Key(), batch.Version, data)
}

// removeStored drops a batch that is stored, both here and at the peers. A holder that the call
// does not reach writes its copy later, which has no effect because the batch is already stored.
func (r *Recorder) removeStored(ctx context.Context, stored *pendingBatch, key string) {
	r.mutex.Lock()
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingBatch) bool { return p == stored })
	r.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	_ = r.peers.DropRecord(ctx, key)
}

// copyLoop keeps the copies at the peers up to date.
func (r *Recorder) copyLoop(ctx context.Context) {
	ticker := time.NewTicker(r.settings.CopyInterval)
	defer ticker.Stop()
	r.copyPending(ctx, time.Now(), false)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.copyOpen(ctx, now)
			r.copyPending(ctx, now, false)
		}
	}
}

// copyOpen sends the open batch to the peers if it has changed and the limit on bytes per second
// permits.
func (r *Recorder) copyOpen(ctx context.Context, now time.Time) {
	r.mutex.Lock()
	changed := len(r.open.Entries) > 0 && r.open.Version > r.copiedVersion && !now.Before(r.nextCopy)
	open := r.open.clone()
	r.mutex.Unlock()
	if !changed {
		return
	}
	open.To = now
	copies, size := r.copyBatch(ctx, &open)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nextCopy = now.Add(r.copyDelay(copies * size))
	if copies > 0 && r.open.Sequence == open.Sequence {
		r.copiedVersion = open.Version
	}
}

// copyDelay returns the time until the next copy after the given number of bytes was sent: at least
// CopyInterval, and longer if CopyBytesPerSecond requires it.
func (r *Recorder) copyDelay(bytes int) time.Duration {
	minDelay := time.Duration(bytes) * time.Second / time.Duration(r.settings.CopyBytesPerSecond)
	return max(r.settings.CopyInterval, minDelay)
}

// copyPending sends the sealed batches to the peers, and again after each RefreshInterval, since
// holders may have died. If force is set, it sends all of them at once.
func (r *Recorder) copyPending(ctx context.Context, now time.Time, force bool) {
	for _, pending := range r.due(time.Time{}) {
		r.mutex.Lock()
		due := force || !now.Before(pending.nextCopy)
		batch := pending.batch.clone()
		r.mutex.Unlock()
		if !due {
			continue
		}
		copies, size := r.copyBatch(ctx, &batch)
		delay := max(r.settings.RefreshInterval, r.copyDelay(copies*size))
		if copies == 0 {
			delay = r.settings.CopyInterval
		}
		r.mutex.Lock()
		pending.nextCopy = now.Add(delay)
		r.mutex.Unlock()
	}
}

func (r *Recorder) copyBatch(ctx context.Context, batch *Batch) (copies, size int) {
	data, err := encodeBatch(batch)
	if err != nil {
		return 0, 0
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	copies, _ = r.peers.CopyRecord(ctx, Copy{
		Key:         batch.Key(),
		Daemon:      batch.Daemon,
		Incarnation: batch.Incarnation,
		Version:     batch.Version,
		Data:        data,
	})
	return copies, len(data)
}
