package upgrader

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	// fewestAtOnce and engineShare bound the engines that change at the same time: two, or a sixth
	// of them.
	fewestAtOnce = 2
	engineShare  = 6
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

// Next chooses the targets to change next: those with the oldest weights first, as many as there is
// room for beside those that are changing.
func Next(targets []placer.Target, wanted func(model string) int64, passedOver func(id string) bool, busy int) (next []Candidate) {
	engines := 0
	for _, target := range targets {
		if len(target.Versions) == 0 {
			continue
		}
		engines++
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
	return next[:max(min(atOnce(engines)-busy, len(next)), 0)]
}

// atOnce is how many engines may load at the same time.
func atOnce(engines int) int { return max(fewestAtOnce, engines/engineShare) }

// next notes the chosen targets as changing. A target whose load is nearly over makes room for the
// next one, whose requests have to end first.
func (u *Upgrader) next() []Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	busy := 0
	for _, changing := range u.changing {
		if changing.ordered.IsZero() || time.Since(changing.ordered) < u.loadTime-drainPause {
			busy++
		}
	}
	chosen := Next(u.settings.Places.Targets(), u.settings.Places.Wanted, func(id string) bool {
		_, changing := u.changing[id]
		return changing || time.Now().Before(u.unreachable[id])
	}, busy)
	for _, candidate := range chosen {
		u.changing[candidate.Target.ID] = change{}
		delete(u.done, candidate.Target.ID)
		u.settings.Places.Updating(candidate.Target.ID, time.Now().Add(longestChange))
		u.dirty = true
	}
	return chosen
}

// beginLoad notes that a target is ordered to change, unless too many are loading.
func (u *Upgrader) beginLoad(id string) (begun bool) {
	engines := 0
	for _, target := range u.settings.Places.Targets() {
		if len(target.Versions) > 0 {
			engines++
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	loading := 0
	for other, changing := range u.changing {
		if other != id && !changing.ordered.IsZero() {
			loading++
		}
	}
	if loading >= atOnce(engines) {
		return false
	}
	u.changing[id] = change{ordered: time.Now()}
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

type wirePlan struct {
	Changing []string   `json:"changing"`
	Done     []wireDone `json:"done"`
}

type wireDone struct {
	Target  string `json:"target"`
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// publish tells the other daemons which targets are changing and which have changed.
func (u *Upgrader) publish(ctx context.Context) {
	u.mu.Lock()
	if !u.dirty {
		u.mu.Unlock()
		return
	}
	u.dirty = false
	var plan wirePlan
	for id := range u.changing {
		plan.Changing = append(plan.Changing, id)
	}
	for id, ended := range u.done {
		if time.Since(ended.at) > doneKept {
			delete(u.done, id)
			continue
		}
		plan.Done = append(plan.Done, wireDone{Target: id, Model: ended.model, Version: ended.version})
	}
	fence := u.fence
	u.mu.Unlock()
	value, err := json.Marshal(plan)
	if err == nil {
		_, err = u.settings.Store.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: holderKey, Version: fence}},
			Puts:       []storer.Put{{Key: planKey, Value: value}},
		})
	}
	if err != nil {
		u.settings.Logger.Warn("plan not told for certain", "error", err)
		u.mu.Lock()
		u.dirty = true // The next step tells it again.
		u.mu.Unlock()
	}
}

// follow keeps requests away from the targets of the holder's plan.
func (u *Upgrader) follow(value []byte) {
	if len(value) == 0 {
		return
	}
	var plan wirePlan
	if err := json.Unmarshal(value, &plan); err != nil {
		u.settings.Logger.Warn("plan not understood", "error", err)
		return
	}
	changing := make(map[string]bool, len(plan.Changing))
	for _, id := range plan.Changing {
		changing[id] = true
		if !u.planned[id] {
			u.settings.Places.Updating(id, time.Now().Add(longestChange))
		}
	}
	for id := range u.planned {
		if !changing[id] {
			u.settings.Places.Updating(id, time.Time{})
		}
	}
	u.planned = changing
	for _, ended := range plan.Done {
		u.settings.Places.Updated(ended.Target, ended.Model, ended.Version)
	}
}
