package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/seeder"
	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// serviceFault is a fault that is injected into the service at a given time.
type serviceFault struct {
	kind   string
	at     time.Duration
	length time.Duration
}

// plannedCall is a call that is sent once, after the delay in the field at.
type plannedCall struct {
	at      time.Duration
	timeout time.Duration
}

func milliseconds(rt *rapid.T, name string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Millisecond
}

func drawFaultsAndCalls(rt *rapid.T) (faults []serviceFault, calls []plannedCall) {
	kinds := []string{"crash", "freeze", "lose answers", "refuse", "leave"}
	for range rapid.IntRange(1, 4).Draw(rt, "faults") {
		faults = append(faults, serviceFault{
			kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			at:     milliseconds(rt, "at", 0, 200),
			length: milliseconds(rt, "length", 1, 200),
		})
	}
	for range rapid.IntRange(1, 8).Draw(rt, "orders") {
		calls = append(calls, plannedCall{
			at: milliseconds(rt, "arrival", 0, 300), timeout: milliseconds(rt, "timeout", 0, 300),
		})
	}
	return faults, calls
}

func (f serviceFault) inject(service *serviceemulator.Service) {
	time.Sleep(f.at)
	switch f.kind {
	case "crash":
		service.Crash()
		time.Sleep(f.length)
		_ = service.Restart()
		return
	case "freeze":
		service.SetFaults(serviceemulator.Faults{Freeze: true})
	case "lose answers":
		service.SetFaults(serviceemulator.Faults{LoseAnswers: 2})
	case "refuse":
		service.SetFaults(serviceemulator.Faults{NotRunAnswers: 2})
	case "leave":
		service.SetFaults(serviceemulator.Faults{Leaving: true})
	}
	time.Sleep(f.length)
	service.SetFaults(serviceemulator.Faults{})
}

// outcomeCounts counts the calls by the outcome that the client reported.
type outcomeCounts struct {
	notSent, refused, broken, answered, lookedUp atomic.Int64
}

// check compares the outcome that the client reported for a call with how often the service ran
// it. It returns a description of the violation, or "".
func (c *outcomeCounts) check(service *serviceemulator.Service, key string, err error) string {
	var notSent *forwarder.NotSentError
	var refused *forwarder.RefusedError
	var broken *forwarder.BrokenError
	runs := service.Runs()["a/"+key]
	switch {
	case err == nil:
		c.answered.Add(1)
		if runs != 1 {
			return fmt.Sprintf("%s succeeded and ran %d times", key, runs)
		}
	case errors.As(err, &notSent), errors.As(err, &refused):
		if errors.As(err, &notSent) {
			c.notSent.Add(1)
		} else {
			c.refused.Add(1)
		}
		if runs != 0 {
			return fmt.Sprintf("%s was reported as not run and ran %d times: %v", key, runs, err)
		}
	case errors.As(err, &broken):
		c.broken.Add(1)
		if runs > 1 {
			return fmt.Sprintf("%s ran %d times", key, runs)
		}
	default:
		return fmt.Sprintf("%s failed with an untyped error: %v", key, err)
	}
	return ""
}

func placeCall(key string) forwarder.ServiceCall {
	return forwarder.ServiceCall{
		RequestID: key, Account: "a", Method: http.MethodPost, Path: "/place", Key: key, Body: []byte(`{"item":"wheel"}`),
	}
}

// TestReportedOutcomesMatchServiceRuns sends every call once while generated faults are injected
// into the service. After all calls have ended it compares the outcomes that the client reported
// with how often the service ran each call.
func TestReportedOutcomesMatchServiceRuns(t *testing.T) {
	var seen outcomeCounts
	rapid.Check(t, func(rt *rapid.T) {
		faults, calls := drawFaultsAndCalls(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			service := serviceemulator.New(serviceemulator.Settings{Delay: 40 * time.Millisecond})
			network := engineemulator.NewNetwork(nil)
			target := netip.MustParseAddrPort("10.0.0.1:9000")
			network.Add(target, service)
			client := forwarder.New(forwarder.Settings{Transport: network})
			outcomes := make([]error, len(calls))
			var wait sync.WaitGroup
			for _, fault := range faults {
				wait.Go(func() { fault.inject(service) })
			}
			for i, call := range calls {
				wait.Go(func() {
					time.Sleep(call.at)
					ctx, cancel := context.WithTimeout(context.Background(), call.timeout)
					defer cancel()
					_, outcomes[i] = client.CallService(ctx, target, placeCall(fmt.Sprint("k", i)))
				})
			}
			wait.Wait()
			violations = checkOutcomes(service, client, target, outcomes, &seen)
			_ = service.Close()
			_ = network.Close()
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
	t.Logf("outcomes: %d answered, %d not sent, %d refused, %d broken, %d looked up as not run",
		seen.answered.Load(), seen.notSent.Load(), seen.refused.Load(), seen.broken.Load(), seen.lookedUp.Load())
	for _, count := range []int64{seen.answered.Load(), seen.notSent.Load(), seen.refused.Load(), seen.broken.Load(), seen.lookedUp.Load()} {
		if count == 0 {
			t.Error("a kind of outcome never occurred")
		}
	}
}

// checkOutcomes looks up the calls with a BrokenError, waits for those still running and checks
// the outcome of every call.
func checkOutcomes(service *serviceemulator.Service, client *forwarder.Client, target netip.AddrPort, outcomes []error, seen *outcomeCounts) (violations []string) {
	notRun := make(map[string]bool)
	for i, err := range outcomes {
		var broken *forwarder.BrokenError
		key := fmt.Sprint("k", i)
		if !errors.As(err, &broken) {
			continue
		}
		answer, err := client.Lookup(context.Background(), target, "/lookup", "a", key)
		if err == nil && answer.State == forwarder.LookupNotRun {
			notRun[key] = true
			seen.lookedUp.Add(1)
		}
	}
	time.Sleep(time.Second)
	for i, err := range outcomes {
		key := fmt.Sprint("k", i)
		if violation := seen.check(service, key, err); violation != "" {
			violations = append(violations, violation)
		}
		if notRun[key] && service.Runs()["a/"+key] > 0 {
			violations = append(violations, key+" ran after its look-up reported it as not run")
		}
	}
	return violations
}

// TestRefusedErrorRequiresNotRunHeader guards against taking any 503 response as a refusal: a
// service may also respond with 503 after it ran the call.
func TestRefusedErrorRequiresNotRunHeader(t *testing.T) {
	for _, notRun := range []bool{false, true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if notRun {
				w.Header().Set("Rill-Not-Run", "true")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		client := newClient(t, forwarder.Settings{})
		_, err := client.CallService(t.Context(), addressOf(t, server.Listener.Addr()), placeCall("k"))
		var refused *forwarder.RefusedError
		if errors.As(err, &refused) != notRun {
			t.Errorf("with header Rill-Not-Run %v: %v", notRun, err)
		}
		server.Close()
	}
}

// TestOutcomesOfCallsCancelledOverTCP cancels calls over TCP after timeouts that increase by 2 µs
// from call to call. The step at which a call is cancelled differs from run to run; the outcome
// that the client reports must be correct at each step.
func TestOutcomesOfCallsCancelledOverTCP(t *testing.T) {
	service := serviceemulator.New(serviceemulator.Settings{})
	t.Cleanup(func() { _ = service.Close() })
	if err := service.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	client := newClient(t, forwarder.Settings{})
	const calls = 400
	outcomes := make([]error, calls)
	for i := range calls {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*2*time.Microsecond)
		_, outcomes[i] = client.CallService(ctx, service.Address(), placeCall(fmt.Sprint("k", i)))
		cancel()
	}
	// A call that was sent may not have reached the service yet. Once the service is closed, no
	// call can run any more.
	time.Sleep(100 * time.Millisecond)
	if err := service.Close(); err != nil {
		t.Fatal(err)
	}
	var seen outcomeCounts
	for i, err := range outcomes {
		if violation := seen.check(service, fmt.Sprint("k", i), err); violation != "" {
			t.Error(violation)
		}
	}
	t.Logf("outcomes: %d answered, %d not sent, %d broken", seen.answered.Load(), seen.notSent.Load(), seen.broken.Load())
}
