// Package commander sends orders to the engines of a data centre: which version and adapter to
// load and which role to assume.
//
// One daemon of the data centre is the leader; it holds a lease on the platform. Its orders name
// the state that an engine is to reach, so they are idempotent, and carry the fencing token of
// the lease. Since some engines ignore that token, an order is sent only if, by the monotonic
// clock, the lease expires after the order's timeout, and a new leader sends no order until the
// lease of its predecessor has certainly expired. A leader that is paused while it sends
// an order may still deliver a stale order. The new leader corrects its effect, since the engine's
// next report differs from the desired state.
//
// The number of concurrent loads in the data centre is bounded, and a rollout never reloads the
// last usable target of a version that is still serving.
//
// # Usage
//
//	c := commander.New(commander.Settings{
//		Daemon: "entry-1", DataCentre: "sapporo", Store: client, Engines: engines,
//		Reports: reports, Configuration: configuration, MaxLoads: 2,
//	})
//	c.Start()
//	defer c.Close()
package commander

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("commander")

// Store is the subset of the platform's client that acquires, renews and revokes the lease.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error)
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	Renew(ctx context.Context, id storer.LeaseID) (storer.Lease, error)
	Revoke(ctx context.Context, id storer.LeaseID) error
}

// OrderSender sends an order to the engine of a target. It returns a StaleFencingTokenError if the
// engine has seen a higher fencing token.
type OrderSender interface {
	Order(ctx context.Context, target registrar.Target, order Order) (OrderState, error)
}

// ReportSource provides the newest load report of each engine of the data centre.
type ReportSource interface {
	Reports() []Report
}

// SnapshotSource provides the current snapshot of the operators' objects.
type SnapshotSource interface {
	Snapshot() *registrar.Snapshot
}

// Defaults of Settings.
const (
	DefaultMaxLoads     = 2
	DefaultLeaseTTL     = 5 * time.Second
	DefaultPollInterval = 5 * time.Second
	DefaultPlanInterval = 250 * time.Millisecond
	DefaultOrderTimeout = time.Second
	DefaultLoadTimeout  = 5 * time.Second
	DefaultStoreTimeout = 500 * time.Millisecond
)

// Settings configure a Commander. Daemon, DataCentre, Store, Engines, Reports and Configuration
// are required.
type Settings struct {
	Daemon        string
	DataCentre    string
	Store         Store
	Engines       OrderSender
	Reports       ReportSource
	Configuration SnapshotSource
	// Logger is slog.Default() unless set.
	Logger *slog.Logger
	// MaxLoads bounds the concurrent loads in the data centre.
	MaxLoads int
	// LeaseTTL is the lifetime of the lease. A crashed leader is replaced only after its lease has expired.
	LeaseTTL time.Duration
	// PollInterval is how often a daemon that is not the leader checks whether there is one.
	PollInterval time.Duration
	// PlanInterval is how often the leader compares reports with the desired states.
	PlanInterval time.Duration
	// OrderTimeout bounds one order, from the check of the lease to the engine's response.
	OrderTimeout time.Duration
	// LoadTimeout is how long a load counts as running after its order, or after its engine last
	// responded that it is loading. A new leader waits for LeaseTTL plus LoadTimeout before its
	// first order, so that the loads of its predecessor have finished.
	LoadTimeout time.Duration
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
}

func (s *Settings) applyDefaults() {
	if s.Logger == nil {
		s.Logger = slog.Default()
	}
	s.MaxLoads = cmp.Or(s.MaxLoads, DefaultMaxLoads)
	s.LeaseTTL = cmp.Or(s.LeaseTTL, DefaultLeaseTTL)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.PlanInterval = cmp.Or(s.PlanInterval, DefaultPlanInterval)
	s.OrderTimeout = cmp.Or(s.OrderTimeout, DefaultOrderTimeout)
	s.LoadTimeout = cmp.Or(s.LoadTimeout, DefaultLoadTimeout)
	s.StoreTimeout = cmp.Or(s.StoreTimeout, DefaultStoreTimeout)
}

// Commander competes for the leader lease of its data centre and sends orders while it holds the
// lease.
type Commander struct {
	settings Settings
	logger   *slog.Logger
	lease    lease
	ctx      context.Context
	cancel   context.CancelFunc
	loops    conc.WaitGroup

	mu sync.Mutex
	// loads contains the loads that were ordered and not yet reported as finished, by target.
	loads map[string]Load
	// fencingToken is the fencing token of the lease under which the loads were ordered.
	fencingToken uint64
}

// New returns a Commander that does nothing until Start.
func New(settings Settings) *Commander {
	settings.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Commander{
		settings: settings,
		logger:   settings.Logger,
		ctx:      ctx,
		cancel:   cancel,
		loads:    make(map[string]Load),
	}
}

// Start starts the loops that acquire the lease and send orders under it.
func (c *Commander) Start() {
	c.loops.Go(c.leaseLoop)
	c.loops.Go(c.reconcileLoop)
}

// Close stops both loops, revokes the lease and waits until this is done.
func (c *Commander) Close() {
	c.cancel()
	c.loops.Wait()
}

// IsLeader reports whether this daemon is the leader of the data centre and may send orders now.
func (c *Commander) IsLeader() bool {
	_, ok := c.lease.authorize(c.settings.OrderTimeout)
	return ok
}

// runEvery calls f, with a pause of the interval after each call, until the Commander is closed.
func (c *Commander) runEvery(interval time.Duration, f func()) {
	for c.ctx.Err() == nil {
		f()
		c.sleep(interval)
	}
}

// sleep pauses for d or until the Commander is closed.
func (c *Commander) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}
