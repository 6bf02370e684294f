package presenter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/presenter"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

const (
	daemonCount     = 3
	operatorCount   = 9
	lostAnswerCount = 6
	readyTimeout    = 20 * time.Second
)

// standalone implements configurator.Peers and configurator.WatchRole for a daemon without peers, which watches the
// platform itself.
type standalone struct{}

func (standalone) HighestRevision(context.Context) (registrar.Revision, int, error) { return 0, 0, nil }
func (standalone) Watches() bool                                                    { return true }

// startConfigurator starts a real configurator and serves the operators' port of its daemon.
func startConfigurator(t *testing.T, platform *platformemulator.Platform, name string) (instance *configurator.Configurator, address string) {
	t.Helper()
	instance, err := configurator.New(configurator.Settings{
		Daemon: name, Store: platform.Connection(name), Peers: standalone{}, WatchRole: standalone{}, Validate: registrar.Validate,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = instance.Close() })
	fakes := &fakeDaemon{}
	settings := operator.Settings{Daemon: name, Configuration: instance, Fleet: fakes, Targets: fakes, Record: fakes}
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(settings).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return instance, server.Listener.Addr().String()
}

// changesSharedObject reports whether the operator with the index changes the shared selector.
func changesSharedObject(i int) bool { return i%2 == 0 }

// applyResult is the exit code and output of one operator's rillctl apply.
type applyResult struct {
	code     int
	base     registrar.Revision
	revision registrar.Revision
	errOut   string
}

func applyConcurrently(t *testing.T, i int, addresses []string) applyResult {
	sharedObject := ""
	if changesSharedObject(i) {
		sharedObject = fmt.Sprintf(`"selectors": [{"name": "all", "effect": "allow", "priority": %d}]`, i+1)
	}
	file := writeFile(t, fmt.Sprintf(`{"versions": [{"name": "v%d", "model": "m", "weights": "w"}], %s}`, i, sharedObject))
	code, out, errOut := runCommand("apply", "--json", "--daemon", addresses[i%len(addresses)], file)
	var result struct {
		Base     registrar.Revision `json:"base"`
		Revision registrar.Revision `json:"revision"`
	}
	if code == presenter.CodeOK {
		if err := json.Unmarshal([]byte(out), &result); err != nil {
			t.Errorf("operator %d: %v", i, err)
		}
	}
	return applyResult{code: code, base: result.Base, revision: result.Revision, errOut: errOut}
}

// TestConcurrentApplies runs rillctl apply concurrently through several daemons while the platform
// loses answers to writes that took effect. Each operator adds a version, and operators with an
// even index also change a selector that they share. A change must be in force completely if
// rillctl reported success, and not at all if it reported a conflict. No change of the selector may
// overwrite another one that is newer than its base.
func TestConcurrentApplies(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	var addresses []string
	var configurators []*configurator.Configurator
	for i := range daemonCount {
		c, address := startConfigurator(t, platform, fmt.Sprint("daemon-", i))
		configurators = append(configurators, c)
		addresses = append(addresses, address)
	}
	awaitReady(configurators)
	if code, _, errOut := runCommand("apply", "--daemon", addresses[0], writeFile(t, fleetFile)); code != presenter.CodeOK {
		t.Fatalf("first configuration: %d, %s", code, errOut)
	}
	checkInvalidFileIsNotApplied(t, configurators[0], addresses[0])
	platform.SetFaults(platformemulator.Faults{LoseAnswers: lostAnswerCount})
	results := make([]applyResult, operatorCount)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() { results[i] = applyConcurrently(t, i, addresses) })
	}
	group.Wait()
	last := latestSnapshot(configurators)
	checkResults(t, results, last)
	if left := platform.Faults().LoseAnswers; left == lostAnswerCount {
		t.Fatal("no answer was lost")
	}
	t.Logf("%d of %d lost answers used, outcomes %+v", lostAnswerCount-platform.Faults().LoseAnswers, lostAnswerCount, results)
}

func awaitReady(configurators []*configurator.Configurator) {
	deadline := time.Now().Add(readyTimeout)
	for _, c := range configurators {
		for !c.Ready() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
	}
}

func latestSnapshot(configurators []*configurator.Configurator) *registrar.Snapshot {
	last := configurators[0].Current()
	for _, c := range configurators {
		if c.Current().Revision() > last.Revision() {
			last = c.Current()
		}
	}
	return last
}

func checkResults(t *testing.T, results []applyResult, last *registrar.Snapshot) {
	t.Helper()
	candidates := 0
	lastWriter, lastRevision := 0, registrar.Revision(0)
	for i, o := range results {
		_, inForce := last.Version(fmt.Sprint("v", i))
		switch o.code {
		case presenter.CodeOK:
			if !inForce {
				t.Errorf("operator %d got revision %d, but its version is not in force", i, o.revision)
			}
			if changesSharedObject(i) && o.revision > lastRevision {
				candidates++
				lastWriter, lastRevision = i, o.revision
			}
		case presenter.CodeConflict:
			if inForce || !changesSharedObject(i) {
				t.Errorf("operator %d got a conflict, but its version is in force or it did not change the shared object", i)
			}
		default:
			t.Errorf("operator %d: code %d, %s", i, o.code, o.errOut)
		}
	}
	checkNoLostUpdate(t, results)
	selector := last.Objects().Selectors[0]
	if candidates == 0 || selector.Priority != lastWriter+1 {
		t.Errorf("%d candidates for the last writer, the last is operator %d, but the selector has priority %d", candidates, lastWriter, selector.Priority)
	}
}

// checkNoLostUpdate fails if a change of the shared object was made from a base older than the
// previous change of that object.
func checkNoLostUpdate(t *testing.T, results []applyResult) {
	t.Helper()
	for i, mine := range results {
		for j, other := range results {
			if !changesSharedObject(i) || !changesSharedObject(j) || mine.code != presenter.CodeOK || other.code != presenter.CodeOK {
				continue
			}
			if other.revision > mine.base && other.revision < mine.revision {
				t.Errorf("operator %d overwrote revision %d of operator %d from base %d", i, other.revision, j, mine.base)
			}
		}
	}
}

// checkInvalidFileIsNotApplied applies a file with one valid and one invalid object, and checks
// that neither comes into force.
func checkInvalidFileIsNotApplied(t *testing.T, configuration *configurator.Configurator, address string) {
	t.Helper()
	before := configuration.Current().Revision()
	file := `{"versions": [{"name": "good", "model": "m", "weights": "w"}, {"name": "bad", "model": "gone", "weights": "w"}]}`
	if code, _, _ := runCommand("apply", "--daemon", address, writeFile(t, file)); code != presenter.CodeInvalid {
		t.Errorf("got code %d", code)
	}
	if _, inForce := configuration.Current().Version("good"); inForce || configuration.Current().Revision() != before {
		t.Error("a part of the file was applied")
	}
}
