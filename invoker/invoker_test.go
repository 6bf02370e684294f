package invoker_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/refuser"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// behaviour is how a target responds to a call, and after which time.
type behaviour struct {
	Kind string
	Wait time.Duration
}

var behaviours = []string{"answer", "answer", "hang", "lose", "refuse", "unreachable", "unavailable"}

// fleet is a service with targets. It implements the interfaces that an Invoker needs and counts
// their uses.
type fleet struct {
	snapshot   *registrar.Snapshot
	behaviours []behaviour

	mu           sync.Mutex
	calls        []int
	runs         int
	openAttempts int
	retries      int
	budget       int
	admitted     int
	unreachable  []string
}

func newFleet(budget int, targets ...behaviour) *fleet {
	objects := registrar.Objects{
		Accounts:  []registrar.Account{{Name: "depot"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
		Services: []registrar.Service{{Name: "stock", Operations: []registrar.Operation{
			{Name: "check", Method: http.MethodGet, Path: "/check", Idempotent: true},
		}}},
	}
	for i := range targets {
		objects.Targets = append(objects.Targets, registrar.Target{
			Name: fmt.Sprint("t", i), Kind: registrar.TargetService, Service: "stock", Address: addressOf(i),
		})
	}
	snapshot, err := registrar.NewSnapshot(1, objects)
	if err != nil {
		panic(err)
	}
	return &fleet{snapshot: snapshot, behaviours: targets, calls: make([]int, len(targets)), budget: budget}
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(9000+i))
}

func (f *fleet) Current() *registrar.Snapshot { return f.snapshot }
func (f *fleet) Usable(string) bool           { return true }

func (f *fleet) ReportUnreachable(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = append(f.unreachable, target)
}

func (f *fleet) Begin(string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openAttempts++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.openAttempts--
	}
}

func (f *fleet) Admit(context.Context, limiter.Request) (release func(), err error) {
	f.admitted++
	return func() { f.admitted-- }, nil
}

func (f *fleet) allowRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.retries >= f.budget {
		return false
	}
	f.retries++
	return true
}

func (f *fleet) Lookup(context.Context, netip.AddrPort, string, string, string) (forwarder.LookupAnswer, error) {
	return forwarder.LookupAnswer{}, errors.New("unexpected look-up")
}

func (f *fleet) CallService(ctx context.Context, target netip.AddrPort, _ forwarder.ServiceCall) (forwarder.ServiceAnswer, error) {
	i := int(target.Port()) - 9000
	b := f.behaviours[i]
	runs := b.Kind != "refuse" && b.Kind != "unreachable"
	f.mu.Lock()
	f.calls[i]++
	if runs {
		f.runs++
	}
	f.mu.Unlock()
	wait := b.Wait
	if b.Kind == "hang" {
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		if !runs {
			return forwarder.ServiceAnswer{}, &forwarder.NotSentError{Target: target, Cause: ctx.Err()}
		}
		return forwarder.ServiceAnswer{}, &forwarder.BrokenError{Target: target, Cause: ctx.Err(), Sent: true}
	}
	switch b.Kind {
	case "lose":
		return forwarder.ServiceAnswer{}, &forwarder.BrokenError{Target: target, Sent: true, ConnectionLost: true}
	case "refuse":
		return forwarder.ServiceAnswer{}, &forwarder.RefusedError{Target: target, Status: http.StatusServiceUnavailable, Code: "leaving"}
	case "unreachable":
		return forwarder.ServiceAnswer{}, &forwarder.NotSentError{Target: target, Cause: errors.New("refused")}
	case "unavailable":
		return forwarder.ServiceAnswer{Status: http.StatusServiceUnavailable}, nil
	}
	return forwarder.ServiceAnswer{Status: http.StatusOK, Body: []byte("12 rims")}, nil
}

func (f *fleet) invoke(deadline time.Duration) (invoker.Answer, error) {
	i := invoker.New(invoker.Settings{
		Configuration: f, Admission: f, Targets: invoker.NewTargets(f, f, f, ""), AllowRetry: f.allowRetry,
	})
	return i.Invoke(context.Background(), invoker.Request{
		ID: "r", Account: "depot", Service: "stock", Method: http.MethodGet, Path: "/check", Deadline: time.Now().Add(deadline),
	})
}

func TestInvokeHedgesNearDeadline(t *testing.T) {
	for _, test := range []struct {
		name    string
		budget  int
		answers bool
		calls   int
	}{
		{"within the budget", 1, true, 2},
		{"without a budget", 0, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			hedged := false
			for range 20 {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(test.budget, behaviour{Kind: "hang"}, behaviour{Kind: "answer", Wait: time.Millisecond})
					_, err := f.invoke(time.Second)
					if f.calls[0] == 0 {
						return // The responding target was chosen first.
					}
					hedged = true
					if (err == nil) != test.answers || f.calls[0]+f.calls[1] != test.calls || f.openAttempts != 0 {
						t.Errorf("error %v, calls %v, open attempts %d", err, f.calls, f.openAttempts)
					}
				})
			}
			if !hedged {
				t.Error("the hanging target was never chosen first")
			}
		})
	}
}

func TestInvokeReportsWhetherIdempotentCallsRan(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		var targets []behaviour
		for range rapid.IntRange(1, 6).Draw(rt, "targets") {
			targets = append(targets, behaviour{
				Kind: rapid.SampledFrom(behaviours).Draw(rt, "behaviour"),
				Wait: time.Duration(rapid.IntRange(0, 1200).Draw(rt, "wait")) * time.Millisecond,
			})
		}
		f := newFleet(rapid.IntRange(0, 3).Draw(rt, "budget"), targets...)
		var err error
		var took time.Duration
		synctest.Test(t, func(*testing.T) {
			started := time.Now()
			_, err = f.invoke(time.Second)
			took = time.Since(started)
		})
		checkOutcome(rt, f, err, took, reached)
	})
	t.Logf("conditions reached: %v", reached)
	for _, condition := range []string{"answered", "not run", "may have run", "hedged or repeated", "budget spent"} {
		if reached[condition] == 0 {
			t.Errorf("condition %q never occurred", condition)
		}
	}
}

func checkOutcome(rt *rapid.T, f *fleet, err error, took time.Duration, reached map[string]int) {
	refusal := refuser.From(err)
	switch {
	case err == nil:
		reached["answered"]++
	case refusal.Run == refuser.NotRun:
		reached["not run"]++
		if f.runs > 0 {
			rt.Fatalf("a call that ran %d times was refused as not run: %v", f.runs, err)
		}
	default:
		reached["may have run"]++
		if f.runs == 0 {
			rt.Fatalf("a call that never ran was refused as may have run: %v", err)
		}
	}
	if f.retries > 0 {
		reached["hedged or repeated"]++
	}
	if f.retries == f.budget {
		reached["budget spent"]++
	}
	if f.openAttempts != 0 || f.admitted != 0 {
		rt.Fatalf("%d attempts and %d admissions were left open", f.openAttempts, f.admitted)
	}
	if took > time.Second {
		rt.Fatalf("the call returned after %s, the deadline was 1s", took)
	}
	if f.runs > f.budget+1 {
		rt.Fatalf("the call ran %d times with a budget of %d", f.runs, f.budget)
	}
	if slices.Max(f.calls) > 1 {
		rt.Fatalf("a target received the call twice: %v", f.calls)
	}
}
