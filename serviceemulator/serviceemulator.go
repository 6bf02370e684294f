// Package serviceemulator emulates a plain service, as opposed to an engine, with one
// non-idempotent call. It implements the service side of docs/PROTOCOLS.md and counts the runs
// of each idempotency key, so that a test can detect a duplicated or lost order.
//
// Orders survive a crash, as those of a service with a database do. A call that has not run
// before the crash never runs.
//
// # Usage
//
// A Service is an http.Handler. It may be called directly, or serve its own listener:
//
//	service := serviceemulator.New(serviceemulator.Settings{})
//	defer service.Close()
//	err := service.Start(netip.MustParseAddrPort("127.0.0.1:0"))
//	target := service.Address()
//
// Faults are injected with SetFaults or POST /admin/faults. Runs returns the number of runs of
// each key.
package serviceemulator

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

// Error is the class of all errors of this package.
var Error = errs.Class("serviceemulator")

// Settings configure a Service.
type Settings struct {
	// Delay is the duration of an order, which takes effect halfway through.
	Delay time.Duration
	// Faults are the initial faults.
	Faults Faults
	// RestartAfter is the delay after which a crashed service restarts. Zero means that only
	// Restart starts it again.
	RestartAfter time.Duration
	// OnCrash is called after a crash; an emulator process uses it to exit.
	OnCrash func()
	// Logger receives the log of the service. The default discards it.
	Logger *slog.Logger
}

// Service is one emulated service.
type Service struct {
	settings Settings
	handler  http.Handler

	mu sync.Mutex
	// incarnation is nil while the service is down.
	incarnation *incarnation
	faults      Faults
	// freezeEnded is nil unless Freeze is set, and closed once it is cleared.
	freezeEnded  chan struct{}
	startCount   uint64
	closed       bool
	placedOrders int
	runs         map[callKey]int
	outcomes     map[callKey]outcome
	// refusedKeys contains the keys that a lookup reported as not run. Orders with these keys
	// are refused.
	refusedKeys map[callKey]bool

	listener listener.Listener
}

// callKey identifies a non-idempotent call by its account and idempotency key.
type callKey struct {
	account        string
	idempotencyKey string
}

// outcome is the stored answer of a call that ran.
type outcome struct {
	status int
	body   string
}

// incarnation is the state that is lost in a crash.
type incarnation struct {
	id string
	// done is closed when the incarnation ends.
	done          chan struct{}
	progress      uint64
	runningByKey  map[callKey]int
	runningOrders int
}

// New returns a running service.
func New(settings Settings) *Service {
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Service{
		settings:    settings,
		runs:        make(map[callKey]int),
		outcomes:    make(map[callKey]outcome),
		refusedKeys: make(map[callKey]bool),
	}
	s.handler = s.routes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(settings.Faults)
	s.startIncarnation()
	return s
}

// startIncarnation starts a new incarnation. The caller holds mu.
func (s *Service) startIncarnation() {
	s.startCount++
	s.incarnation = &incarnation{
		id:           fmt.Sprintf("%016x-%08x", time.Now().UnixNano(), s.startCount),
		done:         make(chan struct{}),
		runningByKey: make(map[callKey]int),
	}
}

// ServeHTTP handles a request to the service.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Incarnation returns the current incarnation, or an empty string while the service is down.
func (s *Service) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation == nil {
		return ""
	}
	return s.incarnation.id
}

// Runs returns the number of runs of each call, by its account and key joined with a slash.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, count := range maps.All(s.runs) {
		runs[key.account+"/"+key.idempotencyKey] = count
	}
	return runs
}

// Crash closes every connection and discards the calls that have not run yet. The service
// refuses connections until Restart is called or Settings.RestartAfter has passed.
func (s *Service) Crash() {
	s.mu.Lock()
	if s.incarnation == nil {
		s.mu.Unlock()
		return
	}
	close(s.incarnation.done)
	s.incarnation = nil
	s.mu.Unlock()
	s.listener.Stop()
	if s.settings.OnCrash != nil {
		s.settings.OnCrash()
	}
	if s.settings.RestartAfter > 0 {
		time.AfterFunc(s.settings.RestartAfter, func() { _ = s.Restart() })
	}
}

// Restart starts a crashed service with its orders and a greater incarnation. It does nothing
// if the service is running or closed.
func (s *Service) Restart() (err error) {
	defer Error.WrapP(&err)
	s.mu.Lock()
	if s.incarnation != nil || s.closed {
		s.mu.Unlock()
		return nil
	}
	s.startIncarnation()
	s.mu.Unlock()
	err = s.listener.Restart(s)
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		s.listener.Stop()
	}
	return err
}

// Close stops the service and waits for its goroutines.
func (s *Service) Close() (err error) {
	defer Error.WrapP(&err)
	s.mu.Lock()
	s.closed = true
	if s.incarnation != nil {
		close(s.incarnation.done)
		s.incarnation = nil
	}
	s.mu.Unlock()
	s.listener.Stop()
	s.listener.Wait()
	return nil
}
