// Package upgrader updates the engines to the wanted versions of the weights, a few engines at a time.
//
// One daemon at a time does this for the deployment: the holder of the update lock. The lock is a key on
// the platform's store that is bound to the holder's lease, and the key's version is the fencing token of
// the holder's orders. Before the holder orders an engine to load weights, it announces the update in its
// plan, so that the other daemons send their requests elsewhere.
//
// # Usage
//
//	u := upgrader.New(upgrader.Settings{Store: store, Lease: leaser, Engines: engines, Placer: placer})
//	u.Start(ctx)
//	defer u.Close()
//	// On every daemon, a follower of KeyPrefix calls Reset and HandleEvents.
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
	"github.com/rosemaryrill/rosemaryrill/supervisor"
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
	// Busy is set while the engine is carrying out an order.
	Busy bool
	// Accepted counts the orders that the engine's incarnation has accepted.
	Accepted int64
	// Versions are the versions of the weights by model.
	Versions map[string]int64
}

// Order asks an engine to load a version of a model's weights.
type Order struct {
	Model   string
	Version int64
	// Holder names the daemon that sends the order.
	Holder string
	// FencingToken is the fencing token of the sender, which grows with each holder of the update lock.
	FencingToken storer.Version
	// Accepted is the number of accepted orders in the engine's last report. The engine answers
	// ResultConflict if it has accepted another number since.
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

// EngineClient reads the reports of engines and sends them orders.
type EngineClient interface {
	Report(ctx context.Context, target placer.Target) (Report, error)
	// Order sends an order. If it returns an error, the engine may have accepted the order.
	Order(ctx context.Context, target placer.Target, order Order) (Result, error)
}

// Store is the part of the platform's store that an Upgrader needs.
type Store interface {
	// Commit applies the transaction atomically and returns the version of its changes. Its error is a
	// storer.ConflictError if a condition does not hold, and a storer.UnknownOutcomeError if the changes may have been
	// applied.
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Lease is the daemon's lease, to which the update lock is bound.
type Lease interface {
	// Held returns the lease and whether it is certain to be valid now.
	Held() (lease storer.LeaseID, held bool)
	// RenewalAge returns the time since the last successful grant or renewal was sent.
	RenewalAge() time.Duration
	// SetWanted sets whether the lease is wanted. The holder of the update lock needs one, and so does
	// a daemon that tries to acquire the lock.
	SetWanted(wanted bool)
}

// Placer provides the targets and the wanted versions of the weights. It also chooses the targets of requests, which
// must exclude the targets that are being upgraded.
type Placer interface {
	Targets() []placer.Target
	// WantedVersion returns the wanted version of a model's weights.
	WantedVersion(model string) int64
	// MarkUpgrading excludes a target from the choice for requests until the given time. A time in the past ends
	// the exclusion.
	MarkUpgrading(id string, until time.Time)
	// MarkUpgraded records the version that a target has loaded, and ends its exclusion.
	MarkUpgraded(id, model string, version int64)
	// TargetID returns the id of the target with the hash. known is false if there is none.
	TargetID(hash placer.TargetHash) (id string, known bool)
}

// Settings are the parameters of an Upgrader.
type Settings struct {
	Name    string
	Store   Store
	Lease   Lease
	Engines EngineClient
	Placer  Placer
	Logger  *slog.Logger
	// OnPlanChange is called after the upgrade plan has changed, so that the plan can be sent to the other daemons
	// at once.
	OnPlanChange func()
	// TakeOverDelay is the least time between the last order of a holder and the first order of the next
	// one. Orders of the former holder that were still on the network arrive in this time.
	TakeOverDelay time.Duration
	// LeaseTTL is how long a lease is valid after its last renewal.
	LeaseTTL time.Duration
	// Now is the clock of the update lock. Default: clocker.Now.
	Now func() clocker.Instant
}

// MaxOrderLeaseAge bounds the age of the last lease renewal at which a holder still sends orders. The store
// deletes the lock a whole LeaseTTL after the last renewal, so at that time the last order is at least
// LeaseTTL - MaxOrderLeaseAge old, and the next holder subtracts this difference from TakeOverDelay.
const MaxOrderLeaseAge = 700 * time.Millisecond

// Upgrader tries to acquire the update lock, and updates the engines while it holds the lock.
type Upgrader struct {
	settings Settings
	cancel   context.CancelFunc
	// tasks contains the goroutine of run, and updates the goroutines of running updates.
	tasks   conc.WaitGroup
	updates conc.WaitGroup
	wake    chan struct{}

	mu sync.Mutex
	// keys are the known items below KeyPrefix. synced is set by the first Reset; before it, the lock may be held although
	// its key is not known.
	keys   map[string]storer.Item
	synced bool
	// firstEra and era are the first and the latest era of the store that this daemon has seen; zero before.
	firstEra, era storer.Era
	// vacantSince is when this daemon first saw that the lock is free. It is zero while the lock is held
	// and after each attempt to acquire it.
	vacantSince time.Time
	// acquireDelay is how long after vacantSince this daemon tries to acquire the lock.
	acquireDelay time.Duration
	started      time.Time
	// lastAcquisition is this daemon's last attempt to acquire the lock.
	lastAcquisition acquisition
	// attempted are the leases under which this daemon has tried to acquire the lock lately.
	attempted []storer.LeaseID
	// closed is set by Close. From then on, this daemon no longer becomes the holder.
	closed bool
	// lastOrderAt is when this daemon sent its last order.
	lastOrderAt clocker.Instant
	// fencingToken is the version of the lock's key while this daemon holds the lock, and zero otherwise. lease
	// is the lease to which the key is bound.
	fencingToken storer.Version
	lease        storer.LeaseID
	// ordersFrom is the earliest time of this daemon's first order as the holder.
	ordersFrom clocker.Instant
	// upgrading maps the ids of targets to their running updates.
	upgrading map[string]update
	// unreachable maps the ids of unreachable targets to the times until which they are skipped.
	unreachable map[string]time.Time
	// loadTime is the moving average of the time from the reservation of a load slot until the engine has
	// loaded the weights.
	loadTime time.Duration
	// completed maps the ids of targets to their last completed updates.
	completed map[string]completedUpdate
	// planChanged is set if the upgrade plan has changed since the last call of OnPlanChange.
	planChanged bool
	// appliedPlan is the last upgrade plan of another daemon that ApplyPlan has applied.
	appliedPlan placer.UpgradePlan
}

// update is a running update of one target.
type update struct {
	target placer.TargetHash
	// loadSlotAt is when the update reserved its load slot, right before its first order; zero before.
	loadSlotAt time.Time
}

// initialLoadTime is the expected load time before the first measurement.
const initialLoadTime = time.Second

// completedUpdate is a finished update after which the engine's version is known.
type completedUpdate struct {
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
		upgrading:   make(map[string]update),
		loadTime:    initialLoadTime,
		unreachable: make(map[string]time.Time),
		completed:   make(map[string]completedUpdate),
	}
}

// Start runs the upgrader until Close or the end of ctx: it tries to acquire the update lock whenever the lock is free,
// and updates the engines while it holds the lock.
func (u *Upgrader) Start(ctx context.Context) {
	ctx, u.cancel = context.WithCancel(ctx)
	u.tasks.Go(func() { supervisor.Run(ctx, u.settings.Logger, "upgrade", u.run) })
}

// Close stops the updates, waits until their calls have returned and releases the update lock.
func (u *Upgrader) Close() error {
	u.cancel()
	u.tasks.Wait()
	u.updates.Wait()
	active := u.isActiveHolder()
	u.mu.Lock()
	u.closed = true
	u.mu.Unlock()
	if !active {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	u.mu.Lock()
	fencingToken := u.fencingToken
	former := formerHolder{name: u.settings.Name, released: true, idle: u.settings.Now().Sub(u.lastOrderAt), era: fencingToken.Era()}
	u.mu.Unlock()
	_, err := u.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: holderKey, Version: fencingToken}},
		Puts:       []storer.Put{{Key: formerKey, Value: encodeFormer(former)}},
		Deletes:    []string{holderKey},
	})
	u.stepDown("the daemon stops")
	return err
}

// HoldsLock reports whether this daemon holds the update lock. A holder has to renew its lease well within
// MaxOrderLeaseAge.
func (u *Upgrader) HoldsLock() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fencingToken != 0
}

// Wake makes the upgrader run a step at once, for example after an operator has declared new weights.
func (u *Upgrader) Wake() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// idleInterval is the time between two steps if Wake is not called in between.
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
	if wait := u.untilPreparation(); u.HoldsLock() && wait > 0 {
		return min(wait, idleInterval)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.upgrading) > 0 {
		return busyInterval
	}
	return idleInterval
}

// step acquires the update lock if it is free or still this daemon's, and starts the next updates if this daemon holds it.
func (u *Upgrader) step(ctx context.Context) {
	if !u.leaseValid() {
		u.stepDown("the lease has ended")
	}
	u.takeOwnLock()
	u.releaseLostLock(ctx)
	if u.shouldAcquire() {
		u.acquire(ctx)
	}
	if u.heldByOther() {
		u.settings.Lease.SetWanted(false)
	}
	if !u.holdsValidLock() || u.untilPreparation() > 0 {
		return
	}
	for _, candidate := range u.startUpdates() {
		u.updates.Go(func() {
			supervisor.Try(ctx, u.settings.Logger, "update engine", func(ctx context.Context) { u.updateEngine(ctx, candidate) })
		})
	}
	u.announcePlan()
}

// Reset replaces the known items below KeyPrefix. It and HandleEvents implement follower.Sink, whose argument afterOutage
// they ignore.
func (u *Upgrader) Reset(items []storer.Item, _ bool) {
	u.mu.Lock()
	clear(u.keys)
	for _, item := range items {
		u.noteEra(item.Version)
		u.keys[item.Key] = item
	}
	u.synced = true
	u.mu.Unlock()
	u.applyKeys()
}

// HandleEvents applies events of the keys below KeyPrefix. It ignores events older than the known items.
func (u *Upgrader) HandleEvents(events []storer.Event, _ bool) {
	u.mu.Lock()
	for _, event := range events {
		if event.Item.Version < u.keys[event.Item.Key].Version {
			continue
		}
		u.noteEra(event.Item.Version)
		if event.Kind == storer.EventDelete {
			delete(u.keys, event.Item.Key)
			continue
		}
		u.keys[event.Item.Key] = event.Item
	}
	u.mu.Unlock()
	u.applyKeys()
}
