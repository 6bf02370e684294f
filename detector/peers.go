package detector

import (
	"slices"
	"strings"
	"time"
)

// Observation is what one daemon reports to its peers about a target. Times are sent as ages,
// since the clocks of the daemons differ.
type Observation struct {
	Target      string
	Incarnation string
	// Progress orders the observations of an incarnation.
	Progress uint64
	State    State
	Reason   Reason
	// Age is the time since the last known progress of the target.
	Age time.Duration
	// Running, Waiting and WaitingTokens are the load of the last report.
	Running       int
	Waiting       int
	WaitingTokens int
}

// Export returns the observations of all targets, sorted by name.
func (d *Detector) Export() []Observation {
	observations, _ := d.ExportSince(nil)
	return observations
}

// Versions are the versions of the exported observations, by target.
type Versions map[string]uint64

// ExportSince returns the observations that are newer than the versions of an earlier call, and the
// versions to pass to the next call.
func (d *Detector) ExportSince(known Versions) (observations []Observation, versions Versions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	versions = make(Versions, len(d.records))
	for name, r := range d.records {
		d.updateStatus(r, now)
		versions[name] = r.version
		if known[name] < r.version {
			observations = append(observations, r.observation(now))
		}
	}
	slices.SortFunc(observations, func(a, b Observation) int { return strings.Compare(a.Target, b.Target) })
	return observations, versions
}

func (r *record) observation(now time.Time) Observation {
	return Observation{
		Target: r.target.Name, Incarnation: r.incarnation, Progress: r.progress,
		State: r.status.State, Reason: r.status.Reason, Age: now.Sub(r.lastProgress),
		Running: r.report.Running, Waiting: r.report.Waiting, WaitingTokens: r.report.WaitingTokens,
	}
}

// Merge applies the observations of a peer. The highest incarnation takes precedence, and within
// it the highest progress. Merge does not clear the unanswered polls of this daemon, so a target
// that does not answer them stays suspect.
func (d *Detector) Merge(observations []Observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, observation := range observations {
		r := d.recordFor(observation.Target)
		d.mergeObservation(r, observation, now)
		d.updateStatus(r, now)
	}
}

func (d *Detector) mergeObservation(r *record, o Observation, now time.Time) {
	if r.observeIncarnation(o.Incarnation, now.Add(-o.Age)) {
		return
	}
	if o.Incarnation == "" || o.Progress < r.progress {
		return
	}
	lastProgress := now.Add(-o.Age)
	switch {
	case o.State == Leaving && o.Reason != ReasonDrain:
		r.markLeaving(o.Reason)
	case o.State == Live && (o.Progress > r.progress || lastProgress.After(r.lastProgress)):
		r.observeProgress(lastProgress)
	case o.State == Suspect || o.State == Down:
		d.adoptSuspicion(r, lastProgress, now)
	}
	if o.Progress > r.progress {
		r.progress = o.Progress
		r.report = Report{
			Incarnation: o.Incarnation, Progress: o.Progress,
			Running: o.Running, Waiting: o.Waiting, WaitingTokens: o.WaitingTokens,
		}
	}
}

// adoptSuspicion applies the suspicion of a peer that knows of no progress after lastProgress. It
// ignores the suspicion if this daemon observed progress within its own ProgressDeadline, or at
// least AnswerDeadline after lastProgress, which is after the peer's suspicion arose. Without the
// second rule the daemons would pass an outdated suspicion to each other indefinitely.
func (d *Detector) adoptSuspicion(r *record, lastProgress, now time.Time) {
	progressedHere := now.Sub(r.lastProgress) < d.settings.ProgressDeadline
	outdated := r.lastProgress.Sub(lastProgress) >= d.settings.AnswerDeadline
	if progressedHere || outdated {
		return
	}
	r.lastProgress = later(r.lastProgress, lastProgress)
	r.markStalled(ReasonPeer, now)
}
