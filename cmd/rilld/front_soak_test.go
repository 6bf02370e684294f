package main_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

const (
	frontSoakTime    = 15 * time.Second
	frontSoakCallers = 16
	// maxStandstill is the longest time for which a process is stopped or a target's host is silent.
	maxStandstill = 2500 * time.Millisecond
)

// frontConfiguration has a route for each kind of request.
var frontConfiguration = hostingemulator.Configuration{
	Version: 3, Host: "app.example", Key: "key", Model: "m", Timeout: 4 * time.Second,
	Routes: []hostingemulator.Route{
		{Name: "order", Kind: "non_idempotent", Service: "services"},
		{Name: "look", Kind: "idempotent", Service: "services"},
		{Name: "ask", Kind: "streaming", Service: "engines"},
	},
}

// frontSoak is a fleet of rilld front processes that are stopped, continued, ended and started, among targets that fall silent or are
// cut off within streams.
type frontSoak struct {
	*processes
	random  *rand.Rand
	store   *hostingemulator.Store
	targets []*hostingemulator.Target
	callers []string

	mu sync.Mutex
	// once are the requests that must run once at most, and refused those that were answered as not run.
	once, refused map[string]bool
	results       map[string]int
}

// Guards against requests that run twice though they must run once, or that run although they were refused and streams at two targets at once (TWICE,
// REFUSED), with real processes. Longer runs: RILL_SOAK_SEEDS="1 2 3" go test ./cmd/rilld -count=1 -timeout 1h -run TestFrontProcessesKeepRules
func TestFrontProcessesKeepRules(t *testing.T) {
	seeder.Soak(t, runFrontSoak)
}

func runFrontSoak(t *testing.T, seed uint64) {
	s := &frontSoak{
		processes: newProcesses(t), random: rand.New(rand.NewPCG(seed, 0)), store: hostingemulator.NewStore(),
		once: make(map[string]bool), refused: make(map[string]bool), results: make(map[string]int),
	}
	if err := s.store.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.store.Close() })
	s.store.PutConfiguration(frontConfiguration)
	for i := range 3 {
		s.addTarget(fmt.Sprint("engine-", i), "engines", "m")
		s.addTarget(fmt.Sprint("service-", i), "services", "")
	}
	for i := range 3 {
		s.startFront(i)
	}
	end := time.Now().Add(frontSoakTime)
	var group conc.WaitGroup
	for i := range frontSoakCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i+1)))
		group.Go(func() { s.callUntil(random, fmt.Sprint("c", i), end) })
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
		s.disturb()
	}
	group.Wait()
	s.check()
}

func (s *frontSoak) addTarget(id, service, model string) {
	target := hostingemulator.NewTarget(hostingemulator.TargetSettings{
		ID: id, Service: service, Zone: "north", Store: s.store, Model: model, Slots: 6, StreamEvents: 5, EventInterval: 60 * time.Millisecond,
		RestartTime: 300 * time.Millisecond,
	})
	if err := target.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = target.Close() })
	s.targets = append(s.targets, target)
}

// startFront starts the i-th daemon, anew with the same ports if it ran before.
func (s *frontSoak) startFront(i int) {
	s.t.Helper()
	name := fmt.Sprint("front-", i)
	path := name + ".jsonc"
	ready := freeAddress(s.t)
	callers := freeAddress(s.t)
	if len(s.callers) <= i {
		s.callers = append(s.callers, callers)
	}
	s.mu.Lock()
	s.callers[i] = callers
	s.mu.Unlock()
	s.start(name, "rilld", "front", "--config", s.write(path, fmt.Sprintf(`{
  "name": %q, "data_centre": "north", "callers_listen": %q, "peers_listen": %q, "operators_listen": %q, "platform": [%q],
  "log": {"level": "info", "format": "json"},
  "hosted": {"ready_listen": %q, "metrics_listen": %q},
}`, name, callers, freeAddress(s.t), freeAddress(s.t), s.store.Address(), ready, freeAddress(s.t))))
	s.await("http://" + ready + "/readyz")
}

// disturb does one of the things that happen to processes and targets.
func (s *frontSoak) disturb() {
	duration := time.Duration(s.random.Int64N(int64(maxStandstill)))
	target, i := s.targets[s.random.IntN(len(s.targets))], s.random.IntN(len(s.callers))
	name := fmt.Sprint("front-", i)
	switch s.random.IntN(7) {
	case 0, 1:
		if err := target.Silence(duration); err != nil {
			s.t.Error(err)
		}
	case 2:
		target.Pause(duration)
	case 3:
		target.Crash()
	case 4, 5:
		s.signal(name, syscall.SIGSTOP)
		time.Sleep(duration)
		s.signal(name, syscall.SIGCONT)
	default:
		s.kill(name)
		s.startFront(i)
	}
}

// callUntil sends requests of all kinds to random daemons.
func (s *frontSoak) callUntil(random *rand.Rand, name string, end time.Time) {
	client := &http.Client{Timeout: 6 * time.Second}
	for n := 0; time.Now().Before(end); n++ {
		id, route := fmt.Sprintf("%s-%d", name, n), frontConfiguration.Routes[random.IntN(len(frontConfiguration.Routes))]
		s.mu.Lock()
		address := s.callers[random.IntN(len(s.callers))]
		s.once[id] = route.Name == "order"
		s.mu.Unlock()
		status := send(client, address, route, id)
		s.mu.Lock()
		s.results[fmt.Sprint(route.Name, " ", status)]++
		s.refused[id] = status == http.StatusServiceUnavailable
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// send sends a request and returns the status of its answer, or zero if there was none.
func send(client *http.Client, address string, route hostingemulator.Route, id string) (status int) {
	request, err := frontConfiguration.NewRequest(address, route, id)
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// check checks the rules by what reached the targets.
func (s *frontSoak) check() {
	runs := make(map[string][]hostingemulator.Run)
	for _, target := range s.targets {
		for _, run := range target.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	for id, all := range runs {
		if s.once[id] && len(all) > 1 {
			s.t.Errorf("%s ran %d times: %v (TWICE)", id, len(all), all)
		}
		if all[0].Path == "/ask/x" && hostingemulator.Overlap(all) {
			s.t.Errorf("%s went on elsewhere while its former target worked on it: %v (TWICE)", id, all)
		}
		if s.refused[id] {
			s.t.Errorf("%s was refused as not run, and ran: %v (REFUSED)", id, all)
		}
	}
	served := s.results["order 200"] + s.results["look 200"] + s.results["ask 200"]
	if s.t.Logf("%v", s.results); served < len(s.once)/4 {
		s.t.Errorf("%d of %d requests were served", served, len(s.once))
	}
}
