package upgrader

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// drainDelay is the time between the announcement of an update and its order. In this time, the
	// daemons stop sending requests to the engine, and the engine finishes those in its queue.
	drainDelay = 350 * time.Millisecond
	// pollInterval is the time between two requests for the report of an engine that is being updated.
	pollInterval = 100 * time.Millisecond
	// slotPollInterval is the time between two checks of an update for a free load slot.
	slotPollInterval = 20 * time.Millisecond
	// firstPollFraction is the fraction of the expected load time after which an engine is first polled after an
	// order.
	firstPollFraction = 0.85
	// maxReportFailures is the number of consecutive failed reports after which an engine counts as
	// unreachable.
	maxReportFailures = 3
	// unreachableBackoff is how long an unreachable engine is skipped.
	unreachableBackoff = 2 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 700 * time.Millisecond
	// orderRetryInterval is the time after which an order is sent again if the engine reports neither that it is
	// busy nor that it has the wanted weights.
	orderRetryInterval = 900 * time.Millisecond
)

// updateEngine runs one update. It passes the result to the placer, adds it to the upgrade plan, and makes later updates
// skip an unreachable engine for unreachableBackoff.
func (u *Upgrader) updateEngine(ctx context.Context, c Candidate) {
	started := time.Now()
	version, result := u.runUpdate(ctx, c)
	u.settings.Logger.Info("engine update finished", "target", c.Target.ID, "model", c.Model, "from", c.Current,
		"to", version, "wanted", c.Wanted, "result", result, "took_ms", time.Since(started).Milliseconds())
	if version >= c.Wanted {
		u.settings.Placer.MarkUpgraded(c.Target.ID, c.Model, version)
	} else {
		u.settings.Placer.MarkUpgrading(c.Target.ID, time.Time{})
	}
	u.mu.Lock()
	delete(u.upgrading, c.Target.ID)
	if result == resultUnreachable {
		u.unreachable[c.Target.ID] = time.Now().Add(unreachableBackoff)
	}
	if version > 0 {
		u.completed[c.Target.ID] = completedUpdate{UpgradedTarget: placer.UpgradedTarget{Target: c.Target.Hash(), Model: c.Model, Version: version}, completedAt: time.Now()}
	}
	u.planChanged = true
	u.mu.Unlock()
	u.Wake()
}

// resultUnreachable is the result of an update whose engine does not answer.
const resultUnreachable = "unreachable"

// runUpdate checks that the engine answers, waits for drainDelay and a load slot, sends the order and polls
// the engine until it has the weights. The returned version is the one that the engine is known to have, or
// zero if that is unknown.
func (u *Upgrader) runUpdate(ctx context.Context, c Candidate) (version int64, result string) {
	if _, err := u.report(ctx, c); err != nil {
		return 0, resultUnreachable
	}
	if !waiter.Sleep(ctx, drainDelay) {
		return 0, "stopped"
	}
	for !u.reserveLoadSlot(c.Target.ID) {
		if !waiter.Sleep(ctx, slotPollInterval) {
			return 0, "stopped"
		}
	}
	var lastOrderAt time.Time
	failures := 0
	deadline := time.Now().Add(updateTimeout)
	for time.Now().Before(deadline) {
		pause := pollInterval
		report, err := u.report(ctx, c)
		switch {
		case err != nil && failures+1 >= maxReportFailures:
			return 0, resultUnreachable
		case err != nil:
			failures++
		case report.Versions[c.Model] >= c.Wanted && !report.Busy:
			u.recordLoadTime(c.Target.ID)
			return report.Versions[c.Model], "changed"
		case !report.Busy && time.Since(lastOrderAt) > orderRetryInterval && u.mayOrder():
			if outcome := u.sendOrder(ctx, c, report); outcome != ResultAccepted && outcome != ResultConflict {
				return report.Versions[c.Model], "refused"
			}
			lastOrderAt = time.Now()
			pause = u.firstPollDelay()
		}
		if err == nil {
			failures = 0
		}
		if !u.holdsValidLock() {
			return 0, "duty lost"
		}
		if !waiter.Sleep(ctx, pause) {
			return 0, "stopped"
		}
	}
	return 0, "not in time"
}

// firstPollDelay is the time from an order to the first poll of the engine. Load times above
// initialLoadTime do not make it longer.
func (u *Upgrader) firstPollDelay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(time.Duration(firstPollFraction*float64(min(u.loadTime, initialLoadTime))), pollInterval)
}

func (u *Upgrader) report(ctx context.Context, c Candidate) (report Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return u.settings.Engines.Report(ctx, c.Target)
}

// sendOrder sends one order if this daemon is certain to hold the update lock, and steps down if the
// engine has seen a newer fencing token. A lost answer counts as a conflict.
func (u *Upgrader) sendOrder(ctx context.Context, c Candidate, report Report) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !u.mayOrder() {
		return ResultConflict // The caller reads a report of the engine before it tries again.
	}
	u.mu.Lock()
	fencingToken := u.fencingToken
	u.lastOrderAt = u.settings.Now()
	u.mu.Unlock()
	wanted := max(u.settings.Placer.WantedVersion(c.Model), c.Wanted)
	result, err := u.settings.Engines.Order(ctx, c.Target, Order{
		Model: c.Model, Version: wanted, Holder: u.settings.Name, FencingToken: fencingToken, Accepted: report.Accepted,
	})
	u.settings.Logger.Info("order sent", "target", c.Target.ID, "model", c.Model, "version", wanted,
		"fence", fencingToken, "accepted_before", report.Accepted, "result", int(result), "error", err)
	if err != nil {
		return ResultConflict // The engine may carry the order out; its reports show whether it does.
	}
	if result == ResultFenced {
		u.stepDown("an engine has seen a newer holder")
	}
	return result
}
