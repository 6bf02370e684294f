package router

import "github.com/rosemaryrill/rosemaryrill/hasher"

// EventKind is the kind of change of a target's cache.
type EventKind uint8

// The kinds of events.
const (
	EventStored EventKind = iota
	EventEvicted
	// EventCleared means that the target lost its whole cache.
	EventCleared
)

// Event is a change of a target's cache.
type Event struct {
	Kind  EventKind
	Block hasher.Block
}

// ObserveCache applies cache events of one incarnation of a target. Events may be late, sampled
// or lost. A wrong hint may send one call to a target that does not hold the prefix, and the answer
// to that call corrects the hint. Events of an earlier incarnation are dropped.
func (r *Router) ObserveCache(name, incarnation string, events []Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byName[name]
	if t == nil || !r.advanceIncarnation(t, incarnation) {
		return
	}
	now := r.settings.Now()
	for _, event := range events {
		switch event.Kind {
		case EventStored:
			r.table.Add(event.Block, t.column, now)
		case EventEvicted:
			r.table.Remove(event.Block, t.column)
		case EventCleared:
			r.dropHints(t)
			r.reindex()
		}
	}
}

// CorrectHint replaces one hint that a target has contradicted: present reports whether the target holds
// the block. A contradiction from an earlier incarnation is ignored.
func (r *Router) CorrectHint(name, incarnation string, block hasher.Block, present bool) {
	kind := EventEvicted
	if present {
		kind = EventStored
	}
	r.ObserveCache(name, incarnation, []Event{{Kind: kind, Block: block}})
}
