package quarantiner

import "time"

// lingerTime is how long a run still counts as in flight at its target after it was cancelled or
// its connection broke, since the target may still be running it. If the target crashes in that
// time, the call gets a strike.
const lingerTime = 5 * time.Second

// run is one run of a call at one incarnation of a target.
type run struct {
	fingerprint Fingerprint
	instance    TargetInstance
	// endedAt is when the run was cancelled or its connection broke, or zero.
	endedAt time.Time
	// usesPin reports whether the run requests a pin at its start and releases it at its end. It is
	// reset if no owner can be reached.
	usesPin bool
	// owner is the daemon that stores the pin, and counts the run for it.
	owner string
	// isolated reports whether the isolator granted the run.
	isolated bool
	// crashed reports whether the target is known to have crashed.
	crashed bool
}

// isOver reports whether the run ended at least lingerTime ago, after which the target is assumed
// not to run it any more.
func (r *run) isOver(now time.Time) bool {
	return !r.endedAt.IsZero() && now.Sub(r.endedAt) >= lingerTime
}

// breakLevel returns the level of the strike for the broken connection of the run.
func (r *run) breakLevel() level {
	if r.crashed {
		return levelCrashed
	}
	return levelBroken
}

// runTable indexes the runs of this daemon by fingerprint and by target incarnation.
type runTable struct {
	byFingerprint map[Fingerprint]map[*run]struct{}
	byInstance    map[TargetInstance]map[*run]struct{}
	// lingering contains the runs that ended less than lingerTime ago, the oldest first.
	lingering []*run
}

func newRunTable() runTable {
	return runTable{
		byFingerprint: make(map[Fingerprint]map[*run]struct{}),
		byInstance:    make(map[TargetInstance]map[*run]struct{}),
	}
}

func (t *runTable) add(r *run) {
	insert(t.byFingerprint, r.fingerprint, r)
	insert(t.byInstance, r.instance, r)
}

func (t *runTable) remove(r *run) {
	drop(t.byFingerprint, r.fingerprint, r)
	drop(t.byInstance, r.instance, r)
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
	for len(t.lingering) > 0 && t.lingering[0].isOver(now) {
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

// markCrashed marks the runs at an incarnation of a target that crashed, and returns the calls of
// those that linger. The others get their strike when they end, if the target had started them.
func (t *runTable) markCrashed(instance TargetInstance) (fingerprints []Fingerprint) {
	now := time.Now()
	for r := range t.byInstance[instance] {
		r.crashed = true
		if !r.endedAt.IsZero() && !r.isOver(now) {
			fingerprints = append(fingerprints, r.fingerprint)
		}
	}
	return fingerprints
}
