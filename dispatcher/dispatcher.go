// Package dispatcher keeps the ledger of non-idempotent calls to plain services: each call
// runs at most once, a repeat gets the stored outcome, and a refusal reports whether the call may
// have run.
//
// The commit point of a call is its intent: a value on the platform, under the account and the
// digest of the caller's idempotency key, that is created only if the key is absent. Only the run
// whose nonce the intent contains sends the call. It sends the call to another target only if no
// byte has been sent to the previous one or that one reported that it did not run the call. The
// outcome replaces the intent by compare-and-swap.
//
// The type run alone decides whether a call may have run: a call goes from waiting to sending
// exactly once for each attempt, and it can be abandoned only while it is waiting. A call is
// refused as not run only if no byte of it was sent, or if each target that received it or the
// service's look-up reported that it did not run.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Settings{
//		Daemon: "entry-1", Store: client, Sender: sender, Chooser: chooser, Peers: peers,
//	})
//	defer d.Close()
//	answer, err := d.Dispatch(ctx, call)
//	var refused *dispatcher.RefusedError
//	if errors.As(err, &refused) && refused.Run == dispatcher.NotRun {
//		// The call did not run.
//	}
//
// The peers' port serves requests of other daemons through Outcome. One daemon at a time calls
// Sweep, which deletes old outcomes, looks up missing ones at the services, and lists the calls
// whose outcome is still unknown.
package dispatcher

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("dispatcher")

// Store is the part of the platform's key-value store that the ledger uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	List(ctx context.Context, prefix, after string, limit int) (storer.Page, error)
	Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error)
	Swap(ctx context.Context, key string, value []byte, expected storer.Version, lease storer.LeaseID) (storer.Version, error)
	Delete(ctx context.Context, key string, expected storer.Version) error
}

// Sender sends one call to one target. It returns a NotSentError if no byte of the call was sent
// to the target, a NotRunError if the target reported that it did not run the call, and a
// LostAnswerError if the answer was lost. All other errors are treated as a LostAnswerError. A
// Sender that finds the call's deadline passed before it sends the first byte returns a
// NotSentError.
type Sender interface {
	Send(ctx context.Context, target Target, call Call) (Answer, error)
}

// Chooser chooses a target for a call among those that were not tried. It waits for a free place
// in the targets' queues until the context ends.
type Chooser interface {
	Choose(ctx context.Context, call Call, tried []string) (Target, error)
}

// Peers asks the daemon that holds an intent for its outcome. That daemon responds when
// it has the outcome or the context has ended.
type Peers interface {
	Outcome(ctx context.Context, daemon string, id IntentID) (Answer, State, error)
}

// Lookup asks a service whether it ran the call with a key.
type Lookup interface {
	Lookup(ctx context.Context, service, account, key string) (Answer, LookupState, error)
}

// Defaults of Settings.
const (
	DefaultIntentValidity = 2 * time.Second
	DefaultStoreWait      = 500 * time.Millisecond
	DefaultStoreTimeout   = 250 * time.Millisecond
	DefaultRetryInterval  = 10 * time.Millisecond
	DefaultOutcomeGrace   = 30 * time.Second
	DefaultCloseTimeout   = 20 * time.Second
	DefaultMaxRuns        = 4096
	DefaultRetention      = 7 * 24 * time.Hour
	DefaultSweepRate      = 20
)

// maxRetryInterval is the maximum of the exponential backoff between two attempts.
const maxRetryInterval = 500 * time.Millisecond

// Settings configure a Dispatcher. Store, Sender and Chooser are required.
type Settings struct {
	// Daemon is the name under which peers reach this daemon.
	Daemon  string
	Store   Store
	Sender  Sender
	Chooser Chooser
	// Peers may be nil. Then the daemon only polls the platform for the outcome of an intent of
	// another daemon.
	Peers Peers
	// Lookup may be nil. Then look-ups are unsupported for all services.
	Lookup Lookup
	// Logger is slog.Default() unless set.
	Logger *slog.Logger
	// IntentValidity is how long after a run begins to write its intent the call may be sent.
	IntentValidity time.Duration
	// StoreWait is how long requests to an unavailable platform are retried before a call is
	// refused.
	StoreWait time.Duration
	// StoreTimeout bounds one call to the platform.
	StoreTimeout time.Duration
	// RetryInterval is the initial pause between two attempts at the platform. It doubles after
	// each attempt.
	RetryInterval time.Duration
	// OutcomeGrace is how long after the caller's deadline the daemon waits for a late answer.
	OutcomeGrace time.Duration
	// CloseTimeout is how long Close waits for outcomes to be stored.
	CloseTimeout time.Duration
	// MaxRuns bounds the number of calls in progress together with outcomes not yet stored.
	MaxRuns int
	// Retention is how long outcomes are kept. A call that repeats a key after that runs again.
	Retention time.Duration
	// SweepRate limits the platform calls that Sweep makes per second.
	SweepRate float64
}

// Dispatcher runs non-idempotent calls at most once.
type Dispatcher struct {
	settings Settings
	logger   *slog.Logger
	// background is the context of work that continues after its caller has returned.
	background context.Context
	cancel     context.CancelFunc
	workers    conc.WaitGroup

	mu      sync.Mutex
	closing bool
	// runs contains each run until its final record is stored.
	runs map[IntentID]*run
	// current maps each platform key to the run that a repeat joins.
	current map[string]*run
}

// New returns a Dispatcher.
func New(settings Settings) *Dispatcher {
	settings.applyDefaults()
	background, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		settings:   settings,
		logger:     settings.Logger,
		background: background,
		cancel:     cancel,
		runs:       make(map[IntentID]*run),
		current:    make(map[string]*run),
	}
}

func (s *Settings) applyDefaults() {
	if s.Logger == nil {
		s.Logger = slog.Default()
	}
	s.IntentValidity = cmp.Or(s.IntentValidity, DefaultIntentValidity)
	s.StoreWait = cmp.Or(s.StoreWait, DefaultStoreWait)
	s.StoreTimeout = cmp.Or(s.StoreTimeout, DefaultStoreTimeout)
	s.RetryInterval = cmp.Or(s.RetryInterval, DefaultRetryInterval)
	s.OutcomeGrace = cmp.Or(s.OutcomeGrace, DefaultOutcomeGrace)
	s.CloseTimeout = cmp.Or(s.CloseTimeout, DefaultCloseTimeout)
	s.MaxRuns = cmp.Or(s.MaxRuns, DefaultMaxRuns)
	s.Retention = cmp.Or(s.Retention, DefaultRetention)
	s.SweepRate = cmp.Or(s.SweepRate, DefaultSweepRate)
}

// Dispatch runs the call unless its key was used before, and returns the answer. A repeat
// waits for the outcome of the first call until its own deadline. A refused call returns a
// RefusedError.
func (d *Dispatcher) Dispatch(ctx context.Context, call Call) (answer Answer, err error) {
	defer Error.WrapP(&err)
	if !validKey(call.Key) {
		return Answer{}, refuse(CodeBadKey, NotRun, nil)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	r, owner, err := d.joinOrStart(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	if r.digest != call.requestDigest() {
		return Answer{}, refuse(CodeKeyReused, NotRun, nil)
	}
	return d.wait(ctx, r, owner)
}

// joinOrStart returns the current run of the call's key and starts one if there is none. It reports
// whether the call owns the run, that is, has started it.
func (d *Dispatcher) joinOrStart(ctx context.Context, call Call) (r *run, owner bool, err error) {
	key := platformKey(call.Account, call.Key)
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.current[key]; ok {
		return r, false, nil
	}
	if d.closing {
		return nil, false, refuse(CodeStopping, NotRun, nil)
	}
	if len(d.runs) >= d.settings.MaxRuns {
		return nil, false, &RefusedError{Code: CodeOverloaded, Run: NotRun, RetryAfter: time.Second}
	}
	r = newRun(key, call)
	d.runs[r.id] = r
	d.current[key] = r
	if call.Memory != nil {
		call.Memory.Retain()
	}
	d.workers.Go(func() { d.execute(context.WithoutCancel(ctx), r) })
	return r, true, nil
}

// wait returns the result of the run. If the context ends first, the owner abandons the run unless
// the call may have run, here or under another intent, and the call is refused as not run. Any
// other call is refused as one that may have run.
func (d *Dispatcher) wait(ctx context.Context, r *run, owner bool) (answer Answer, err error) {
	select {
	case <-r.done:
		return r.result(owner)
	case <-ctx.Done():
	}
	if owner && r.abandon() {
		d.removeCurrent(r)
		return Answer{}, refuse(CodeDeadline, NotRun, ctx.Err())
	}
	select {
	case <-r.done:
		return r.result(owner)
	default:
		return Answer{}, refuse(CodeOutcomeUnknown, MayHaveRun, ctx.Err())
	}
}

// removeCurrent prevents later calls from joining the run.
func (d *Dispatcher) removeCurrent(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current[r.id.Key] == r {
		delete(d.current, r.id.Key)
	}
}

// remove deletes a run whose final record is stored.
func (d *Dispatcher) remove(r *run) {
	d.removeCurrent(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, r.id)
}

// Outcome waits until an intent of this daemon has an outcome or the context ends, and returns
// the intent's state. Peers call it through the peers' port.
func (d *Dispatcher) Outcome(ctx context.Context, id IntentID) (answer Answer, state State, err error) {
	defer Error.WrapP(&err)
	d.mu.Lock()
	r, ok := d.runs[id]
	d.mu.Unlock()
	if !ok {
		return Answer{}, StateNotHeld, nil
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	answer, state = r.outcome()
	return answer, state, nil
}

// Close refuses new calls and waits until running calls have ended and their outcomes are stored.
// It drops outcomes that could not be stored within CloseTimeout.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	timer := time.AfterFunc(d.settings.CloseTimeout, d.cancel)
	defer timer.Stop()
	d.workers.Wait()
	d.cancel()
}
