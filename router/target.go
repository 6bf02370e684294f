package router

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Target is what the daemon knows of one replica of the pool.
type Target struct {
	Name string
	// Weights are the weights that the target has loaded.
	Weights []string
	// Incarnation is the last one that was seen, or empty. A later start compares greater.
	Incarnation string
	// Slots is how many calls the target runs at once.
	Slots      int
	DataCentre string
	// Usable says that the target may get new work.
	Usable bool
}

// Load is a report of an engine. It may be late.
type Load struct {
	// Incarnation of the engine that reports, or empty.
	Incarnation   string
	Running       int
	Waiting       int
	WaitingTokens int
	// CachedBlocks and CacheCapacityBlocks tell how full the cache is.
	CachedBlocks        int
	CacheCapacityBlocks int
}

// target is the state kept for a Target.
type target struct {
	Target
	column   indexer.Column
	hash     uint64
	load     Load
	measured time.Time
	// busyUntil is when the backlog of prompts is expected to be computed.
	busyUntil time.Time
	// sends are the router's own calls since the last report, oldest first.
	sends []send
	// finished counts calls of the last report that have ended since.
	finished int
}

// send is one call of this router.
type send struct {
	at     time.Time
	tokens int
	done   bool
}

// SetTargets replaces the targets of the pool, after a change of the configuration or of
// their liveness. The incarnation of a target that stays only moves up. Targets beyond the
// bound of the settings are left out; the error is a *TooManyTargetsError then.
func (r *Router) SetTargets(targets []Target) (err error) {
	defer Error.WrapP(&err)
	r.mu.Lock()
	defer r.mu.Unlock()
	named := make(map[string]bool, len(targets))
	for _, wanted := range targets {
		named[wanted.Name] = true
	}
	for name, t := range r.byName {
		if !named[name] {
			r.remove(t)
		}
	}
	left := 0
	for _, wanted := range targets {
		if !r.put(wanted) {
			left++
		}
	}
	r.reindex()
	if left > 0 {
		return &TooManyTargetsError{Limit: r.settings.MaxTargets, Left: left}
	}
	return nil
}

// put adds or changes a target and reports whether there was room for it.
func (r *Router) put(wanted Target) bool {
	wanted.Weights = slices.Clone(wanted.Weights)
	t := r.byName[wanted.Name]
	if t == nil {
		return r.add(wanted)
	}
	incarnation := t.Incarnation
	t.Target = wanted
	t.Incarnation = incarnation
	r.renewIfLater(t, wanted.Incarnation)
	return true
}

func (r *Router) add(wanted Target) bool {
	if len(r.byName) >= r.settings.MaxTargets {
		return false
	}
	t := &target{Target: wanted, column: r.table.Open(), hash: xxh3.HashString(wanted.Name)}
	r.byName[t.Name] = t
	r.byColumn[t.column] = t
	return true
}

func (r *Router) remove(t *target) {
	r.table.Retire(t.column)
	r.byColumn[t.column] = nil
	delete(r.byName, t.Name)
}

// renewIfLater starts a new column where the incarnation is later than the known one, and
// reports whether the incarnation is the current one now.
func (r *Router) renewIfLater(t *target, incarnation string) (current bool) {
	if incarnation > t.Incarnation {
		r.renew(t, incarnation)
		r.reindex()
	}
	return incarnation == t.Incarnation
}

// renew ends all hints and the load of the target's incarnation so far.
func (r *Router) renew(t *target, incarnation string) {
	r.forget(t)
	t.Incarnation = incarnation
	t.load = Load{}
	t.measured = time.Time{}
	t.busyUntil = time.Time{}
	t.sends = t.sends[:0]
	t.finished = 0
}

// forget ends all hints about the target.
func (r *Router) forget(t *target) {
	r.table.Retire(t.column)
	r.byColumn[t.column] = nil
	t.column = r.table.Open()
	r.byColumn[t.column] = t
}

// reindex rebuilds what is derived from the columns of the targets.
func (r *Router) reindex() {
	r.topology++
	clear(r.usable)
	clear(r.weights)
	for _, t := range r.byName {
		if t.Usable {
			r.usable.set(t.column)
		}
		for _, weights := range t.Weights {
			if r.weights[weights] == nil {
				r.weights[weights] = make(bitset, r.table.Words())
			}
			r.weights[weights].set(t.column)
		}
	}
}

// ObserveLoad takes a report that the target measured at the given time. Reports that are
// older than the last one, or that come from a dead incarnation, are dropped.
func (r *Router) ObserveLoad(name string, load Load, measured time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byName[name]
	if t == nil || measured.Before(t.measured) {
		return
	}
	if load.Incarnation != "" && !r.renewIfLater(t, load.Incarnation) {
		return
	}
	t.load = load
	t.measured = measured
	t.finished = 0
	t.dropReported()
	t.busyUntil = measured.Add(r.backlog(load))
	for _, sent := range t.sends {
		t.occupy(sent.at, r.echoed(r.cost(sent.tokens)))
	}
	r.table.Sweep(sweepEntries)
}

// sweepEntries bounds the part of the table that is swept with each report.
const sweepEntries = 4096

// dropReported forgets the calls that the last report includes. A call that was sent at the very
// time of the report may not be in it, and is counted until the next one.
func (t *target) dropReported() {
	t.sends = slices.DeleteFunc(t.sends, func(s send) bool { return s.at.Before(t.measured) })
}

// occupy adds work to the backlog.
func (t *target) occupy(at time.Time, work time.Duration) {
	if t.busyUntil.Before(at) {
		t.busyUntil = at
	}
	t.busyUntil = t.busyUntil.Add(work)
}

// backlog is the time that a target needs for the prompts of a report. Waiting prompts are
// reported whole, so they are discounted by the part that calls had to compute of late.
func (r *Router) backlog(load Load) time.Duration {
	backlog := r.cost(load.WaitingTokens)
	if load.Waiting == 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * r.misses.part())
}

// cost is the time to compute prompt tokens on an idle target.
func (r *Router) cost(tokens int) time.Duration {
	return time.Duration(tokens) * r.settings.TokenCost
}
