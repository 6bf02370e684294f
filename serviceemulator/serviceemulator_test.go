package serviceemulator_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
)

var address = netip.MustParseAddrPort("10.0.0.1:9000")

// fixture is a service on an emulated network within a synctest bubble.
type fixture struct {
	t       *testing.T
	service *serviceemulator.Service
	network *engineemulator.Network
}

// runWithService runs a test against a service on an emulated network in virtual time.
func runWithService(t *testing.T, settings serviceemulator.Settings, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, service: serviceemulator.New(settings), network: engineemulator.NewNetwork(nil)}
		f.network.Add(address, f.service)
		test(f)
		_ = f.service.Close()
		_ = f.network.Close()
	})
}

func (f *fixture) do(method, path, body, key string) (status int, answer string, err error) {
	request, err := http.NewRequestWithContext(f.t.Context(), method, "http://"+address.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Rill-Account", "a")
	request.Header.Set("Idempotency-Key", key)
	response, err := f.network.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if response.Header.Get("Rill-Not-Run") == "true" {
		return response.StatusCode, "not run", err
	}
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

func (f *fixture) place(key string) (status int, answer string, err error) {
	return f.do(http.MethodPost, "/place", `{"item":"wheel"}`, key)
}

// expect checks the status and the body of a response, separated by a blank.
func (f *fixture) expect(what, want string, status int, answer string, err error) {
	f.t.Helper()
	if got := fmt.Sprint(status, " ", answer); err != nil || got != want {
		f.t.Errorf("%s: got %q, %v, want %q", what, got, err, want)
	}
}

func (f *fixture) expectLookup(what, key, want string) {
	f.t.Helper()
	status, answer, err := f.do(http.MethodGet, "/lookup?account=a&key="+key, "", "")
	f.expect(what, want, status, answer, err)
}

func TestEachRunOfRepeatedKeyIsCounted(t *testing.T) {
	runWithService(t, serviceemulator.Settings{}, func(f *fixture) {
		for i := range 2 {
			status, answer, err := f.place("k1")
			f.expect("order", fmt.Sprintf(`200 {"order":%d,"item":"wheel"}`, i+1), status, answer, err)
		}
		if runs := f.service.Runs()["a/k1"]; runs != 2 {
			t.Errorf("%d runs", runs)
		}
		status, answer, err := f.do(http.MethodGet, "/stock", "", "")
		f.expect("stock", `200 {"items":{"wheel":98},"orders":2}`, status, answer, err)
	})
}

func TestLookupReportsOutcomeAndRefusesUnknownKey(t *testing.T) {
	settings := serviceemulator.Settings{Delay: time.Second}
	runWithService(t, settings, func(f *fixture) {
		f.service.SetFaults(serviceemulator.Faults{LoseAnswers: 1})
		var wait sync.WaitGroup
		wait.Go(func() {
			if _, _, err := f.place("k1"); err == nil {
				t.Error("the answer was not lost")
			}
		})
		time.Sleep(100 * time.Millisecond)
		f.expectLookup("while it runs", "k1", `409 {"error":"running"}`)
		wait.Wait()
		f.expectLookup("after the lost answer", "k1", `200 {"status":200,"body":"{\"order\":1,\"item\":\"wheel\"}"}`)
		f.expectLookup("unknown key", "k2", `404 {"error":"not_run"}`)
		status, answer, err := f.place("k2")
		f.expect("key that was reported as not run", "503 not run", status, answer, err)
		if runs := f.service.Runs()["a/k2"]; runs != 0 {
			t.Errorf("%d runs of a refused key", runs)
		}
	})
}

// TestCrashBeforeAndAfterOrderRuns crashes the service shortly before and shortly after the
// order takes effect, which is halfway through its duration.
func TestCrashBeforeAndAfterOrderRuns(t *testing.T) {
	for after, want := range map[time.Duration]int{400 * time.Millisecond: 0, 600 * time.Millisecond: 1} {
		runWithService(t, serviceemulator.Settings{Delay: time.Second, RestartAfter: time.Second}, func(f *fixture) {
			before := f.service.Incarnation()
			time.AfterFunc(after, f.service.Crash)
			if _, _, err := f.place("k1"); err == nil {
				t.Error("an order was answered despite a crash")
			}
			if _, _, err := f.place("k3"); err == nil {
				t.Error("a crashed service answered")
			}
			time.Sleep(2 * time.Second)
			if runs := f.service.Runs()["a/k1"]; runs != want || f.service.Incarnation() <= before {
				t.Errorf("crash after %s: %d runs, incarnation %q after %q", after, runs, f.service.Incarnation(), before)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	runWithService(t, serviceemulator.Settings{}, func(f *fixture) {
		_, _, _ = f.do(http.MethodPost, "/admin/faults", `{"not_run_answers":1}`, "")
		status, answer, err := f.place("k1")
		f.expect("refused", "503 not run", status, answer, err)
		_, _, _ = f.do(http.MethodPost, "/admin/faults", `{"leaving":true}`, "")
		status, answer, err = f.place("k1")
		f.expect("leaving", "503 not run", status, answer, err)
		status, answer, err = f.do(http.MethodGet, "/load", "", "")
		if err != nil || status != http.StatusOK || !strings.Contains(answer, `"leaving":true`) {
			t.Errorf("load: %d %s, %v", status, answer, err)
		}
		status, answer, err = f.do(http.MethodGet, "/admin/runs", "", "")
		f.expect("runs", `200 {"keys":{}}`, status, answer, err)
	})
}

func TestFreezeAndCrashText(t *testing.T) {
	runWithService(t, serviceemulator.Settings{}, func(f *fixture) {
		_, _, _ = f.do(http.MethodPost, "/admin/faults", `{"freeze":true,"crash_text":"poison"}`, "")
		time.AfterFunc(time.Minute, func() { _, _, _ = f.do(http.MethodPost, "/admin/faults", `{"freeze":false}`, "") })
		started := time.Now()
		status, answer, err := f.place("k1")
		f.expect("after the freeze", `200 {"order":1,"item":"wheel"}`, status, answer, err)
		if waited := time.Since(started); waited < time.Minute {
			t.Errorf("a frozen service answered after %s", waited)
		}
		if _, _, err := f.do(http.MethodPost, "/place", `{"item":"poison"}`, "k2"); err == nil {
			t.Error("the body did not crash the service")
		}
	})
}
