// Package hostingemulator stands in for the hosting platform in tests: its store with leases, watches
// and transactions, and targets that speak its form of HTTP, all with faults.
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

// pageItems bounds a page, so that tests see several.
const pageItems = 5

// StoreFaults are what the store does wrong.
type StoreFaults struct {
	// Down answers every call with 503.
	Down bool
	// LoseWrites carries out that many writes and breaks their connections.
	LoseWrites int
	// Delay slows every call down, or where Delayed is set those that read its keys.
	Delay   time.Duration
	Delayed string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the stand-in of the platform's store.
type Store struct {
	listener listener.Listener

	mu        sync.Mutex
	items     map[string]item
	history   []item
	revision  uint64
	compacted uint64
	leases    map[uint64]lease
	faults    StoreFaults
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]lease), revision: 10, changed: make(chan struct{})}
}

// Listen serves the store.
func (s *Store) Listen(address netip.AddrPort) error { return s.listener.Start(s.handler(), address) }

// Address is where the store listens.
func (s *Store) Address() netip.AddrPort { return s.listener.Address() }

// Close ends the store.
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

// Put writes a key, as operators and targets do.
func (s *Store) Put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, encoded, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Value returns what stands under a key.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history, s.compacted = nil, s.revision
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(key string, value []byte, lease uint64) {
	created := s.revision
	if known, exists := s.items[key]; exists {
		created = known.Created
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.history = append(s.history, s.items[key])
	s.wake()
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// lapse ends the leases whose time is over.
func (s *Store) lapse() {
	for number, granted := range s.leases {
		if time.Now().Before(granted.until) {
			continue
		}
		s.end(number)
	}
}

func (s *Store) end(number uint64) {
	delete(s.leases, number)
	for key, held := range s.items {
		if held.Lease == number {
			s.revision++
			s.remove(key)
		}
	}
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.readRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.lapse()
		s.mu.Unlock()
		if strings.HasPrefix(r.URL.Query().Get("prefix"), faults.Delayed) {
			time.Sleep(faults.Delay)
		}
		if faults.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // A caller that left needs no answer.
}

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for key, held := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, held)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	answer(w, map[string]any{"items": items[:min(len(items), pageItems)], "hasMore": more, "storeRevision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed, gone := s.since(query.Get("prefix"), after), s.revision, s.changed, after < s.compacted
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
				over = true
			}
		}
		if len(events) > 0 || over {
			answer(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events
}

// transaction is the body of a commit.
type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Deletes  []string `json:"deletes"`
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range t.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, put := range t.Puts {
		if _, granted := s.leases[put.Lease]; put.Lease != 0 && !granted {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, put := range t.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		panic(http.ErrAbortHandler)
	}
	answer(w, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(wire.TTLMS) * time.Millisecond
	s.leases[s.revision] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, map[string]any{"lease": s.revision, "ttlMs": wire.TTLMS})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, exists := s.leases[number]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	granted.until = time.Now().Add(granted.ttl)
	s.leases[number] = granted
	answer(w, map[string]any{"ttlMs": granted.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(number)
	answer(w, map[string]any{})
}
