package reporter

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	defaultMaxHeldBytes  = 8 << 20
	defaultWriteAfter    = 5 * time.Minute
	defaultCheckInterval = 2 * time.Second
)

// Liveness reports whether an incarnation of a daemon is alive, as far as this daemon knows. A
// wrong answer is harmless, because a copy never replaces a newer batch.
type Liveness interface {
	Alive(daemon, incarnation string) bool
}

// FullError reports that a copy was rejected because the holder's copies would exceed MaxBytes, or
// because the copy is too large to store.
type FullError struct {
	Bytes int
	Max   int
}

// Error describes the size of the held copies and the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("copies of %d bytes are held, at most %d are allowed", e.Bytes, e.Max)
}

// HolderSettings are the settings of a Holder.
type HolderSettings struct {
	// MaxBytes bounds the total size of the copies; 8 MiB by default.
	MaxBytes int
	// WriteAfter is how long after its last update a copy is written even if its daemon seems to be
	// alive; 5 minutes by default.
	WriteAfter time.Duration
	// CheckInterval is how often the holder checks for dead daemons; 2 s by default.
	CheckInterval time.Duration
	// CallTimeout bounds one write to the platform; 2 s by default.
	CallTimeout time.Duration
}

// Holder keeps copies of the batches of other daemons until they are stored on the platform.
type Holder struct {
	settings HolderSettings
	store    Store
	liveness Liveness

	mutex  sync.Mutex
	copies map[string]heldCopy
	bytes  int

	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

type heldCopy struct {
	batch    Copy
	received time.Time
}

// NewHolder starts a Holder. Zero settings take their defaults.
func NewHolder(settings HolderSettings, store Store, liveness Liveness) *Holder {
	if settings.MaxBytes == 0 {
		settings.MaxBytes = defaultMaxHeldBytes
	}
	if settings.WriteAfter == 0 {
		settings.WriteAfter = defaultWriteAfter
	}
	if settings.CheckInterval == 0 {
		settings.CheckInterval = defaultCheckInterval
	}
	if settings.CallTimeout == 0 {
		settings.CallTimeout = defaultCallTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		settings: settings,
		store:    store,
		liveness: liveness,
		copies:   make(map[string]heldCopy),
		cancel:   cancel,
	}
	h.tasks.Go(func() { h.loop(ctx) })
	return h
}

// Keep holds the copy in memory, replacing an older version of it. It returns a FullError if it
// rejects the copy; CopyRecord does not count a rejected copy.
func (h *Holder) Keep(batch Copy) (err error) {
	defer Error.WrapP(&err)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, found := h.copies[batch.Key]
	if found && held.batch.Version > batch.Version {
		return nil
	}
	bytes := h.bytes - len(held.batch.Data) + len(batch.Data)
	if bytes > h.settings.MaxBytes || len(batch.Data) > storer.MaxValueBytes {
		return &FullError{Bytes: h.bytes, Max: h.settings.MaxBytes}
	}
	h.bytes = bytes
	batch.Data = slices.Clone(batch.Data)
	h.copies[batch.Key] = heldCopy{batch: batch, received: time.Now()}
	return nil
}

// Drop removes the copy. It is called when the daemon has stored the batch.
func (h *Holder) Drop(key string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.bytes -= len(h.copies[key].batch.Data)
	delete(h.copies, key)
}

// Held returns the number of copies that are held.
func (h *Holder) Held() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.copies)
}

func (h *Holder) loop(ctx context.Context) {
	ticker := time.NewTicker(h.settings.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.writeAll(ctx, h.due(now))
		}
	}
}

// due returns the copies of dead daemons and those that were not updated for WriteAfter.
func (h *Holder) due(now time.Time) []Copy {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var due []Copy
	for _, held := range h.copies {
		batch := held.batch
		expired := now.Sub(held.received) >= h.settings.WriteAfter
		if expired || !h.liveness.Alive(batch.Daemon, batch.Incarnation) {
			due = append(due, batch)
		}
	}
	slices.SortFunc(due, func(a, b Copy) int { return cmp.Compare(a.Key, b.Key) })
	return due
}

// writeAll stores the copies and stops at the first failure. A copy that is updated meanwhile is
// kept.
func (h *Holder) writeAll(ctx context.Context, due []Copy) {
	for _, batch := range due {
		if err := h.writeCopy(ctx, batch); err != nil {
			return
		}
		h.dropVersion(batch)
	}
}

func (h *Holder) writeCopy(ctx context.Context, batch Copy) error {
	ctx, cancel := context.WithTimeout(ctx, h.settings.CallTimeout)
	defer cancel()
	return writeNewest(ctx, h.store, batch.Key, batch.Version, batch.Data)
}

func (h *Holder) dropVersion(batch Copy) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	held, known := h.copies[batch.Key]
	if !known || held.batch.Version != batch.Version {
		return
	}
	h.bytes -= len(held.batch.Data)
	delete(h.copies, batch.Key)
}

// Close stops the holder after a last attempt to write the copies that are due. Live daemons notice
// that the holder is gone when they send their next copies.
func (h *Holder) Close() error {
	h.cancel()
	h.tasks.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.CallTimeout)
	defer cancel()
	h.writeAll(ctx, h.due(time.Now()))
	return nil
}

// NewCopy returns the copy of an encoded batch that a daemon sent. It decodes the batch for the
// daemon, incarnation and version of the copy.
func NewCopy(key string, data []byte) (batch Copy, err error) {
	defer Error.WrapP(&err)
	decoded, err := decodeBatch(data)
	if err != nil {
		return Copy{}, err
	}
	batch = Copy{
		Key:         key,
		Daemon:      decoded.Daemon,
		Incarnation: decoded.Incarnation,
		Version:     decoded.Version,
		Data:        data,
	}
	return batch, nil
}
