// Package tracker maintains a daemon's view of its deployment from the platform's store: the accepted
// configuration, the wanted weights, the targets and the other daemons.
//
// The configuration is only replaced by newer versions. A target whose entry is deleted is removed at once,
// unless the store was unreachable shortly before: entries of live targets may then have expired with their
// leases and are written again, so the targets are kept for MissingEntryGrace.
//
// # Usage
//
//	declarations := tracker.NewDeclarations(tracker.DeclarationsSettings{
//		Decode: decode, OnCatalog: onCatalog, OnWeights: onWeights,
//	})
//	targets := tracker.NewTargets(tracker.TargetSettings{Decode: decodeTarget, OnChange: onChange})
//	// A follower passes the items and events of the store to Reset and HandleEvents of both.
//	catalog := declarations.Catalog()
package tracker

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Declared is one decoded item of the operators' declarations. At most one of the fields is set, and none for
// an item that this package does not use.
type Declared struct {
	Catalog *cataloger.Catalog
	Weights *Weights
}

// Weights is the version of a model's weights that operators want.
type Weights struct {
	Model   string
	Version int64
}

// DeclarationsSettings are the parameters of Declarations.
type DeclarationsSettings struct {
	Decode func(storer.Item) (Declared, error)
	// OnCatalog is called with each newer catalog, and OnWeights with each declared version of weights.
	OnCatalog func(*cataloger.Catalog)
	OnWeights func(Weights)
	Logger    *slog.Logger
}

// Declarations tracks the items that operators declare.
type Declarations struct {
	settings DeclarationsSettings
	catalog  atomic.Pointer[cataloger.Catalog]
}

// NewDeclarations returns Declarations without a catalog.
func NewDeclarations(settings DeclarationsSettings) *Declarations {
	return &Declarations{settings: settings}
}

// Catalog returns the newest accepted configuration, or nil before the first one was accepted.
func (d *Declarations) Catalog() *cataloger.Catalog { return d.catalog.Load() }

// Reset applies all items. Missing items have no effect, since versions only increase.
func (d *Declarations) Reset(items []storer.Item, _ bool) {
	for _, item := range items {
		d.apply(item)
	}
}

// HandleEvents applies events. Deletions have no effect.
func (d *Declarations) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Kind == storer.EventPut {
			d.apply(event.Item)
		}
	}
}

func (d *Declarations) apply(item storer.Item) {
	declared, err := d.settings.Decode(item)
	if err != nil {
		d.settings.Logger.Warn("invalid declaration ignored; the previous one stays in force", "key", item.Key, "revision", item.Version, "error", err)
		return
	}
	if declared.Weights != nil {
		d.settings.OnWeights(*declared.Weights)
	}
	if declared.Catalog == nil {
		return
	}
	current := d.catalog.Load()
	if current != nil && declared.Catalog.Version() <= current.Version() {
		return
	}
	d.catalog.Store(declared.Catalog)
	d.settings.Logger.Info("configuration in force", "version", declared.Catalog.Version(), "revision", item.Version)
	d.settings.OnCatalog(declared.Catalog)
}

// MissingEntryGrace is how long a target is kept after its entry was found missing right after an outage of the
// store. Entries of live targets are written again within two seconds.
const MissingEntryGrace = 1800 * time.Millisecond

// TargetSettings are the parameters of Targets.
type TargetSettings struct {
	Decode func(storer.Item) (placer.Target, error)
	// OnChange is called with all targets after each change, by one goroutine at a time.
	OnChange func([]placer.Target)
	Logger   *slog.Logger
}

// entry is the last known entry of a target in the store.
type entry struct {
	target  placer.Target
	version storer.Version
	// missing is set if the entry was deleted and the target is kept for MissingEntryGrace.
	missing bool
}

// Targets tracks the targets by their entries in the store.
type Targets struct {
	settings TargetSettings

	mu      sync.Mutex
	entries map[string]entry
	closed  bool
	timers  []*time.Timer
}

// NewTargets returns Targets without any target.
func NewTargets(settings TargetSettings) *Targets {
	return &Targets{settings: settings, entries: make(map[string]entry)}
}

// Reset replaces all targets.
func (t *Targets) Reset(items []storer.Item, afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		t.put(item)
	}
	for key := range t.entries {
		if !present[key] {
			t.remove(key, afterOutage)
		}
	}
	t.publish()
}

// HandleEvents applies events. Events older than the known entries are ignored.
func (t *Targets) HandleEvents(events []storer.Event, afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range events {
		switch {
		case event.Kind == storer.EventPut:
			t.put(event.Item)
		case event.Item.Version > t.entries[event.Item.Key].version:
			t.remove(event.Item.Key, afterOutage)
		}
	}
	t.publish()
}

// Close stops the timers of targets whose entries are missing.
func (t *Targets) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, timer := range t.timers {
		timer.Stop()
	}
	return nil
}

func (t *Targets) put(item storer.Item) {
	known, exists := t.entries[item.Key]
	if exists && item.Version < known.version {
		return
	}
	target, err := t.settings.Decode(item)
	if err != nil {
		t.settings.Logger.Warn("invalid entry of a target ignored", "key", item.Key, "revision", item.Version, "error", err)
		return
	}
	if !exists || known.target.Leaving != target.Leaving || !known.target.Started.Equal(target.Started) {
		t.settings.Logger.Info("target", "id", target.ID, "service", target.Service, "address", target.Address,
			"leaving", target.Leaving, "started", target.Started, "revision", item.Version)
	}
	t.entries[item.Key] = entry{target: target, version: item.Version}
}

// remove removes a target whose entry was deleted. After an outage it keeps the target for MissingEntryGrace, since
// the entry may be written again.
func (t *Targets) remove(key string, afterOutage bool) {
	known, exists := t.entries[key]
	if !exists || known.missing {
		return
	}
	t.settings.Logger.Info("entry of a target deleted", "id", known.target.ID, "after_outage", afterOutage)
	if !afterOutage {
		delete(t.entries, key)
		return
	}
	known.missing = true
	t.entries[key] = known
	t.timers = append(t.timers, time.AfterFunc(MissingEntryGrace, func() { t.removeMissing(key) }))
}

// removeMissing removes a target whose entry is still missing after MissingEntryGrace.
func (t *Targets) removeMissing(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !t.entries[key].missing {
		return
	}
	t.settings.Logger.Info("target removed; its entry was not written again", "id", t.entries[key].target.ID)
	delete(t.entries, key)
	t.publish()
}

func (t *Targets) publish() {
	targets := make([]placer.Target, 0, len(t.entries))
	for _, known := range t.entries {
		targets = append(targets, known.target)
	}
	t.settings.OnChange(targets)
}
