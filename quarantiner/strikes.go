package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Verdict is whether and how a call may run.
type Verdict int

// The verdicts.
const (
	// Run means that the call runs without restriction.
	Run Verdict = iota
	// Isolate means that the call is watched and runs in isolation.
	Isolate
	// Refuse means that the call is a suspect.
	Refuse
)

// suspectCrashes is the number of crashes that make a call a suspect.
const suspectCrashes = 2

// TargetIncarnation identifies one incarnation of a target. It also identifies the crash of that
// incarnation, since an incarnation crashes at most once.
type TargetIncarnation struct {
	Target      string
	Incarnation string
}

// level is the strength of the evidence for a strike.
type level uint8

const (
	levelNone level = iota
	// levelBroken means that the connection broke while the call ran.
	levelBroken
	// levelCrashed means that the target is known to have crashed.
	levelCrashed
)

// strike counts one crash against one call. Both levels only increase, so that the strikes of all
// daemons can be merged in any order.
type strike struct {
	// level is the evidence for the crash; clearedLevel is the highest level that has been cleared.
	level        level
	clearedLevel level
}

// isActive reports whether the strike counts against the call.
func (s strike) isActive() bool { return s.level > s.clearedLevel }

// entry contains the strikes of one call.
type entry struct {
	strikes map[TargetIncarnation]strike
	// since is when the first strike was added, at the daemon that added it.
	since time.Time
	// lastStrikeAt is when a strike was last added or its level last rose.
	lastStrikeAt time.Time
}

// countActive returns the number of active strikes, and how many of them are known crashes.
func (e *entry) countActive() (active, crashed int) {
	for _, s := range e.strikes {
		if !s.isActive() {
			continue
		}
		active++
		if s.level == levelCrashed {
			crashed++
		}
	}
	return active, crashed
}

// RestrictedCall is a call that is watched or refused.
type RestrictedCall struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	Crashes     []TargetIncarnation
	Since       time.Time
}

// strikeUpdate is one strike of one call, in the form that daemons exchange.
type strikeUpdate struct {
	fingerprint Fingerprint
	crash       TargetIncarnation
	strike      strike
	since       time.Time
}

// strikeTable contains the calls with strikes.
type strikeTable struct {
	expiry     time.Duration
	maxEntries int
	entries    map[Fingerprint]*entry
}

func newStrikeTable(expiry time.Duration, maxEntries int) strikeTable {
	return strikeTable{expiry: expiry, maxEntries: maxEntries, entries: make(map[Fingerprint]*entry)}
}

// verdict returns how the call may run. A refusal is pending while it is not known whether at
// least suspectCrashes of the targets crashed.
func (t *strikeTable) verdict(fingerprint Fingerprint) (verdict Verdict, pending bool) {
	e := t.unexpired(fingerprint)
	if e == nil {
		return Run, false
	}
	active, crashed := e.countActive()
	switch {
	case active >= suspectCrashes:
		return Refuse, crashed < suspectCrashes
	case active == 0 || t.allAttributed(fingerprint, e):
		return Run, false
	}
	return Isolate, false
}

// allAttributed reports whether each crash that counts against the call is attributed to a suspect.
func (t *strikeTable) allAttributed(fingerprint Fingerprint, e *entry) bool {
	for crash, s := range e.strikes {
		if s.isActive() && !t.isAttributed(fingerprint, crash) {
			return false
		}
	}
	return true
}

// isAttributed reports whether the crash is attributed to a suspect, that is, also counts against
// another call with at least suspectCrashes known crashes.
func (t *strikeTable) isAttributed(fingerprint Fingerprint, crash TargetIncarnation) bool {
	for other, e := range t.entries {
		if other == fingerprint || !e.strikes[crash].isActive() {
			continue
		}
		if _, crashed := e.countActive(); crashed >= suspectCrashes {
			return true
		}
	}
	return false
}

// unexpired returns the entry of the call. It deletes an entry that has expired and returns nil.
func (t *strikeTable) unexpired(fingerprint Fingerprint) *entry {
	e := t.entries[fingerprint]
	if e != nil && time.Since(e.since) > t.expiry {
		delete(t.entries, fingerprint)
		return nil
	}
	return e
}

// merge adds or raises a strike, and reports whether this changed the table.
func (t *strikeTable) merge(u strikeUpdate) bool {
	if time.Since(u.since) > t.expiry {
		return false
	}
	e := t.unexpired(u.fingerprint)
	if e == nil {
		t.evictIfFull()
		e = &entry{strikes: make(map[TargetIncarnation]strike), since: u.since}
		t.entries[u.fingerprint] = e
	}
	before := e.strikes[u.crash]
	after := strike{level: max(before.level, u.strike.level), clearedLevel: max(before.clearedLevel, u.strike.clearedLevel)}
	e.strikes[u.crash] = after
	if after.level > before.level {
		e.lastStrikeAt = time.Now()
	}
	return after != before
}

// evictIfFull evicts the oldest entry if the table is full.
func (t *strikeTable) evictIfFull() {
	if len(t.entries) < t.maxEntries {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.entries)), func(a, b Fingerprint) int {
		return t.entries[a].since.Compare(t.entries[b].since)
	})
	delete(t.entries, oldest)
}

// add adds a strike for a crash to a call or raises its level. It returns the strike if it changed.
func (t *strikeTable) add(fingerprint Fingerprint, crash TargetIncarnation, l level) []strikeUpdate {
	since := time.Now()
	if e := t.unexpired(fingerprint); e != nil {
		since = e.since
	}
	u := strikeUpdate{fingerprint: fingerprint, crash: crash, strike: strike{level: l}, since: since}
	if !t.merge(u) {
		return nil
	}
	u.strike = t.entries[fingerprint].strikes[crash]
	return []strikeUpdate{u}
}

// confirm adds strikes of levelCrashed for a crash to the given calls, and raises the active strikes
// for it of all other calls to that level. It returns the strikes that changed.
func (t *strikeTable) confirm(crash TargetIncarnation, fingerprints []Fingerprint) (changed []strikeUpdate) {
	for fingerprint, e := range t.entries {
		if e.strikes[crash].isActive() {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	for _, fingerprint := range fingerprints {
		changed = append(changed, t.add(fingerprint, crash, levelCrashed)...)
	}
	return changed
}

// disprove clears the strikes for broken connections to an incarnation that is alive, and so has not
// crashed. It keeps strikes newer than lingerTime, since the target may still be running those
// calls. It returns the strikes that changed.
func (t *strikeTable) disprove(crash TargetIncarnation) (changed []strikeUpdate) {
	for fingerprint, e := range t.entries {
		s, found := e.strikes[crash]
		if !found || s.level != levelBroken || !s.isActive() || time.Since(e.lastStrikeAt) < lingerTime {
			continue
		}
		s.clearedLevel = levelBroken
		e.strikes[crash] = s
		changed = append(changed, strikeUpdate{fingerprint: fingerprint, crash: crash, strike: s, since: e.since})
	}
	return changed
}

// hasActive reports whether the crash counts against the call.
func (t *strikeTable) hasActive(fingerprint Fingerprint, crash TargetIncarnation) bool {
	e := t.unexpired(fingerprint)
	return e != nil && e.strikes[crash].isActive()
}

// anyActive reports whether the crash counts against any call.
func (t *strikeTable) anyActive(crash TargetIncarnation) bool {
	for _, e := range t.entries {
		if e.strikes[crash].isActive() {
			return true
		}
	}
	return false
}

// clear clears all strikes of a call and returns those that changed.
func (t *strikeTable) clear(fingerprint Fingerprint) (changed []strikeUpdate) {
	e := t.unexpired(fingerprint)
	if e == nil {
		return nil
	}
	for crash, s := range e.strikes {
		if !s.isActive() {
			continue
		}
		s.clearedLevel = levelCrashed
		e.strikes[crash] = s
		changed = append(changed, strikeUpdate{fingerprint: fingerprint, crash: crash, strike: s, since: e.since})
	}
	return changed
}

// ofCall returns all strikes of one call, including cleared ones.
func (t *strikeTable) ofCall(fingerprint Fingerprint) (updates []strikeUpdate) {
	e := t.unexpired(fingerprint)
	if e == nil {
		return nil
	}
	for crash, s := range e.strikes {
		updates = append(updates, strikeUpdate{fingerprint: fingerprint, crash: crash, strike: s, since: e.since})
	}
	return updates
}

// all returns the strikes of all calls. Those of the most recent entries come first.
func (t *strikeTable) all() (updates []strikeUpdate) {
	for fingerprint := range t.entries {
		updates = append(updates, t.ofCall(fingerprint)...)
	}
	slices.SortFunc(updates, func(a, b strikeUpdate) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.fingerprint.String(), b.fingerprint.String()))
	})
	return updates
}

// restricted returns the calls that are watched or refused.
func (t *strikeTable) restricted() (calls []RestrictedCall) {
	for fingerprint, e := range t.entries {
		verdict, _ := t.verdict(fingerprint)
		if verdict == Run {
			continue
		}
		call := RestrictedCall{Fingerprint: fingerprint, Verdict: verdict, Since: e.since}
		for crash, s := range e.strikes {
			if s.isActive() {
				call.Crashes = append(call.Crashes, crash)
			}
		}
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b RestrictedCall) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()))
	})
	return calls
}
