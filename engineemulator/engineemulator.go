// Package engineemulator emulates a model engine for tests, comparisons and the quickstart.
// It implements the engine side of docs/PROTOCOLS.md with continuous batching, a bounded
// prefix cache, resumable streams, delayed cache events, lagging load reports, orders and
// fault injection.
//
// The text of an answer depends only on the prompt (see Answer), so that a test can detect an
// answer that was swapped, truncated or duplicated. Settings determine all timing of the
// model.
//
// # Usage
//
// An Engine is an http.Handler. It may be called directly, also within a testing/synctest
// bubble, or serve its own listener:
//
//	engine := engineemulator.New(engineemulator.Settings{Weights: []string{"demo-1"}})
//	defer engine.Close()
//	err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0"))
//	target := engine.Address()
//
// Faults are injected with SetFaults or POST /admin/faults. Crash closes every connection and
// discards all state; Restart starts the engine again with an empty cache and a greater
// incarnation.
package engineemulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/listener"
)

// Error is the class of all errors of this package.
var Error = errs.Class("engineemulator")

// Engine is one emulated engine.
type Engine struct {
	settings Settings
	handler  http.Handler
	workers  conc.WaitGroup

	mu sync.Mutex
	// incarnation is nil while the engine is down.
	incarnation *incarnation
	faults      Faults
	// pauseEnded is nil unless Freeze or Stall is set, and closed once both are cleared.
	pauseEnded chan struct{}
	startCount uint64
	random     *rand.Rand
	counters   Counters
	runsByID   map[string]int
	closed     bool
	leaving    bool
	role       string
	weights    []string
	adapters   map[string]bool
	// highestFencing is the highest fencing token of an order in this incarnation.
	highestFencing uint64
	// previousRun is the most recently accepted run. While Faults.SwapAnswers is above zero,
	// the next answer is sent under its identity.
	previousRun *run

	listener listener.Listener
}

// incarnation is the state that is lost in a crash.
type incarnation struct {
	id string
	// done is closed when the incarnation ends.
	done chan struct{}
	// wake signals the idle scheduler that there may be work.
	wake     chan struct{}
	cache    *blockCache
	events   *eventLog
	runs     map[string]*run
	ended    []*run
	waiting  []*run
	running  []*run
	progress uint64
	samples  []loadSample
	// loading contains the names of the weights and adapters that are being loaded.
	loading map[string]bool
}

// New returns a running engine.
func New(settings Settings) *Engine {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		runsByID: make(map[string]int),
		role:     settings.Role,
	}
	e.handler = e.routes()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(settings.Faults)
	e.startIncarnation()
	return e
}

// ServeHTTP handles a request of the engine protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Incarnation returns the current incarnation, or an empty string while the engine is down.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == nil {
		return ""
	}
	return e.incarnation.id
}

// Crash closes every connection and discards all runs and the cache. The engine refuses
// connections until Restart is called or Settings.RestartAfter has passed.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.incarnation == nil {
		e.mu.Unlock()
		return
	}
	close(e.incarnation.done)
	e.incarnation = nil
	e.mu.Unlock()
	e.listener.Stop()
	if e.settings.OnCrash != nil {
		e.settings.OnCrash()
	}
	if e.settings.RestartAfter > 0 {
		time.AfterFunc(e.settings.RestartAfter, func() { _ = e.Restart() })
	}
}

// Restart starts a crashed engine with an empty cache and a greater incarnation, listening on
// its former address. It does nothing if the engine is running or closed.
func (e *Engine) Restart() (err error) {
	defer Error.WrapP(&err)
	e.mu.Lock()
	if e.incarnation != nil || e.closed {
		e.mu.Unlock()
		return nil
	}
	e.startIncarnation()
	e.mu.Unlock()
	err = e.listener.Restart(e)
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed {
		e.listener.Stop()
	}
	return err
}

// Close stops the engine and waits for its goroutines.
func (e *Engine) Close() (err error) {
	defer Error.WrapP(&err)
	e.mu.Lock()
	e.closed = true
	if e.incarnation != nil {
		close(e.incarnation.done)
		e.incarnation = nil
	}
	e.mu.Unlock()
	e.listener.Stop()
	e.workers.Wait()
	e.listener.Wait()
	return nil
}

// startIncarnation resets the state of the engine and starts the scheduler of a new
// incarnation. The caller holds mu.
func (e *Engine) startIncarnation() {
	e.startCount++
	e.weights = slices.Clone(e.settings.Weights)
	e.highestFencing = 0
	e.adapters = setOf(e.settings.Adapters)
	inc := &incarnation{
		id:      fmt.Sprintf("%016x-%08x", time.Now().UnixNano(), e.startCount),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		runs:    make(map[string]*run),
		loading: make(map[string]bool),
	}
	inc.events = newEventLog(e.settings.CacheEventsKept)
	inc.cache = newBlockCache(e.settings.CacheBlocks, inc.events.append)
	e.incarnation = inc
	e.workers.Go(func() { e.schedule(inc) })
}

// currentIncarnation returns the running incarnation, or nil.
func (e *Engine) currentIncarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// wakeScheduler wakes the scheduler if it is idle. It never blocks.
func (inc *incarnation) wakeScheduler() {
	select {
	case inc.wake <- struct{}{}:
	default:
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// chainOf returns the chain of block hashes of a prompt, in blocks of Settings.BlockTokens.
func (e *Engine) chainOf(account, weights, adapter, prompt string) []hasher.Block {
	return hasher.Blocks(hasher.Seed(account, weights, adapter), prompt, e.settings.BlockTokens)
}
