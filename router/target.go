package router

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Target describes one target of the pool, as far as the daemon knows it.
type Target struct {
	Name string
	// Weights are the weights that the target has loaded.
	Weights []string
	// Incarnation is the latest incarnation that was seen, or empty. The incarnation of a later
	// start compares greater.
	Incarnation string
	// Slots is the number of calls that the target runs concurrently.
	Slots      int
	DataCentre string
	// Usable reports whether the target may get new work.
	Usable bool
}

// Load is a load report of an engine. It may arrive late.
type Load struct {
	// Incarnation is that of the reporting engine, or empty.
	Incarnation   string
	Running       int
	Waiting       int
	WaitingTokens int
	// CachedBlocks and CacheCapacityBlocks are the number of cached blocks and its maximum.
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
	// busyUntil is the time at which the prefill of the backlog is expected to be complete.
	busyUntil time.Time
	// sentCalls are the router's own calls since the last report, oldest first.
	sentCalls []sentCall
	// finishedCalls counts calls of the last report that have ended since.
	finishedCalls int
}

// sentCall is one call that this router has sent.
type sentCall struct {
	at     time.Time
	tokens int
	done   bool
}

// SetTargets replaces the targets of the pool, after a change of the configuration or of their
// liveness. The incarnation of a target that stays never decreases. Targets beyond
// Settings.MaxTargets are left out; the error is a *TooManyTargetsError then.
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
		return &TooManyTargetsError{Limit: r.settings.MaxTargets, LeftOut: leftOut}
	}
	return nil
}

// upsert adds or updates a target and reports whether there was room for it.
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

// advanceIncarnation resets the target if the incarnation is later than the known one, and reports
// whether the incarnation is the current one now.
func (r *Router) advanceIncarnation(t *target, incarnation string) (current bool) {
	if incarnation > t.Incarnation {
		r.resetTarget(t, incarnation)
		r.reindex()
	}
	return incarnation == t.Incarnation
}

// resetTarget drops the hints and the load of the target's previous incarnation.
func (r *Router) resetTarget(t *target, incarnation string) {
	r.dropHints(t)
	t.Incarnation = incarnation
	t.load = Load{}
	t.measuredAt = time.Time{}
	t.busyUntil = time.Time{}
	t.sentCalls = t.sentCalls[:0]
	t.finishedCalls = 0
}

// dropHints invalidates all hints about the target by giving it a new column.
func (r *Router) dropHints(t *target) {
	r.table.Retire(t.column)
	r.byColumn[t.column] = nil
	t.column = r.table.Open()
	r.byColumn[t.column] = t
}

// reindex rebuilds the sets of columns by usability and by weights.
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

// ObserveLoad applies a load report that the target measured at the given time. Reports that are
// older than the last one, or that come from an earlier incarnation, are dropped.
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

// sweepEntries bounds the table entries that are swept with each report.
const sweepEntries = 4096

// dropReportedCalls removes the calls that the last report includes. A call that was sent at the
// time of the report itself may be missing in it, so it is counted until the next one.
func (t *target) dropReportedCalls() {
	t.sentCalls = slices.DeleteFunc(t.sentCalls, func(s sentCall) bool { return s.at.Before(t.measuredAt) })
}

// addWork extends the backlog by work that arrives at the given time.
func (t *target) addWork(at time.Time, work time.Duration) {
	if t.busyUntil.Before(at) {
		t.busyUntil = at
	}
	t.busyUntil = t.busyUntil.Add(work)
}

// backlog returns the time that a target needs for the prompts of a report. The report counts all
// tokens of waiting prompts, so the time is scaled by the fraction that recent calls had to compute.
func (r *Router) backlog(load Load) time.Duration {
	backlog := r.prefillTime(load.WaitingTokens)
	if load.Waiting == 0 {
		return backlog
	}
	return time.Duration(float64(backlog) * r.misses.computedFraction())
}

// prefillTime returns the time that an idle target needs to compute prompt tokens.
func (r *Router) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * r.settings.PrefillTimePerToken
}
