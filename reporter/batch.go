package reporter

import (
	"fmt"
	"slices"
	"time"
)

const (
	keyPrefix  = "record/"
	dayLayout  = "20060102"
	timeLayout = "1504"
)

// Key returns the key of the batch on the platform.
func (b *Batch) Key() string {
	minute := b.keyMinute.UTC()
	return fmt.Sprintf("%s%s/%s/%s~%s/%s", keyPrefix, b.DataCentre, minute.Format(dayLayout), b.Daemon, b.Incarnation, minute.Format(timeLayout))
}

// entryKey identifies the entries that are counted together.
type entryKey struct {
	account string
	kind    Kind
	code    string
	run     Run
	subject string
	// start distinguishes outages of the same subject.
	start time.Time
}

func entryKeyOf(e *Entry) entryKey {
	key := entryKey{account: e.Account, kind: e.Kind, code: e.Code, run: e.Run, subject: e.Subject}
	if e.Kind == KindOutage && e.Code != CodeOverflow {
		key.start = e.Time
	}
	return key
}

// add merges the entry into the entry with the same key, or appends it. Once the batch has
// maxEntries entries, entries with new keys are counted under CodeOverflow. For outages this limit
// is twice as high.
func (b *Batch) add(entry Entry, maxEntries int) {
	b.Version++
	b.buildIndex()
	_, known := b.index[entryKeyOf(&entry)]
	if entry.Kind == KindOutage {
		maxEntries *= 2
	}
	if !known && len(b.Entries) >= maxEntries {
		entry = overflowEntry(entry)
	}
	i, known := b.index[entryKeyOf(&entry)]
	if known {
		b.Entries[i].merge(entry)
		return
	}
	b.index[entryKeyOf(&entry)] = len(b.Entries)
	b.Entries = append(b.Entries, entry)
}

func (b *Batch) buildIndex() {
	if b.index != nil {
		return
	}
	b.index = make(map[entryKey]int, len(b.Entries))
	for i := range b.Entries {
		b.index[entryKeyOf(&b.Entries[i])] = i
	}
}

// merge adds another entry with the same key.
func (e *Entry) merge(other Entry) {
	if other.Time.Before(e.Time) {
		e.Time = other.Time
	}
	if other.Until.After(e.Until) {
		e.Until = other.Until
	}
	if e.Kind == KindOutage && e.Code != CodeOverflow {
		e.Open = other.Open
		return
	}
	e.Count += other.Count
}

// overflowEntry reduces the entry to its kind, run, count, time span and daemon. The count of an
// open outage is zero, as it is counted when it ends.
func overflowEntry(e Entry) Entry {
	if e.Open {
		e.Count = 0
	}
	return Entry{
		Time:       e.Time,
		Until:      e.Until,
		Daemon:     e.Daemon,
		DataCentre: e.DataCentre,
		Kind:       e.Kind,
		Code:       CodeOverflow,
		Run:        e.Run,
		Count:      e.Count,
	}
}

// compact reduces the batch to its outages and the counts of its other entries. The version stays
// the same, so that the compacted batch does not replace a stored batch that has all entries.
func (b *Batch) compact() {
	entries := b.Entries
	version := b.Version
	b.Entries = nil
	b.index = nil
	for _, entry := range entries {
		if entry.Kind != KindOutage {
			entry = overflowEntry(entry)
		}
		b.add(entry, len(entries))
	}
	b.Version = version
}

func (b *Batch) clone() Batch {
	cloned := *b
	cloned.Entries = slices.Clone(b.Entries)
	cloned.index = nil
	return cloned
}
