// Package hostingemulator emulates the hosting platform for tests: its key-value store with
// leases, watches and transactions, and targets that use its variant of HTTP. Both support fault
// injection.
//
// # Usage
//
//	store := hostingemulator.NewStore()
//	err := store.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
//	defer store.Close()
//	store.Put("op/config", document)
//	target := hostingemulator.NewTarget(hostingemulator.TargetSettings{ID: "i-1", Store: store})
//	err = target.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
//	defer target.Close()
package hostingemulator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

// Error is the class of all errors of this package.
var Error = errs.Class("hostingemulator")

// maxPageItems is the page size of range reads. It is small so that tests get several pages.
const maxPageItems = 5

// StoreFaults are the faults to inject into a Store. The zero value injects none.
type StoreFaults struct {
	// Outage makes every call fail with 503.
	Outage bool
	// LoseAnswers is the number of following transactions that are committed but whose answer is
	// lost, because the connection breaks.
	LoseAnswers int
	// Delay is the delay of every call. If DelayedPrefix is set, it applies only to calls with
	// a prefix parameter that begins with DelayedPrefix.
	Delay         time.Duration
	DelayedPrefix string
}

// item is a key with its value, or an event in the watch history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an emulated key-value store of the hosting platform.
type Store struct {
	listener listener.Listener

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	compacted uint64
	leases    map[uint64]lease
	faults    StoreFaults
	// era counts the restores. It is in the header Store-Era of all answers.
	era     uint64
	changed chan struct{}
	// waiting is the fate of the watches that wait now.
	waiting *watchFate
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]lease), revision: 10, era: 1, changed: make(chan struct{}), waiting: newWatchFate()}
}

// Listen listens on the address and serves the store until Close.
func (s *Store) Listen(address netip.AddrPort) error { return s.listener.Start(s.handler(), address) }

// Address returns the address that the store listens on.
func (s *Store) Address() netip.AddrPort { return s.listener.Address() }

// Close stops the listener and waits until it has stopped.
func (s *Store) Close() error {
	s.listener.Stop()
	s.listener.Wait()
	return nil
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Put writes a key without a transaction, as operators and targets do. It panics if the value
// can't be encoded as JSON.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutBytes(key, encoded)
}

// PutBytes writes a key without a transaction, as another writer does whose value need not be JSON.
func (s *Store) PutBytes(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putItem(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteItem(key)
}

// Value returns the value of a key, or an empty string if the key does not exist.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// Compact discards the watch history up to a new revision. Watches from an older revision fail
// with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history, s.compacted = nil, s.revision
	s.broadcast()
}

// broadcast wakes all waiting watches.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// putItem writes a key at the current revision. The caller holds mu.
func (s *Store) putItem(key string, value []byte, lease uint64) {
	created := s.revision
	if previous, exists := s.items[key]; exists {
		created = previous.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.history = append(s.history, s.items[key])
	s.broadcast()
}

// deleteItem deletes a key at the current revision, if it exists. The caller holds mu.
func (s *Store) deleteItem(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.broadcast()
}

// expireLeases revokes the leases whose TTL has passed. It runs at the start of each call, so
// that a waiting watch reports an expiry only after another call. The caller holds mu.
func (s *Store) expireLeases() {
	for id, granted := range s.leases {
		if time.Now().Before(granted.expires) {
			continue
		}
		s.revokeLease(id)
	}
}

// revokeLease deletes a lease and its keys, and increments the revision for each key. The caller
// holds mu.
func (s *Store) revokeLease(id uint64) {
	delete(s.leases, id)
	for key, current := range s.items {
		if current.Lease == id {
			s.revision++
			s.deleteItem(key)
		}
	}
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.handleRange)
	mux.HandleFunc("GET /kv-watch", s.handleWatch)
	mux.HandleFunc("POST /kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /kv-lease", s.handleGrant)
	mux.HandleFunc("POST /kv-keep/{id}", s.handleRenew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.handleRevoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.expireLeases()
		s.setEra(w)
		s.mu.Unlock()
		if strings.HasPrefix(r.URL.Query().Get("prefix"), faults.DelayedPrefix) {
			time.Sleep(faults.Delay)
		}
		if faults.Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // An error means that the client has disconnected.
}

func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, current := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, current)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	writeJSON(w, map[string]any{"items": items[:min(len(items), maxPageItems)], "hasMore": more, "storeRevision": s.revision})
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	var fate *watchFate
	for {
		s.mu.Lock()
		events, revision, changed, compacted := s.eventsAfter(query.Get("prefix"), after), s.revision, s.changed, after < s.compacted || after > s.revision
		fate = cmp.Or(fate, s.waiting)
		s.setEra(w)
		s.mu.Unlock()
		fate.await(r.Context())
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-fate.cut:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			case <-deadline:
				timedOut = true
			}
		}
		if len(events) > 0 || timedOut {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

// eventsAfter returns the events below the prefix after the revision. The caller holds mu.
func (s *Store) eventsAfter(prefix string, after uint64) []item {
	events := []item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// transaction is the body of POST /kv-txn. The puts and deletes apply only if the revisions of
// all expected items match.
type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Deletes  []string `json:"deletes"`
}

func (s *Store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	for _, expected := range txn.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, put := range txn.Puts {
		if _, granted := s.leases[put.Lease]; put.Lease != 0 && !granted {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		s.putItem(put.Key, put.Value, put.Lease)
	}
	for _, key := range txn.Deletes {
		s.deleteItem(key)
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.revision++
	ttl := time.Duration(wire.TTLMS) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttlMs": wire.TTLMS})
}

func (s *Store) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	granted, exists := s.leases[id]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	granted.expires = time.Now().Add(granted.ttl)
	s.leases[id] = granted
	writeJSON(w, map[string]any{"ttlMs": granted.ttl.Milliseconds()})
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.revokeLease(id)
	writeJSON(w, map[string]any{})
}
