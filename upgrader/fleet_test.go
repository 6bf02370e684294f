package upgrader_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/upgrader"
)

const (
	model         = "m"
	takeOverDelay = 3 * time.Second
	leaseTTL      = 2 * time.Second
	loadTime      = 800 * time.Millisecond
)

// fleet is a simulated deployment: daemons, the store that they share, and engines.
type fleet struct {
	mu       sync.Mutex
	items    map[string]storer.Item
	revision storer.Version
	// isolated contains the daemons that cannot reach the store.
	isolated map[string]bool
	// blocked contains the daemons whose commits the store refuses.
	blocked map[string]bool
	// era is the era of the store, and copied the state to which restore brings it back.
	era     storer.Era
	copied  storeCopy
	granted uint64
	daemons map[string]*daemon
	// lostCommitAnswers is the number of next commits that take effect but return an UnknownOutcomeError.
	lostCommitAnswers int
	wanted            int64
	engines           map[string]*engine
	orders            []receivedOrder
	violations        []string
}

// receivedOrder is an order that reached an engine.
type receivedOrder struct {
	holder       string
	fencingToken storer.Version
	at           time.Time
}

// engine is a simulated engine. It loads loadingVersion until loadedAt; loadingVersion is zero if it loads nothing.
type engine struct {
	version        int64
	accepted       int64
	fencingToken   storer.Version
	loadingVersion int64
	loadedAt       time.Time
	// unreachable makes all reports of the engine fail.
	unreachable bool
	// loseAnswer makes the engine execute its next order, while the daemon receives an error instead of the answer.
	loseAnswer bool
}

// daemon is one daemon with its upgrader, its lease and its view of the engines.
type daemon struct {
	fleet     *fleet
	name      string
	lease     storer.LeaseID
	leaseHeld bool
	// wantsLease is the argument of the upgrader's last SetWanted call.
	wantsLease bool
	upgrader   *upgrader.Upgrader
	upgrading  map[string]bool
	// unrenewedSince is when the renewals of the lease stopped; zero while the lease is renewed.
	unrenewedSince time.Time
	// stalled is set while the daemon reads a stale copy; missed are the events that it has not seen.
	stalled bool
	missed  []storer.Event
	// behind is set from a restore of the store until the daemon has listed the keys again. It discards events meanwhile.
	behind   bool
	applying sync.Mutex
}

func newFleet(engines int, daemons ...string) *fleet {
	f := &fleet{items: make(map[string]storer.Item), isolated: make(map[string]bool), blocked: make(map[string]bool), daemons: make(map[string]*daemon), engines: make(map[string]*engine), wanted: 1}
	for i := range engines {
		f.engines[fmt.Sprintf("e%02d", i)] = &engine{version: 1}
	}
	for i, name := range daemons {
		d := &daemon{fleet: f, name: name, lease: storer.LeaseID(fmt.Sprint(i + 1)), leaseHeld: true, upgrading: make(map[string]bool)}
		d.upgrader = upgrader.New(upgrader.Settings{
			Name: name, Store: d, Lease: d, Engines: d, Placer: d, Logger: slog.New(slog.DiscardHandler), TakeOverDelay: takeOverDelay, LeaseTTL: leaseTTL, OnPlanChange: d.sendPlan,
			Now: func() clocker.Instant { return clocker.Instant(time.Now().UnixNano()) },
		})
		f.daemons[name] = d
	}
	return f
}

func (f *fleet) start(ctx context.Context) {
	for _, d := range f.daemons {
		d.upgrader.Reset(nil, false)
		d.upgrader.Start(ctx)
	}
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		_ = d.upgrader.Close()
	}
}

// isolate makes the store unreachable for a daemon. The upgrader notices this only by RenewalAge, which
// increases from now on.
func (f *fleet) isolate(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[name], f.daemons[name].unrenewedSince = true, time.Now()
}

// expireLease deletes the items in the store that are attached to the lease of a daemon, and sends the deletions
// to the daemons that are not isolated.
func (f *fleet) expireLease(name string) {
	f.mu.Lock()
	f.daemons[name].leaseHeld = false
	var events []storer.Event
	for key, item := range f.items {
		if item.Lease == f.daemons[name].lease {
			delete(f.items, key)
			f.revision++
			events = append(events, storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: f.revision}})
		}
	}
	f.mu.Unlock()
	f.notify(events)
}

func (f *fleet) notify(events []storer.Event) {
	f.mu.Lock()
	var reached []*daemon
	for name, d := range f.daemons {
		switch {
		case d.stalled:
			d.missed = append(d.missed, events...)
		case !f.isolated[name]:
			reached = append(reached, d)
		}
	}
	f.mu.Unlock()
	for _, d := range reached {
		go d.applyEvents(events)
	}
}

func (f *fleet) holder() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.items[upgrader.KeyPrefix+"holder"].Value)
}

// versions returns the distinct versions that the engines have.
func (f *fleet) versions() (versions []int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		e.finishLoad()
		versions = append(versions, e.version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// finishLoad completes a load whose time has passed.
func (e *engine) finishLoad() {
	if e.loadingVersion > 0 && !time.Now().Before(e.loadedAt) {
		e.version, e.loadingVersion = e.loadingVersion, 0
	}
}

// applyEvents passes events to the daemon one call at a time, as its follower does.
func (d *daemon) applyEvents(events []storer.Event) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if !d.isBehind() {
		d.upgrader.HandleEvents(events, false)
	}
}

func (d *daemon) Held() (storer.LeaseID, bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.lease, d.leaseHeld
}

func (d *daemon) RenewalAge() time.Duration {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.unrenewedSince.IsZero() {
		return 0
	}
	return time.Since(d.unrenewedSince)
}

func (d *daemon) Commit(_ context.Context, transaction storer.Transaction) (storer.Version, error) {
	f := d.fleet
	f.mu.Lock()
	if f.isolated[d.name] || f.blocked[d.name] {
		f.mu.Unlock()
		return 0, &storer.UnavailableError{Cause: errors.New("isolated from the store")}
	}
	for _, condition := range transaction.Conditions {
		if f.items[condition.Key].Version != condition.Version {
			f.mu.Unlock()
			return 0, &storer.ConflictError{Key: condition.Key}
		}
	}
	f.revision++
	version := f.revision
	var events []storer.Event
	for _, put := range transaction.Puts {
		item := storer.Item{Key: put.Key, Value: put.Value, Version: version, Lease: inEra(put.Lease, f.era)}
		f.items[put.Key] = item
		events = append(events, storer.Event{Kind: storer.EventPut, Item: item})
	}
	for _, key := range transaction.Deletes {
		delete(f.items, key)
		events = append(events, storer.Event{Kind: storer.EventDelete, Item: storer.Item{Key: key, Version: version}})
	}
	lost := f.lostCommitAnswers > 0 || f.ofOtherEra(transaction)
	if f.lostCommitAnswers > 0 {
		f.lostCommitAnswers--
	}
	f.mu.Unlock()
	f.notify(events)
	if lost {
		return 0, &storer.UnknownOutcomeError{Key: transaction.KeyList(), Cause: errors.New("the answer was lost")}
	}
	return version, nil
}

func (d *daemon) Report(_ context.Context, target placer.Target) (upgrader.Report, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	e := d.fleet.engines[target.ID]
	e.finishLoad()
	if e.unreachable {
		return upgrader.Report{}, errors.New("no answer")
	}
	return upgrader.Report{Busy: e.loadingVersion > 0, Accepted: e.accepted, Versions: map[string]int64{model: e.version}}, nil
}

func (d *daemon) Order(_ context.Context, target placer.Target, order upgrader.Order) (upgrader.Result, error) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkOrder(receivedOrder{holder: order.Holder, fencingToken: order.FencingToken, at: time.Now()})
	e := f.engines[target.ID]
	e.finishLoad()
	switch {
	case order.FencingToken < e.fencingToken:
		return upgrader.ResultFenced, nil
	case e.loadingVersion > 0 || order.Accepted != e.accepted:
		return upgrader.ResultConflict, nil
	}
	e.fencingToken, e.loadingVersion, e.loadedAt = order.FencingToken, order.Version, time.Now().Add(loadTime)
	e.accepted++
	if e.loseAnswer {
		e.loseAnswer = false
		return upgrader.ResultConflict, errors.New("the answer was lost")
	}
	return upgrader.ResultAccepted, nil
}

// checkOrder records an order and checks the fencing tokens and the take-over delay between holders, and
// the limit for concurrent loads.
func (f *fleet) checkOrder(order receivedOrder) {
	if len(f.orders) > 0 {
		last := f.orders[len(f.orders)-1]
		switch {
		case order.holder != last.holder && order.fencingToken <= last.fencingToken:
			f.violations = append(f.violations, fmt.Sprintf("%s sent an order with fencing token %d after %s with %d", order.holder, order.fencingToken, last.holder, last.fencingToken))
		case order.holder != last.holder && order.at.Sub(last.at) < takeOverDelay:
			f.violations = append(f.violations, fmt.Sprintf("%s sent an order %s after one of %s", order.holder, order.at.Sub(last.at), last.holder))
		}
	}
	f.orders = append(f.orders, order)
	loading := 0
	for _, e := range f.engines {
		e.finishLoad()
		if e.loadingVersion > 0 {
			loading++
		}
	}
	if limit := max(2, len(f.engines)/6); loading >= limit+1 {
		f.violations = append(f.violations, fmt.Sprintf("%d engines load at the same time", loading+1))
	}
}

func (d *daemon) Targets() (targets []placer.Target) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	for id, e := range d.fleet.engines {
		e.finishLoad()
		targets = append(targets, placer.Target{ID: id, Versions: map[string]int64{model: e.version}})
	}
	return targets
}

func (d *daemon) SetWanted(wanted bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.wantsLease = wanted
}

func (d *daemon) WantedVersion(string) int64 {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return d.fleet.wanted
}

func (d *daemon) MarkUpgrading(id string, until time.Time) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.upgrading[id] = time.Now().Before(until)
}

// sendPlan passes the daemon's plan to all other daemons. Isolated daemons neither send nor receive.
func (d *daemon) sendPlan() {
	plan := d.upgrader.Plan()
	d.fleet.mu.Lock()
	var others []*daemon
	for name, other := range d.fleet.daemons {
		if other != d && !d.fleet.isolated[name] && !d.fleet.isolated[d.name] {
			others = append(others, other)
		}
	}
	d.fleet.mu.Unlock()
	for _, other := range others {
		other.upgrader.ApplyPlan(plan)
	}
}

func (d *daemon) TargetID(hash placer.TargetHash) (string, bool) {
	for _, target := range d.Targets() {
		if target.Hash() == hash {
			return target.ID, true
		}
	}
	return "", false
}

func (d *daemon) MarkUpgraded(id, _ string, _ int64) { d.MarkUpgrading(id, time.Time{}) }

// setWanted sets the wanted version of the weights and wakes the upgraders of all daemons.
func (f *fleet) setWanted(version int64) {
	f.mu.Lock()
	f.wanted = version
	f.mu.Unlock()
	for _, d := range f.daemons {
		d.upgrader.Wake()
	}
}

// runInVirtualTime runs a test with a started fleet in virtual time. It reports each violation that checkOrder found.
func runInVirtualTime(t *testing.T, engines int, run func(f *fleet), daemons ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(engines, daemons...)
		f.start(t.Context())
		time.Sleep(2 * time.Second)
		run(f)
		f.close()
		synctest.Wait()
		if len(f.violations) > 0 {
			t.Error(strings.Join(f.violations, "\n"))
		}
	})
}

// suspendHolder cuts the holder off until its lease has ended, and returns its name and when it was cut off.
func (f *fleet) suspendHolder() (name string, at time.Time) {
	name, at = f.holder(), time.Now()
	f.isolate(name)
	time.Sleep(leaseTTL)
	f.expireLease(name)
	return name, at
}
