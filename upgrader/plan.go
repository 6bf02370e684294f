package upgrader

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// fewestAtOnce and engineShare bound the engines that change at the same time: two, or a sixth
	// of them.
	fewestAtOnce = 2
	engineShare  = 6
	// servingShare of the engines go on serving, whatever else holds.
	servingShare = 2
	// longestChange is how long a change is believed in before its target is used again.
	longestChange = 6 * time.Second
	// doneKept is how long the end of a change stays in the plan.
	doneKept = 3 * time.Second
)

// Candidate is a target with old weights.
type Candidate struct {
	Target placer.Target
	Model  string
	Has    int64
	Wanted int64
}

// Progress counts the targets that are changing.
type Progress struct {
	// Changing are all from which requests are kept away.
	Changing int
	// Busy are those of them that will load for some time yet.
	Busy int
}

// Next chooses the targets to change next: those with the oldest weights first, as many as there is
// room for beside those that are changing. Half of the engines go on serving.
func Next(targets []placer.Target, wanted func(model string) int64, passedOver func(id string) bool, progress Progress) (next []Candidate) {
	for _, target := range targets {
		if passedOver(target.ID) {
			continue
		}
		for model, has := range target.Versions {
			if newest := wanted(model); has < newest {
				next = append(next, Candidate{Target: target, Model: model, Has: has, Wanted: newest})
			}
		}
	}
	slices.SortFunc(next, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Has, b.Has), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	engines := countEngines(targets)
	room := min(atOnce(engines)-progress.Busy, max(engines/servingShare, 1)-progress.Changing)
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

// atOnce is how many engines may load at the same time.
func atOnce(engines int) int { return max(fewestAtOnce, engines/engineShare) }

// next notes the chosen targets as changing. A target whose load is nearly over makes room for the
// next one, whose requests have to end first.
func (u *Upgrader) next() []Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	progress := Progress{Changing: len(u.changing)}
	for _, changing := range u.changing {
		if changing.ordered.IsZero() || time.Since(changing.ordered) < u.loadTime-drainPause {
			progress.Busy++
		}
	}
	chosen := Next(u.settings.Places.Targets(), u.settings.Places.Wanted, func(id string) bool {
		_, changing := u.changing[id]
		return changing || time.Now().Before(u.unreachable[id])
	}, progress)
	for _, candidate := range chosen {
		u.changing[candidate.Target.ID] = change{target: candidate.Target.Hash()}
		delete(u.done, candidate.Target.ID)
		u.settings.Places.Updating(candidate.Target.ID, time.Now().Add(longestChange))
		u.dirty = true
	}
	return chosen
}

// beginLoad notes that a target is ordered to change, unless too many are loading.
func (u *Upgrader) beginLoad(id string) (begun bool) {
	room := atOnce(countEngines(u.settings.Places.Targets()))
	u.mu.Lock()
	defer u.mu.Unlock()
	loading := 0
	for other, changing := range u.changing {
		if other != id && !changing.ordered.IsZero() {
			loading++
		}
	}
	if loading >= room {
		return false
	}
	u.changing[id] = change{target: u.changing[id].target, ordered: time.Now()}
	return true
}

// loadGain is the weight of a new measurement of the load time.
const loadGain = 0.3

// loaded learns how long a change takes from its order on.
func (u *Upgrader) loaded(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if ordered := u.changing[id].ordered; !ordered.IsZero() {
		u.loadTime += time.Duration(loadGain * float64(time.Since(ordered)-u.loadTime))
	}
}

// tell makes the changed plan known.
func (u *Upgrader) tell() {
	u.mu.Lock()
	dirty := u.dirty
	u.dirty = false
	u.mu.Unlock()
	if dirty {
		u.settings.Told()
	}
}

// Plan returns the plan of this daemon, which has a fence only where it holds the duty.
func (u *Upgrader) Plan() (plan placer.Changes) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fence == 0 {
		return placer.Changes{}
	}
	plan.Fence = uint64(u.fence)
	for _, changing := range u.changing {
		plan.Changing = append(plan.Changing, changing.target)
	}
	for id, ended := range u.done {
		if time.Since(ended.at) > doneKept {
			delete(u.done, id)
			continue
		}
		plan.Changed = append(plan.Changed, ended.Changed)
	}
	return plan
}

// Hear takes over the plan of another daemon: requests are kept away from the targets that are about to
// change. Plans of former holders are ignored.
func (u *Upgrader) Hear(plan placer.Changes) {
	u.mu.Lock()
	if plan.Fence == 0 || u.fence != 0 || plan.Fence < u.heard.Fence {
		u.mu.Unlock()
		return
	}
	before := u.heard
	u.heard = plan
	u.mu.Unlock()
	for _, hash := range plan.Changing {
		if !slices.Contains(before.Changing, hash) {
			u.updating(hash, time.Now().Add(longestChange))
		}
	}
	for _, hash := range before.Changing {
		if !slices.Contains(plan.Changing, hash) {
			u.updating(hash, time.Time{})
		}
	}
	for _, ended := range plan.Changed {
		if id, known := u.settings.Places.Known(ended.Target); known && !slices.Contains(plan.Changing, ended.Target) {
			u.settings.Places.Updated(id, ended.Model, ended.Version)
		}
	}
}

func (u *Upgrader) updating(hash placer.TargetHash, until time.Time) {
	if id, known := u.settings.Places.Known(hash); known {
		u.settings.Places.Updating(id, until)
	}
}
