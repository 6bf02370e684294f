package main_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
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
	frontHost     = "app.example"
)

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
	s.configure()
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

func (s *frontSoak) configure() {
	var routes []any
	for name, kind := range map[string]string{"order": "non_idempotent", "look": "idempotent", "ask": "streaming"} {
		service := "services"
		if kind == "streaming" {
			service = "engines"
		}
		routes = append(routes, map[string]any{
			"name": name, "host": frontHost, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 4000, "targetLatencyMs": 1000,
			"targetGapMs": 500, "maxAttempts": 2, "priority": 0, "sticky": kind == "streaming", "resumable": kind == "streaming",
		})
	}
	s.store.Put("op/config", map[string]any{
		"version": 3, "routes": routes,
		"services": []any{
			map[string]any{"name": "engines", "maxConnections": 50, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "kvTokenBytes": 1000, "linkMbps": 1000, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "services", "maxConnections": 50},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "account", "apiKeys": []string{"key"}, "isolated": false}},
	})
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
		id, route := fmt.Sprintf("%s-%d", name, n), []string{"order", "look", "ask"}[random.IntN(3)]
		s.mu.Lock()
		address := s.callers[random.IntN(len(s.callers))]
		s.once[id] = route == "order"
		s.mu.Unlock()
		status := send(client, address, route, id)
		s.mu.Lock()
		s.results[fmt.Sprint(route, " ", status)]++
		s.refused[id] = status == http.StatusServiceUnavailable
		s.mu.Unlock()
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
	}
}

// send sends a request and returns the status of its answer, or zero if there was none.
func send(client *http.Client, address, route, id string) (status int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+route+"/x", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = frontHost
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "4000", "Authorization": "Token key"} {
		request.Header.Set(name, value)
	}
	if route == "ask" {
		for name, value := range map[string]string{"X-Model": "m", "X-Token-Count": "300,6", "X-Prompt-Prefix": "ab:200,cd:100"} {
			request.Header.Set(name, value)
		}
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
