package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"
)

// batchInterval is the period that one batch covers. A batch without entries stays open for up to
// Settings.QuietInterval.
const batchInterval = time.Minute

// Recorder collects the entries of one daemon. Its methods are safe for concurrent use.
type Recorder struct {
	settings Settings
	store    Store
	peers    Peers
	// writeOffset is the delay between the seal of a batch and its first write.
	writeOffset time.Duration

	mutex   sync.Mutex
	open    Batch
	outages map[outageKey]Entry
	// pending are the sealed batches that are not yet stored, oldest first.
	pending []*pendingBatch
	closed  bool
	// copiedVersion is the version of the open batch that was last copied to a peer.
	copiedVersion uint64
	// nextCopy is the earliest time of the next copy of the open batch.
	nextCopy time.Time

	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// outageKey identifies an open outage.
type outageKey struct {
	subject string
	code    string
}

// NewRecorder starts a recorder. It returns a SettingsError if a name is malformed.
func NewRecorder(settings Settings, store Store, peers Peers) (recorder *Recorder, err error) {
	defer Error.WrapP(&err)
	settings, err = settings.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		settings:    settings,
		store:       store,
		peers:       peers,
		writeOffset: time.Duration(xxh3.HashString(settings.Daemon) % uint64(settings.WriteSpread)),
		outages:     make(map[outageKey]Entry),
		cancel:      cancel,
	}
	r.sealStartBatch(time.Now())
	r.tasks.Go(func() { r.copyLoop(ctx) })
	r.tasks.Go(func() { r.writeLoop(ctx) })
	return r, nil
}

// sealStartBatch seals an empty batch whose key contains the minute before the start. The batch makes the daemon
// known to the Reader, which can then report a crash that happens before the first entry is stored.
func (r *Recorder) sealStartBatch(now time.Time) {
	current := now.Truncate(batchInterval)
	r.open = r.newBatch(1, now)
	r.open.keyMinute = current.Add(-batchInterval)
	r.seal(now, current)
}

func (r *Recorder) newBatch(sequence uint64, from time.Time) Batch {
	return Batch{
		Daemon:      r.settings.Daemon,
		Incarnation: r.settings.Incarnation,
		DataCentre:  r.settings.DataCentre,
		Sequence:    sequence,
		From:        from,
		To:          from,
	}
}

// Record adds the entry. It does not block on the platform or on peers. After Close it has no
// effect.
func (r *Recorder) Record(entry Entry) {
	now := time.Now()
	if entry.Time.IsZero() {
		entry.Time = now
	}
	if entry.Until.Before(entry.Time) {
		entry.Until = entry.Time
	}
	entry.Count = max(1, entry.Count)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.add(entry)
}

// add adds the entry to the open batch. The caller holds mutex.
func (r *Recorder) add(entry Entry) {
	if r.closed {
		return
	}
	entry.Daemon = r.settings.Daemon
	entry.DataCentre = r.settings.DataCentre
	r.open.add(entry, r.settings.MaxEntries)
}

// ObserveOutage records that the subject is unavailable now: a target, model or service, or the
// platform. The first call opens an outage and later ones extend it.
func (r *Recorder) ObserveOutage(subject, code string) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := outageKey{subject: subject, code: code}
	entry, known := r.outages[key]
	if !known {
		entry = Entry{Time: now, Kind: KindOutage, Code: code, Subject: subject, Count: 1, Open: true}
	}
	entry.Until = now
	r.outages[key] = entry
	r.add(entry)
}

// EndOutage records that the subject is available again. It has no effect if no
// outage is open.
func (r *Recorder) EndOutage(subject, code string) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := outageKey{subject: subject, code: code}
	entry, known := r.outages[key]
	if !known {
		return
	}
	delete(r.outages, key)
	entry.Until = now
	entry.Open = false
	r.add(entry)
}

// Pending returns the sealed batches that are not yet stored, oldest first, and then the open batch.
func (r *Recorder) Pending() []Batch {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var batches []Batch
	for _, pending := range r.pending {
		batches = append(batches, pending.batch.clone())
	}
	open := r.open.clone()
	open.To = time.Now()
	return append(batches, open)
}

// sealDue seals the open batch once its minute has passed if it has entries, or once the quiet
// interval has passed.
func (r *Recorder) sealDue(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := now.Truncate(batchInterval)
	if !current.After(r.open.keyMinute) {
		return
	}
	withinQuietInterval := now.Sub(r.open.From) < r.settings.QuietInterval
	if len(r.open.Entries) == 0 && withinQuietInterval {
		r.open.keyMinute = current
		return
	}
	if len(r.pending) >= r.settings.MaxPendingBatches {
		// The open batch stays open; beyond MaxEntries it counts new entries under CodeOverflow.
		return
	}
	r.seal(now, current)
}

// seal moves the open batch to the pending ones and opens the next batch, whose key contains
// nextKeyMinute. The caller holds mutex. The keys of batches contain different minutes even if the
// wall clock was set back, since sealDue seals a batch only once the current minute is after the
// minute of its key, and the next key contains the current minute.
func (r *Recorder) seal(now, nextKeyMinute time.Time) {
	sealed := r.open.clone()
	sealed.To = now
	sealed.Version++
	r.pending = append(r.pending, &pendingBatch{batch: sealed, notBefore: now.Add(r.writeOffset)})
	r.open = r.newBatch(sealed.Sequence+1, now)
	r.open.keyMinute = nextKeyMinute
	r.copiedVersion = 0
	r.compactPending()
}

// compactPending replaces the entries other than outages by counts, in the oldest pending batches
// first, until at most MaxPendingEntries entries are pending.
func (r *Recorder) compactPending() {
	entries := 0
	for _, pending := range r.pending {
		entries += len(pending.batch.Entries)
	}
	for _, pending := range r.pending {
		if entries <= r.settings.MaxPendingEntries {
			return
		}
		before := len(pending.batch.Entries)
		pending.batch.compact()
		entries += len(pending.batch.Entries) - before
	}
}

// Close stops the recorder: it seals a final batch, copies all pending batches to peers, and writes
// them within CloseTimeout. It returns an UnwrittenError if the platform did not accept all of
// them.
func (r *Recorder) Close() (err error) {
	defer Error.WrapP(&err)
	r.cancel()
	r.tasks.Wait()
	if !r.sealFinal() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.CloseTimeout)
	defer cancel()
	r.copyPending(ctx, time.Now(), true)
	if unwritten := r.flushUntilDone(ctx); unwritten > 0 {
		return &UnwrittenError{Batches: unwritten}
	}
	return nil
}

// sealFinal seals the final batch. It returns false if the recorder was closed before.
func (r *Recorder) sealFinal() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return false
	}
	now := time.Now()
	r.open.Final = true
	r.seal(now, r.open.keyMinute)
	r.closed = true
	return true
}
