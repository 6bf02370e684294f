// Package detector is a failure detector that decides which targets may get work. It judges a
// target by its progress: every target has a counter that grows with each step of its scheduler
// and each token. A polled target must answer within one deadline, and a target with work must make
// progress within another. A target that only accepts connections does not count as alive; a slow
// one that makes progress does.
//
// # Usage
//
// A daemon has one Detector. It polls the targets that Settings.ShouldPoll assigns to this daemon,
// and any target at which a call of this daemon waits. Other packages report what they observe:
//
//	targets := detector.New(detector.Settings{Poller: poller})
//	defer targets.Close()
//	targets.SetTargets([]detector.Target{{Name: "t1", Address: address}})
//	end := targets.Begin("t1")
//	targets.ObserveProgress("t1", incarnation)
//	end()
//	if targets.Usable("t1") {
//		// Send new work.
//	}
//
// Daemons exchange their observations with Export and Merge. A target that leaves gets no new
// work until a newer incarnation of it answers.
package detector

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("detector")

// Defaults of Settings.
const (
	DefaultAnswerDeadline   = 1400 * time.Millisecond
	DefaultProgressDeadline = 1600 * time.Millisecond
	DefaultLoadLag          = time.Second
	DefaultDownAfter        = 10 * time.Second
	DefaultPollInterval     = 250 * time.Millisecond
	DefaultUrgentInterval   = 150 * time.Millisecond
	DefaultPollTimeout      = 3 * time.Second
	DefaultPollsPerSecond   = 20
	DefaultProbeAfter       = 400 * time.Millisecond
	DefaultTick             = 50 * time.Millisecond

	// A gap of at least maxTicksMissed times Settings.Tick between two ticks means that this daemon
	// itself was paused.
	maxTicksMissed = 6
	// maxUnansweredPolls bounds the stored send times of the unanswered polls of one target.
	maxUnansweredPolls = 16
	// maxPollsInFlight bounds the concurrent polls of one target.
	maxPollsInFlight = 8
	// jitterFraction is the largest random change of a poll interval, as a fraction of the interval.
	jitterFraction = 0.1
)

// State is the state of a target. It decides whether the target may get work.
type State int

// The states of a target.
const (
	// Live targets get work. A target without observations counts as live.
	Live State = iota
	// Suspect targets missed a deadline, refused a connection or are suspected by a peer.
	Suspect
	// Down targets have been suspect for Settings.DownAfter.
	Down
	// Leaving targets finish their calls and get no new ones.
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Down:
		return "down"
	case Leaving:
		return "leaving"
	}
	return "live"
}

// Reason is the kind of evidence for a state.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonUnanswered Reason = "polls_unanswered"
	ReasonNoProgress Reason = "no_progress"
	ReasonPeer       Reason = "peer_report"
	ReasonRefused    Reason = "connection_refused"
	ReasonSelfReport Reason = "own_word"
	ReasonHostList   Reason = "host_list"
	ReasonDrain      Reason = "drain_label"
)

// Status is the state of a target, with its evidence.
type Status struct {
	State       State
	Reason      Reason
	Since       time.Time
	Incarnation string
	// LastProgress is when the target last made progress, as far as this daemon knows.
	LastProgress time.Time
}

// Target is a target to poll.
type Target struct {
	Name    string
	Address netip.AddrPort
	// Service reports whether the target is a plain service, which is polled at another path.
	Service bool
}

// Report is the answer of a target to a poll. All fields except Progress may lag.
type Report struct {
	Incarnation string
	// Progress is the progress counter of the target. Counters of different incarnations are not
	// compared.
	Progress      uint64
	Running       int
	Waiting       int
	WaitingTokens int
	Leaving       bool
}

// Poller polls a target for its report. A fresh poll must open a new connection. Poll returns a
// RefusedError if the target refused the connection.
type Poller interface {
	Poll(ctx context.Context, target Target, fresh bool) (report Report, err error)
}

// RefusedError reports that a target refused a connection.
type RefusedError struct {
	Target string
	Cause  error
}

// Error returns the target and the cause.
func (e *RefusedError) Error() string { return e.Target + " refused a connection: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Settings configure a Detector. Zero values are replaced by the defaults.
type Settings struct {
	// Poller polls the targets. Without one the detector relies on observations of other
	// packages and of peers.
	Poller Poller
	// ShouldPoll reports whether this daemon polls a target. By default it polls all.
	ShouldPoll func(target string) bool
	// AnswerDeadline is the time within which a target must answer a poll. It should be longer
	// than the pauses of a healthy target.
	AnswerDeadline time.Duration
	// ProgressDeadline is the time within which a target with work must make progress. It should
	// be longer than the sum of a pause and a scheduler step of a healthy target and two polls.
	ProgressDeadline time.Duration
	// LoadLag is how much the load in reports may lag. It is added to ProgressDeadline for a
	// target whose work is known from reports alone.
	LoadLag time.Duration
	// DownAfter is how long a target is suspect before it counts as down.
	DownAfter time.Duration
	// PollInterval is the minimum time between two regular polls of a target. With more than 32
	// targets PollsPerSecond limits the rate of the regular polls of this daemon.
	PollInterval   time.Duration
	PollsPerSecond float64
	// UrgentInterval is the time between two polls of a target whose answer or progress is late.
	UrgentInterval time.Duration
	// PollTimeout bounds one poll. It is longer than AnswerDeadline, since a late answer counts.
	PollTimeout time.Duration
	// ProbeAfter is how long a call of this daemon waits without progress before its target is
	// polled at UrgentInterval.
	ProbeAfter time.Duration
	// Tick is the time between two checks of the deadlines.
	Tick time.Duration
	// OnReport is called with each report that a poll returns.
	OnReport func(target string, report Report)
	// Logger receives the log. The default discards it.
	Logger *slog.Logger
}

func (s Settings) withDefaults() Settings {
	s.AnswerDeadline = cmp.Or(s.AnswerDeadline, DefaultAnswerDeadline)
	s.ProgressDeadline = cmp.Or(s.ProgressDeadline, DefaultProgressDeadline)
	s.UrgentInterval = cmp.Or(s.UrgentInterval, DefaultUrgentInterval)
	s.LoadLag = cmp.Or(s.LoadLag, DefaultLoadLag)
	s.DownAfter = cmp.Or(s.DownAfter, DefaultDownAfter)
	s.PollInterval = cmp.Or(s.PollInterval, DefaultPollInterval)
	s.PollsPerSecond = cmp.Or(s.PollsPerSecond, DefaultPollsPerSecond)
	s.PollTimeout = cmp.Or(s.PollTimeout, DefaultPollTimeout)
	s.ProbeAfter = cmp.Or(s.ProbeAfter, DefaultProbeAfter)
	s.Tick = cmp.Or(s.Tick, DefaultTick)
	if s.ShouldPoll == nil {
		s.ShouldPoll = func(string) bool { return true }
	}
	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}
	return s
}

// Detector tracks the states of the targets. It is safe for concurrent use.
type Detector struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	workers  conc.WaitGroup

	mu            sync.Mutex
	records       map[string]*record
	subscriptions map[*Subscription]struct{}
	pollCount     uint64
	// lastTick is the time of the last tick, or of the end of the last pause of this daemon.
	lastTick time.Time
}

// New returns a running detector.
func New(settings Settings) *Detector {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Detector{
		settings:      settings.withDefaults(),
		ctx:           ctx,
		cancel:        cancel,
		records:       make(map[string]*record),
		subscriptions: make(map[*Subscription]struct{}),
		lastTick:      time.Now(),
	}
	d.workers.Go(d.runTicks)
	return d
}

// Close cancels the polls and waits for them to end.
func (d *Detector) Close() (err error) {
	d.cancel()
	d.workers.Wait()
	return nil
}

// SetTargets replaces the set of targets. Targets that were known before keep their records; the
// records of all other targets are deleted.
func (d *Detector) SetTargets(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[string]bool, len(targets))
	for _, target := range targets {
		wanted[target.Name] = true
		r := d.recordFor(target.Name)
		r.target = target
		r.addressKnown = true
	}
	for name := range d.records {
		if !wanted[name] {
			delete(d.records, name)
		}
	}
}

// Status returns the current status of a target. An unknown target has the zero Status, with state
// Live.
func (d *Detector) Status(target string) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records[target]
	if r == nil {
		return Status{}
	}
	d.updateStatus(r, time.Now())
	return r.status
}

// Usable reports whether a target is in state Live and so may get new work.
func (d *Detector) Usable(target string) bool {
	return d.Status(target).State == Live
}

// Stalled returns a channel that is closed when the target stalls, that is, misses the deadline for
// an answer or for progress or is suspected by a peer, so that the caller can cancel its calls
// there. The channel of a target that is only leaving or has only refused connections stays open.
func (d *Detector) Stalled(target string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordFor(target).stalledSignal
}

// ObservedTargets returns the number of targets with any observation, and the number of all
// targets. A daemon that has just started is ready once it has observed every reachable target.
func (d *Detector) ObservedTargets() (observed, targets int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.records {
		if r.incarnation != "" || r.leavingReason != ReasonNone || !r.refusedSince.IsZero() || r.stalledSignalClosed {
			observed++
		}
	}
	return observed, len(d.records)
}

// PollCount returns the number of polls sent.
func (d *Detector) PollCount() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pollCount
}

// recordFor returns the record of a target and creates it if there is none. The lock is held.
func (d *Detector) recordFor(target string) *record {
	r := d.records[target]
	if r == nil {
		r = newRecord(target, time.Now())
		r.nextPoll = time.Now().Add(rand.N(d.settings.PollInterval))
		d.records[target] = r
	}
	return r
}

// runTicks checks the deadlines and sends polls at each tick until the detector is closed.
func (d *Detector) runTicks() {
	ticker := time.NewTicker(d.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.tick()
		case <-d.ctx.Done():
			return
		}
	}
}

func (d *Detector) tick() {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resetAfterPause(now)
	d.lastTick = now
	interval := d.pollInterval()
	for _, r := range d.records {
		d.updateStatus(r, now)
		d.pollIfDue(r, now, interval)
	}
}
