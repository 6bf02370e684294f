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
	// servingDivisor bounds the engines from which requests are kept away: at most half of them, or one
	// if there is only one.
	servingDivisor = 2
	// updateTimeout bounds an update; after it the target receives requests again.
	updateTimeout = 6 * time.Second
	// completedRetention is how long a completed update stays in the plan.
	completedRetention = 3 * time.Second
)

// Candidate is a target with old weights of a model: Has is the version it has, Wanted the newest one.
type Candidate struct {
	Target  placer.Target
	Model   string
	Current int64
	Wanted  int64
}

// Progress counts the targets that are being updated.
type Progress struct {
	// Updating counts all of them; requests are kept away from these.
	Updating int
	// Loading counts those that are not yet near the end of their load.
	Loading int
}

// Next selects the targets to update next, those with the oldest weights first. Together with the running
// updates they stay within the limits for concurrent loads and for engines that receive no requests.
func Next(targets []placer.Target, wanted func(model string) int64, skip func(id string) bool, progress Progress) (next []Candidate) {
	for _, target := range targets {
		if skip(target.ID) {
			continue
		}
		for model, has := range target.Versions {
			if newest := wanted(model); has < newest {
				next = append(next, Candidate{Target: target, Model: model, Current: has, Wanted: newest})
			}
		}
	}
	slices.SortFunc(next, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Current, b.Current), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	engines := countEngines(targets)
	room := min(maxConcurrentLoads(engines)-progress.Loading, max(engines/servingDivisor, 1)-progress.Updating)
	return next[:max(min(room, len(next)), 0)]
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

// startUpdates selects the next targets and marks them as updating. A target whose load ends within
// drainDelay no longer counts, since the requests of the next target have to end before it loads.
func (u *Upgrader) startUpdates() []Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	progress := Progress{Updating: len(u.updating)}
	for _, updating := range u.updating {
		if updating.ordered.IsZero() || time.Since(updating.ordered) < u.loadTime-drainDelay {
			progress.Loading++
		}
	}
	chosen := Next(u.settings.Placer.Targets(), u.settings.Placer.WantedVersion, func(id string) bool {
		_, updating := u.updating[id]
		return updating || time.Now().Before(u.unreachable[id])
	}, progress)
	for _, candidate := range chosen {
		u.updating[candidate.Target.ID] = update{target: candidate.Target.Hash()}
		delete(u.completed, candidate.Target.ID)
		u.settings.Placer.MarkUpdating(candidate.Target.ID, time.Now().Add(updateTimeout))
		u.planChanged = true
	}
	return chosen
}

// beginLoad reserves a load slot for a target and reports whether one was free.
func (u *Upgrader) beginLoad(id string) (begun bool) {
	room := maxConcurrentLoads(countEngines(u.settings.Placer.Targets()))
	u.mu.Lock()
	defer u.mu.Unlock()
	loading := 0
	for other, updating := range u.updating {
		if other != id && !updating.ordered.IsZero() {
			loading++
		}
	}
	if loading >= room {
		return false
	}
	u.updating[id] = update{target: u.updating[id].target, ordered: time.Now()}
	return true
}

// loadTimeWeight is the weight of a new measurement in the moving average of the load time.
const loadTimeWeight = 0.3

// recordLoadTime adds the time since a target's first order to the moving average.
func (u *Upgrader) recordLoadTime(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if ordered := u.updating[id].ordered; !ordered.IsZero() {
		u.loadTime += time.Duration(loadTimeWeight * float64(time.Since(ordered)-u.loadTime))
	}
}

// announcePlan calls Told if the plan has changed.
func (u *Upgrader) announcePlan() {
	u.mu.Lock()
	dirty := u.planChanged
	u.planChanged = false
	u.mu.Unlock()
	if dirty {
		u.settings.OnPlanChange()
	}
}

// Plan returns the targets that are being updated and the completed updates. The plan is empty, with a
// zero fence, unless this daemon holds the update lock.
func (u *Upgrader) Plan() (plan placer.UpgradePlan) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fence == 0 {
		return placer.UpgradePlan{}
	}
	plan.FencingToken = uint64(u.fence)
	for _, updating := range u.updating {
		plan.Upgrading = append(plan.Upgrading, updating.target)
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

// ApplyPlan applies the plan of the holder: this daemon sends no requests to the targets that are being
// updated. A plan with an older fence than the last one is ignored, and so is any plan while this daemon
// is the holder itself.
func (u *Upgrader) ApplyPlan(plan placer.UpgradePlan) {
	u.mu.Lock()
	if plan.FencingToken == 0 || u.fence != 0 || plan.FencingToken < u.followedPlan.FencingToken {
		u.mu.Unlock()
		return
	}
	before := u.followedPlan
	u.followedPlan = plan
	u.mu.Unlock()
	for _, hash := range plan.Upgrading {
		if !slices.Contains(before.Upgrading, hash) {
			u.setUpdating(hash, time.Now().Add(updateTimeout))
		}
	}
	for _, hash := range before.Upgrading {
		if !slices.Contains(plan.Upgrading, hash) {
			u.setUpdating(hash, time.Time{})
		}
	}
	for _, ended := range plan.Upgraded {
		if id, known := u.settings.Placer.TargetID(ended.Target); known && !slices.Contains(plan.Upgrading, ended.Target) {
			u.settings.Placer.MarkUpdated(id, ended.Model, ended.Version)
		}
	}
}

func (u *Upgrader) setUpdating(hash placer.TargetHash, until time.Time) {
	if id, known := u.settings.Placer.TargetID(hash); known {
		u.settings.Placer.MarkUpdating(id, until)
	}
}
