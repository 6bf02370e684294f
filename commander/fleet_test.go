package commander_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/commander"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	dataCentre  = "sapporo"
	reportDelay = 150 * time.Millisecond
)

var errLost = errors.New("connection lost")

// engine is an emulated engine that executes orders. It has at most one set of weights loaded.
type engine struct {
	name           string
	ignoresFencing bool
	loadTime       time.Duration
	weights        string
	loading        string
	incarnation    int
	highestToken   uint64
}

// fleet is a data centre: the daemons that may become leader, and the engines.
type fleet struct {
	platform *platformemulator.Platform
	maxLoads int

	mu         sync.Mutex
	hosts      []*host
	engines    []*engine
	reports    []commander.Report
	snapshot   *registrar.Snapshot
	reached    map[string]int
	violations []string
}

func (f *fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// host runs one daemon. It can be paused or killed at the points where it calls waitIfPaused.
type host struct {
	fleet *fleet
	name  string
	conn  *platformemulator.Connection
	c     *commander.Commander

	mu         sync.Mutex
	killed     bool
	resumeAt   time.Time
	orderDelay time.Duration
	pauses     map[string]time.Duration
}

func (f *fleet) start(name string, pauses map[string]time.Duration) *host {
	h := &host{fleet: f, name: name, conn: f.platform.Connection(name), pauses: pauses}
	h.c = commander.New(commander.Settings{
		Daemon: name, DataCentre: dataCentre, Store: h, Engines: h, Reports: h, Configuration: f,
		Logger: slog.New(slog.DiscardHandler), MaxLoads: f.maxLoads,
	})
	h.c.Start()
	return h
}

// waitIfPaused waits while the host is paused and returns false if it is killed. The host is paused
// once at each point that has a pause.
func (h *host) waitIfPaused(point string) bool {
	h.mu.Lock()
	if pause := h.pauses[point]; pause > 0 {
		delete(h.pauses, point)
		h.resumeAt = time.Now().Add(pause)
		h.fleet.countReached("paused " + point)
	}
	h.mu.Unlock()
	for {
		h.mu.Lock()
		killed, wait := h.killed, time.Until(h.resumeAt)
		h.mu.Unlock()
		if killed || wait <= 0 {
			return !killed
		}
		time.Sleep(wait)
	}
}

func (h *host) clearPauses() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses = nil
}

func (f *fleet) countReached(condition string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[condition]++
}

// callPlatform makes one call to the platform, with a possible pause before and after it.
func callPlatform[T any](h *host, operation string, call func() (T, error)) (result T, err error) {
	if !h.waitIfPaused("before " + operation) {
		return result, &storer.UnavailableError{Cause: errLost}
	}
	result, err = call()
	if !h.waitIfPaused("after " + operation) {
		return result, &storer.UnavailableError{Cause: errLost}
	}
	var unknown *storer.UnknownOutcomeError
	if errors.As(err, &unknown) {
		h.fleet.countReached("answer lost to " + operation)
	}
	return result, err
}

func (h *host) Get(ctx context.Context, key string) (storer.Item, error) {
	return callPlatform(h, "get", func() (storer.Item, error) { return h.conn.Get(ctx, key) })
}

func (h *host) Create(ctx context.Context, key string, value []byte, id storer.LeaseID) (storer.Version, error) {
	return callPlatform(h, "create", func() (storer.Version, error) { return h.conn.Create(ctx, key, value, id) })
}

func (h *host) Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error) {
	return callPlatform(h, "grant", func() (storer.Lease, error) { return h.conn.Grant(ctx, ttl) })
}

func (h *host) Renew(ctx context.Context, id storer.LeaseID) (storer.Lease, error) {
	return callPlatform(h, "renew", func() (storer.Lease, error) { return h.conn.Renew(ctx, id) })
}

func (h *host) Revoke(ctx context.Context, id storer.LeaseID) error {
	return h.conn.Revoke(ctx, id)
}

// Order sends an order to an engine. It drops an order whose context has ended. With orderDelay the
// order reaches the engine late and the caller gets no response.
func (h *host) Order(ctx context.Context, target registrar.Target, order commander.Order) (commander.OrderState, error) {
	if !h.waitIfPaused("between the check and the send") || ctx.Err() != nil {
		return "", errLost
	}
	h.mu.Lock()
	delay := h.orderDelay
	h.mu.Unlock()
	if delay > 0 {
		h.fleet.countReached("order arrives late")
		time.AfterFunc(delay, func() { _, _ = h.fleet.executeOrder(target.Name, order) })
		<-ctx.Done()
		return "", ctx.Err()
	}
	state, err := h.fleet.executeOrder(target.Name, order)
	if !h.waitIfPaused("after the send") {
		return "", errLost
	}
	return state, err
}

// executeOrder executes an order at an engine. It checks that an engine that ignores fencing tokens
// gets no order with a lower token than before.
func (f *fleet) executeOrder(name string, order commander.Order) (commander.OrderState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[slices.IndexFunc(f.engines, func(e *engine) bool { return e.name == name })]
	if order.FencingToken < e.highestToken {
		if !e.ignoresFencing {
			f.reached["order refused by fencing"]++
			return "", &commander.StaleFencingTokenError{Target: name, Sent: order.FencingToken, Highest: e.highestToken}
		}
		f.addViolation("%s executed an order with fencing token %d after one with %d", name, order.FencingToken, e.highestToken)
	}
	if order.FencingToken > e.highestToken && e.highestToken > 0 {
		f.reached["engine executes an order of a new leader"]++
	}
	e.highestToken = max(e.highestToken, order.FencingToken)
	if e.weights == order.Weights {
		return commander.OrderDone, nil
	}
	if e.loading == "" {
		f.startLoad(e, order.Weights)
	}
	return commander.OrderLoading, nil
}

// startLoad starts a load and checks the bound on concurrent loads. The caller holds the lock.
func (f *fleet) startLoad(e *engine, weights string) {
	e.loading = weights
	incarnation := e.incarnation
	loading := 0
	for _, other := range f.engines {
		if other.loading != "" {
			loading++
		}
	}
	if loading > f.maxLoads {
		f.addViolation("%d concurrent loads", loading)
	}
	f.reached[fmt.Sprintf("loads at once: %d", loading)]++
	time.AfterFunc(e.loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if e.incarnation == incarnation {
			e.weights, e.loading = weights, ""
		}
	})
}

// crash restarts an engine without weights.
func (f *fleet) crash(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.loading != "" {
		f.reached["engine crashed during a load"]++
	}
	e.weights, e.loading = "", ""
	e.incarnation++
}

// crashLoading waits up to the given time for an engine that is loading, and crashes it.
func (f *fleet) crashLoading(wait time.Duration) {
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.loading != "" })
		f.mu.Unlock()
		if i >= 0 {
			f.crash(f.engines[i])
			return
		}
	}
}

// sampleReports records a report of each engine and publishes the reports after reportDelay.
func (f *fleet) sampleReports() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []commander.Report
	for _, e := range f.engines {
		report := commander.Report{Target: e.name, Incarnation: fmt.Sprint(e.incarnation), Usable: true}
		if e.weights != "" {
			report.Weights = []string{e.weights}
		}
		reports = append(reports, report)
	}
	time.AfterFunc(reportDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reports = reports
	})
}

// Reports implements commander.ReportSource. A host that is paused in this call plans with outdated reports.
func (h *host) Reports() []commander.Report {
	h.fleet.mu.Lock()
	reports := h.fleet.reports
	h.fleet.mu.Unlock()
	h.waitIfPaused("between the reports and the plan")
	return reports
}

func (f *fleet) Snapshot() *registrar.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// configure makes a version the default of the model.
func (f *fleet) configure(version string) {
	objects := registrar.Objects{
		Models:    []registrar.Model{{Name: "m", DefaultVersion: version}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
	}
	for _, name := range []string{"v1", "v2", "v3"} {
		objects.Versions = append(objects.Versions, registrar.Version{Name: name, Model: "m", Weights: "weights-" + name})
	}
	for _, e := range f.engines {
		objects.Targets = append(objects.Targets, registrar.Target{
			Name: e.name, Kind: registrar.TargetEngine, Model: "m", DataCentre: dataCentre, ChecksFencing: !e.ignoresFencing,
		})
	}
	snapshot, err := registrar.NewSnapshot(1, objects)
	if err != nil {
		panic(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
}
