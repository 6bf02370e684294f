// Package marker keeps a fact in the platform's store that stays true once it was, so that daemons that start later know it.
//
// The fact is a key that exists from then on. A daemon that knows the fact and finds no key writes it: the first daemon in the
// key's order at once, the next ones if it doesn't. A store that has come back from a copy without the key gets it again.
//
// # Usage
//
//	m := marker.New(marker.Settings{Name: name, Store: store, Key: "example/fact", OnMarked: use, Logger: logger})
//	m.Start(ctx)
//	defer m.Close()
//	// A follower passes the items and events of the store to Reset and HandleEvents.
//	m.Declare() // This daemon has found out that the fact is true.
package marker

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/ranker"
	"github.com/rosemaryrill/rosemaryrill/storer"
	"github.com/rosemaryrill/rosemaryrill/supervisor"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// turnInterval is the time that each daemon leaves to the one before it in the order to write.
	turnInterval = 500 * time.Millisecond
	// maxTurns bounds the daemons that leave each other time.
	maxTurns = 8
	// retryInterval is the time from a failed write to the next one.
	retryInterval = time.Second
	// commitTimeout bounds a call to the store.
	commitTimeout = 2 * time.Second
)

// Store is the part of the platform's store that a Marker needs.
type Store interface {
	// Commit applies the transaction atomically and returns the version of its changes. Its error is a storer.ConflictError if a
	// condition does not hold.
	Commit(ctx context.Context, transaction storer.Transaction) (storer.Version, error)
}

// Settings are the parameters of a Marker.
type Settings struct {
	// Name is the name of this daemon, which is the value of a key that it writes.
	Name  string
	Store Store
	// Key is the key that tells the fact.
	Key string
	// OnMarked is called when the key is found in the store.
	OnMarked func()
	Logger   *slog.Logger
}

// Marker keeps one fact. Its methods are safe for concurrent use.
type Marker struct {
	settings Settings
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
	// wake is sent to when the key may have to be written.
	wake chan struct{}

	mu    sync.Mutex
	peers []string
	// declared is set once this daemon knows the fact, read once the store was read, and present while the store has the key.
	declared, read, present bool
}

// New returns a Marker that does not know whether the fact is true.
func New(settings Settings) *Marker {
	return &Marker{settings: settings, cancel: func() {}, wake: make(chan struct{}, 1)}
}

// Start writes the key where it is missing, until Close or the end of ctx.
func (m *Marker) Start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	m.tasks.Go(func() { supervisor.Run(ctx, m.settings.Logger, "mark "+m.settings.Key, m.run) })
}

// Close waits for the end of a pending call.
func (m *Marker) Close() error {
	m.cancel()
	m.tasks.Wait()
	return nil
}

// SetPeers sets the names of the other daemons.
func (m *Marker) SetPeers(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = slices.Clone(names)
}

// Declare records that the fact is true.
func (m *Marker) Declare() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.declared = true
	m.wakeUp()
}

// Reset replaces what the store has.
func (m *Marker) Reset(items []storer.Item, _ bool) {
	present := slices.ContainsFunc(items, func(item storer.Item) bool { return item.Key == m.settings.Key })
	m.setPresent(present)
}

// HandleEvents applies changes in the store.
func (m *Marker) HandleEvents(events []storer.Event, _ bool) {
	for _, event := range events {
		if event.Item.Key == m.settings.Key {
			m.setPresent(event.Kind == storer.EventPut)
		}
	}
}

// setPresent records whether the store has the key.
func (m *Marker) setPresent(present bool) {
	m.mu.Lock()
	m.read, m.present = true, present
	m.declared = m.declared || present
	m.wakeUp()
	m.mu.Unlock()
	if present {
		m.settings.OnMarked()
	}
}

// wakeUp makes run look at the state. The caller holds mu.
func (m *Marker) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default: // It will look anyway.
	}
}

func (m *Marker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		pause := m.turn()
		for m.isMissing() && waiter.Sleep(ctx, pause) && m.isMissing() {
			m.write(ctx)
			pause = retryInterval
		}
	}
}

// isMissing reports whether the key has to be written.
func (m *Marker) isMissing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.declared && m.read && !m.present
}

// turn returns the time that this daemon leaves to those before it.
func (m *Marker) turn() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := ranker.Position(m.settings.Name, m.peers, xxh3.HashString(m.settings.Key))
	return time.Duration(min(position, maxTurns)) * turnInterval
}

// write writes the key, unless another daemon has written it meanwhile.
func (m *Marker) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := m.settings.Store.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: m.settings.Key}}, Puts: []storer.Put{{Key: m.settings.Key, Value: []byte(m.settings.Name)}},
	})
	var conflict *storer.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		m.settings.Logger.Warn("mark not written", "key", m.settings.Key, "error", err)
		return
	}
	m.settings.Logger.Info("mark written", "key", m.settings.Key, "by_another", err != nil)
	m.setPresent(true)
}
