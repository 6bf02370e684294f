package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/ranker"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// change is a write to the store that is due.
type change struct {
	service  string
	revision storer.Version
	versions []string
	// completeIn is the era in which the versions are complete; zero if it is not known.
	completeIn storer.Era
	// unlisted are the marks, each with the revision before it.
	unlisted map[string]storer.Version
}

// wanted returns the versions that the store should have, and the marks among them. A version that this daemon hasn't listed for the retention is
// marked first, since others may list it, and removed when its mark has stood for removalMargin. The caller holds mu.
func (v *Versions) wanted(s *service, now time.Time) (versions map[string]bool, unlisted map[string]storer.Version) {
	versions = v.lately(s, now)
	unlisted = make(map[string]storer.Version)
	removes := now.Sub(v.started) > v.retention()+removalMargin
	for version := range s.recorded {
		known, marked := s.unlisted[version]
		switch {
		case s.current[version]:
		case marked && removes && !versions[version] && now.Sub(known.seen) >= removalMargin:
			continue
		case marked:
			unlisted[version] = known.after
		case removes && !versions[version]:
			unlisted[version] = s.revision
		}
		versions[version] = true
	}
	return versions, unlisted
}

// hasMarks reports whether the marks in the store are these.
func (s *service) hasMarks(unlisted map[string]storer.Version) bool {
	return maps.EqualFunc(s.unlisted, unlisted, func(m mark, after storer.Version) bool { return m.after == after })
}

// due returns the changes that are due: a version is missing in the store, or has not been listed for the retention, or is listed and marked.
func (v *Versions) due() (changes []change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.read || !v.targetsKnown {
		return nil
	}
	now := v.settings.Now()
	for name, s := range v.services {
		wanted, unlisted := v.wanted(s, now)
		completeIn := s.completeIn
		if s.isMarkedComplete() || v.completes(s, now) {
			completeIn = s.revision.Era()
		}
		if maps.Equal(wanted, s.recorded) && completeIn == s.completeIn && s.hasMarks(unlisted) {
			s.differsSince = time.Time{}
			continue
		}
		if s.differsSince.IsZero() {
			s.differsSince = now
		}
		turn := min(ranker.Position(v.settings.Name, v.peers, xxh3.HashString(name)), maxTurns)
		if now.Sub(s.differsSince) >= time.Duration(turn)*turnInterval {
			changes = append(changes, change{
				service: name, revision: s.revision, versions: slices.Sorted(maps.Keys(wanted)), completeIn: completeIn, unlisted: unlisted,
			})
		}
	}
	return changes
}

// commit writes a change. If another daemon has written meanwhile, its change is read from the store first.
func (v *Versions) commit(ctx context.Context, c change) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	value, err := json.Marshal(wireVersions{Versions: c.versions, Era: c.completeIn, Unlisted: c.unlisted})
	if err != nil {
		v.settings.Logger.Error("versions of the targets' software cannot be encoded", "service", c.service, "error", err)
		return
	}
	key := v.settings.Prefix + c.service
	revision, err := v.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: c.revision}}, Puts: []storer.Put{{Key: key, Value: value}},
	})
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		v.settings.Logger.Warn("versions of the targets' software not recorded", "service", c.service, "versions", c.versions, "error", err)
	}
	if err == nil {
		v.settings.Logger.Info("versions of the targets' software recorded", "service", c.service, "versions", c.versions, "unlisted", c.unlisted, "revision", revision)
		v.apply(storer.Item{Key: key, Value: value, Version: revision})
	}
}
