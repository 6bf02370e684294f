package hostingemulator

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Copy is a copy of a Store's state.
type Copy struct {
	items     map[string]item
	history   []item
	revision  uint64
	compacted uint64
	leases    map[uint64]lease
}

// Copy returns a copy of the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, compacted: s.compacted, leases: maps.Clone(s.leases),
	}
}

// Restore replaces the state by that of a copy, as a store does that loses what it has acknowledged since: the revision goes
// back and is given out again, also as ids of leases, and the era rises by one. Leases that were granted since are gone.
// Watches that wait are answered from the restored state.
func (s *Store) Restore(from *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.history = maps.Clone(from.items), slices.Clone(from.history)
	s.revision, s.compacted, s.leases = from.revision, from.compacted, maps.Clone(from.leases)
	s.era++
	s.broadcast()
}

// RestoreWithoutLeases is like Restore, but all leases and their keys are gone too.
func (s *Store) RestoreWithoutLeases(from *Copy) {
	s.Restore(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLease(id)
	}
}

// RestorePrefix writes the keys under the prefix as the state had them, and deletes those that it had not, each with a new
// revision. Operators and targets do so after a Restore.
func (s *Store) RestorePrefix(prefix string, state *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if _, exists := state.items[key]; strings.HasPrefix(key, prefix) && !exists {
			s.revision++
			s.deleteItem(key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(state.items)) {
		if strings.HasPrefix(key, prefix) {
			s.revision++
			s.putItem(key, state.items[key].Value, 0)
		}
	}
}

// setEra sets the header Store-Era of an answer. The caller holds mu while it reads the state for the answer.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}
