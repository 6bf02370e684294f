package upgrader

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// minConcurrentLoads and concurrentLoadDivisor bound the engines that load at the same time: a sixth
	// of them, but at least two.
	minConcurrentLoads    = 2
	concurrentLoadDivisor = 6
	// concurrentUpdateDivisor bounds the engines that are being updated, which receive no requests: at most half
	// of the engines, or one if there is only one.
	concurrentUpdateDivisor = 2
	// updateTimeout bounds the time of an update from its load slot on. It also bounds how long a target receives no
	// requests after its update was announced.
	updateTimeout = 6 * time.Second
	// completedRetention is how long a completed update stays in the upgrade plan.
	completedRetention = 3 * time.Second
)

// Candidate is a target with outdated weights of a model. Current is the version that it has, and Wanted the wanted
// version.
type Candidate struct {
	Target  placer.Target
	Model   string
	Current int64
	Wanted  int64
}

// Progress counts the targets that are being updated.
type Progress struct {
	// Upgrading counts all of them. They receive no requests.
	Upgrading int
	// Loading counts those of them whose load has not begun or is not near its end.
	Loading int
}

// SelectUpdates selects the targets to update next, those with the oldest weights first. It selects no more than the
// limits for concurrent loads and for concurrent updates allow in addition to the running updates. It leaves out the
// targets for which skip returns true.
func SelectUpdates(targets []placer.Target, wanted func(model string) int64, skip func(id string) bool, progress Progress) (next []Candidate) {
	for _, target := range targets {
		if skip(target.ID) {
			continue
		}
		for model, current := range target.Versions {
			if newest := wanted(model); current < newest {
				next = append(next, Candidate{Target: target, Model: model, Current: current, Wanted: newest})
			}
		}
	}
	slices.SortFunc(next, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Current, b.Current), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	engines := countEngines(targets)
	limit := min(maxConcurrentLoads(engines)-progress.Loading, max(engines/concurrentUpdateDivisor, 1)-progress.Upgrading)
	return next[:max(min(limit, len(next)), 0)]
}

// countEngines counts the targets that have weights.
func countEngines(targets []placer.Target) (count int) {
	for _, target := range targets {
		if len(target.Versions) > 0 {
			count++
		}
	}
	return count
}

// maxConcurrentLoads returns how many engines may load at the same time.
func maxConcurrentLoads(engines int) int {
	return max(minConcurrentLoads, engines/concurrentLoadDivisor)
}

// startUpdates selects the next targets and marks them as upgrading. A target whose load is expected to end
// within drainDelay no longer counts as loading, since the next target waits for drainDelay before its load.
func (u *Upgrader) startUpdates() []Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	progress := Progress{Upgrading: len(u.upgrading)}
	for _, upgrading := range u.upgrading {
		if upgrading.loadSlotAt.IsZero() || time.Since(upgrading.loadSlotAt) < u.loadTime-drainDelay {
			progress.Loading++
		}
	}
	chosen := SelectUpdates(u.settings.Placer.Targets(), u.settings.Placer.WantedVersion, func(id string) bool {
		_, upgrading := u.upgrading[id]
		return upgrading || time.Now().Before(u.unreachable[id])
	}, progress)
	for _, candidate := range chosen {
		u.upgrading[candidate.Target.ID] = update{target: candidate.Target.Hash()}
		delete(u.completed, candidate.Target.ID)
		u.settings.Placer.MarkUpgrading(candidate.Target.ID, time.Now().Add(updateTimeout))
		u.planChanged = true
	}
	return chosen
}

// reserveLoadSlot reserves a load slot for a target and reports whether one was free.
func (u *Upgrader) reserveLoadSlot(id string) (reserved bool) {
	limit := maxConcurrentLoads(countEngines(u.settings.Placer.Targets()))
	u.mu.Lock()
	defer u.mu.Unlock()
	loading := 0
	for other, upgrading := range u.upgrading {
		if other != id && !upgrading.loadSlotAt.IsZero() {
			loading++
		}
	}
	if loading >= limit {
		return false
	}
	u.upgrading[id] = update{target: u.upgrading[id].target, loadSlotAt: time.Now()}
	return true
}

// loadTimeWeight is the weight of a new measurement in the moving average of the load time.
const loadTimeWeight = 0.3

// recordLoadTime adds the time since a target reserved its load slot to the moving average.
func (u *Upgrader) recordLoadTime(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if loadSlotAt := u.upgrading[id].loadSlotAt; !loadSlotAt.IsZero() {
		u.loadTime += time.Duration(loadTimeWeight * float64(time.Since(loadSlotAt)-u.loadTime))
	}
}

// announcePlan calls OnPlanChange if the upgrade plan has changed since the last call.
func (u *Upgrader) announcePlan() {
	u.mu.Lock()
	changed := u.planChanged
	u.planChanged = false
	u.mu.Unlock()
	if changed {
		u.settings.OnPlanChange()
	}
}

// Plan returns the upgrade plan: the targets that are being updated and the completed updates. It is empty,
// with a zero fencing token, unless this daemon holds the update lock.
func (u *Upgrader) Plan() (plan placer.UpgradePlan) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fencingToken == 0 {
		return placer.UpgradePlan{}
	}
	plan.FencingToken = uint64(u.fencingToken)
	for _, upgrading := range u.upgrading {
		plan.Upgrading = append(plan.Upgrading, upgrading.target)
	}
	for id, ended := range u.completed {
		if time.Since(ended.completedAt) > completedRetention {
			delete(u.completed, id)
			continue
		}
		plan.Upgraded = append(plan.Upgraded, ended.UpgradedTarget)
	}
	return plan
}

// ApplyPlan applies the upgrade plan of the holder: it excludes the targets that are being updated from this
// daemon's choice of targets. A plan with a fencing token older than that of the last applied plan is ignored,
// and so is any plan while this daemon is the holder itself.
func (u *Upgrader) ApplyPlan(plan placer.UpgradePlan) {
	u.mu.Lock()
	if plan.FencingToken == 0 || u.fencingToken != 0 || plan.FencingToken < u.appliedPlan.FencingToken {
		u.mu.Unlock()
		return
	}
	previous := u.appliedPlan
	u.appliedPlan = plan
	u.mu.Unlock()
	for _, hash := range plan.Upgrading {
		if !slices.Contains(previous.Upgrading, hash) {
			u.markUpgrading(hash, time.Now().Add(updateTimeout))
		}
	}
	for _, hash := range previous.Upgrading {
		if !slices.Contains(plan.Upgrading, hash) {
			u.markUpgrading(hash, time.Time{})
		}
	}
	for _, ended := range plan.Upgraded {
		if id, known := u.settings.Placer.TargetID(ended.Target); known && !slices.Contains(plan.Upgrading, ended.Target) {
			u.settings.Placer.MarkUpgraded(id, ended.Model, ended.Version)
		}
	}
}

func (u *Upgrader) markUpgrading(hash placer.TargetHash, until time.Time) {
	if id, known := u.settings.Placer.TargetID(hash); known {
		u.settings.Placer.MarkUpgrading(id, until)
	}
}
