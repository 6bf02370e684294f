package assembler_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/assembler"
	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
	"github.com/rosemaryrill/rosemaryrill/loader"
	"github.com/rosemaryrill/rosemaryrill/platform"
)

func TestAllKindsOfRequestsAreServed(t *testing.T) {
	f := newFleet(t, 2)
	for _, d := range f.daemons {
		name := d.callers.String()
		if r := f.callModel(d, "ask", "s"+name); r.status != 200 || r.body != wholeStream("s"+name) || !strings.HasPrefix(r.header.Get("X-Response-Seal"), "seal-engine") {
			t.Errorf("stream: %+v", r)
		}
		if r := f.call(d, http.MethodPost, "/order/a?b=1", "o"+name, "wheel"); r.status != 200 || r.body != "POST /order/a?b=1 wheel" {
			t.Errorf("order: %+v", r)
		}
		if r := f.call(d, http.MethodGet, "/look/a", "l"+name, ""); r.status != 200 || r.body != "GET /look/a " {
			t.Errorf("look-up: %+v", r)
		}
		if r := f.call(d, http.MethodGet, "/none/a", "n"+name, ""); r.status != 404 {
			t.Errorf("unknown route: %+v", r)
		}
		if r := f.call(d, http.MethodGet, "/look/a", "k"+name, "", "Authorization", "Token wrong"); r.status != 401 {
			t.Errorf("unknown key: %+v", r)
		}
	}
	run := runsOf(f.engines, "s"+f.daemons[0].callers.String())[0]
	if run.Account != "account-1" || run.Authorization != "" || run.CacheSalt != "account-1/1" {
		t.Errorf("the engine received %+v", run)
	}
}

func TestConfiguredLimitsAreEnforced(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	if r := f.call(d, http.MethodGet, "/look/a", "h", "", "X-Long", strings.Repeat("x", 17000)); r.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a header over the limit: %+v", r)
	}
	if r := f.call(d, http.MethodPost, "/order/a", "b", strings.Repeat("x", 1<<20+1)); r.status != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit: %d %v", r.status, r.err)
	}
	if r := f.call(d, http.MethodPost, "/order/a", "d", "", "X-Deadline-Ms", "soon"); r.status != http.StatusBadRequest {
		t.Errorf("a malformed header: %+v", r)
	}
	if found := runsOf(f.services, "h"); len(found)+len(runsOf(f.services, "b"))+len(runsOf(f.services, "d")) > 0 {
		t.Error("a refused request ran at a target")
	}
}

// A daemon that cannot listen on one of its ports returns an error that names the port, and closes its
// other ports.
func TestFailedStartLeavesNoPortOpen(t *testing.T) {
	f := newFleet(t, 0)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	settings := f.settings(9)
	settings.Hosted.MetricsListen = netip.MustParseAddrPort(taken.Addr().String())
	if _, err := assembler.New(t.Context(), assembler.Settings{Settings: settings, LogOutput: io.Discard}); err == nil || !strings.Contains(err.Error(), taken.Addr().String()) {
		t.Errorf("start with a port in use: %v", err)
	}
	settings.Hosted.MetricsListen = freePort(t)
	d, err := assembler.New(t.Context(), assembler.Settings{Settings: settings, LogOutput: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Error(err)
	}
}

func TestBrokenStreamResumesOnAnotherEngine(t *testing.T) {
	f := newFleet(t, 1)
	for _, engine := range f.engines[:2] {
		engine.SetFaults(hostingemulator.TargetFaults{CutStreamsAfterEvent: 3})
	}
	brokenStreams := 0
	for i := range 12 {
		id := fmt.Sprint("r", i)
		r := f.callModel(f.daemons[0], "ask", id)
		switch attempts := len(runsOf(f.engines, id)); {
		case attempts == 1 && r.body == wholeStream(id), attempts == 2 && r.body == wholeStream(id) && r.err == nil:
		case r.err != nil && strings.HasPrefix(wholeStream(id), r.body):
			brokenStreams++ // Both attempts broke, so the caller gets an incomplete stream.
		default:
			t.Errorf("%s after %d runs: %q, %v", id, attempts, r.body, r.err)
		}
	}
	if brokenStreams == 12 {
		t.Error("no stream resumed on another engine")
	}
	id := "tell"
	if r := f.callModel(f.daemons[0], "tell", id); len(runsOf(f.engines, id)) != 1 || r.err == nil && r.body != wholeStream(id) {
		t.Errorf("a stream that is not resumable ran %d times: %+v", len(runsOf(f.engines, id)), r)
	}
}

func TestReservedHeadersFromCallersAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.callModel(f.daemons[0], "ask", "forged", "X-Tenant", "account-2", "X-Cache-Salt", "mine", "X-Expect-Replica", "engine-9")
	found := runsOf(f.engines, "forged")
	if len(found) != 1 || found[0].Account != "account-1" || found[0].CacheSalt != "account-1/1" {
		t.Errorf("the engine received %+v", found)
	}
}

func TestConfigurationChangesReachAllDaemons(t *testing.T) {
	f := newFleet(t, 2)
	f.configure([]string{"new"}, "key-3")
	for _, d := range f.daemons {
		f.await("new route", func() bool {
			return f.call(d, http.MethodGet, "/new/a", "n", "", "Authorization", "Token key-3").status == 200
		})
		if r := f.call(d, http.MethodGet, "/look/a", "old", ""); r.status != 401 {
			t.Errorf("a removed key: %+v", r)
		}
	}
	f.store.Compact()
	f.configure([]string{"newer"}, validKey)
	for _, d := range f.daemons {
		f.await("new route after the store was compacted", func() bool { return f.call(d, http.MethodGet, "/newer/a", "n", "").status == 200 })
	}
}

func TestNewWeightsReachAllEngines(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetFaults(hostingemulator.StoreFaults{LoseAnswers: 1})
	f.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	failed := 0
	for i := range 60 {
		id := fmt.Sprint("w", i)
		if r := f.callModel(f.daemons[i%2], "ask", id); r.body != wholeStream(id) {
			failed++
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.await("new weights on all engines", func() bool {
		for _, engine := range f.engines {
			if engine.Version() != 2 {
				return false
			}
		}
		return true
	})
	if failed > 0 {
		t.Errorf("%d of 60 streams failed during the change of weights", failed)
	}
	f.await("request on new weights", func() bool {
		f.callModel(f.daemons[0], "ask", "after")
		found := runsOf(f.engines, "after")
		return len(found) > 0 && found[len(found)-1].Weights == 2 && found[len(found)-1].CacheSalt == "account-1/2"
	})
}

func TestKeysAreRefusedDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	settings := loader.DefaultSettings()
	settings.Hosted.KeyRevocation = 3 * time.Second
	d.Reload(settings)
	f.store.SetFaults(hostingemulator.StoreFaults{Outage: true})
	if r := f.call(d, http.MethodGet, "/look/a", "early", ""); r.status != 200 {
		t.Errorf("at the start of the store outage: %+v", r)
	}
	f.await("refusal of keys during the store outage", func() bool { return f.call(d, http.MethodGet, "/look/a", "late", "").status == 503 })
	if f.getStatus(d.ready, "/readyz") == http.StatusOK {
		t.Error("a daemon that refuses all keys reports ready")
	}
	f.store.SetFaults(hostingemulator.StoreFaults{})
	f.await("accepted key after the store outage", func() bool { return f.call(d, http.MethodGet, "/look/a", "back", "").status == 200 })
}

func TestDrainingTargetGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 1)
	f.services[0].Drain()
	time.Sleep(200 * time.Millisecond)
	before := len(f.services[0].Runs())
	for i := range 20 {
		if r := f.call(f.daemons[0], http.MethodPost, "/order/a", fmt.Sprint("o", i), ""); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
	if after := len(f.services[0].Runs()); after != before {
		t.Errorf("a draining target got %d requests", after-before)
	}
}

// Requests that are open when Shutdown is called complete with their whole response. Later ones are
// refused, so that callers can send them to another daemon.
func TestShutdownCompletesOpenRequests(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	var callers sync.WaitGroup
	var mu sync.Mutex
	var incomplete []string
	stopped := make(chan struct{})
	for caller := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", caller, i)
				r := f.callModel(d, "ask", id)
				if r.status == 200 && (r.body != wholeStream(id) || r.err != nil) || errors.Is(r.err, io.ErrUnexpectedEOF) {
					mu.Lock()
					incomplete = append(incomplete, fmt.Sprintf("%s: %q %v", id, r.body, r.err))
					mu.Unlock()
				}
				if r.err != nil {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	if err := d.Shutdown(); err != nil {
		t.Error(err)
	}
	close(stopped)
	callers.Wait()
	if len(incomplete) > 0 {
		t.Errorf("%d responses were incomplete: %s", len(incomplete), incomplete[0])
	}
}

// A daemon reports ready only after it has read the targets, even if the store returns them late.
func TestDaemonIsReadyOnlyAfterReadingTargets(t *testing.T) {
	f := newFleet(t, 0)
	f.store.SetFaults(hostingemulator.StoreFaults{Delay: 500 * time.Millisecond, DelayedPrefix: platform.TargetsPrefix})
	d := f.start(0)
	if r := f.call(d, http.MethodGet, "/look/a", "early", ""); r.status != http.StatusOK {
		t.Errorf("request to a ready daemon: %+v", r)
	}
}

func TestMetricsAndLogsRecordRequests(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	if r := f.call(d, http.MethodGet, "/look/a", "told", ""); r.status != http.StatusOK {
		t.Errorf("look-up: %+v", r)
	}
	f.call(d, http.MethodGet, "/none/a", "denied", "")
	response, err := f.client.Get("http://" + d.metrics.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`rill_requests_total{kind="idempotent"`, `result="no_route"`, "rill_contact_age_ms", "rill_log_lines_dropped"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
	f.await("log lines of both requests", func() bool {
		log := d.log.String()
		return strings.Contains(log, `"id":"told","result":"answered"`) && strings.Contains(log, `"id":"denied","result":"no_route"`)
	})
}
