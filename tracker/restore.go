package tracker

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// RestoredEntryDelay is how long an entry that a restore of the store has brought back must stay until its target, which was
// gone before, is used. It exceeds the time after which the platform deletes the entry of a silent target.
const RestoredEntryDelay = 5 * time.Second

// departureRetention is how long a removed target is remembered. It exceeds the age of the copies from which a store comes
// back.
const departureRetention = 5 * time.Minute

// departure is a removed target.
type departure struct {
	started time.Time
	// era is the era of the store in which the entry was found missing.
	era storer.Era
	at  time.Time
	// entry is the entry that a restore of the store has brought back; its version is zero if there is none.
	entry storer.Item
}

// hasLeft reports whether the entry describes an incarnation that was known to be leaving before the store came back from a
// copy. The caller holds mu.
func (t *TargetTracker) hasLeft(known entry, target placer.Target, version storer.Version) bool {
	restored := version.Era() > known.version.Era()
	return known.target.Leaving && (known.left || restored) && !target.Started.After(known.target.Started)
}

// depart removes a target and remembers that it is gone. The caller holds mu.
func (t *TargetTracker) depart(key string) {
	known := t.entries[key]
	delete(t.entries, key)
	now := time.Now()
	for other, gone := range t.departures {
		if now.Sub(gone.at) > departureRetention {
			delete(t.departures, other)
		}
	}
	t.departures[key] = departure{started: known.target.Started, era: t.era, at: now}
}

// restored reports whether a listed entry describes an incarnation that was gone before the store came back from a copy, and
// has not been written since it was first listed. The entry is used once it has stayed for RestoredEntryDelay. The caller
// holds mu.
func (t *TargetTracker) restored(item storer.Item) bool {
	gone, known := t.departures[item.Key]
	if !known || item.Version.Era() <= gone.era {
		return false
	}
	target, err := t.settings.Decode(item)
	if err != nil || target.Started.After(gone.started) {
		return false
	}
	if gone.entry.Version != 0 {
		return gone.entry.Version == item.Version
	}
	gone.entry = item
	t.departures[item.Key] = gone
	t.settings.Logger.Info("entry of a target that is gone was restored", "id", target.ID, "revision", item.Version.Revision(), "era", item.Version.Era())
	t.timers = append(t.timers, time.AfterFunc(RestoredEntryDelay, func() { t.acceptRestored(item) }))
	return true
}

// acceptRestored uses a restored entry that the store still has.
func (t *TargetTracker) acceptRestored(item storer.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.departures[item.Key].entry.Version != item.Version {
		return
	}
	t.put(item)
	t.publish()
}

// forgetRestored drops a restored entry that the store does not have any more. The caller holds mu.
func (t *TargetTracker) forgetRestored(key string) {
	if gone, known := t.departures[key]; known && gone.entry.Version != 0 {
		gone.entry = storer.Item{}
		t.departures[key] = gone
	}
}
