package recorder

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// checkInterval is the time between two looks at whether the store lacks a version or has one too many.
	checkInterval = 250 * time.Millisecond
	// turnInterval is the time that each daemon leaves to the one before it in the service's order to write.
	turnInterval = 500 * time.Millisecond
	// maxTurns bounds the daemons that leave each other time.
	maxTurns = 8
	// removalMargin is how long a version stays in the store after its retention, marked as unlisted. A daemon that lists it takes the mark back,
	// and none writes it again after that because it saw the last target leave a little later.
	removalMargin = 10 * time.Second
	// commitTimeout bounds a call to the store.
	commitTimeout = 2 * time.Second
	// confirmTimeout bounds the time for which a take-up waits for the store.
	confirmTimeout = 500 * time.Millisecond
)

// Store is the part of the platform's store that Versions needs.
type Store interface {
	// Commit applies the transaction atomically and returns the version of its changes. Its error is a storer.ConflictError if a
	// condition does not hold.
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
	// List returns the first items under the prefix. What was written before the call is there.
	List(ctx context.Context, prefix, after string) (storer.Page, error)
}

// VersionsSettings are the parameters of Versions.
type VersionsSettings struct {
	// Name is the name of this daemon.
	Name  string
	Store Store
	// Prefix is the prefix of the keys, which end with the name of a service.
	Prefix string
	// Retention returns how long a stream and its take-ups last at most. A version is kept for so long after its last target
	// left, and for as long as that target's last streams.
	Retention func() time.Duration
	Now       func() time.Time
	Logger    *slog.Logger
}

// Versions keeps the versions of the targets' software that serve, or served lately, for each service. A change is written to the
// store by the first daemon in the service's order, or by the next ones if it doesn't do so; all daemons read it there. Its methods
// are safe for concurrent use.
type Versions struct {
	settings VersionsSettings
	started  time.Time
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	// confirming is held during a read for a take-up. Others that wait for it use its result if it began late enough.
	confirming sync.Mutex

	mu       sync.Mutex
	peers    []string
	services map[string]*service
	// read is set once the keys were read, and targetsKnown once the targets were.
	read, targetsKnown bool
}

// service are the versions of one service.
type service struct {
	// recorded are the versions in the store, where the key was last written at revision. They were complete in the era completeIn of
	// the store; zero if the writer did not tell.
	recorded   map[string]bool
	revision   storer.Version
	completeIn storer.Era
	// unlisted are the marks in the store, by version.
	unlisted map[string]mark
	// witnessed is set if this daemon knew the key before the store came back from a copy, so that it has what the copy lacks.
	witnessed bool
	// listed is when a target of each version was last listed, and current are the versions of the targets now.
	listed  map[string]time.Time
	current map[string]bool
	// confirmedAt is when the last read of the key for a take-up began.
	confirmedAt time.Time
	// differsSince is when the store was first found to differ; zero if it does not.
	differsSince time.Time
}

// NewVersions returns Versions that know no version.
func NewVersions(settings VersionsSettings) *Versions {
	return &Versions{settings: settings, started: settings.Now(), cancel: func() {}, services: make(map[string]*service)}
}

// Start keeps the store up to date until Close or the end of ctx.
func (v *Versions) Start(ctx context.Context) {
	ctx, v.cancel = context.WithCancel(ctx)
	v.tasks.Go(func() { supervisor.Run(ctx, v.settings.Logger, "record versions", v.run) })
}

// Close waits for the end of pending calls.
func (v *Versions) Close() error {
	v.cancel()
	v.tasks.Wait()
	return nil
}

func (v *Versions) run(ctx context.Context) {
	for waiter.Sleep(ctx, checkInterval) {
		for _, change := range v.due() {
			v.commit(ctx, change)
		}
	}
}

// SetPeers sets the names of the other daemons.
func (v *Versions) SetPeers(names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.peers = slices.Clone(names)
}

// SetTargets sets the targets of all services.
func (v *Versions) SetTargets(targets []placer.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Now()
	for _, s := range v.services {
		s.touch(now)
		clear(s.current)
	}
	for _, target := range targets {
		s := v.service(target.Service)
		s.current[target.Software] = true
	}
	for _, s := range v.services {
		s.touch(now)
	}
	v.targetsKnown = true
}

// touch notes that the current versions are still listed.
func (s *service) touch(now time.Time) {
	for version := range s.current {
		s.listed[version] = now
	}
}

// service returns the versions of a service. The caller holds mu.
func (v *Versions) service(name string) *service {
	s := v.services[name]
	if s == nil {
		s = &service{recorded: make(map[string]bool), listed: make(map[string]time.Time), current: make(map[string]bool)}
		v.services[name] = s
	}
	return s
}

// Possible returns the versions at which a stream of a service can have begun that may still be taken up, in their order as texts.
// It returns none before the store was read.
func (v *Versions) Possible(name string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil || !v.read || !v.targetsKnown {
		return nil
	}
	possible := v.lately(s, v.settings.Now())
	maps.Copy(possible, s.recorded)
	return slices.Sorted(maps.Keys(possible))
}

// PossibleNow returns the versions of Possible once the store has confirmed that it has no others now. confirmed is false if it did not
// answer, or may have lost some when it came back from a copy. What a daemon knows may be old: it may have been cut off, or have stood
// still, while a version joined.
func (v *Versions) PossibleNow(ctx context.Context, name string) (possible []string, confirmed bool) {
	asked := v.settings.Now()
	v.confirming.Lock()
	defer v.confirming.Unlock()
	if !v.confirmedSince(name, asked) && !v.confirm(ctx, name) {
		return nil, false
	}
	return v.Possible(name), v.isComplete(name)
}

// isComplete reports whether the versions of a service that are known here are all that there can be.
func (v *Versions) isComplete(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	complete := s.isMarkedComplete() || v.completes(s, v.settings.Now())
	if !complete {
		v.settings.Logger.Info("versions of the targets' software may be incomplete", "service", name, "complete_in", s.completeIn, "era", s.revision.Era())
	}
	return complete
}

// isMarkedComplete reports whether the key was complete in the store's present era, as far as its value tells. A value of an earlier era
// may be that of a copy.
func (s *service) isMarkedComplete() bool {
	return s.revision == 0 || s.completeIn == 0 || s.completeIn == s.revision.Era()
}

// completes reports whether this daemon knows the versions that the store may have lost: it knew them before, or all their streams have
// ended since it started.
func (v *Versions) completes(s *service, now time.Time) bool {
	return s.witnessed || now.Sub(v.started) > v.retention()+removalMargin
}

// confirmedSince reports whether the versions of a service were read from the store after a time.
func (v *Versions) confirmedSince(name string, since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.service(name).confirmedAt.Before(since)
}

// confirm reads the versions of a service from the store.
func (v *Versions) confirm(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	began := v.settings.Now()
	key := v.settings.Prefix + name
	page, err := v.settings.Store.List(ctx, key, "")
	if err != nil {
		v.settings.Logger.Info("versions of the targets' software not confirmed", "service", name, "error", err)
		return false
	}
	for _, item := range page.Items {
		if item.Key == key {
			v.apply(item)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service(name).confirmedAt = began
	return true
}

// Recorded reports whether the store has a version of a service, so that daemons that start learn of it.
func (v *Versions) Recorded(name, software string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	return s != nil && s.recorded[software]
}

// lately returns the versions of which a target was listed within the retention, and forgets those that were listed so long ago
// that they are removed from the store. The caller holds mu.
func (v *Versions) lately(s *service, now time.Time) map[string]bool {
	s.touch(now)
	retention := v.retention()
	maps.DeleteFunc(s.listed, func(_ string, at time.Time) bool { return now.Sub(at) > retention+removalMargin })
	versions := make(map[string]bool, len(s.listed))
	for version, at := range s.listed {
		if now.Sub(at) <= retention {
			versions[version] = true
		}
	}
	return versions
}

// retention is how long a version is kept: the streams that its last target had end first, and their take-ups after that.
func (v *Versions) retention() time.Duration { return 2 * v.settings.Retention() }
