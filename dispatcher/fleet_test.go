package dispatcher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Steps of a host at which a failpoint can trigger.
const (
	stepCreate    = "before the write of the intent"
	stepCreated   = "between the intent and the clock check"
	stepSend      = "between the clock check and the first byte"
	stepSent      = "between the run and its outcome"
	stepSwap      = "before the write of the outcome"
	stepSwapped   = "after the write of the outcome"
	stepReadBack  = "before a read"
	stepReply     = "before the reply to the caller"
	stepPeerReply = "before the reply to a peer"
)

var (
	allSteps       = []string{stepCreate, stepCreated, stepSend, stepSent, stepSwap, stepSwapped, stepReadBack, stepReply, stepPeerReply}
	errKilled      = errors.New("host killed")
	errUnreachable = errors.New("peer unreachable")
)

// failpoint kills or pauses a host when it reaches a step for the nth time.
type failpoint struct {
	Host  int
	Step  string
	Nth   int
	Pause time.Duration // zero kills
}

// run is one execution of a call by the service.
type run struct {
	key       string
	requestID string
	at        time.Time
}

// fleet is a set of daemons around one service and one platform.
type fleet struct {
	platform   *platformemulator.Platform
	service    *service
	failpoints []failpoint

	mu          sync.Mutex
	hosts       []*host
	allHosts    []*host
	partitioned map[[2]int]bool
	reached     map[string]int
	// violations lists the broken invariants.
	violations []string
}

func (f *fleet) countReached(condition string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[condition]++
}

func (f *fleet) activeFailpoints() []failpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failpoints
}

func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// start replaces the process of a host by a new one.
func (f *fleet) start(index int, lookup dispatcher.Lookup) *host {
	h := &host{fleet: f, index: index, conn: f.platform.Connection(hostName(index)), steps: map[string]int{}, reads: map[string]time.Time{}}
	h.d = dispatcher.New(dispatcher.Settings{
		Daemon: hostName(index), Store: h, Sender: h, Chooser: h, Peers: h, Lookup: lookup,
		Logger: slog.New(slog.DiscardHandler), CloseTimeout: time.Minute,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[index] = h
	f.allHosts = append(f.allHosts, h)
	return h
}

func (f *fleet) host(index int) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[index]
}

func hostName(index int) string { return fmt.Sprintf("host-%d", index) }

// host is one daemon process on a host. It calls passStep at each step, where a failpoint can kill
// or pause it.
type host struct {
	fleet *fleet
	index int
	conn  *platformemulator.Connection
	d     *dispatcher.Dispatcher

	mu       sync.Mutex
	dead     bool
	resumeAt time.Time
	steps    map[string]int
	// reads maps each request ID to the time of the last read, for that request, of a record in a
	// state other than "not_run".
	reads map[string]time.Time
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
}

func (h *host) pause(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumeAt = time.Now().Add(d)
}

// passStep applies the failpoints of the step and waits while the host is paused. It reports false
// when the host is dead.
func (h *host) passStep(step string) bool {
	h.applyFailpoints(step)
	for {
		h.mu.Lock()
		dead, wait := h.dead, time.Until(h.resumeAt)
		h.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (h *host) applyFailpoints(step string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.steps[step]++
	for _, p := range h.fleet.activeFailpoints() {
		if h.dead || p.Host != h.index || p.Step != step || p.Nth != h.steps[step] {
			continue
		}
		if p.Pause == 0 {
			h.dead = true
			h.fleet.countReached("killed " + step)
			continue
		}
		h.resumeAt = time.Now().Add(p.Pause)
		h.fleet.countReached("paused " + step)
	}
}

func unavailable() error { return &storer.UnavailableError{Cause: errKilled} }

func (h *host) Get(ctx context.Context, key string) (storer.Item, error) {
	if !h.passStep(stepReadBack) {
		return storer.Item{}, unavailable()
	}
	item, err := h.conn.Get(ctx, key)
	var missing *storer.NotFoundError
	if errors.As(err, &missing) {
		h.fleet.countReached("read-back finds nothing")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && !bytes.Contains(item.Value, []byte(`"state":"not_run"`)) {
		id, _ := ctx.Value(requestIDKey{}).(string)
		h.reads[id] = time.Now()
	}
	return item, err
}

// requestIDKey is the context key of the request ID.
type requestIDKey struct{}

// sawRun reports whether the host read a record for this call after another request with the key
// had run. A read at the current instant of the virtual time does not count.
func (h *host) sawRun(call dispatcher.Call) bool {
	h.mu.Lock()
	read := h.reads[call.RequestID]
	h.mu.Unlock()
	return read.Before(time.Now()) && h.fleet.service.runsOf(func(r run) bool {
		return r.key == keyOf(call) && r.requestID != call.RequestID && r.at.Before(read)
	}) > 0
}

func (h *host) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if !h.passStep(stepReadBack) {
		return storer.Page{}, unavailable()
	}
	return h.conn.List(ctx, prefix, after, limit)
}

func (h *host) Create(ctx context.Context, key string, value []byte, lease storer.LeaseID) (storer.Version, error) {
	return h.write("intent", stepCreate, stepCreated, func() (storer.Version, error) {
		return h.conn.Create(ctx, key, value, lease)
	})
}

func (h *host) Swap(ctx context.Context, key string, value []byte, expected storer.Version, lease storer.LeaseID) (storer.Version, error) {
	return h.write("swap", stepSwap, stepSwapped, func() (storer.Version, error) {
		return h.conn.Swap(ctx, key, value, expected, lease)
	})
}

func (h *host) write(what, before, after string, write func() (storer.Version, error)) (storer.Version, error) {
	if !h.passStep(before) {
		return 0, unavailable()
	}
	version, err := write()
	var unknown *storer.UnknownOutcomeError
	var down *storer.UnavailableError
	switch {
	case errors.As(err, &unknown):
		h.fleet.countReached("answer lost to " + what)
	case errors.As(err, &down):
		h.fleet.countReached("platform down at " + what)
	}
	if !h.passStep(after) {
		return 0, unavailable()
	}
	return version, err
}

func (h *host) Delete(ctx context.Context, key string, expected storer.Version) error {
	return h.conn.Delete(ctx, key, expected)
}

func (h *host) Choose(_ context.Context, _ dispatcher.Call, tried []string) (dispatcher.Target, error) {
	for i := range 3 {
		name := fmt.Sprintf("target-%d", i)
		if !slices.Contains(tried, name) {
			return dispatcher.Target{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")}, nil
		}
	}
	return dispatcher.Target{}, errors.New("no target left")
}

// Send checks the call's deadline on entry and again before the first byte.
func (h *host) Send(ctx context.Context, _ dispatcher.Target, call dispatcher.Call) (dispatcher.Answer, error) {
	if time.Now().After(call.Deadline) {
		h.fleet.addViolation("request %s sent %v after its deadline", call.RequestID, time.Since(call.Deadline))
	}
	if !h.passStep(stepSend) || time.Now().After(call.Deadline) {
		return dispatcher.Answer{}, &dispatcher.NotSentError{Cause: errKilled}
	}
	answer, err := h.fleet.service.serve(ctx, h.fleet, call)
	if !h.passStep(stepSent) {
		return dispatcher.Answer{}, &dispatcher.LostAnswerError{Cause: errKilled}
	}
	return answer, err
}

func (h *host) Outcome(ctx context.Context, daemon string, id dispatcher.IntentID) (dispatcher.Answer, dispatcher.State, error) {
	for index := range h.fleet.hosts {
		if hostName(index) != daemon {
			continue
		}
		peer := h.fleet.host(index)
		if h.fleet.isPartitioned(h.index, index) {
			h.fleet.countReached("peer cut off while asked")
			return dispatcher.Answer{}, dispatcher.StateNotHeld, errUnreachable
		}
		answer, state, err := peer.d.Outcome(ctx, id)
		if !peer.passStep(stepPeerReply) || ctx.Err() != nil || h.fleet.isPartitioned(h.index, index) {
			return dispatcher.Answer{}, dispatcher.StateNotHeld, errUnreachable
		}
		h.fleet.countReached("peer answers " + state.String())
		return answer, state, err
	}
	return dispatcher.Answer{}, dispatcher.StateNotHeld, errUnreachable
}

func (f *fleet) isPartitioned(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[[2]int{min(a, b), max(a, b)}]
}
