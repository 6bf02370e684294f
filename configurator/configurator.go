// Package configurator replicates the operators' configuration to all daemons.
//
// The configuration is an ordered log on the platform. Each entry is one change. A change is
// committed by creating the key of revision n+1, which fails if the key exists, so that operators
// cannot overwrite each other's changes. An entry contains the hash of its predecessor. This
// detects a second log with the same revisions and different contents, for example after the
// platform was restored from an older backup. Snapshots let a new daemon start without reading the
// whole log.
//
// The revision of a Configurator never decreases. Entries and snapshots from the platform or from
// peers are applied if they continue the current history, and rejected with an alarm if they
// contradict it. The current configuration remains available while the platform is unreachable.
//
// Few daemons watch the platform; the others receive changes from their peers. One daemon, the
// maintenance leader, holds a lease and writes snapshots, deletes old entries that they contain,
// and recreates entries that a restored platform has lost. All of its writes are conditional, so
// that a leader that was paused beyond the end of its lease cannot overwrite newer values.
//
// # Usage
//
// A daemon creates one Configurator and closes it when it stops:
//
//	c, err := configurator.New(configurator.Settings{
//		Daemon:    "sapporo-1",
//		Store:     client,
//		Peers:     peers,
//		WatchRole: watchRole,
//		Validate:  validate,
//	})
//	defer c.Close()
//	snapshot := c.Current()
//
// A change is committed on top of the revision that its author has read:
//
//	revision, err := c.Commit(ctx, base, change)
//	var overlap *configurator.OverlapError
//	if errors.As(err, &overlap) {
//		// Another change modified the same objects after base.
//	}
//
// Peers compare their digests. The one with the higher revision sends its Entries, or the result of
// EncodeState if the other is too far behind. The other applies them with Offer or OfferState:
//
//	err := c.Offer(entries)
package configurator

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configurator")

// Store is the subset of the platform's client that a Configurator uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (storer.Page, error)
	Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error)
	Swap(ctx context.Context, key string, value []byte, expected storer.Version, lease storer.LeaseID) (storer.Version, error)
	Delete(ctx context.Context, key string, expected storer.Version) error
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	Renew(ctx context.Context, id storer.LeaseID) (storer.Lease, error)
	Revoke(ctx context.Context, id storer.LeaseID) error
	Watch(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (storer.Events, error)
}

// Peers queries the other daemons.
type Peers interface {
	// HighestRevision returns the highest current revision among the reachable peers, and the
	// number of reachable peers.
	HighestRevision(ctx context.Context) (highest registrar.Revision, reachable int, err error)
}

// WatchRole reports whether this daemon is one of the few in its data centre that watch the
// platform.
type WatchRole interface {
	Watches() bool
}

// Digest identifies a configuration: two daemons with the same digest have the same log.
type Digest struct {
	Revision registrar.Revision
	Hash     Hash
}

// publishedState is the current configuration as readers see it. It is replaced as a whole.
type publishedState struct {
	snapshot *registrar.Snapshot
	digest   Digest
}

// Configurator keeps the current configuration of a daemon and applies changes from the platform and
// from peers to it.
type Configurator struct {
	settings Settings
	current  atomic.Pointer[publishedState]
	ready    atomic.Bool
	counters counters

	// mu guards the five fields below it.
	mu       sync.Mutex
	history  history
	changed  chan struct{}
	alarms   []Alarm
	platform platformView
	encoded  encodedState

	// encodeMutex serializes the encoding of the state.
	encodeMutex sync.Mutex
	// commitSlot serializes the commits of this daemon.
	commitSlot chan struct{}
	// repairDue wakes the maintenance loop once the platform has been behind for BehindAfter.
	repairDue chan struct{}
	cancel    context.CancelFunc
	group     conc.WaitGroup
}

// New starts a Configurator with an empty configuration. It is ready once it has caught up.
func New(settings Settings) (configurator *Configurator, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	if err := settings.check(); err != nil {
		return nil, err
	}
	empty, err := registrar.NewSnapshot(0, registrar.Objects{})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Configurator{
		settings:   settings,
		history:    newHistory(settings),
		changed:    make(chan struct{}),
		commitSlot: make(chan struct{}, 1),
		repairDue:  make(chan struct{}, 1),
		cancel:     cancel,
	}
	c.current.Store(&publishedState{snapshot: empty})
	c.group.Go(func() { c.syncLoop(ctx) })
	c.group.Go(func() { c.maintenanceLoop(ctx) })
	return c, nil
}

// Close stops the goroutines and waits for them. The current configuration can still be read.
func (c *Configurator) Close() error {
	c.cancel()
	c.group.Wait()
	return nil
}

// Current returns the current configuration.
func (c *Configurator) Current() *registrar.Snapshot {
	return c.current.Load().snapshot
}

// Digest returns the digest of the current configuration.
func (c *Configurator) Digest() Digest {
	return c.current.Load().digest
}

// Changed returns a channel that is closed when the next configuration is applied. Call it before
// Current, so that no change is missed.
func (c *Configurator) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Ready reports whether the daemon has caught up with the highest revision that the peers and the
// platform returned at its start. Once true, it stays true.
func (c *Configurator) Ready() bool {
	return c.ready.Load()
}

// Alarms returns the alarms since the start, oldest first, including inactive ones.
func (c *Configurator) Alarms() []Alarm {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.alarms)
}

// publish makes the snapshot of the history visible to readers. The caller holds mu.
func (c *Configurator) publish(snapshot *registrar.Snapshot) {
	c.current.Store(&publishedState{snapshot: snapshot, digest: c.history.digest()})
	close(c.changed)
	c.changed = make(chan struct{})
}
