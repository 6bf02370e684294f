package commander

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sourcegraph/conc"
)

// reconcileLoop reconciles at each PlanInterval while this daemon is the leader, until the
// Commander is closed.
func (c *Commander) reconcileLoop() {
	c.runEvery(c.settings.PlanInterval, func() {
		fencingToken, ok := c.lease.authorize(c.settings.OrderTimeout)
		if ok {
			c.reconcile(fencingToken)
		}
	})
}

// reconcile plans orders from the engines' reports and the desired states, sends them and waits for
// the responses.
func (c *Commander) reconcile(fencingToken uint64) {
	reports := c.settings.Reports.Reports()
	desired := DesiredStates(c.settings.Configuration.Snapshot(), c.settings.DataCentre)
	steps := Plan(PlanInput{
		Desired:  desired,
		Reports:  reports,
		Loads:    c.pendingLoads(fencingToken, reports),
		MaxLoads: c.settings.MaxLoads,
	})
	var sends conc.WaitGroup
	for _, step := range steps {
		c.recordLoad(step, fencingToken)
		sends.Go(func() { c.sendOrder(step) })
	}
	sends.Wait()
}

// pendingLoads returns the loads that may still be running. It first removes those that were ordered
// under an earlier lease, those that a report shows as finished, those whose engine has restarted and
// those whose LastSeen is longer ago than LoadTimeout.
func (c *Commander) pendingLoads(fencingToken uint64, reports []Report) map[string]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fencingToken != fencingToken {
		c.fencingToken = fencingToken
		clear(c.loads)
	}
	for _, report := range reports {
		load, pending := c.loads[report.Target]
		if pending && (load.Incarnation != report.Incarnation || load.finishedIn(report)) {
			delete(c.loads, report.Target)
		}
	}
	maps.DeleteFunc(c.loads, func(_ string, load Load) bool {
		return time.Since(load.LastSeen) > c.settings.LoadTimeout
	})
	return maps.Clone(c.loads)
}

// finishedIn reports whether the report shows that the load has finished.
func (l Load) finishedIn(report Report) bool {
	desired := Desired{}
	desired.Version.Weights = l.Order.Weights
	desired.Version.Adapter = l.Order.Adapter
	_, needed := nextOrder(desired, report)
	return !needed
}

// recordLoad records a load before its order is sent. An order for another state replaces the
// pending load of the target, since the engine may start on the new one at any time.
func (c *Commander) recordLoad(step Step, fencingToken uint64) {
	if !step.Order.isLoad() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	load, pending := c.loads[step.Desired.Target.Name]
	if pending && load.Order.sameState(step.Order) {
		return
	}
	step.Order.FencingToken = fencingToken
	c.loads[step.Desired.Target.Name] = Load{
		Order:       step.Order,
		Incarnation: step.Incarnation,
		LastSeen:    time.Now(),
	}
}

// sendOrder sends one order if the lease expires after the order's timeout. It checks the lease
// last, so that a daemon that was paused after planning finds its lease expired. The timeout starts
// before the check, so that a pause between the check and the send counts against it.
func (c *Commander) sendOrder(step Step) {
	ctx, cancel := context.WithTimeout(c.ctx, c.settings.OrderTimeout)
	defer cancel()
	fencingToken, ok := c.lease.authorize(c.settings.OrderTimeout)
	if !ok {
		return
	}
	order := step.Order
	order.FencingToken = fencingToken
	state, err := c.settings.Engines.Order(ctx, step.Desired.Target, order)
	var stale *StaleFencingTokenError
	switch {
	case errors.As(err, &stale):
		c.logger.Warn("commander: engine has seen an order of a later leader", "target", stale.Target, "fencing", stale.Highest)
		// A higher one is a fault of the engine: no platform counts that far from its copy.
		if stale.Highest <= stale.Sent+maxLostTokens {
			c.lease.learnToken(stale.Highest)
		}
		c.lease.reset()
	case err != nil:
		c.logger.Warn("commander: order failed", "target", step.Desired.Target.Name, "error", err)
	default:
		c.recordState(step, state)
	}
}

// recordState updates the pending load of a target from the engine's response to an order.
func (c *Commander) recordState(step Step, state OrderState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load, pending := c.loads[step.Desired.Target.Name]
	if !pending {
		return
	}
	if state == OrderDone {
		delete(c.loads, step.Desired.Target.Name)
		return
	}
	load.LastSeen = time.Now()
	c.loads[step.Desired.Target.Name] = load
}
