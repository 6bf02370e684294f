package engineemulator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"
)

const (
	// DefaultMaxLoads is the default of WeightStoreSettings.MaxLoads.
	DefaultMaxLoads = 2

	// loadTick is the interval at which a load advances.
	loadTick = 20 * time.Millisecond
)

// WeightLoader loads weights and adapters. Load returns once the load is complete.
type WeightLoader interface {
	Load(ctx context.Context, name string) (err error)
}

// WeightStoreSettings configure a WeightStore. A zero value selects the default.
type WeightStoreSettings struct {
	// LoadTime is the duration of a load while at most MaxLoads run concurrently. More loads
	// share the bandwidth of MaxLoads.
	LoadTime time.Duration
	MaxLoads int
}

// WeightStore emulates a store of weights with limited bandwidth, which engines may share. It
// is an http.Handler that serves the requests of RemoteWeightStore.
type WeightStore struct {
	settings WeightStoreSettings

	mu         sync.Mutex
	loading    int
	maxLoading int
	started    int
}

// NewWeightStore returns an idle store.
func NewWeightStore(settings WeightStoreSettings) *WeightStore {
	settings.LoadTime = cmp.Or(settings.LoadTime, DefaultWeightLoadTime)
	settings.MaxLoads = cmp.Or(settings.MaxLoads, DefaultMaxLoads)
	return &WeightStore{settings: settings}
}

// Load waits until the load is complete. It fails only if the context ends first.
func (s *WeightStore) Load(ctx context.Context, _ string) (err error) {
	defer Error.WrapP(&err)
	s.begin()
	defer s.end()
	ticker := time.NewTicker(loadTick)
	defer ticker.Stop()
	for done := time.Duration(0); done < s.settings.LoadTime; done += s.progressPerTick() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// progressPerTick returns by how much of LoadTime a load advances in one tick, given the loads
// that run at this moment.
func (s *WeightStore) progressPerTick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading <= s.settings.MaxLoads {
		return loadTick
	}
	return loadTick * time.Duration(s.settings.MaxLoads) / time.Duration(s.loading)
}

func (s *WeightStore) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading++
	s.started++
	s.maxLoading = max(s.maxLoading, s.loading)
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading--
}

// MaxConcurrentLoads returns the maximum number of concurrent loads so far.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxLoading
}

// Loads returns how many loads were started.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// ServeHTTP performs a load for RemoteWeightStore and responds once it is complete.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := s.Load(r.Context(), r.URL.Query().Get("name")); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// RemoteWeightStore is a client of the WeightStore in another process.
type RemoteWeightStore struct {
	Address netip.AddrPort
}

// Load waits until the remote store has completed the load.
func (s *RemoteWeightStore) Load(ctx context.Context, name string) (err error) {
	defer Error.WrapP(&err)
	address := fmt.Sprintf("http://%s/load?name=%s", s.Address, url.QueryEscape(name))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", answer.StatusCode)
	}
	return nil
}
