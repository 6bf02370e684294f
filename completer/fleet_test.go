package completer_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

const (
	crashText   = "unbalanced wheel"
	blockTokens = 8
)

// fleet is a set of daemons that share engines over an in-memory network.
type fleet struct {
	network *engineemulator.Network
	client  *forwarder.Client
	daemons []*daemon

	mu      sync.Mutex
	engines []*engineemulator.Engine
	retired []*engineemulator.Engine
	// objects are the current configuration.
	objects  registrar.Objects
	revision registrar.Revision
	// closedSince is the time from which an account may not reach an address.
	closedSince map[accountAddress]time.Time
	// attemptWeights holds the weights of the attempts of each request, in the order of the
	// attempts.
	attemptWeights map[string][]string
	violations     []string
}

// accountAddress is a pair of an account and an engine's address. An empty account stands for
// all accounts.
type accountAddress struct {
	account string
	address netip.AddrPort
}

// daemon is the part of one daemon that serves model calls. It also implements the poller of the
// detector, and the admission and the quarantine of the completer.
type daemon struct {
	fleet      *fleet
	detector   *detector.Detector
	pools      *pooler.Pooler
	streams    *streamer.Streamer
	quarantine *quarantiner.Quarantiner
	limits     *limiter.Limiter
	completer  *completer.Completer
	stop       chan struct{}
	followers  sync.WaitGroup

	mu sync.Mutex
	// running counts the runs that the quarantine admitted and that have not ended.
	running  map[quarantiner.Fingerprint]int
	admitted int
	// attempts counts the running attempts by target.
	attempts map[string]int
}

// attemptCounter counts the running attempts of a daemon and passes them on to its detector.
type attemptCounter struct {
	daemon *daemon
}

func (c attemptCounter) Begin(target string) (end func()) {
	ended := c.daemon.detector.Begin(target)
	c.daemon.withLock(func() { c.daemon.attempts[target]++ })
	return func() {
		c.daemon.withLock(func() { c.daemon.attempts[target]-- })
		ended()
	}
}

func engineAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000)
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func newEngine(seed uint64, faults engineemulator.Faults, weights ...string) *engineemulator.Engine {
	return engineemulator.New(engineemulator.Settings{
		Weights: weights, DecodeStep: 10 * time.Millisecond, BlockTokens: blockTokens,
		Slots: 2, TokensPerEvent: 2, Seed: seed, Faults: faults, RestartAfter: 400 * time.Millisecond,
	})
}

func newFleet(daemons, engines int, seed uint64, hedgeAfter time.Duration) *fleet {
	f := &fleet{closedSince: make(map[accountAddress]time.Time), attemptWeights: make(map[string][]string)}
	f.network = engineemulator.NewNetwork(f.observe)
	f.client = forwarder.New(forwarder.Settings{Transport: f.network, EventTimeout: time.Second})
	f.objects = registrar.Objects{
		Accounts:  []registrar.Account{{Name: "a"}, {Name: "b"}},
		Models:    []registrar.Model{{Name: "m", DefaultVersion: "v1", BlockTokens: blockTokens}},
		Versions:  []registrar.Version{{Name: "v1", Model: "m", Weights: "w1"}, {Name: "v2", Model: "m", Weights: "w2"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
	}
	for i := range engines {
		engine := newEngine(seed+uint64(i), engineemulator.Faults{CrashText: crashText}, "w1", "w2")
		f.engines = append(f.engines, engine)
		f.network.Add(engineAddress(i), engine)
		f.objects.Targets = append(f.objects.Targets, registrar.Target{
			Name: engineName(i), Kind: registrar.TargetEngine, Model: "m", Slots: 2, Address: engineAddress(i),
		})
	}
	for i := range daemons {
		f.daemons = append(f.daemons, f.newDaemon(i, hedgeAfter))
	}
	f.apply(func(*registrar.Objects) {})
	return f
}

func (f *fleet) newDaemon(i int, hedgeAfter time.Duration) *daemon {
	name := fmt.Sprintf("daemon-%d", i)
	d := &daemon{fleet: f, stop: make(chan struct{}), running: make(map[quarantiner.Fingerprint]int), attempts: make(map[string]int)}
	d.detector = detector.New(detector.Settings{Poller: d})
	d.pools = pooler.New(pooler.Settings{Daemon: name, Liveness: d})
	d.quarantine = quarantiner.New(quarantiner.Settings{Daemon: name, Peers: f, Logger: slog.New(slog.DiscardHandler)})
	d.limits = limiter.New(limiter.Settings{Name: name, Capacity: 16})
	d.streams = streamer.New(streamer.Settings{
		Engines: streamer.NewEngineClient(f.client), StallDetector: d.detector, Progress: d.detector, AttemptTracker: attemptCounter{daemon: d},
		Failures: d.detector, Hints: d.pools, HedgeAfter: hedgeAfter,
	})
	d.completer = completer.New(completer.Settings{Admission: d, Planner: d.pools, AttemptRunner: d.streams, Quarantine: d})
	d.followers.Add(1)
	go d.follow()
	return d
}

// follow applies the state changes of the detector to the pools and the quarantine.
func (d *daemon) follow() {
	defer d.followers.Done()
	changes := d.detector.Subscribe()
	defer func() { _ = changes.Close() }()
	for {
		select {
		case <-d.stop:
			return
		case change := <-changes.C():
			d.pools.Refresh()
			if before := change.Before.Incarnation; before != "" && before != change.After.Incarnation {
				d.quarantine.ReportCrash(context.Background(), change.Target, before)
			}
		}
	}
}

func (d *daemon) Poll(ctx context.Context, target detector.Target, fresh bool) (detector.Report, error) {
	load, err := detector.PollLoad(ctx, d.fleet.client, target, fresh)
	if err != nil {
		return detector.Report{}, err
	}
	d.pools.ObserveLoad(target.Name, load)
	return detector.ReportOf(load), nil
}

func (d *daemon) Usable(target string) bool        { return d.detector.Usable(target) }
func (d *daemon) Incarnation(target string) string { return d.detector.Status(target).Incarnation }

func (d *daemon) Admit(ctx context.Context, request limiter.Request) (func(), error) {
	release, err := d.limits.Admit(ctx, request)
	if err != nil {
		return nil, err
	}
	d.withLock(func() { d.admitted++ })
	return func() { d.withLock(func() { d.admitted-- }); release() }, nil
}

// withLock runs the change of the daemon's counters with its mutex held.
func (d *daemon) withLock(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *daemon) Begin(ctx context.Context, fingerprint quarantiner.Fingerprint, target, incarnation string) (func(quarantiner.Outcome), error) {
	release, err := d.quarantine.Begin(ctx, fingerprint, target, incarnation)
	if err != nil {
		return nil, err
	}
	d.withLock(func() { d.running[fingerprint]++ })
	return func(outcome quarantiner.Outcome) {
		d.withLock(func() { d.running[fingerprint]-- })
		release(outcome)
	}, nil
}

// Members and Ask implement the peers of the daemons' quarantines.
func (f *fleet) Members() (names []string) {
	for i := range f.daemons {
		names = append(names, fmt.Sprintf("daemon-%d", i))
	}
	return names
}

func (f *fleet) Ask(ctx context.Context, name string, request []byte) ([]byte, error) {
	for i, d := range f.daemons {
		if name == fmt.Sprintf("daemon-%d", i) {
			return d.quarantine.Answer(ctx, request)
		}
	}
	return nil, fmt.Errorf("no daemon %q", name)
}

// observe records each chat request that reaches an engine, and a violation if the engine was
// closed to its account.
func (f *fleet) observe(r *http.Request) {
	if r.Method != http.MethodPost || !strings.Contains(r.URL.Path, "chat") {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	id, _, _ := strings.Cut(r.Header.Get("Rill-Request-Id"), "~")
	f.attemptWeights[id] = append(f.attemptWeights[id], r.Header.Get("Rill-Weights"))
	address := netip.MustParseAddrPort(r.URL.Host)
	for _, account := range []string{"", r.Header.Get("Rill-Account")} {
		if since, ok := f.closedSince[accountAddress{account, address}]; ok && time.Since(since) > 0 {
			f.violations = append(f.violations, fmt.Sprintf("request %s of account %q reached %s, which was closed to it %s earlier",
				id, r.Header.Get("Rill-Account"), address, time.Since(since)))
		}
	}
}

// apply changes the configuration of all daemons.
func (f *fleet) apply(change func(*registrar.Objects)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.objects)
	f.revision++
	snapshot, err := registrar.NewSnapshot(f.revision, f.objects)
	if err != nil {
		panic(err)
	}
	var watched []detector.Target
	for _, target := range f.objects.Targets {
		watched = append(watched, detector.Target{Name: target.Name, Address: target.Address})
	}
	for _, d := range f.daemons {
		d.pools.Apply(snapshot)
		d.detector.SetTargets(watched)
	}
}

// replace stops an engine and starts one with other weights at its address after the down time.
func (f *fleet) replace(i int, down time.Duration, weights ...string) {
	f.mu.Lock()
	old := f.engines[i]
	if slices.Contains(f.retired, old) {
		f.mu.Unlock()
		return // Another call is already replacing this engine.
	}
	f.retired = append(f.retired, old)
	f.mu.Unlock()
	f.network.Remove(engineAddress(i))
	_ = old.Close()
	time.Sleep(down)
	engine := newEngine(uint64(i), engineemulator.Faults{CrashText: crashText}, weights...)
	f.mu.Lock()
	f.engines[i] = engine
	f.mu.Unlock()
	f.network.Add(engineAddress(i), engine)
}

func (f *fleet) engine(i int) *engineemulator.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[i]
}

// runs returns how many runs of a request the engines have accepted in total.
func (f *fleet) runs(id string) (count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engine := range append(f.retired, f.engines...) {
		for run, times := range engine.Runs() {
			if name, _, _ := strings.Cut(run, "~"); name == id {
				count += times
			}
		}
	}
	return count
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		close(d.stop)
		_ = d.streams.Close()
		d.quarantine.Close()
		_ = d.detector.Close()
		d.followers.Wait()
	}
	for _, engine := range append(f.retired, f.engines...) {
		engine.SetFaults(engineemulator.Faults{})
		_ = engine.Close()
	}
	_ = f.network.Close()
}
