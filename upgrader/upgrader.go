// Package upgrader updates the engines to the weights that operators want, a few at a time.
//
// One daemon at a time does this for the deployment: the holder of the update lock. The lock is a key on
// the platform's store that is bound to the holder's lease, and the key's version is the fencing token of
// the holder's orders. Before the holder orders an engine to load weights, it announces the update in its
// plan, so that the other daemons send their requests elsewhere.
//
// # Usage
//
//	u := upgrader.New(upgrader.Settings{Store: store, Lease: leaser, Engines: engines, Places: placer})
//	u.Start(ctx)
//	defer u.Close()
//	// On every daemon, a follower of KeyPrefix calls Reset and Change.
//	u.Reset(items, false)
package upgrader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	// KeyPrefix is the prefix of the update lock's keys.
	KeyPrefix = "rill/weights/"

	// holderKey is the lock: it names the holder and is bound to the holder's lease.
	holderKey = KeyPrefix + "holder"
	// formerKey names the daemon that held the lock last. It is bound to no lease.
	formerKey = KeyPrefix + "former"
)

// Report is the state of an engine.
type Report struct {
	// Busy says that an order is in progress.
	Busy bool
	// Accepted counts the orders that the engine's incarnation has accepted.
	Accepted int64
	Versions map[string]int64
}

// Order asks an engine to load a version of a model's weights.
type Order struct {
	Model   string
	Version int64
	// Holder names the daemon that sends the order.
	Holder string
	// Fence is the fencing token, which grows with each holder of the update lock.
	Fence storer.Version
	// Accepted is the number of accepted orders that the sender expects, for compare-and-swap.
	Accepted int64
}

// Result is an engine's answer to an order.
type Result int

// The answers to an order.
const (
	// ResultAccepted: the engine carries the order out, or has done so already.
	ResultAccepted Result = iota
	// ResultConflict: another order is in progress, or the number of accepted orders differs.
	ResultConflict
	// ResultFenced: the engine has seen a newer fencing token.
	ResultFenced
	// ResultRefused: another engine answers at the address, or the engine does not know the weights.
	ResultRefused
)

// Engines calls the engines.
type Engines interface {
	Report(ctx context.Context, target placer.Target) (Report, error)
	Order(ctx context.Context, target placer.Target, order Order) (Result, error)
}

// Store is the part of the platform's store that an Upgrader needs.
type Store interface {
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Lease is the daemon's lease, to which the update lock is bound.
type Lease interface {
	// Held returns the lease and whether it is certain to be valid now.
	Held() (lease storer.LeaseID, held bool)
	// RenewalAge is the time since the last answered renewal was sent.
	RenewalAge() time.Duration
	// SetWanted sets whether the lease is needed. The holder of the update lock needs one, and so does a
	// daemon that tries to acquire the lock.
	SetWanted(wanted bool)
}

// Placer knows the targets and the wanted weights, and keeps requests away from targets.
type Placer interface {
	Targets() []placer.Target
	// WantedVersion returns the newest version of a model's weights.
	WantedVersion(model string) int64
	// MarkUpdating keeps requests away from a target until the given time.
	MarkUpdating(id string, until time.Time)
	// MarkUpdated records the version that a target has, which may receive requests again.
	MarkUpdated(id, model string, version int64)
	// TargetID returns the id of the target with the hash, if there is one.
	TargetID(hash placer.TargetHash) (id string, known bool)
}

// Settings are the parameters of an Upgrader.
type Settings struct {
	Name    string
	Store   Store
	Lease   Lease
	Engines Engines
	Placer  Placer
	Logger  *slog.Logger
	// OnPlanChange is called when the plan has changed, so that it is sent to the other daemons at once.
	OnPlanChange func()
	// TakeOverDelay is the least time between the last order of a holder and the first order of the next
	// one, in which orders of the former holder that are in flight arrive.
	TakeOverDelay time.Duration
	// LeaseTTL is how long a lease is valid after its last renewal.
	LeaseTTL time.Duration
	// Now is the clock of the update lock. Default: clocker.Now.
	Now func() clocker.Instant
}

// MaxOrderLeaseAge is the lease age from which a holder sends no more orders. The lock becomes free a whole
// LeaseTTL after the last renewal, so at that time the last order is at least LeaseTTL - MaxOrderLeaseAge old,
// and the next holder subtracts this difference from TakeOver.
const MaxOrderLeaseAge = 700 * time.Millisecond

// Upgrader competes for the update lock and updates the engines while it holds the lock.
type Upgrader struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	updates  conc.WaitGroup
	wake     chan struct{}

	mu sync.Mutex
	// keys are the items below KeyPrefix. synced says that they have been listed.
	keys   map[string]storer.Item
	synced bool
	// vacantSince is since when the lock is seen to be free. It is zero while the lock is held and after
	// each attempt to acquire it.
	vacantSince time.Time
	// acquireDelay is how long after vacantSince this daemon tries to acquire the lock.
	acquireDelay time.Duration
	started      time.Time
	// attempt is the last attempt to acquire the lock.
	attempt attempt
	// stopped says that the daemon does not become the holder any more.
	stopped bool
	// lastOrder is when this daemon sent its last order.
	lastOrder clocker.Instant
	// fence is the version of the lock's key while this daemon holds the lock, and zero otherwise. lease
	// is the lease to which the key is bound.
	fence storer.Version
	lease storer.LeaseID
	// ordersFrom is the earliest time of this daemon's first order as the holder.
	ordersFrom clocker.Instant
	// updating are the running updates by the target's id.
	updating map[string]update
	// unreachable are the ids of targets that are skipped, with the end of that time.
	unreachable map[string]time.Time
	// loadTime is the moving average of the time from an order to the new weights.
	loadTime    time.Duration
	completed   map[string]completed
	planChanged bool
	// followedPlan is the last plan of another holder that was applied.
	followedPlan placer.UpgradePlan
}

// update is a running update of one target.
type update struct {
	target placer.TargetHash
	// ordered is when the load slot for the first order was reserved; zero before.
	ordered time.Time
}

// initialLoadTime is the expected load time before the first measurement.
const initialLoadTime = time.Second

// completed is a finished update whose version is known.
type completed struct {
	placer.UpgradedTarget
	completedAt time.Time
}

// New returns an Upgrader that has not started.
func New(settings Settings) *Upgrader {
	if settings.OnPlanChange == nil {
		settings.OnPlanChange = func() {}
	}
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	return &Upgrader{
		settings:    settings,
		started:     time.Now(),
		cancel:      func() {},
		wake:        make(chan struct{}, 1),
		keys:        make(map[string]storer.Item),
		updating:    make(map[string]update),
		loadTime:    initialLoadTime,
		unreachable: make(map[string]time.Time),
		completed:   make(map[string]completed),
	}
}

// Start competes for the update lock until Close or the end of ctx.
func (u *Upgrader) Start(ctx context.Context) {
	ctx, u.cancel = context.WithCancel(ctx)
	u.tasks.Go(func() { u.run(ctx) })
}

// Close stops the updates, waits for calls in flight and releases the update lock.
func (u *Upgrader) Close() error {
	u.cancel()
	u.tasks.Wait()
	u.updates.Wait()
	holding := u.holding()
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	if !holding {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	u.mu.Lock()
	fence := u.fence
	former := formerHolder{name: u.settings.Name, released: true, idle: u.settings.Now().Sub(u.lastOrder)}
	u.mu.Unlock()
	_, err := u.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: holderKey, Version: fence}},
		Puts:       []storer.Put{{Key: formerKey, Value: encodeFormer(former)}},
		Deletes:    []string{holderKey},
	})
	u.stepDown("the daemon stops")
	return err
}

// Holding says whether this daemon holds the update lock and therefore has to renew its lease well within
// OrderAge.
func (u *Upgrader) Holding() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fence != 0
}

// Wake makes the upgrader run a step at once, for example after an operator has declared new weights.
func (u *Upgrader) Wake() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// idleInterval is the time between two steps that nothing else causes.
const idleInterval = 400 * time.Millisecond

// busyInterval replaces idleInterval while targets are being updated.
const busyInterval = 50 * time.Millisecond

func (u *Upgrader) run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		timer.Reset(u.interval())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-u.wake:
		}
		u.step(ctx)
	}
}

func (u *Upgrader) interval() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.updating) > 0 {
		return busyInterval
	}
	return idleInterval
}

// step acquires the update lock if it is free, and starts the next updates if this daemon holds it.
func (u *Upgrader) step(ctx context.Context) {
	if !u.leaseValid() {
		u.stepDown("the lease has ended")
	}
	if u.shouldAcquire() {
		u.acquire(ctx)
	}
	if u.heldByOther() {
		u.settings.Lease.SetWanted(false)
	}
	if !u.holding() {
		return
	}
	for _, candidate := range u.startUpdates() {
		u.updates.Go(func() { u.updateEngine(ctx, candidate) })
	}
	u.announcePlan()
}

// Reset replaces the keys below KeyPrefix.
func (u *Upgrader) Reset(items []storer.Item, _ bool) {
	u.mu.Lock()
	clear(u.keys)
	for _, item := range items {
		u.keys[item.Key] = item
	}
	u.synced = true
	u.mu.Unlock()
	u.applyKeys()
}

// HandleEvents applies events of the keys below KeyPrefix. Events older than the known items are ignored.
func (u *Upgrader) HandleEvents(events []storer.Event, _ bool) {
	u.mu.Lock()
	for _, event := range events {
		if event.Item.Version < u.keys[event.Item.Key].Version {
			continue
		}
		if event.Kind == storer.EventDelete {
			delete(u.keys, event.Item.Key)
			continue
		}
		u.keys[event.Item.Key] = event.Item
	}
	u.mu.Unlock()
	u.applyKeys()
}
