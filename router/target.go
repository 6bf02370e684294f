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
	column     indexer.Column
	hash       uint64
	load       Load
	measuredAt time.Time
	// busyUntil is when the backlog of prompts is expected to be computed.
	busyUntil time.Time
	// sentCalls are the router's own calls since the last report, oldest first.
	sentCalls []sentCall
	// finishedCalls counts calls of the last report that have ended since.
	finishedCalls int
}

// sentCall is one call of this router.
type sentCall struct {
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
	wantedNames := make(map[string]bool, len(targets))
	for _, wanted := range targets {
		wantedNames[wanted.Name] = true
	}
	for name, t := range r.byName {
		if !wantedNames[name] {
			r.remove(t)
		}
	}
	leftOut := 0
	for _, wanted := range targets {
		if !r.upsert(wanted) {
			leftOut++
		}
	}
	r.reindex()
	if leftOut > 0 {
		return &TooManyTargetsError{Limit: r.settings.MaxTargets, Left: leftOut}
	}
	return nil
}

// upsert adds or changes a target and reports whether there was room for it.
func (r *Router) upsert(wanted Target) bool {
	wanted.Weights = slices.Clone(wanted.Weights)
	t := r.byName[wanted.Name]
	if t == nil {
		return r.add(wanted)
	}
	incarnation := t.Incarnation
	t.Target = wanted
	t.Incarnation = incarnation
	r.advanceIncarnation(t, wanted.Incarnation)
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

// advanceIncarnation starts a new column where the incarnation is later than the known one, and
// reports whether the incarnation is the current one now.
func (r *Router) advanceIncarnation(t *target, incarnation string) (current bool) {
	if incarnation > t.Incarnation {
		r.resetTarget(t, incarnation)
		r.reindex()
	}
	return incarnation == t.Incarnation
}

// resetTarget ends all hints and the load of the target's incarnation so far.
func (r *Router) resetTarget(t *target, incarnation string) {
	r.dropHints(t)
	t.Incarnation = incarnation
	t.load = Load{}
	t.measuredAt = time.Time{}
	t.busyUntil = time.Time{}
	t.sentCalls = t.sentCalls[:0]
	t.finishedCalls = 0
}

// dropHints ends all hints about the target.
func (r *Router) dropHints(t *target) {
	r.table.Retire(t.column)
	r.byColumn[t.column] = nil
	t.column = r.table.Open()
	r.byColumn[t.column] = t
}

// reindex rebuilds what is derived from the columns of the targets.
func (r *Router) reindex() {
	r.columnGeneration++
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
func (r *Router) ObserveLoad(name string, load Load, measuredAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byName[name]
	if t == nil || measuredAt.Before(t.measuredAt) {
		return
	}
	if load.Incarnation != "" && !r.advanceIncarnation(t, load.Incarnation) {
		return
	}
	t.load = load
	t.measuredAt = measuredAt
	t.finishedCalls = 0
	t.dropReportedCalls()
	t.busyUntil = measuredAt.Add(r.backlog(load))
	for _, call := range t.sentCalls {
		t.addWork(call.at, r.scaleForPeers(r.prefillTime(call.tokens)))
	}
	r.table.Sweep(sweepEntries)
}

// sweepEntries bounds the part of the table that is swept with each report.
const sweepEntries = 4096

// dropReportedCalls forgets the calls that the last report includes. A call that was sent at the very
// time of the report may not be in it, and is counted until the next one.
func (t *target) dropReportedCalls() {
	t.sentCalls = slices.DeleteFunc(t.sentCalls, func(s sentCall) bool { return s.at.Before(t.measuredAt) })
}

// addWork adds work to the backlog.
func (t *target) addWork(at time.Time, work time.Duration) {
	if t.busyUntil.Before(at) {
		t.busyUntil = at
	}
	t.busyUntil = t.busyUntil.Add(work)
}

// backlog is the time that a target needs for the prompts of a report. Waiting prompts are
// reported whole, so they are discounted by the part that calls had to compute of late.
func (r *Router) backlog(load Load) time.Duration {
	backlog := r.prefillTime(load.WaitingTokens)
	if load.Waiting == 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * r.misses.computedFraction())
}

// prefillTime is the time to compute prompt tokens on an idle target.
func (r *Router) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * r.settings.TokenCost
}
