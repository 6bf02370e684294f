// Package tracker holds what a daemon knows of its deployment from the platform's store: the
// accepted configuration, the wanted weights and the targets.
//
// The configuration only moves to newer versions. A target whose entry has vanished is dropped at
// once, unless the store was away: then entries of live targets may have lapsed and come back, and
// they are kept for a short time.
//
// # Usage
//
//	declarations := tracker.NewDeclarations(decoder, places, logger)
//	targets := tracker.NewTargets(tracker.TargetSettings{Decode: decode, Places: places})
//	// Both are sinks of a follower.
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

// Declared is one decoded item of what operators declare. Only one of the fields is set, or none
// for an item that concerns nobody here.
type Declared struct {
	Catalog *cataloger.Catalog
	Weights *Weights
}

// Weights are the weights that operators want a model to have.
type Weights struct {
	Model   string
	Version int64
}

// DeclarationsSettings are the parameters of Declarations.
type DeclarationsSettings struct {
	Decode func(storer.Item) (Declared, error)
	// Accepted is called with each newer catalog, and Wanted with the wanted weights.
	Accepted func(*cataloger.Catalog)
	Wanted   func(Weights)
	Logger   *slog.Logger
}

// Declarations follow the operators' keys.
type Declarations struct {
	settings DeclarationsSettings
	catalog  atomic.Pointer[cataloger.Catalog]
}

// NewDeclarations returns Declarations that know nothing.
func NewDeclarations(settings DeclarationsSettings) *Declarations {
	return &Declarations{settings: settings}
}

// Catalog returns the newest accepted configuration, or nil before the first.
func (d *Declarations) Catalog() *cataloger.Catalog { return d.catalog.Load() }

// Reset takes over all items. Nothing is forgotten, since versions only grow.
func (d *Declarations) Reset(items []storer.Item, _ bool) {
	for _, item := range items {
		d.take(item)
	}
}

// Change takes over changes.
func (d *Declarations) Change(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Kind == storer.EventPut {
			d.take(event.Item)
		}
	}
}

func (d *Declarations) take(item storer.Item) {
	declared, err := d.settings.Decode(item)
	if err != nil {
		d.settings.Logger.Warn("declaration not understood, the one before stays in force", "key", item.Key, "revision", item.Version, "error", err)
		return
	}
	if declared.Weights != nil {
		d.settings.Wanted(*declared.Weights)
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
	d.settings.Accepted(declared.Catalog)
}

// LapseGrace is how long a target stays usable whose entry is missing after the store was away.
// Entries of live targets are back within two seconds.
const LapseGrace = 1800 * time.Millisecond

// TargetSettings are the parameters of Targets.
type TargetSettings struct {
	Decode func(storer.Item) (placer.Target, error)
	// Changed is called with all targets after each change, one call at a time.
	Changed func([]placer.Target)
	Logger  *slog.Logger
}

// entry is what the store said of one target.
type entry struct {
	target  placer.Target
	version storer.Version
	// missing says that the entry is gone and that the target is kept for LapseGrace.
	missing bool
}

// Targets follow the targets' keys.
type Targets struct {
	settings TargetSettings

	mu      sync.Mutex
	entries map[string]entry
	closed  bool
	timers  []*time.Timer
}

// NewTargets returns Targets that know none.
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
			t.drop(key, afterOutage)
		}
	}
	t.publish()
}

// Change takes over changes.
func (t *Targets) Change(events []storer.Event, afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range events {
		switch {
		case event.Kind == storer.EventPut:
			t.put(event.Item)
		case event.Item.Version > t.entries[event.Item.Key].version:
			t.drop(event.Item.Key, afterOutage)
		}
	}
	t.publish()
}

// Close ends the timers of lapsed targets.
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
		t.settings.Logger.Warn("entry names no target", "key", item.Key, "revision", item.Version, "error", err)
		return
	}
	if !exists || known.target.Leaving != target.Leaving || !known.target.Started.Equal(target.Started) {
		t.settings.Logger.Info("target", "id", target.ID, "service", target.Service, "address", target.Address,
			"leaving", target.Leaving, "started", target.Started, "revision", item.Version)
	}
	t.entries[item.Key] = entry{target: target, version: item.Version}
}

// drop forgets a target, or keeps it for a while where its entry may come back.
func (t *Targets) drop(key string, afterOutage bool) {
	gone, exists := t.entries[key]
	if !exists || gone.missing {
		return
	}
	t.settings.Logger.Info("entry of a target is gone", "id", gone.target.ID, "after_outage", afterOutage)
	if !afterOutage {
		delete(t.entries, key)
		return
	}
	gone.missing = true
	t.entries[key] = gone
	t.timers = append(t.timers, time.AfterFunc(LapseGrace, func() { t.forget(key) }))
}

// forget drops a target whose entry has not come back.
func (t *Targets) forget(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !t.entries[key].missing {
		return
	}
	t.settings.Logger.Info("target dropped, its entry did not come back", "id", t.entries[key].target.ID)
	delete(t.entries, key)
	t.publish()
}

func (t *Targets) publish() {
	targets := make([]placer.Target, 0, len(t.entries))
	for _, known := range t.entries {
		targets = append(targets, known.target)
	}
	t.settings.Changed(targets)
}
