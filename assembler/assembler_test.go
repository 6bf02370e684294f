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
		if r := f.ask(d, "ask", "s"+name); r.status != 200 || r.body != whole("s"+name) || !strings.HasPrefix(r.header.Get("X-Response-Seal"), "seal-engine") {
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
	run := runs(f.engines, "s"+f.daemons[0].callers.String())[0]
	if run.Account != "account-1" || run.Key != "" || run.Salt != "account-1/1" {
		t.Errorf("the engine saw %+v", run)
	}
}

func TestLimitsOfTheConfigurationHold(t *testing.T) {
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
	if found := runs(f.services, "h"); len(found)+len(runs(f.services, "b"))+len(runs(f.services, "d")) > 0 {
		t.Error("a request that was refused ran")
	}
}

// A daemon that cannot have one of its ports leaves the others free, and says which one it was.
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
		t.Errorf("a taken port: %v", err)
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

func TestStreamThatBreaksGoesOnElsewhere(t *testing.T) {
	f := newFleet(t, 1)
	for _, engine := range f.engines[:2] {
		engine.SetFaults(hostingemulator.TargetFaults{CutAfter: 3})
	}
	broke := 0
	for i := range 12 {
		id := fmt.Sprint("r", i)
		r := f.ask(f.daemons[0], "ask", id)
		switch attempts := len(runs(f.engines, id)); {
		case attempts == 1 && r.body == whole(id), attempts == 2 && r.body == whole(id) && r.err == nil:
		case r.err != nil && strings.HasPrefix(whole(id), r.body):
			broke++ // Both targets broke, and the caller sees it.
		default:
			t.Errorf("%s after %d runs: %q, %v", id, attempts, r.body, r.err)
		}
	}
	if broke == 12 {
		t.Error("no stream went on at another engine")
	}
	id := "tell"
	if r := f.ask(f.daemons[0], "tell", id); len(runs(f.engines, id)) != 1 || r.err == nil && r.body != whole(id) {
		t.Errorf("a stream that may not go on ran %d times: %+v", len(runs(f.engines, id)), r)
	}
}

func TestHeadersThatAreTheDaemonsAreNotTakenFromCallers(t *testing.T) {
	f := newFleet(t, 1)
	f.ask(f.daemons[0], "ask", "forged", "X-Tenant", "account-2", "X-Cache-Salt", "mine", "X-Expect-Replica", "engine-9")
	found := runs(f.engines, "forged")
	if len(found) != 1 || found[0].Account != "account-1" || found[0].Salt != "account-1/1" {
		t.Errorf("the engine saw %+v", found)
	}
}

func TestChangesOfTheConfigurationAreInForceEverywhere(t *testing.T) {
	f := newFleet(t, 2)
	f.configure([]string{"new"}, "key-3")
	for _, d := range f.daemons {
		f.await("new route", func() bool {
			return f.call(d, http.MethodGet, "/new/a", "n", "", "Authorization", "Token key-3").status == 200
		})
		if r := f.call(d, http.MethodGet, "/look/a", "old", ""); r.status != 401 {
			t.Errorf("a key that was taken away: %+v", r)
		}
	}
	f.store.Compact()
	f.configure([]string{"newer"}, goodKey)
	for _, d := range f.daemons {
		f.await("route after the loss of history", func() bool { return f.call(d, http.MethodGet, "/newer/a", "n", "").status == 200 })
	}
}

func TestNewWeightsReachAllEngines(t *testing.T) {
	f := newFleet(t, 2)
	f.store.SetFaults(hostingemulator.StoreFaults{LoseWrites: 1})
	f.store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	lost := 0
	for i := range 60 {
		id := fmt.Sprint("w", i)
		if r := f.ask(f.daemons[i%2], "ask", id); r.body != whole(id) {
			lost++
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.await("new weights everywhere", func() bool {
		for _, engine := range f.engines {
			if engine.Version() != 2 {
				return false
			}
		}
		return true
	})
	if lost > 0 {
		t.Errorf("%d of 60 streams were not served beside the change", lost)
	}
	f.await("request on new weights", func() bool {
		f.ask(f.daemons[0], "ask", "after")
		found := runs(f.engines, "after")
		return len(found) > 0 && found[len(found)-1].Weights == 2 && found[len(found)-1].Salt == "account-1/2"
	})
}

func TestKeysNeedContactAndTheRestGoesOn(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	settings := loader.DefaultSettings()
	settings.Hosted.KeyRevocation = 3 * time.Second
	d.Reload(settings)
	f.store.SetFaults(hostingemulator.StoreFaults{Down: true})
	if r := f.call(d, http.MethodGet, "/look/a", "early", ""); r.status != 200 {
		t.Errorf("right after the loss of the store: %+v", r)
	}
	f.await("refusal without proof", func() bool { return f.call(d, http.MethodGet, "/look/a", "late", "").status == 503 })
	if f.get(d.ready, "/readyz") == http.StatusOK {
		t.Error("a daemon that refuses all keys says that it is ready")
	}
	f.store.SetFaults(hostingemulator.StoreFaults{})
	f.await("service after the return of the store", func() bool { return f.call(d, http.MethodGet, "/look/a", "back", "").status == 200 })
}

func TestLeavingTargetGetsNothingNew(t *testing.T) {
	f := newFleet(t, 1)
	f.services[0].Leave()
	time.Sleep(200 * time.Millisecond)
	before := len(f.services[0].Runs())
	for i := range 20 {
		if r := f.call(f.daemons[0], http.MethodPost, "/order/a", fmt.Sprint("o", i), ""); r.status != 200 {
			t.Errorf("%+v", r)
		}
	}
	if after := len(f.services[0].Runs()); after != before {
		t.Errorf("a leaving target got %d orders", after-before)
	}
}

// Open requests end whole while the daemon stops, and later ones are sent elsewhere.
func TestStopCutsNoRequest(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	var callers sync.WaitGroup
	var mu sync.Mutex
	var cut []string
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
				r := f.ask(d, "ask", id)
				if r.status == 200 && (r.body != whole(id) || r.err != nil) || errors.Is(r.err, io.ErrUnexpectedEOF) {
					mu.Lock()
					cut = append(cut, fmt.Sprintf("%s: %q %v", id, r.body, r.err))
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
	if len(cut) > 0 {
		t.Errorf("%d requests were cut: %s", len(cut), cut[0])
	}
}

// A daemon that takes callers knows the targets, however late the store tells them.
func TestReadyDaemonKnowsTheTargets(t *testing.T) {
	f := newFleet(t, 0)
	f.store.SetFaults(hostingemulator.StoreFaults{Delay: 500 * time.Millisecond, Delayed: platform.TargetsPrefix})
	d := f.start(0)
	if r := f.call(d, http.MethodGet, "/look/a", "early", ""); r.status != http.StatusOK {
		t.Errorf("a daemon that says it is ready: %+v", r)
	}
}

func TestMetricsAndLogsTellARequest(t *testing.T) {
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
	f.await("lines of both requests", func() bool {
		log := d.log.String()
		return strings.Contains(log, `"id":"told","result":"answered"`) && strings.Contains(log, `"id":"denied","result":"no_route"`)
	})
}
