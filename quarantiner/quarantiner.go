// Package quarantiner prevents calls that crash targets from crashing one target after another,
// without refusing the calls that ran at the same time.
//
// A call is identified by its fingerprint, a digest of its account and its body; the body itself
// is not stored. Each call that was in flight at a target when the target crashed gets a strike
// and is watched: it runs again only in isolation, that is, one copy at a time in the data centre,
// at a target where no other watched call runs. A second crash is therefore attributed to a single
// watched call. A call with strikes from two crashes is a suspect and is refused. A watched call
// is cleared when it completes. It also runs without restriction while each of its crashes is
// attributed to a suspect, that is, while a suspect has a strike for the same crash.
//
// The daemons of a data centre announce new strikes to each other before the outcome of the broken
// run is returned to the caller. The live daemon whose name sorts first grants the isolated runs.
// Before each grant it sends the strikes to all others and asks which watched calls they have in
// flight. Copies of a call that is new to the data centre are pinned to one target until one of
// them has completed. The daemon that owns the fingerprint by rendezvous hashing stores the pin.
//
// # Usage
//
//	q := quarantiner.New(quarantiner.Settings{Daemon: "entry-1", Peers: peers})
//	defer q.Close()
//	release, err := q.Begin(ctx, quarantiner.NewFingerprint(account, digest), target, incarnation)
//	var refused *quarantiner.QuarantinedError // The call was not run.
//	var pinned *quarantiner.PinnedError       // Begin again at pinned.Target.
//	...
//	release(quarantiner.Completed)
//
// The detector reports the state of targets through ReportCrash and ReportAlive. Answer handles
// requests of peers. Export and Merge transfer the strikes in the periodic exchange.
package quarantiner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("quarantiner")

// Defaults of Settings.
const (
	DefaultExpiry          = time.Hour
	DefaultAnnounceTimeout = 100 * time.Millisecond
	DefaultRoundTimeout    = 500 * time.Millisecond
	DefaultPinTimeout      = 50 * time.Millisecond
	DefaultPendingWait     = 2 * time.Second
	DefaultMaxEntries      = 8192
)

// Peers sends requests to the other daemons of the data centre.
type Peers interface {
	// Members returns the names of the live daemons of the data centre, including this one.
	Members() []string
	// Ask sends a request to another daemon, which handles it with Answer.
	Ask(ctx context.Context, daemon string, request []byte) (response []byte, err error)
}

// Settings configure a Quarantiner. Daemon is required.
type Settings struct {
	// Daemon is the name of this daemon among the members.
	Daemon string
	// Peers may be nil if the data centre has one daemon.
	Peers Peers
	// Logger is slog.Default() unless set.
	Logger *slog.Logger
	// Expiry is how long the strikes of a call are kept after the first one, and how long a completed
	// call needs no pin.
	Expiry time.Duration
	// AnnounceTimeout bounds how long the methods that change strikes, and the function that Begin
	// returns, wait for the responses of the peers.
	AnnounceTimeout time.Duration
	// RoundTimeout bounds one round of requests to all peers.
	RoundTimeout time.Duration
	// PinTimeout bounds one request to an owner for the pin of a new call. If no owner responds,
	// the call runs without a pin.
	PinTimeout time.Duration
	// PendingWait is how long a call with two strikes waits until it is known whether the targets
	// crashed, before it is refused.
	PendingWait time.Duration
	// MaxEntries bounds the number of entries of each table.
	MaxEntries int
	// DisablePinning disables the pins of new calls. Copies that are sent through several daemons at
	// the same time may then run at several targets.
	DisablePinning bool
}

// Quarantiner decides which calls may run where. Its methods may be called concurrently.
type Quarantiner struct {
	settings   Settings
	logger     *slog.Logger
	background context.Context
	cancel     context.CancelFunc
	workers    conc.WaitGroup
	isolator   isolator

	mu      sync.Mutex
	strikes strikeTable
	runs    runTable
	pins    map[Fingerprint]*pin
	// completed maps each call to the time when it last completed. A call that completed less than
	// Settings.Expiry ago needs no pin.
	completed map[Fingerprint]time.Time
}

// New returns a Quarantiner.
func New(settings Settings) *Quarantiner {
	settings.applyDefaults()
	background, cancel := context.WithCancel(context.Background())
	return &Quarantiner{
		settings:   settings,
		logger:     settings.Logger,
		background: background,
		cancel:     cancel,
		isolator: isolator{
			roundSlot:    make(chan struct{}, 1),
			reservations: make(map[Fingerprint]reservation),
		},
		strikes:   newStrikeTable(settings.Expiry, settings.MaxEntries),
		runs:      newRunTable(),
		pins:      make(map[Fingerprint]*pin),
		completed: make(map[Fingerprint]time.Time),
	}
}

func (s *Settings) applyDefaults() {
	if s.Logger == nil {
		s.Logger = slog.Default()
	}
	if s.Peers == nil {
		s.Peers = singleDaemon(s.Daemon)
	}
	s.Expiry = cmp.Or(s.Expiry, DefaultExpiry)
	s.AnnounceTimeout = cmp.Or(s.AnnounceTimeout, DefaultAnnounceTimeout)
	s.RoundTimeout = cmp.Or(s.RoundTimeout, DefaultRoundTimeout)
	s.PinTimeout = cmp.Or(s.PinTimeout, DefaultPinTimeout)
	s.PendingWait = cmp.Or(s.PendingWait, DefaultPendingWait)
	s.MaxEntries = cmp.Or(s.MaxEntries, DefaultMaxEntries)
}

// Close cancels background work and waits for its end.
func (q *Quarantiner) Close() {
	q.cancel()
	q.workers.Wait()
}

// Verdict returns whether the call runs without restriction, runs in isolation or is refused.
func (q *Quarantiner) Verdict(fingerprint Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdict, _ := q.strikes.verdict(fingerprint)
	return verdict
}

// RestrictedCalls lists the calls that are watched or refused.
func (q *Quarantiner) RestrictedCalls() []RestrictedCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.strikes.restricted()
}

// Lift clears all strikes of a call and announces this to the peers.
func (q *Quarantiner) Lift(ctx context.Context, fingerprint Fingerprint) {
	q.mu.Lock()
	changed := q.strikes.clear(fingerprint)
	q.mu.Unlock()
	q.announce(ctx, changed)
}

// ReportCrash reports that the incarnation of a target has crashed. Each call that ran there gets a
// strike now, or at the end of its run if it has not ended yet.
func (q *Quarantiner) ReportCrash(ctx context.Context, target, incarnation string) {
	targetIncarnation := TargetIncarnation{Target: target, Incarnation: incarnation}
	q.mu.Lock()
	changed := q.strikes.confirm(targetIncarnation, q.runs.markCrashed(targetIncarnation))
	q.markPinsCrashed(targetIncarnation)
	q.mu.Unlock()
	q.announce(ctx, changed)
}

// ReportAlive reports that the incarnation of a target is alive. Connections to it that broke at
// least lingerTime ago did not break because of a crash, so the strikes for them are cleared. It
// must be called each time the target is found alive.
func (q *Quarantiner) ReportAlive(ctx context.Context, target, incarnation string) {
	q.mu.Lock()
	changed := q.strikes.disprove(TargetIncarnation{Target: target, Incarnation: incarnation})
	q.mu.Unlock()
	q.announce(ctx, changed)
}

// members returns the names of the live daemons, sorted, so that all daemons agree on the first.
func (q *Quarantiner) members() []string {
	members := slices.Clone(q.settings.Peers.Members())
	if !slices.Contains(members, q.settings.Daemon) {
		members = append(members, q.settings.Daemon)
	}
	slices.Sort(members)
	return members
}

// singleDaemon implements Peers in a data centre with one daemon.
type singleDaemon string

// Members returns the name of the only daemon.
func (d singleDaemon) Members() []string { return []string{string(d)} }

// Ask always returns errUnknownDaemon.
func (d singleDaemon) Ask(context.Context, string, []byte) (response []byte, err error) {
	return nil, errUnknownDaemon
}
