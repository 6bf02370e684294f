package quarantiner

import "time"

// lingerTime is how long a run still counts as in flight at its target after it was cancelled or
// its connection broke, since the target may still be running it. If the target crashes in that
// time, the call gets a strike.
const lingerTime = 5 * time.Second

// run is one run of a call at one incarnation of a target.
type run struct {
	fingerprint       Fingerprint
	targetIncarnation TargetIncarnation
	// endedAt is when the run was cancelled or its connection broke, or zero.
	endedAt time.Time
	// usesPin reports whether the daemon requests a pin, which keeps all copies of the call at one
	// target, before it starts the run, and reports the end of the run to the owner of the pin. It is
	// reset if no owner can be reached.
	usesPin bool
	// owner is the daemon that stores the pin and includes the run in the pin's copiesByDaemon.
	owner string
	// granted reports whether the isolator granted the run as an isolated run: the only run of its
	// call, and the only run of a watched call at its target.
	granted bool
	// targetCrashed reports whether the target is known to have crashed.
	targetCrashed bool
}

// lingerElapsed reports whether the run ended at least lingerTime ago, after which the target is
// assumed not to run it any more.
func (r *run) lingerElapsed(now time.Time) bool {
	return !r.endedAt.IsZero() && now.Sub(r.endedAt) >= lingerTime
}

// strikeLevel returns the level of the strike that the call gets when the connection of the run
// breaks.
func (r *run) strikeLevel() level {
	if r.targetCrashed {
		return levelCrashed
	}
	return levelBroken
}

// runTable indexes the runs of this daemon by fingerprint and by target incarnation.
type runTable struct {
	byFingerprint       map[Fingerprint]map[*run]struct{}
	byTargetIncarnation map[TargetIncarnation]map[*run]struct{}
	// lingering contains the runs that ended less than lingerTime ago, the oldest first.
	lingering []*run
}

func newRunTable() runTable {
	return runTable{
		byFingerprint:       make(map[Fingerprint]map[*run]struct{}),
		byTargetIncarnation: make(map[TargetIncarnation]map[*run]struct{}),
	}
}

func (t *runTable) add(r *run) {
	insert(t.byFingerprint, r.fingerprint, r)
	insert(t.byTargetIncarnation, r.targetIncarnation, r)
}

func (t *runTable) remove(r *run) {
	drop(t.byFingerprint, r.fingerprint, r)
	drop(t.byTargetIncarnation, r.targetIncarnation, r)
}

func insert[K comparable](index map[K]map[*run]struct{}, key K, r *run) {
	if index[key] == nil {
		index[key] = make(map[*run]struct{})
	}
	index[key][r] = struct{}{}
}

func drop[K comparable](index map[K]map[*run]struct{}, key K, r *run) {
	delete(index[key], r)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// linger marks the run as ended but keeps it for lingerTime. It removes the runs that have been
// kept for that long.
func (t *runTable) linger(r *run) {
	now := time.Now()
	r.endedAt = now
	t.lingering = append(t.lingering, r)
	for len(t.lingering) > 0 && t.lingering[0].lingerElapsed(now) {
		t.remove(t.lingering[0])
		t.lingering = t.lingering[1:]
	}
}

// running returns the runs of a call that have not ended.
func (t *runTable) running(fingerprint Fingerprint) (running []*run) {
	for r := range t.byFingerprint[fingerprint] {
		if r.endedAt.IsZero() {
			running = append(running, r)
		}
	}
	return running
}

// markCrashed marks the runs at an incarnation of a target that crashed. It returns the fingerprints
// of the runs that ended less than lingerTime ago, whose calls get a strike now. The call of a run
// that has not ended gets its strike from Quarantiner.finish, if the outcome is Broken.
func (t *runTable) markCrashed(targetIncarnation TargetIncarnation) (fingerprints []Fingerprint) {
	now := time.Now()
	for r := range t.byTargetIncarnation[targetIncarnation] {
		r.targetCrashed = true
		if !r.endedAt.IsZero() && !r.lingerElapsed(now) {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	return fingerprints
}
