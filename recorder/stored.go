package recorder

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// mark tells the other daemons that a version is to be removed from the store. The daemon that wrote it may be out of step.
type mark struct {
	// after is the revision of the key before the one that brought the mark, so that no two marks are the same.
	after storer.Version
	// seen is when this daemon first saw it.
	seen time.Time
}

// wireVersions is the value of a key. Daemons of older releases write no era or no marks.
type wireVersions struct {
	Versions []string   `json:"versions"`
	Era      storer.Era `json:"era,omitempty"`
	// Unlisted are the marks, each with the revision before it.
	Unlisted map[string]storer.Version `json:"unlisted,omitempty"`
}

// Reset replaces what the store has.
func (v *Versions) Reset(items []storer.Item, _ bool) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[strings.TrimPrefix(item.Key, v.settings.Prefix)] = true
		v.apply(item)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, s := range v.services {
		if !present[name] {
			v.loseKey(s)
		}
	}
	v.read = true
}

// HandleEvents applies changes in the store.
func (v *Versions) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Kind == storer.EventPut {
			v.apply(event.Item)
			continue
		}
		v.mu.Lock()
		s := v.service(strings.TrimPrefix(event.Item.Key, v.settings.Prefix))
		if event.Item.Version > s.revision {
			v.loseKey(s)
		}
		v.mu.Unlock()
	}
}

// apply uses what the store has of a service, unless that is older than what is known.
func (v *Versions) apply(item storer.Item) {
	name := strings.TrimPrefix(item.Key, v.settings.Prefix)
	var wire wireVersions
	if err := json.Unmarshal(item.Value, &wire); err != nil {
		v.settings.Logger.Warn("invalid versions of the targets' software ignored", "key", item.Key, "error", err)
		wire.Versions = nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	if item.Version < s.revision {
		return
	}
	recorded := make(map[string]bool, len(wire.Versions))
	for _, version := range wire.Versions {
		recorded[version] = true
	}
	if item.Version.Era() > s.revision.Era() {
		v.lose(s, recorded)
	}
	s.recorded, s.revision, s.completeIn = recorded, item.Version, wire.Era
	s.setMarks(wire.Unlisted, v.settings.Now())
}

// setMarks replaces the marks. Those that were there before have been seen for longer.
func (s *service) setMarks(unlisted map[string]storer.Version, now time.Time) {
	marks := make(map[string]mark, len(unlisted))
	for version, after := range unlisted {
		known, marked := s.unlisted[version]
		if !marked || known.after != after {
			known = mark{after: after, seen: now}
		}
		marks[version] = known
	}
	s.unlisted = marks
}

// loseKey records that the store doesn't have the key. The caller holds mu.
func (v *Versions) loseKey(s *service) {
	v.lose(s, nil)
	s.recorded, s.revision, s.unlisted = make(map[string]bool), 0, nil
}

// lose keeps the versions that the store has lost, as if they had been listed until now. Daemons remove a version only by a write in
// the same era. The caller holds mu.
func (v *Versions) lose(s *service, left map[string]bool) {
	s.witnessed = s.witnessed || s.revision != 0
	for version := range s.recorded {
		if !left[version] {
			s.listed[version] = v.settings.Now()
		}
	}
}
