// Package tracker maintains a daemon's view of its deployment from the platform's store: the accepted
// configuration, the wanted weights, the targets and the other daemons.
//
// The configuration is only replaced by newer versions. Once one has listed client accounts, keys are required by all later ones.
// A target whose entry is deleted is removed at once,
// unless the store was unreachable shortly before: the lease of a live target may then have expired, and its entry
// with it, before the target could write the entry again. Such a target is kept for MissingEntryGrace.
//
// When the store has come back from a copy, it may have old entries of targets that are known to be leaving or gone. Such an
// incarnation does not return by them: it stays leaving, and an entry of one that is gone counts only once it was written
// again or has stayed for RestoredEntryDelay.
//
// # Usage
//
//	declarations := tracker.NewDeclarationTracker(tracker.DeclarationTrackerSettings{
//		Decode: decode, OnCatalog: onCatalog, OnWeights: onWeights,
//	})
//	targets := tracker.NewTargetTracker(tracker.TargetTrackerSettings{Decode: decodeTarget, OnChange: onChange})
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

// DeclarationTrackerSettings are the parameters of a DeclarationTracker.
type DeclarationTrackerSettings struct {
	Decode func(storer.Item) (Declared, error)
	// OnCatalog is called with each newer catalog, and OnWeights with the wanted version in each applied item,
	// even if that version has not changed.
	OnCatalog func(*cataloger.Catalog)
	OnWeights func(Weights)
	Logger    *slog.Logger
}

// DeclarationTracker tracks the items that operators declare. Its methods are safe for concurrent use.
type DeclarationTracker struct {
	settings DeclarationTrackerSettings
	// applying makes the calls of apply and RequireKeys follow each other, and protects odd and keysRequired.
	applying sync.Mutex
	catalog  atomic.Pointer[cataloger.Catalog]
	odd      oddEntries
	// keysRequired is set once the deployment is known to have client accounts.
	keysRequired bool
}

// NewDeclarationTracker returns a DeclarationTracker without a catalog.
func NewDeclarationTracker(settings DeclarationTrackerSettings) *DeclarationTracker {
	return &DeclarationTracker{settings: settings}
}

// Catalog returns the catalog of the newest accepted configuration, or nil before the first one was accepted.
func (d *DeclarationTracker) Catalog() *cataloger.Catalog { return d.catalog.Load() }

// Reset applies all items. A declaration whose item is missing stays in force until an item with a higher version
// replaces it.
func (d *DeclarationTracker) Reset(items []storer.Item, _ bool) {
	for _, item := range items {
		d.apply(item)
	}
}

// HandleEvents applies the items that were put. A declaration whose item is deleted stays in force.
func (d *DeclarationTracker) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Kind == storer.EventPut {
			d.apply(event.Item)
		} else {
			d.forgetOdd(event.Item.Key)
		}
	}
}

func (d *DeclarationTracker) forgetOdd(key string) {
	d.applying.Lock()
	defer d.applying.Unlock()
	d.odd.forget(key)
}

func (d *DeclarationTracker) apply(item storer.Item) {
	d.applying.Lock()
	defer d.applying.Unlock()
	declared, err := d.settings.Decode(item)
	if err != nil {
		if d.odd.isNew(item.Key) {
			d.settings.Logger.Warn("invalid declaration ignored; the previous one stays in force", "key", item.Key, "revision", item.Version, "error", shortText(err))
		}
		return
	}
	d.odd.forget(item.Key)
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
	d.keysRequired = d.keysRequired || declared.Catalog.ListsAccounts()
	d.putInForce(declared.Catalog)
	d.settings.Logger.Info("configuration in force", "version", declared.Catalog.Version(), "revision", item.Version)
	d.settings.OnCatalog(declared.Catalog)
}

// RequireKeys records that the deployment has client accounts. A configuration without a list of them has lost it then, so no key
// is valid: requests would otherwise run with keys that were taken away, or with any.
func (d *DeclarationTracker) RequireKeys() {
	d.applying.Lock()
	defer d.applying.Unlock()
	if d.keysRequired {
		return
	}
	d.keysRequired = true
	if current := d.catalog.Load(); current != nil {
		d.putInForce(current)
	}
}

// putInForce replaces the catalog. The caller holds applying.
func (d *DeclarationTracker) putInForce(catalog *cataloger.Catalog) {
	if d.keysRequired && !catalog.RequiresKeys() {
		d.settings.Logger.Error("the configuration has no list of accounts, but the deployment has accounts: no key is valid, and only anonymous routes are served",
			"version", catalog.Version())
		catalog = catalog.WithKeysRequired()
	}
	d.catalog.Store(catalog)
}

// MissingEntryGrace is how long a target is kept after its entry was found missing right after an outage of the
// store, or was replaced by one that names no target. Live targets write their entries again within two seconds.
const MissingEntryGrace = 1800 * time.Millisecond

// TargetTrackerSettings are the parameters of a TargetTracker.
type TargetTrackerSettings struct {
	Decode func(storer.Item) (placer.Target, error)
	// OnChange is called with all targets after each Reset and HandleEvents, even if no target changed, and after
	// the removal of a target whose entry stayed missing. It is called by one goroutine at a time.
	OnChange func([]placer.Target)
	Logger   *slog.Logger
}

// entry is the last known entry of a target in the store.
type entry struct {
	target  placer.Target
	version storer.Version
	// missing is set if the entry was deleted, or replaced by one that names no target, and the target is kept for
	// MissingEntryGrace. timer then removes it.
	missing bool
	timer   *time.Timer
	// left is set if the incarnation was known to be leaving in an earlier era of the store.
	left bool
}

// TargetTracker tracks the targets by their entries in the store.
type TargetTracker struct {
	settings TargetTrackerSettings

	mu      sync.Mutex
	entries map[string]entry
	// departures are the targets that were removed lately, by the keys of their entries.
	departures map[string]departure
	// era is the highest era of the store that an item was read in.
	era    storer.Era
	closed bool
	odd    oddEntries
	// timers let restored entries be used.
	timers []*time.Timer
}

// NewTargetTracker returns a TargetTracker without any target.
func NewTargetTracker(settings TargetTrackerSettings) *TargetTracker {
	return &TargetTracker{settings: settings, entries: make(map[string]entry), departures: make(map[string]departure)}
}

// Reset puts the items, except those that are older than the known entries, and removes the targets whose entries are
// missing. If afterOutage is set, it keeps the latter for MissingEntryGrace.
func (t *TargetTracker) Reset(items []storer.Item, afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		t.era = max(t.era, item.Version.Era())
		if !t.restored(item) {
			t.put(item)
		}
	}
	t.odd.retain(present)
	for key := range t.entries {
		if !present[key] {
			t.remove(key, afterOutage)
		}
	}
	for key := range t.departures {
		if !present[key] {
			t.forgetRestored(key)
		}
	}
	t.publish()
}

// HandleEvents applies events. Events older than the known entries are ignored. If afterOutage is set, a target whose
// entry was deleted is kept for MissingEntryGrace.
func (t *TargetTracker) HandleEvents(events []storer.Event, afterOutage bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, event := range events {
		t.era = max(t.era, event.Item.Version.Era())
		switch {
		case event.Kind == storer.EventPut:
			t.put(event.Item)
		case event.Item.Version > t.entries[event.Item.Key].version:
			t.forgetRestored(event.Item.Key)
			t.remove(event.Item.Key, afterOutage)
		}
	}
	t.publish()
}

// Close stops the timers of targets whose entries are missing.
func (t *TargetTracker) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, known := range t.entries {
		known.stopTimer()
	}
	for _, timer := range t.timers {
		timer.Stop()
	}
	return nil
}

func (t *TargetTracker) put(item storer.Item) {
	known, exists := t.entries[item.Key]
	if exists && item.Version < known.version {
		return
	}
	target, err := t.settings.Decode(item)
	if err != nil {
		if t.odd.isNew(item.Key) {
			t.settings.Logger.Warn("invalid entry of a target ignored", "key", item.Key, "revision", item.Version, "error", shortText(err))
		}
		if exists {
			known.version = item.Version
			t.entries[item.Key] = known
			t.keepMissing(item.Key)
		}
		return
	}
	known.stopTimer()
	left := exists && t.hasLeft(known, target, item.Version)
	target.Leaving = target.Leaving || left
	t.odd.forget(item.Key)
	if !exists || known.target.Leaving != target.Leaving || !known.target.Started.Equal(target.Started) {
		t.settings.Logger.Info("target added or changed", "id", target.ID, "service", target.Service, "address", target.Address,
			"leaving", target.Leaving, "started", target.Started, "revision", item.Version)
	}
	t.entries[item.Key] = entry{target: target, version: item.Version, left: left}
	delete(t.departures, item.Key)
}

// remove removes a target whose entry was deleted. After an outage it keeps the target for MissingEntryGrace, since
// the entry may be written again.
func (t *TargetTracker) remove(key string, afterOutage bool) {
	t.odd.forget(key)
	known, exists := t.entries[key]
	if !exists || known.missing && afterOutage {
		return
	}
	t.settings.Logger.Info("entry of a target deleted", "id", known.target.ID, "after_outage", afterOutage)
	if !afterOutage {
		known.stopTimer()
		t.depart(key)
		return
	}
	t.keepMissing(key)
}

// keepMissing keeps a target whose entry is gone for MissingEntryGrace.
func (t *TargetTracker) keepMissing(key string) {
	known := t.entries[key]
	if known.missing {
		return
	}
	known.missing = true
	known.timer = time.AfterFunc(MissingEntryGrace, func() { t.removeMissing(key) })
	t.entries[key] = known
}

func (e entry) stopTimer() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// removeMissing removes a target whose entry is still missing after MissingEntryGrace.
func (t *TargetTracker) removeMissing(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || !t.entries[key].missing {
		return
	}
	t.settings.Logger.Info("target removed; its entry was not written again", "id", t.entries[key].target.ID)
	t.depart(key)
	t.publish()
}

func (t *TargetTracker) publish() {
	targets := make([]placer.Target, 0, len(t.entries))
	for _, known := range t.entries {
		targets = append(targets, known.target)
	}
	t.settings.OnChange(targets)
}
