package repeater

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/follower"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// maxDeletions bounds the deletions that a Copy remembers. A reader that has missed more of them has to list the keys.
const maxDeletions = 1024

// outageWindow is how long after events that followed an outage the events for readers count as following it too.
const outageWindow = 2 * time.Second

// CopySettings are the parameters of a Copy.
type CopySettings struct {
	// Sink also receives all items and events.
	Sink follower.Sink
	// Equivalent reports whether readers need not learn that an item was replaced by another one. Default: never.
	Equivalent func(before, after storer.Item) bool
	// Supersedes reports whether a known item stays in place of one that a restore of the store has brought back, since its
	// contents are newer. If it is set, items that a restore has lost stay too. Default: never.
	Supersedes func(known, restored storer.Item) bool
	// Now is the clock of the ages. Default: clocker.Now.
	Now func() clocker.Instant
}

// Copy keeps the items that a follower has read, for other daemons. It is the Sink of the follower, and its Confirm the
// OnContact.
type Copy struct {
	settings CopySettings

	mu    sync.Mutex
	items map[string]copiedItem
	// deletions are the last deleted keys, oldest first, and horizon is the revision of the newest forgotten one.
	deletions []storer.Item
	horizon   storer.Version
	// missing are the keys that the last Reset did not contain, until Confirm.
	missing []string
	// reset is set from a Reset until Confirm.
	reset bool
	// All changes up to revision are known. The store confirmed this for the time contact.
	revision storer.Version
	contact  clocker.Instant
	// outageAt is when events were last received right after an outage of the store.
	outageAt clocker.Instant
	// changed is closed at the next change.
	changed chan struct{}
}

// copiedItem is an item, and the revision of its last change that readers need to learn.
type copiedItem struct {
	storer.Item
	changedAt storer.Version
}

// NewCopy returns a Copy without items.
func NewCopy(settings CopySettings) *Copy {
	if settings.Now == nil {
		settings.Now = clocker.Now
	}
	if settings.Equivalent == nil {
		settings.Equivalent = func(_, _ storer.Item) bool { return false }
	}
	return &Copy{settings: settings, items: make(map[string]copiedItem), changed: make(chan struct{})}
}

// Reset replaces all items. Items that are missing count as deleted at the revision that the next Confirm names.
func (c *Copy) Reset(items []storer.Item, afterOutage bool) {
	c.settings.Sink.Reset(items, afterOutage)
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		c.put(item)
	}
	c.missing, c.reset = nil, true
	for key := range c.items {
		if !present[key] {
			c.missing = append(c.missing, key)
		}
	}
}

// Learn adds the items that another daemon has in force although a restore of the store has lost them or brought back older
// ones. What the store itself tells in the same era goes before them.
func (c *Copy) Learn(events []storer.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		if event.Kind == storer.EventPut && c.isLost(event.Item) {
			c.items[event.Item.Key] = copiedItem{Item: event.Item, changedAt: event.Item.Version}
		}
	}
}

// isLost reports whether a restore has lost the item, or brought back an older one in its place.
func (c *Copy) isLost(item storer.Item) bool {
	known, exists := c.items[item.Key]
	if c.settings.Supersedes == nil {
		return false
	}
	if !exists {
		return c.contact == 0 || item.Version.Era() < c.revision.Era()
	}
	return item.Version.Era() < known.Version.Era() && c.settings.Supersedes(item, known.Item)
}

// HandleEvents applies events.
func (c *Copy) HandleEvents(events []storer.Event, afterOutage bool) {
	c.settings.Sink.HandleEvents(events, afterOutage)
	c.mu.Lock()
	defer c.mu.Unlock()
	if afterOutage {
		c.outageAt = c.settings.Now()
	}
	relevant := false
	for _, event := range events {
		if event.Kind == storer.EventDelete {
			relevant = c.remove(event.Item) || relevant
		} else {
			relevant = c.put(event.Item) || relevant
		}
	}
	if relevant {
		c.wake()
	}
}

// Confirm records that all changes up to the revision are known, and that the store confirmed this for the time contact.
func (c *Copy) Confirm(revision storer.Version, contact clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contact == 0 {
		c.horizon = revision // It is not known what was deleted before.
	}
	if c.contact == 0 || c.reset {
		c.wake()
	}
	for _, key := range c.missing {
		if c.settings.Supersedes == nil || c.items[key].Version.Era() >= revision.Era() {
			c.remove(storer.Item{Key: key, Version: revision})
		}
	}
	if revision.Era() > c.revision.Era() {
		c.horizon, c.deletions = revision, nil // A reader may know more of the earlier era than this copy does.
	}
	c.missing, c.reset = nil, false
	c.revision, c.contact = max(c.revision, revision), max(c.contact, contact)
}

// put records an item and reports whether readers need to learn of it.
func (c *Copy) put(item storer.Item) (relevant bool) {
	known, exists := c.items[item.Key]
	if exists && item.Version <= known.Version {
		return false
	}
	if exists && item.Version.Era() > known.Version.Era() && c.settings.Supersedes != nil && c.settings.Supersedes(known.Item, item) {
		return false
	}
	changedAt := item.Version
	if exists && c.settings.Equivalent(known.Item, item) {
		changedAt = known.changedAt
	}
	c.items[item.Key] = copiedItem{Item: item, changedAt: changedAt}
	return changedAt == item.Version
}

// remove records the deletion of an item and reports whether readers need to learn of it.
func (c *Copy) remove(item storer.Item) (relevant bool) {
	known, exists := c.items[item.Key]
	if !exists || item.Version <= known.Version {
		return false
	}
	delete(c.items, item.Key)
	c.deletions = append(c.deletions, item)
	if excess := len(c.deletions) - maxDeletions; excess > 0 {
		c.horizon = c.deletions[excess-1].Version
		c.deletions = c.deletions[excess:]
	}
	return true
}

func (c *Copy) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Watch returns the changes after a revision, or all items if that is zero. It waits for a change up to the given time.
// The age of the events says how long ago the store confirmed them. It returns an UnconfirmedError if the items have not
// been read yet.
func (c *Copy) Watch(ctx context.Context, after storer.Version, wait time.Duration) (storer.Events, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, changed, err := c.changesAfter(after)
		if err != nil || len(events.Events) > 0 || events.Compacted || wait <= 0 {
			return events, err
		}
		select {
		case <-changed:
		case <-timer.C:
			events, _, err = c.changesAfter(after)
			return events, err
		case <-ctx.Done():
			return storer.Events{}, ctx.Err()
		}
	}
}

// changesAfter returns the known changes after a revision, and a channel that is closed at the next one.
func (c *Copy) changesAfter(after storer.Version) (events storer.Events, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contact == 0 {
		return storer.Events{}, nil, &UnconfirmedError{}
	}
	now := c.settings.Now()
	events = storer.Events{Revision: c.revision, Age: now.Sub(c.contact), AfterOutage: c.outageAt != 0 && now.Sub(c.outageAt) < outageWindow}
	if after > 0 && after < c.horizon {
		events.Compacted = true
		return events, c.changed, nil
	}
	for _, item := range c.items {
		if item.changedAt > after {
			events.Events = append(events.Events, storer.Event{Kind: storer.EventPut, Item: item.Item})
		}
	}
	for _, item := range c.deletions {
		if after > 0 && item.Version > after {
			events.Events = append(events.Events, storer.Event{Kind: storer.EventDelete, Item: item})
		}
	}
	return events, c.changed, nil
}

// UnconfirmedError reports that a daemon has not read the items that it is asked for.
type UnconfirmedError struct{}

// Error says so.
func (*UnconfirmedError) Error() string { return "the items have not been read from the store" }
