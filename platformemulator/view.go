package platformemulator

import (
	"maps"
	"slices"
	"strings"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// storeView is the state of the store that a read returns, either the current or an older one.
type storeView struct {
	items    map[string]storer.Item
	keys     []string
	revision storer.Version
}

// currentView returns the current state. It is valid while mu is held.
func (s *store) currentView() storeView {
	return storeView{items: s.items, keys: s.keys, revision: s.revision}
}

// staleView returns the state as it was the given number of versions ago, or the oldest state
// that the history can restore.
func (s *store) staleView(staleVersions int) storeView {
	back := min(storer.Version(staleVersions), s.revision)
	v := storeView{items: maps.Clone(s.items), revision: max(s.revision-back, s.compacted)}
	for _, r := range slices.Backward(s.history[s.firstAfter(v.revision):]) {
		if r.existed {
			v.items[r.previous.Key] = r.previous
			continue
		}
		delete(v.items, r.event.Item.Key)
	}
	v.keys = slices.Sorted(maps.Keys(v.items))
	return v
}

// page lists the items below the prefix whose keys come after the given key.
func (v storeView) page(prefix, after string, limit int) storer.Page {
	page := storer.Page{Revision: v.revision}
	at, _ := slices.BinarySearch(v.keys, max(prefix, after))
	for _, key := range v.keys[at:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		if limit > 0 && len(page.Items) == limit {
			page.More = true
			break
		}
		page.Items = append(page.Items, v.items[key])
	}
	return page
}

// Snapshot is a copy of the state for Restore.
type Snapshot struct {
	view    storeView
	leases  map[storer.LeaseID]lease
	fencing uint64
}

// Snapshot copies the state, as a backup of the platform would.
func (p *Platform) Snapshot() *Snapshot {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return &Snapshot{
		view:    storeView{items: maps.Clone(s.items), keys: slices.Clone(s.keys), revision: s.revision},
		leases:  maps.Clone(s.leases),
		fencing: s.lastFencing,
	}
}

// WithoutLeases returns a copy of the snapshot that lacks all leases and the keys bound to them, as
// a backup of a platform that does not keep leases.
func (b *Snapshot) WithoutLeases() *Snapshot {
	items := maps.Clone(b.view.items)
	maps.DeleteFunc(items, func(_ string, item storer.Item) bool { return item.Lease != storer.NoLease })
	view := storeView{items: items, keys: slices.Sorted(maps.Keys(items)), revision: b.view.revision}
	return &Snapshot{view: view, leases: map[storer.LeaseID]lease{}, fencing: b.fencing}
}

// Restore restores an older state including its revision and its last fencing token. Later
// writes are lost, and their versions, IDs of leases and fencing tokens will be assigned again. The
// watch history is compacted, and a watch from a version that was not assigned again yet is answered
// as compacted too.
func (p *Platform) Restore(snapshot *Snapshot) {
	s := p.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = maps.Clone(snapshot.view.items)
	s.keys = slices.Clone(snapshot.view.keys)
	s.revision = snapshot.view.revision
	s.leases = maps.Clone(snapshot.leases)
	s.lastFencing = snapshot.fencing
	s.history = nil
	s.compacted = s.revision
	s.expireLeases()
	s.broadcast()
}
