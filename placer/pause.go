package placer

import "time"

const (
	// maxPause bounds the time that a target may ask for at once, so that one odd answer shuts no target out for good.
	maxPause = time.Minute
	// maxOddText bounds the text of an unusable time in the log.
	maxOddText = 40
)

// RecordPause records that the target wants no requests of this daemon for a time, at most maxPause. It does not count as a
// failure of the target. A later answer replaces the time.
func (a *Attempt) RecordPause(asked time.Duration) {
	a.updateTarget(func(t *target, now time.Time) {
		pause := min(asked, maxPause)
		if now.Add(pause).After(t.pausedUntil) {
			a.placer.settings.Logger.Info("target asks for time", "id", t.ID, "asked", asked, "heeded", pause, "asked_before", t.pausedUntil.After(now))
		}
		t.pausedUntil = now.Add(pause)
	})
}

// RecordOddPause records that the target asked for time with a text that means none. It is logged once for an incarnation.
func (a *Attempt) RecordOddPause(text string) {
	a.updateTarget(func(t *target, _ time.Time) {
		if !t.oddPause {
			a.placer.settings.Logger.Warn("target asks for time that cannot be read; it is not heeded", "id", t.ID, "text", text[:min(len(text), maxOddText)])
		}
		t.oddPause = true
	})
}

// pauseLeft returns the time for which the target still wants no requests.
func (t *target) pauseLeft(now time.Time) time.Duration { return max(t.pausedUntil.Sub(now), 0) }
