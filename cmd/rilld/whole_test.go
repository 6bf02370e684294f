package main_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/checker"
)

const (
	placePath = "/services/orders/place"
	stockPath = "/services/orders/stock"
	// longStreamTokens is the length of a stream that stays open while a process is signalled.
	longStreamTokens = 150
)

// daemonPorts holds the name of one daemon of the fleet and the addresses of its ports.
type daemonPorts struct {
	name, callers, peers, operators string
}

// fleet is a platform, engines, services and daemons that run as processes.
type fleet struct {
	*processes
	platform string
	engines  []string
	services []string
	daemons  []daemonPorts
	// operatorFlags are further flags of rillctl.
	operatorFlags []string
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{processes: newProcesses(t), platform: freeAddress(t)}
	f.start("platform", "rillbench", "platform", "--listen", f.platform)
	f.await("http://" + f.platform + "/v1/hosts")
	for i := range 3 {
		address := freeAddress(t)
		f.engines = append(f.engines, address)
		f.start(fmt.Sprintf("engine-%d", i+1), "rillbench", "engine", "--listen", address, "--weights", "w1", "--crash-text", "poison")
		f.await("http://" + address + "/v1/load")
	}
	for i := range 2 {
		address := freeAddress(t)
		f.services = append(f.services, address)
		f.start(fmt.Sprintf("service-%d", i+1), "rillbench", "service", "--listen", address)
		f.await("http://" + address + "/stock")
	}
	for i := range 3 {
		f.daemons = append(f.daemons, daemonPorts{
			name: fmt.Sprintf("daemon-%d", i+1), callers: freeAddress(t), peers: freeAddress(t), operators: freeAddress(t),
		})
	}
	for i := range f.daemons {
		f.startDaemon(i)
	}
	f.apply(f.configuration(""))
	for _, d := range f.daemons {
		f.await("http://" + d.callers + "/readyz")
	}
	return f
}

func (f *fleet) startDaemon(i int) {
	f.t.Helper()
	var seeds []string
	for j, other := range f.daemons {
		if j != i {
			seeds = append(seeds, other.peers)
		}
	}
	d := f.daemons[i]
	path := f.write(d.name+".jsonc", fmt.Sprintf(`{
  // Settings of one daemon.
  "name": %q, "data_centre": "sapporo",
  "callers_listen": %q, "peers_listen": %q, "operators_listen": %q,
  "peers_advertise": %q,
  "platform": [%q],
  "seed_peers": [%s],
  "leave_notice": "500ms", "drain_bound": "20s",
}`, d.name, d.callers, d.peers, d.operators, d.peers, f.platform, jsonStrings(seeds)))
	f.start(d.name, "rilld", "serve", "--log-output", "all", "--config", path)
	f.await("http://" + d.callers + "/healthz")
}

// configuration returns the configuration file of the fleet, with additional selectors.
func (f *fleet) configuration(selectors string) string {
	var targets strings.Builder
	for i, address := range f.engines {
		fmt.Fprintf(&targets, `{"name": "engine-%d", "kind": "engine", "address": %q, "data_centre": "sapporo", "model": "m", "slots": 8},`, i+1, address)
	}
	for i, address := range f.services {
		fmt.Fprintf(&targets, `{"name": "service-%d", "kind": "service", "address": %q, "data_centre": "sapporo", "service": "orders", "slots": 8},`, i+1, address)
	}
	return fmt.Sprintf(`{
  "accounts": [
    {"name": "demo", "labels": {"tier": "gold"}, "key_digests": [%q]},
    {"name": "other", "labels": {"tier": "silver"}, "key_digests": [%q]},
  ],
  "models": [{"name": "m", "default_version": "v1", "block_tokens": 2048, "max_context_tokens": 100000}],
  "versions": [{"name": "v1", "model": "m", "weights": "w1"}],
  "targets": [%s],
  "services": [{"name": "orders", "operations": [
    {"name": "place", "method": "POST", "path": "/place", "idempotent": false, "timeout": "5s"},
    {"name": "stock", "method": "GET", "path": "/stock", "idempotent": true, "timeout": "5s"},
  ]}],
  "selectors": [
    {"name": "all", "priority": 0, "effect": "allow", "match": [{"on": "account", "key": "tier", "exists": true}]},
    %s
  ],
}`, keyDigest("demo-key"), keyDigest("other-key"), targets.String(), selectors)
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// apply applies a configuration file with rillctl and waits until it is in force at all daemons.
func (f *fleet) apply(content string) {
	f.t.Helper()
	path := f.write("objects.jsonc", content)
	var output string
	var err error
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		arguments := append([]string{"--daemon", f.daemons[0].operators, "--timeout", "10s"}, f.operatorFlags...)
		output, err = f.run("rillctl", append(arguments, "apply", "--wait", path)...)
		if err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Fatalf("apply: %v\n%s", err, output)
}

func (f *fleet) caller(i int, key string) *checker.Checker {
	return checker.New(checker.Settings{URL: "http://" + f.daemons[i].callers, Key: key, Model: "m"})
}

// expect checks the verdict of a result.
func (f *fleet) expect(what string, result checker.Result, want checker.Verdict) {
	f.t.Helper()
	if result.Verdict != want {
		f.t.Errorf("%s: %+v, want %s", what, result, want)
	}
}

func (f *fleet) expectRefused(what string, result checker.Result, code, run string) {
	f.t.Helper()
	if result.Verdict != checker.Refused || result.Code != code || result.Run != run {
		f.t.Errorf("%s: %+v, want %s %s", what, result, code, run)
	}
}

// streamDuring runs a long stream through a daemon and calls act while the stream is open.
func (f *fleet) streamDuring(i int, prompt string, act func()) checker.Result {
	results := make(chan checker.Result)
	go func() { results <- f.caller(i, "demo-key").Stream(f.t.Context(), prompt, longStreamTokens) }()
	time.Sleep(400 * time.Millisecond)
	act()
	return <-results
}

// TestFleetServesAfterKillOfAnyProcess starts a fleet as processes. It kills and restarts each
// engine during a stream, and then kills a service, a daemon and the platform. Requests have to be
// answered; without the platform, orders are refused as not run.
func TestFleetServesAfterKillOfAnyProcess(t *testing.T) {
	f := startFleet(t)
	demo, other := f.caller(0, "demo-key"), f.caller(1, "other-key")
	body := []byte(`{"item":"wheel"}`)

	f.expect("stream", demo.Stream(t.Context(), "hello", 20), checker.Complete)
	f.expect("plain", other.Plain(t.Context(), "hello", 20), checker.Complete)
	placed := demo.PlaceOrder(t.Context(), placePath, "key-1", body)
	f.expect("order", placed, checker.Complete)
	again := f.caller(2, "demo-key").PlaceOrder(t.Context(), placePath, "key-1", body)
	if again.Body != placed.Body {
		t.Errorf("the repeated order got %q, the first one %q", again.Body, placed.Body)
	}
	f.expectRefused("another body", demo.PlaceOrder(t.Context(), placePath, "key-1", []byte(`{}`)), "idempotency_key_reused", "not_run")

	f.apply(f.configuration(`{"name": "no-silver", "priority": 5, "effect": "deny", "match": [{"on": "account", "key": "tier", "equals": "silver"}]},`))
	for i := range f.daemons {
		f.expectRefused("denied account", f.caller(i, "other-key").Plain(t.Context(), "hello", 5), "forbidden", "not_run")
	}

	for i := range 3 {
		name := fmt.Sprintf("engine-%d", i+1)
		result := f.streamDuring(i, "prompt "+name, func() { f.kill(name) })
		f.expect("stream during the kill of "+name, result, checker.Complete)
		f.start(name, "rillbench", "engine", "--listen", f.engines[i], "--weights", "w1", "--crash-text", "poison")
		f.await("http://" + f.engines[i] + "/v1/load")
		time.Sleep(time.Second)
	}

	f.kill("service-1")
	for i := range 6 {
		f.expect("order without service-1", demo.PlaceOrder(t.Context(), placePath, fmt.Sprintf("key-a%d", i), body), checker.Complete)
		f.expect("stock without service-1", demo.Get(t.Context(), stockPath), checker.Complete)
	}

	f.kill("daemon-1")
	f.expect("stream without daemon-1", f.caller(1, "demo-key").Stream(t.Context(), "hello", 20), checker.Complete)
	f.expect("order without daemon-1", f.caller(2, "demo-key").PlaceOrder(t.Context(), placePath, "key-1", body), checker.Complete)
	f.startDaemon(0)
	f.await("http://" + f.daemons[0].callers + "/readyz")
	f.expectRefused("denied account after the restart", f.caller(0, "other-key").Plain(t.Context(), "hello", 5), "forbidden", "not_run")

	f.kill("platform")
	f.expect("stream without the platform", demo.Stream(t.Context(), "hello", 20), checker.Complete)
	f.expect("stock without the platform", demo.Get(t.Context(), stockPath), checker.Complete)
	f.expectRefused("order without the platform", demo.PlaceOrder(t.Context(), placePath, "key-2", body), "platform_unavailable", "not_run")
}

// TestStreamSurvivesFrozenEngineAndGracefulStop stops engines with SIGSTOP and a daemon with SIGTERM
// while a stream is open. Each stream has to complete, and the daemon has to exit with status 0.
func TestStreamSurvivesFrozenEngineAndGracefulStop(t *testing.T) {
	f := startFleet(t)
	for i := range 3 {
		name := fmt.Sprintf("engine-%d", i+1)
		result := f.streamDuring(0, "prompt "+name, func() { f.signal(name, syscall.SIGSTOP) })
		f.expect("stream during the freeze of "+name, result, checker.Complete)
		f.signal(name, syscall.SIGCONT)
		time.Sleep(3 * time.Second)
	}
	result := f.streamDuring(1, "prompt while the daemon stops", func() {
		f.running["daemon-2"].ended.Store(true)
		f.signal("daemon-2", syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		response, err := http.Get("http://" + f.daemons[1].callers + "/readyz")
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("/readyz of a stopping daemon: %v, %v", response, err)
		}
	})
	f.expect("stream during a graceful stop", result, checker.Complete)
	<-f.running["daemon-2"].done
	if code := f.running["daemon-2"].command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the daemon exited with status %d", code)
	}
	delete(f.running, "daemon-2")
	if _, err := http.Get("http://" + f.daemons[1].callers + "/healthz"); err == nil {
		t.Error("the stopped daemon still answers")
	}
}
