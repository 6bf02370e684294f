// Package upgrader brings the engines to the weights that operators want, a few at a time.
//
// One daemon does it for all: the one that holds the duty's key on the platform's store, bound to
// its lease. The key's version is the fencing token of its orders. Before an engine is ordered to
// change, all daemons are told through the store, so that they send their requests elsewhere.
//
// # Usage
//
//	u := upgrader.New(upgrader.Settings{Store: store, Lease: leaser, Engines: engines, Places: placer})
//	u.Start(ctx)
//	defer u.Close()
//	// The follower of KeyPrefix feeds the upgrader of every daemon.
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
	// KeyPrefix is where the duty keeps its keys.
	KeyPrefix = "rill/weights/"

	holderKey = KeyPrefix + "holder"
	// formerKey outlives its writer and names the daemon that held the duty last.
	formerKey = KeyPrefix + "former"
)

// Report is what an engine says of its orders.
type Report struct {
	// Busy says that an order is in progress.
	Busy bool
	// Accepted counts the orders that the incarnation has accepted.
	Accepted int64
	Versions map[string]int64
}

// Order asks an engine for new weights.
type Order struct {
	Model   string
	Version int64
	// Holder names the daemon that gives the order.
	Holder string
	// Fence grows with each holder of the duty.
	Fence storer.Version
	// Accepted is the number of orders that the engine must have accepted before.
	Accepted int64
}

// Result is an engine's answer to an order.
type Result int

// The results.
const (
	// ResultAccepted: the order is carried out, or holds already.
	ResultAccepted Result = iota
	// ResultConflict: another order is in progress, or the number of orders differs.
	ResultConflict
	// ResultFenced: the engine has seen a newer holder.
	ResultFenced
	// ResultRefused: the engine is another one, or does not know the weights.
	ResultRefused
)

// Engines carries orders to engines.
type Engines interface {
	Report(ctx context.Context, target placer.Target) (Report, error)
	Order(ctx context.Context, target placer.Target, order Order) (Result, error)
}

// Store is the part of the platform's store that an Upgrader needs.
type Store interface {
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Lease tells whether the daemon's lease holds.
type Lease interface {
	Held() (lease storer.LeaseID, held bool)
	// Age is the time since the last renewal that the store has answered was sent.
	Age() time.Duration
	// Want says whether the lease is needed from now on: by the holder of the duty, and by a daemon
	// that tries to take it.
	Want(wanted bool)
}

// Places knows the targets and what is wanted of them.
type Places interface {
	Targets() []placer.Target
	Wanted(model string) int64
	Updating(id string, until time.Time)
	Updated(id, model string, version int64)
	// Known returns the id of an incarnation, if it is known.
	Known(hash placer.TargetHash) (id string, known bool)
}

// Settings are the parameters of an Upgrader.
type Settings struct {
	Name    string
	Store   Store
	Lease   Lease
	Engines Engines
	Places  Places
	Logger  *slog.Logger
	// Told is called when the plan has changed, which the daemon's peers should hear of at once.
	Told func()
	// TakeOver is how long a new holder waits for orders of the one before to have arrived.
	TakeOver time.Duration
	// LeaseTTL is how long a lease goes on after its last renewal.
	LeaseTTL time.Duration
	// Now is the clock of the duty. Default: clocker.Now.
	Now func() clocker.Instant
}

// OrderAge is the age of the lease up to which a holder gives orders. The duty falls vacant a whole
// LeaseTTL after the last renewal, so the next holder knows that no order is younger than the
// difference, and waits so much less.
const OrderAge = 700 * time.Millisecond

// Upgrader is the part of one daemon in the duty.
type Upgrader struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	orders   conc.WaitGroup
	wake     chan struct{}

	mu sync.Mutex
	// seen are the duty's keys as the store shows them.
	seen   map[string]storer.Item
	synced bool
	// lost is since when no holder is seen.
	lost time.Time
	// turn is how long after that this daemon tries to take the duty.
	turn    time.Duration
	started time.Time
	// claim is the last attempt to take the duty.
	claim claim
	// stopped says that the daemon takes no duty any more.
	stopped bool
	// lastOrder is when this daemon gave its last order.
	lastOrder clocker.Instant
	// fence is the version of the duty's key while this daemon holds it.
	fence storer.Version
	lease storer.LeaseID
	// began is when this daemon may give its first order.
	began clocker.Instant
	// changing are the targets that are being changed.
	changing map[string]change
	// unreachable are targets that are passed over until then.
	unreachable map[string]time.Time
	// loadTime is how long changes take lately from their order on.
	loadTime time.Duration
	done     map[string]done
	dirty    bool
	// heard is the plan of another holder that is followed.
	heard placer.Changes
}

// change is one target on its way to new weights.
type change struct {
	target placer.TargetHash
	// ordered is when the first order was given; zero while requests are kept away.
	ordered time.Time
}

// presumedLoad is how long a change takes before any was seen.
const presumedLoad = time.Second

// done is a change that has ended, with its time.
type done struct {
	placer.Changed
	at time.Time
}

// New returns an Upgrader that has not started.
func New(settings Settings) *Upgrader {
	if settings.Told == nil {
		settings.Told = func() {}
	}
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	return &Upgrader{
		settings:    settings,
		started:     time.Now(),
		cancel:      func() {},
		wake:        make(chan struct{}, 1),
		seen:        make(map[string]storer.Item),
		changing:    make(map[string]change),
		loadTime:    presumedLoad,
		unreachable: make(map[string]time.Time),
		done:        make(map[string]done),
	}
}

// Start takes part in the duty until Close or the end of ctx.
func (u *Upgrader) Start(ctx context.Context) {
	ctx, u.cancel = context.WithCancel(ctx)
	u.tasks.Go(func() { u.run(ctx) })
}

// Close gives no more orders, waits for those on their way and leaves the duty to another daemon.
func (u *Upgrader) Close() error {
	u.cancel()
	u.tasks.Wait()
	u.orders.Wait()
	holding := u.holding()
	u.mu.Lock()
	u.stopped = true
	u.mu.Unlock()
	if !holding {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	u.mu.Lock()
	fence := u.fence
	left := formerHolder{name: u.settings.Name, left: true, quiet: u.settings.Now().Sub(u.lastOrder)}
	u.mu.Unlock()
	_, err := u.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: holderKey, Version: fence}},
		Puts:       []storer.Put{{Key: formerKey, Value: encodeFormer(left)}},
		Deletes:    []string{holderKey},
	})
	u.standDown("the daemon stops")
	return err
}

// Holding says whether this daemon holds the duty, and should renew its lease well within OrderAge.
func (u *Upgrader) Holding() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fence != 0
}

// Wake looks for work at once, such as after new weights were named.
func (u *Upgrader) Wake() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// idleInterval is how often the duty is looked at without a reason.
const idleInterval = 400 * time.Millisecond

// busyInterval is how often the holder looks for the next target while some are changing.
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
	if len(u.changing) > 0 {
		return busyInterval
	}
	return idleInterval
}

// step takes the duty where nobody has it, and gives the next orders where this daemon has it.
func (u *Upgrader) step(ctx context.Context) {
	if !u.leaseStands() {
		u.standDown("the lease has ended")
	}
	if u.vacant() {
		u.take(ctx)
	}
	if u.heldElsewhere() {
		u.settings.Lease.Want(false)
	}
	if !u.holding() {
		return
	}
	for _, next := range u.next() {
		u.orders.Go(func() { u.change(ctx, next) })
	}
	u.tell()
}

// Reset takes over all keys of the duty.
func (u *Upgrader) Reset(items []storer.Item, _ bool) {
	u.mu.Lock()
	clear(u.seen)
	for _, item := range items {
		u.seen[item.Key] = item
	}
	u.synced = true
	u.mu.Unlock()
	u.react()
}

// Change takes over changes of the duty's keys.
func (u *Upgrader) Change(events []storer.Event, _ bool) {
	u.mu.Lock()
	for _, event := range events {
		if event.Item.Version < u.seen[event.Item.Key].Version {
			continue
		}
		if event.Kind == storer.EventDelete {
			delete(u.seen, event.Item.Key)
			continue
		}
		u.seen[event.Item.Key] = event.Item
	}
	u.mu.Unlock()
	u.react()
}
