// Package mover transfers cached blocks of prompts from one engine to another, by export and
// import, when that takes less time than computing them again: when a hot prefix is replicated
// to another target, and when a target that has cached a prefix is drained.
//
// Moves run concurrently with the calls and never delay one. Their number, queue length, size and
// duration are bounded. A move that exceeds a bound is dropped or fails, which costs only the
// recomputation of its blocks. A move is cancelled when its facts change: the incarnation of
// either engine, the weights of the target, or what the selectors allow.
//
// # Usage
//
//	m := mover.New(mover.Settings{Engines: client, Targets: pools})
//	defer m.Close()
//	m.Move(*decision.Move) // For each move that the router proposes; does not block.
//	m.CancelChanged()      // After each change of a target or of the configuration.
package mover

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// Error is the class of all errors of this package.
var Error = errs.Class("mover")

// Defaults of Settings.
const (
	DefaultConcurrency = 2
	DefaultMaxQueue    = 32
	DefaultMaxBytes    = 32 << 20
	DefaultTimeout     = 2 * time.Second
)

// EngineClient exports cached blocks from engines and imports them into others.
type EngineClient interface {
	Export(ctx context.Context, target netip.AddrPort, account, weights string, blocks []hasher.Block) (data []byte, err error)
	Import(ctx context.Context, target netip.AddrPort, data []byte) (blocks int, err error)
}

// MoveFactsSource provides the facts that a move relies on, and records completed moves.
type MoveFactsSource interface {
	// MoveFacts returns the facts of a move, and whether the move is allowed now.
	MoveFacts(move router.Move) (facts pooler.MoveFacts, ok bool)
	// RecordMove records that the target has imported all blocks of a move.
	RecordMove(move router.Move, facts pooler.MoveFacts)
}

// Settings configure a Mover. Engines and Targets are required, zero values are replaced by the defaults.
type Settings struct {
	Engines EngineClient
	Targets MoveFactsSource
	// Concurrency is how many moves run at once, MaxQueue how many may wait.
	Concurrency int
	MaxQueue    int
	// MaxBytes bounds the data of one move.
	MaxBytes int
	// Timeout bounds the duration of a move, including its time in the queue.
	Timeout time.Duration
	// Log is the logger. The default discards all entries.
	Log *slog.Logger
}

// TooLargeError means that the exported data of a move exceeds Settings.MaxBytes.
type TooLargeError struct {
	Bytes, Limit int
}

// Error says that the data is too large.
func (e *TooLargeError) Error() string { return "the exported blocks are too large" }

// FactsChangedError means that a move was cancelled because its facts changed.
type FactsChangedError struct {
	To string
}

// Error names the target.
func (e *FactsChangedError) Error() string {
	return "the move to " + e.To + " was cancelled because its facts changed"
}

// Counters count moves by result.
type Counters struct {
	// Done counts completed moves, and Tokens their tokens.
	Done, Tokens uint64
	// Dropped counts moves that were not accepted: queue full, not allowed, already pending or
	// Mover closed. FactsChanged counts moves that were cancelled because their facts changed, and
	// Failed those that failed otherwise.
	Dropped, FactsChanged, Failed uint64
}

// Mover carries out moves. Its methods are safe for concurrent use.
type Mover struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	slots    chan struct{}
	workers  conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	pending  map[moveKey]*pendingMove
	counters Counters
}

// moveKey identifies a pending move by its target and the last block of its chain.
type moveKey struct {
	to        string
	lastBlock hasher.Block
}

// pendingMove is a move that is queued or running.
type pendingMove struct {
	move   router.Move
	facts  pooler.MoveFacts
	cancel context.CancelCauseFunc
}

// New returns a Mover.
func New(settings Settings) *Mover {
	settings.Concurrency = cmp.Or(settings.Concurrency, DefaultConcurrency)
	settings.MaxQueue = cmp.Or(settings.MaxQueue, DefaultMaxQueue)
	settings.MaxBytes = cmp.Or(settings.MaxBytes, DefaultMaxBytes)
	settings.Timeout = cmp.Or(settings.Timeout, DefaultTimeout)
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Mover{
		settings: settings, ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, settings.Concurrency), pending: make(map[moveKey]*pendingMove),
	}
}

// Close cancels all moves and waits until they have ended.
func (m *Mover) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.workers.Wait()
}

// Counters returns a copy of the counters.
func (m *Mover) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// Move queues a move and returns at once. If the queue is full, the move is not allowed or the
// same move is pending, it is dropped.
func (m *Mover) Move(move router.Move) {
	if len(move.Blocks) == 0 {
		return
	}
	facts, ok := m.settings.Targets.MoveFacts(move)
	key := moveKey{to: move.To, lastBlock: move.Blocks[len(move.Blocks)-1]}
	m.mu.Lock()
	defer m.mu.Unlock()
	full := len(m.pending) >= m.settings.Concurrency+m.settings.MaxQueue
	if m.closed || !ok || full || m.pending[key] != nil {
		m.counters.Dropped++
		return
	}
	ctx, cancel := context.WithCancelCause(m.ctx)
	p := &pendingMove{move: move, facts: facts, cancel: cancel}
	m.pending[key] = p
	m.workers.Go(func() {
		defer cancel(nil)
		err := m.execute(ctx, p)
		m.recordResult(key, p, err)
	})
}

// CancelChanged cancels the moves whose facts have changed.
func (m *Mover) CancelChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pending {
		if !m.factsUnchanged(p) {
			p.cancel(&FactsChangedError{To: p.move.To})
		}
	}
}

// factsUnchanged reports whether the move is still allowed with the facts that it started with.
func (m *Mover) factsUnchanged(p *pendingMove) bool {
	facts, ok := m.settings.Targets.MoveFacts(p.move)
	return ok && facts == p.facts
}

// execute exports the blocks from the source and imports them at the target. It checks the facts
// before each step, since they may have changed during the wait or the step before.
func (m *Mover) execute(ctx context.Context, p *pendingMove) (err error) {
	defer Error.WrapP(&err)
	ctx, cancel := context.WithTimeout(ctx, m.settings.Timeout)
	defer cancel()
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if !m.factsUnchanged(p) {
		return &FactsChangedError{To: p.move.To}
	}
	weights, _, _ := strings.Cut(p.move.Weights, "+")
	data, err := m.settings.Engines.Export(ctx, p.facts.From, p.move.Account, weights, p.move.Blocks)
	if err != nil {
		return causeOf(ctx, err)
	}
	if len(data) > m.settings.MaxBytes {
		return &TooLargeError{Bytes: len(data), Limit: m.settings.MaxBytes}
	}
	if !m.factsUnchanged(p) {
		return &FactsChangedError{To: p.move.To}
	}
	imported, err := m.settings.Engines.Import(ctx, p.facts.To, data)
	if err != nil {
		return causeOf(ctx, err)
	}
	if imported == len(p.move.Blocks) && m.factsUnchanged(p) {
		m.settings.Targets.RecordMove(p.move, p.facts)
	}
	return nil
}

// causeOf returns the reason why the context was cancelled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// recordResult removes an ended move from the pending ones and counts its result.
func (m *Mover) recordResult(key moveKey, p *pendingMove, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, key)
	var changed *FactsChangedError
	switch {
	case err == nil:
		m.counters.Done++
		m.counters.Tokens += uint64(p.move.Tokens)
	case errors.As(err, &changed):
		m.counters.FactsChanged++
	default:
		m.counters.Failed++
		m.settings.Log.Debug("mover: move failed", "from", p.move.From, "to", p.move.To, "error", err)
	}
}
