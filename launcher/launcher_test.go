package launcher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/checker"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/launcher"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// fastEngine returns engine settings with a prefill fast enough not to slow the tests down.
func fastEngine() engineemulator.Settings {
	return engineemulator.Settings{PrefillTokensPerSecond: 2e6, DecodeStep: time.Millisecond, CacheBlocks: 64}
}

// lockedBuffer collects the log of a fleet from concurrent writers.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// secretTexts are keys and parts of prompts that the tests send and that must not be logged.
var secretTexts = []string{launcher.DemoKey, launcher.OtherKey, "handbook", "spec book", "poison", "innocent "}

func start(t *testing.T) *launcher.Fleet {
	t.Helper()
	return startWith(t, launcher.Settings{})
}

func startWith(t *testing.T, settings launcher.Settings) *launcher.Fleet {
	t.Helper()
	output := &lockedBuffer{}
	settings.Engine = fastEngine()
	settings.LogOutput = output
	settings.DebugComponents = []string{"all"}
	fleet, err := launcher.Start(t.Context(), settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Log(err)
		}
		for _, secret := range secretTexts {
			if strings.Contains(output.String(), secret) {
				t.Errorf("%q appears in the logs", secret)
			}
		}
		if t.Failed() {
			t.Log(output.String())
		}
	})
	return fleet
}

func caller(fleet *launcher.Fleet, i int) *checker.Checker {
	return checker.New(checker.Settings{URL: fleet.URLs()[i], Key: launcher.DemoKey, Model: launcher.DemoModel})
}

func TestBatchIsAnsweredCompletely(t *testing.T) {
	fleet := start(t)
	counts := fleet.RunBatch(t.Context())
	if !counts.AnswersCorrect() || counts.Refused > 0 || counts.Complete != counts.Requests {
		t.Errorf("counts %+v", counts)
	}
}

// hitRate sends calls with 12 shared prefixes and returns the fraction of prompt tokens that the
// engines found in their caches.
func hitRate(t *testing.T, c *checker.Checker, calls int) float64 {
	t.Helper()
	prompt, cached := 0, 0
	for i := range calls {
		prefix := strings.Repeat(fmt.Sprintf("spec book %02d ", i%12), 2000)
		result := c.Stream(t.Context(), prefix+fmt.Sprint("question ", i), 4)
		if result.Verdict != checker.Complete {
			t.Fatalf("call %d: %+v", i, result)
		}
		prompt += result.PromptTokens
		cached += result.CachedTokens
	}
	return float64(cached) / float64(prompt)
}

// TestRestartKeepsTheHitRate restarts a daemon. The hit rate of its first 100 calls may be at most
// 5 percentage points below that of the 100 calls before the restart.
func TestRestartKeepsTheHitRate(t *testing.T) {
	fleet := start(t)
	hitRate(t, caller(fleet, 1), 48)
	before := hitRate(t, caller(fleet, 1), 100)
	if err := fleet.Restart(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	after := hitRate(t, caller(fleet, 1), 100)
	t.Logf("hit rate %.3f before, %.3f after the restart", before, after)
	if after < before-0.05 {
		t.Errorf("hit rate %.3f before, %.3f after", before, after)
	}
}

// denyDemoAccount returns a change that denies the demo account all targets.
func denyDemoAccount() registrar.Change {
	return registrar.Change{Set: registrar.Objects{Selectors: []registrar.Selector{{
		Name: "nobody", Priority: 9, Effect: registrar.EffectDeny,
		Match: []registrar.Requirement{{Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorEquals, Values: []string{"gold"}}},
	}}}}
}

// TestChangeSurvivesOutageAndRestarts makes the platform unavailable right after a change was
// accepted, and restarts every daemon in turn. The change has to stay in force at each daemon.
func TestChangeSurvivesOutageAndRestarts(t *testing.T) {
	fleet := start(t)
	revision, err := fleet.Daemons[0].Commit(t.Context(), fleet.Daemons[0].Current().Revision(), denyDemoAccount())
	if err != nil {
		t.Fatal(err)
	}
	fleet.Platform.SetFaults(platformemulator.Faults{Outage: true})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range fleet.Daemons {
		awaitDenied(ctx, t, fleet, i)
	}
	for i := range fleet.Daemons {
		if err := fleet.Restart(t.Context(), i); err != nil {
			t.Fatal(err)
		}
		if got := fleet.Daemons[i].Current().Revision(); got < revision {
			t.Errorf("daemon %d has revision %d after its restart, want %d", i, got, revision)
		}
		awaitDenied(ctx, t, fleet, i)
	}
	refused := caller(fleet, 0).PlaceOrder(ctx, "/services/orders/place", "key", []byte("{}"))
	if refused.Verdict != checker.Refused || refused.Run != "not_run" {
		t.Errorf("order during the outage: %+v", refused)
	}
}

func awaitDenied(ctx context.Context, t *testing.T, fleet *launcher.Fleet, i int) {
	t.Helper()
	for {
		result := caller(fleet, i).Plain(ctx, "hello", 2)
		if result.Code == "forbidden" {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("daemon %d does not deny the account: %+v", i, result)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCrashingCallCrashesAtMostTwoTargets repeatedly sends a call that crashes its engine through
// all daemons, interleaved with harmless calls. At most two engines may crash before the call is
// quarantined, and every harmless call has to be answered.
func TestCrashingCallCrashesAtMostTwoTargets(t *testing.T) {
	fleet := start(t)
	for _, engine := range fleet.Engines {
		engine.SetFaults(engineemulator.Faults{CrashText: "poison"})
	}
	before := incarnations(fleet)
	for round := range 4 {
		for i := range fleet.Daemons {
			result := caller(fleet, i).Plain(t.Context(), "poison", 4)
			if result.Verdict == checker.Complete {
				t.Fatalf("the crashing call was answered: %+v", result)
			}
			harmless := caller(fleet, i).Plain(t.Context(), fmt.Sprint("innocent ", round, i), 4)
			if harmless.Verdict != checker.Complete {
				t.Errorf("harmless call: %+v", harmless)
			}
		}
	}
	time.Sleep(2 * time.Second)
	crashes := 0
	for i, after := range incarnations(fleet) {
		if after != before[i] {
			crashes++
		}
	}
	last := caller(fleet, 0).Plain(t.Context(), "poison", 4)
	if crashes > 2 || last.Code != "quarantined" {
		t.Errorf("%d engines crashed, want at most 2; the last answer is %+v, want quarantined", crashes, last)
	}
}

func incarnations(fleet *launcher.Fleet) []string {
	var names []string
	for _, engine := range fleet.Engines {
		names = append(names, engine.Incarnation())
	}
	return names
}

// TestNewVersionRollsOutUnderLoad changes the default version of a model. All engines have to load
// it, and every call during the rollout has to be answered completely.
func TestNewVersionRollsOutUnderLoad(t *testing.T) {
	fleet := start(t)
	model := registrar.Model{Name: launcher.DemoModel, DefaultVersion: "demo-v2", BlockTokens: 2048, MaxContextTokens: 131072}
	version := registrar.Version{Name: "demo-v2", Model: launcher.DemoModel, Weights: "demo-weights-2"}
	change := registrar.Change{Set: registrar.Objects{Models: []registrar.Model{model}, Versions: []registrar.Version{version}}}
	if _, err := fleet.Daemons[0].Commit(t.Context(), fleet.Daemons[0].Current().Revision(), change); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(30 * time.Second)
	for calls := 0; !rolledOut(fleet); calls++ {
		if time.Now().After(deadline) {
			t.Fatal("the version was not rolled out in time")
		}
		result := caller(fleet, calls%3).Stream(t.Context(), fmt.Sprint("call ", calls), 20)
		if result.Verdict != checker.Complete {
			t.Errorf("call %d: %+v", calls, result)
		}
	}
}

func rolledOut(fleet *launcher.Fleet) bool {
	for _, engine := range fleet.Engines {
		if !slices.Contains(engine.Weights(), "demo-weights-2") {
			return false
		}
	}
	return true
}

// leavingTimeout is how long a leaving target may still get new requests.
const leavingTimeout = 3 * time.Second

// TestLeavingTargetsGetNoNewWork marks three of four engines as leaving: one by its own load
// report, one by the host list, one by the operators' drain label. New requests have to go to the
// fourth only.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	fleet := startWith(t, launcher.Settings{Engines: 4})
	calls := 0
	send := func(count int) {
		for range count {
			calls++
			result := caller(fleet, calls%3).Stream(t.Context(), fmt.Sprint("call ", calls), 4)
			if result.Verdict != checker.Complete {
				t.Errorf("call %d: %+v", calls, result)
			}
		}
	}
	send(40)
	for i, engine := range fleet.Engines {
		if len(engine.Runs()) == 0 {
			t.Fatalf("engine %d got no requests before it left", i+1)
		}
	}
	fleet.Engines[0].SetLeaving(true)
	host := storer.Host{Name: "host-2", Address: fleet.Engines[1].Address().Addr(), DataCentre: "local", State: storer.HostLeaving}
	fleet.Platform.SetHosts([]storer.Host{host})
	drain(t, fleet, "engine-3")
	for deadline := time.Now().Add(leavingTimeout); time.Now().Before(deadline); {
		send(1)
	}
	before := runs(fleet)
	send(60)
	after := runs(fleet)
	if after[3]-before[3] != 60 {
		t.Errorf("runs per engine before %v and after %v, want all new runs at the last engine", before, after)
	}
}

func drain(t *testing.T, fleet *launcher.Fleet, name string) {
	t.Helper()
	declared, _ := fleet.Daemons[0].Current().Target(name)
	drained := *declared
	drained.Labels = registrar.Labels{registrar.LabelDrain: "true"}
	change := registrar.Change{Set: registrar.Objects{Targets: []registrar.Target{drained}}}
	if _, err := fleet.Daemons[0].Commit(t.Context(), fleet.Daemons[0].Current().Revision(), change); err != nil {
		t.Fatal(err)
	}
}

func runs(fleet *launcher.Fleet) (counts []int) {
	for _, engine := range fleet.Engines {
		counts = append(counts, len(engine.Runs()))
	}
	return counts
}

// TestSelectorLimitsRefuseExcessCalls sets a request limit on one selector. Model calls and
// service calls beyond the limit are refused as not run; calls that another selector allows are
// answered.
func TestSelectorLimitsRefuseExcessCalls(t *testing.T) {
	fleet := start(t)
	limited := registrar.Selector{
		Name: "few", Priority: 3, Effect: registrar.EffectAllow,
		Match:  []registrar.Requirement{{Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorEquals, Values: []string{"gold"}}},
		Limits: registrar.Limits{RequestsPerSecond: 1},
	}
	change := registrar.Change{Set: registrar.Objects{Selectors: []registrar.Selector{limited}}}
	revision, err := fleet.Daemons[0].Commit(t.Context(), fleet.Daemons[0].Current().Revision(), change)
	if err != nil {
		t.Fatal(err)
	}
	for fleet.Daemons[1].Current().Revision() < revision {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	models, services := 0, 0
	for i := range 20 {
		result := caller(fleet, 1).Plain(t.Context(), fmt.Sprint("call ", i), 2)
		models += refusedByLimit(t, result)
		services += refusedByLimit(t, caller(fleet, 1).Get(t.Context(), "/services/orders/stock"))
	}
	other := checker.New(checker.Settings{URL: fleet.URLs()[1], Key: launcher.OtherKey, Model: launcher.DemoModel})
	if result := other.Plain(t.Context(), "hello", 2); result.Verdict != checker.Complete {
		t.Errorf("call allowed by another selector: %+v", result)
	}
	if models < 10 || services < 10 {
		t.Errorf("%d of 20 model calls and %d of 20 service calls were refused, want most", models, services)
	}
}

func refusedByLimit(t *testing.T, result checker.Result) int {
	t.Helper()
	if result.Verdict == checker.Complete {
		return 0
	}
	if result.Code != "limit_reached" || result.Run != "not_run" {
		t.Errorf("refused with %+v", result)
	}
	return 1
}

// TestTracesHaveASpanForEachHop checks that the traces of orders and streams contain a span of
// each component on the request path.
func TestTracesHaveASpanForEachHop(t *testing.T) {
	var mu sync.Mutex
	var collected []byte
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		collected = append(collected, body...)
	}))
	defer collector.Close()
	fleet, err := launcher.Start(t.Context(), launcher.Settings{Engine: fastEngine(), TraceEndpoint: collector.URL + "/v1/traces"})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		caller(fleet, i).Stream(t.Context(), fmt.Sprint("a prompt that nobody has seen ", i), 4)
		caller(fleet, i).PlaceOrder(t.Context(), "/services/orders/place", fmt.Sprint("key-", i), []byte("{}"))
	}
	if err := fleet.Close(); err != nil {
		t.Error(err)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, hop := range []string{"caller", "queue", "route", "target attempt", "ledger", "platform", "peer"} {
		if !bytes.Contains(collected, []byte(hop)) {
			t.Errorf("no span %q was collected", hop)
		}
	}
}
