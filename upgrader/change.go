package upgrader

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// drainPause is the time between the announcement of a change and its order, in which the
	// daemons stop sending and the engine finishes what waits there.
	drainPause = 350 * time.Millisecond
	// pollPause is the time between two reports of a changing engine.
	pollPause = 100 * time.Millisecond
	// slotPause is the time between two looks for room to load.
	slotPause = 20 * time.Millisecond
	// loadShare is the part of the expected load time after which an engine is first asked.
	loadShare = 0.85
	// unreachableReports is the number of reports in a row that may fail.
	unreachableReports = 3
	// unreachablePause is how long an engine is passed over that could not be reached.
	unreachablePause = 2 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 700 * time.Millisecond
	// repeatAfter is when an order without an effect is given again.
	repeatAfter = 900 * time.Millisecond
)

// change brings one target to new weights.
func (u *Upgrader) change(ctx context.Context, c Candidate) {
	started := time.Now()
	version, result := u.carryOut(ctx, c)
	u.settings.Logger.Info("engine changed", "target", c.Target.ID, "model", c.Model, "from", c.Has,
		"to", version, "wanted", c.Wanted, "result", result, "took_ms", time.Since(started).Milliseconds())
	if version >= c.Wanted {
		u.settings.Places.Updated(c.Target.ID, c.Model, version)
	} else {
		u.settings.Places.Updating(c.Target.ID, time.Time{})
	}
	u.mu.Lock()
	delete(u.changing, c.Target.ID)
	if result == resultUnreachable {
		u.unreachable[c.Target.ID] = time.Now().Add(unreachablePause)
	}
	if version > 0 {
		u.done[c.Target.ID] = done{Changed: placer.Changed{Target: c.Target.Hash(), Model: c.Model, Version: version}, at: time.Now()}
	}
	u.dirty = true
	u.mu.Unlock()
	u.Wake()
}

// resultUnreachable is the end of a change whose engine does not answer.
const resultUnreachable = "unreachable"

// carryOut orders and follows the change until the engine has the weights, and returns those that
// it is known to have; zero where it is not known.
func (u *Upgrader) carryOut(ctx context.Context, c Candidate) (version int64, result string) {
	if _, err := u.report(ctx, c); err != nil {
		return 0, resultUnreachable
	}
	if !waiter.Pause(ctx, drainPause) {
		return 0, "stopped"
	}
	for !u.beginLoad(c.Target.ID) {
		if !waiter.Pause(ctx, slotPause) {
			return 0, "stopped"
		}
	}
	var ordered time.Time
	failures := 0
	deadline := time.Now().Add(longestChange)
	for time.Now().Before(deadline) {
		pause := pollPause
		report, err := u.report(ctx, c)
		switch {
		case err != nil && failures+1 >= unreachableReports:
			return 0, resultUnreachable
		case err != nil:
			failures++
		case report.Versions[c.Model] >= c.Wanted && !report.Busy:
			u.loaded(c.Target.ID)
			return report.Versions[c.Model], "changed"
		case !report.Busy && time.Since(ordered) > repeatAfter && u.mayOrder():
			if outcome := u.order(ctx, c, report); outcome != ResultAccepted && outcome != ResultConflict {
				return report.Versions[c.Model], "refused"
			}
			ordered = time.Now()
			pause = u.expectedLoad()
		}
		if err == nil {
			failures = 0
		}
		if !u.holding() {
			return 0, "duty lost"
		}
		if !waiter.Pause(ctx, pause) {
			return 0, "stopped"
		}
	}
	return 0, "not in time"
}

// expectedLoad is how long an ordered engine need not be asked.
func (u *Upgrader) expectedLoad() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(time.Duration(loadShare*float64(min(u.loadTime, presumedLoad))), pollPause)
}

func (u *Upgrader) report(ctx context.Context, c Candidate) (report Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return u.settings.Engines.Report(ctx, c.Target)
}

// order gives one order, if the duty is certain to be this daemon's.
func (u *Upgrader) order(ctx context.Context, c Candidate, report Report) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !u.mayOrder() {
		return ResultConflict // Another look at the engine comes before the next try.
	}
	u.mu.Lock()
	fence := u.fence
	u.lastOrder = u.settings.Now()
	u.mu.Unlock()
	wanted := max(u.settings.Places.Wanted(c.Model), c.Wanted)
	result, err := u.settings.Engines.Order(ctx, c.Target, Order{
		Model: c.Model, Version: wanted, Holder: u.settings.Name, Fence: fence, Accepted: report.Accepted,
	})
	u.settings.Logger.Info("order given", "target", c.Target.ID, "model", c.Model, "version", wanted,
		"fence", fence, "accepted_before", report.Accepted, "result", int(result), "error", err)
	if err != nil {
		return ResultConflict // It may be carried out; the reports tell.
	}
	if result == ResultFenced {
		u.standDown("an engine has seen a newer holder")
	}
	return result
}
