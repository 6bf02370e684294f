package platformemulator

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// historyEntry is one event of the history with the item that it replaced.
type historyEntry struct {
	event    storer.Event
	previous storer.Item
	existed  bool
}

// lease is a granted lease with the time at which it expires.
type lease struct {
	storer.Lease
	expires time.Time
}

// hostList is a host list with the time at which it was set.
type hostList struct {
	setAt time.Time
	hosts []storer.Host
}

// store is the state of a Platform. Its methods require that mu is held.
type store struct {
	mu       sync.Mutex
	items    map[string]storer.Item
	keys     []string
	revision storer.Version
	history  []historyEntry
	// compacted is the version up to which events were discarded from the history.
	compacted    storer.Version
	historyLimit int
	leases       map[storer.LeaseID]lease
	lastFencing  uint64
	hostLists    []hostList
	faults       Faults
	counts       map[Call]int
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	// changed is closed and replaced by broadcast.
	changed chan struct{}
}

func newStore(settings Settings) *store {
	s := &store{
		items:        map[string]storer.Item{},
		historyLimit: settings.HistoryLimit,
		leases:       map[storer.LeaseID]lease{},
		counts:       map[Call]int{},
		readLimiter:  newLimiter(settings.ReadsPerSecond),
		writeLimiter: newLimiter(settings.WritesPerSecond),
		changed:      make(chan struct{}),
	}
	if s.historyLimit == 0 {
		s.historyLimit = DefaultHistoryLimit
	}
	s.hostLists = []hostList{{hosts: slices.Clone(settings.Hosts)}}
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// broadcast makes all waiting watches poll again.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key and returns its new version.
func (s *store) put(key string, value []byte, id storer.LeaseID) storer.Version {
	s.revision++
	previous, existed := s.items[key]
	item := storer.Item{Key: key, Value: bytes.Clone(value), Version: s.revision, Lease: id}
	s.items[key] = item
	if !existed {
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.appendHistory(historyEntry{event: storer.Event{Kind: storer.EventPut, Item: item}, previous: previous, existed: existed})
	return s.revision
}

// remove deletes a key that exists.
func (s *store) remove(key string) {
	s.revision++
	previous := s.items[key]
	delete(s.items, key)
	if at, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	removed := storer.Item{Key: key, Version: s.revision}
	s.appendHistory(historyEntry{event: storer.Event{Kind: storer.EventDelete, Item: removed}, previous: previous, existed: true})
}

// appendHistory adds an event. When the history exceeds twice its limit, it is compacted to the
// limit.
func (s *store) appendHistory(r historyEntry) {
	s.history = append(s.history, r)
	if len(s.history) > 2*s.historyLimit {
		s.compact(s.history[len(s.history)-s.historyLimit-1].event.Item.Version)
	}
	s.broadcast()
}

// compact discards the events up to and including the version.
func (s *store) compact(upTo storer.Version) {
	at := s.firstAfter(upTo)
	s.history = slices.Clone(s.history[at:])
	s.compacted = max(s.compacted, upTo)
	s.broadcast()
}

// firstAfter returns the index of the first event after the version.
func (s *store) firstAfter(version storer.Version) int {
	at, _ := slices.BinarySearchFunc(s.history, version+1, func(r historyEntry, v storer.Version) int {
		return int(int64(r.event.Item.Version) - int64(v))
	})
	return at
}

// events returns the events after the version below the prefix.
func (s *store) events(prefix string, after storer.Version) []storer.Event {
	var events []storer.Event
	for _, r := range s.history[s.firstAfter(after):] {
		if strings.HasPrefix(r.event.Item.Key, prefix) {
			events = append(events, r.event)
		}
	}
	return events
}

// grant creates a lease with the next fencing token.
func (s *store) grant(ttl time.Duration) storer.Lease {
	s.lastFencing++
	granted := storer.Lease{
		ID:           storer.LeaseID("lease-" + strconv.FormatUint(s.lastFencing, 10)),
		TTL:          ttl,
		FencingToken: s.lastFencing,
	}
	s.leases[granted.ID] = lease{Lease: granted, expires: time.Now().Add(ttl)}
	s.broadcast()
	return granted
}

// endLease deletes a lease and its keys.
func (s *store) endLease(id storer.LeaseID) {
	delete(s.leases, id)
	for _, key := range slices.Clone(s.keys) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

// expireLeases ends the leases whose TTL has passed.
func (s *store) expireLeases() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.endLease(id)
		}
	}
}

// nextExpiry returns the time until the next lease expires, if there is a lease.
func (s *store) nextExpiry() (wait time.Duration, ok bool) {
	for _, l := range s.leases {
		left := time.Until(l.expires)
		if !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

func (s *store) addHosts(hosts []storer.Host) {
	s.hostLists = append(s.hostLists, hostList{setAt: time.Now(), hosts: slices.Clone(hosts)})
}

// laggedHosts returns the host list that was in force at the time now - lag.
func (s *store) laggedHosts(lag time.Duration) []storer.Host {
	at := time.Now().Add(-lag)
	inForce := s.hostLists[0]
	for _, list := range s.hostLists[1:] {
		if !list.setAt.After(at) {
			inForce = list
		}
	}
	return slices.Clone(inForce.hosts)
}

func copyCounts(counts map[Call]int) map[Call]int {
	return maps.Clone(counts)
}
