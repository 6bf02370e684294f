package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/limiter"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// plannedCall is one call of a generated history.
type plannedCall struct {
	at, runTime, timeout time.Duration
	account              int
	class                limiter.Class
	tokens               int
	cancelled            bool
}

func drawCall(rt *rapid.T) plannedCall {
	milliseconds := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(rt, name)) * time.Millisecond
	}
	return plannedCall{
		at:        milliseconds("at", 0, 150),
		runTime:   milliseconds("runs", 1, 100),
		timeout:   milliseconds("patience", 1, 400),
		account:   rapid.IntRange(0, 2).Draw(rt, "account"),
		class:     limiter.Class(rapid.IntRange(0, 1).Draw(rt, "class")),
		tokens:    rapid.IntRange(1, 100).Draw(rt, "tokens"),
		cancelled: rapid.IntRange(0, 2).Draw(rt, "cancelled") == 0,
	}
}

// history runs generated calls against a limiter and collects violations.
type history struct {
	limits   *limiter.Limiter
	capacity int

	mu         sync.Mutex
	running    int
	deferrable int
	violations []string
	outcomes   map[string]int
}

func (h *history) violate(format string, values ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, values...))
}

func (h *history) call(planned plannedCall) {
	time.Sleep(planned.at)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline := time.Now().Add(planned.timeout)
	if planned.cancelled {
		time.AfterFunc((planned.timeout / 2).Truncate(time.Millisecond), cancel)
	}
	release, err := h.limits.Admit(ctx, limiter.Request{
		Account:  fmt.Sprint("account-", planned.account),
		Class:    planned.class,
		Tokens:   planned.tokens,
		Deadline: deadline,
	})
	h.recordOutcome(err, deadline)
	if err != nil {
		return
	}
	h.countRunning(planned.class, 1)
	time.Sleep(planned.runTime)
	h.countRunning(planned.class, -1)
	release()
	release()
}

func (h *history) countRunning(class limiter.Class, change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running += change
	if class == router.ClassDeferrable {
		h.deferrable += change
	}
	if h.running > h.capacity {
		h.violate("%d calls run, the capacity is %d", h.running, h.capacity)
	}
	if h.deferrable > max(h.capacity/2, 1) {
		h.violate("%d deferrable calls run of a capacity of %d", h.deferrable, h.capacity)
	}
}

func (h *history) recordOutcome(err error, deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().After(deadline) {
		h.violate("Admit returned after the deadline")
	}
	var shed *limiter.ShedError
	var late *limiter.DeadlineError
	switch {
	case err == nil:
		h.outcomes["admitted"]++
	case errors.As(err, &shed):
		h.outcomes["shed"]++
	case errors.As(err, &late):
		h.outcomes["late"]++
	case errors.Is(err, context.Canceled):
		h.outcomes["cancelled"]++
	default:
		h.violate("unexpected error %v", err)
	}
}

// TestAdmissionBoundsRunningCallsAndWaits runs generated histories of calls. It checks that the
// running calls stay within the capacity, that Admit returns by the deadline, and that every
// slot is released.
func TestAdmissionBoundsRunningCallsAndWaits(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.SliceOfN(rapid.Custom(drawCall), 20, 120).Draw(rt, "calls")
		capacity := rapid.IntRange(1, 5).Draw(rt, "capacity")
		h := &history{capacity: capacity, outcomes: outcomes}
		synctest.Test(t, func(*testing.T) {
			h.limits = limiter.New(limiter.Settings{Capacity: capacity, MaxQueue: 10, DeferrableFraction: 0.5})
			var wait sync.WaitGroup
			for _, planned := range calls {
				wait.Go(func() { h.call(planned) })
			}
			wait.Wait()
			if h.limits.QueueLength() != 0 {
				h.violate("%d calls are left in the queue", h.limits.QueueLength())
			}
			for range capacity {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, err := h.limits.Admit(ctx, limiter.Request{Account: "last"}); err != nil {
					h.violate("a slot was not released: %v", err)
				}
				cancel()
			}
		})
		if len(h.violations) > 0 {
			rt.Fatalf("%v", h.violations)
		}
	})
	t.Logf("outcomes: %v", outcomes)
	for _, outcome := range []string{"admitted", "shed", "late", "cancelled"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no call was %s", outcome)
		}
	}
}

// TestServedTokensAreProportionalToWeights keeps calls of two accounts waiting at all times, with
// different numbers and sizes, and checks that the tokens served are proportional to the weights.
func TestServedTokensAreProportionalToWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := [2]float64{float64(rapid.IntRange(1, 4).Draw(rt, "share")), float64(rapid.IntRange(1, 4).Draw(rt, "share"))}
		sizes := [2]int{rapid.IntRange(1, 100).Draw(rt, "size"), rapid.IntRange(1, 100).Draw(rt, "size")}
		waiting := [2]int{rapid.IntRange(2, 5).Draw(rt, "waiting"), rapid.IntRange(2, 50).Draw(rt, "waiting")}
		var served [2]float64
		synctest.Test(t, func(*testing.T) { served = serveBacklog(weights, sizes, waiting) })
		// Start-time fair queueing bounds the difference of the served tokens per weight by the
		// size of one call of each account per weight.
		bound := 2 * (float64(sizes[0])/weights[0] + float64(sizes[1])/weights[1])
		if difference := served[0]/weights[0] - served[1]/weights[1]; difference > bound || difference < -bound {
			rt.Fatalf("served %v for weights %v with calls of %v tokens", served, weights, sizes)
		}
	})
}

// serveBacklog keeps waiting[i] calls of account i in the queue for a second and returns the
// tokens served to each account.
func serveBacklog(weights [2]float64, sizes, waiting [2]int) (served [2]float64) {
	limits := limiter.New(limiter.Settings{Capacity: 1})
	var accounts []limiter.Account
	for i, weight := range weights {
		accounts = append(accounts, limiter.Account{Name: fmt.Sprint(i), Limits: limiter.Limits{FairShareWeight: weight}})
	}
	limits.SetAccounts(accounts)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var wait sync.WaitGroup
	var mu sync.Mutex
	for account := range weights {
		for range waiting[account] {
			wait.Go(func() {
				for {
					release, err := limits.Admit(ctx, limiter.Request{Account: fmt.Sprint(account), Tokens: sizes[account]})
					if err != nil {
						return
					}
					mu.Lock()
					served[account] += float64(sizes[account])
					mu.Unlock()
					time.Sleep(time.Millisecond)
					release()
				}
			})
		}
	}
	wait.Wait()
	return served
}

func TestInteractiveCallsAreAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := limiter.New(limiter.Settings{Capacity: 1, MaxQueue: 2})
		release, err := limits.Admit(t.Context(), limiter.Request{Account: "a"})
		if err != nil {
			t.Fatal(err)
		}
		var order []limiter.Class
		var mu sync.Mutex
		var wait sync.WaitGroup
		admit := func(class limiter.Class) {
			wait.Go(func() {
				release, err := limits.Admit(t.Context(), limiter.Request{Account: "a", Class: class})
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, class)
				mu.Unlock()
				release()
			})
			synctest.Wait()
		}
		admit(router.ClassDeferrable)
		admit(router.ClassDeferrable)
		admit(router.ClassInteractive)
		release()
		wait.Wait()
		if len(order) != 2 || order[0] != router.ClassInteractive {
			t.Fatalf("admitted in the order %v", order)
		}
	})
}

func TestRetryBudget(t *testing.T) {
	limits := limiter.New(limiter.Settings{Retries: limiter.RetryBudgetSettings{Ratio: 0.5, Burst: 2}})
	allowed := 0
	for range 10 {
		release, err := limits.Admit(t.Context(), limiter.Request{Account: "a"})
		if err != nil {
			t.Fatal(err)
		}
		release()
		for limits.TryRetry() {
			allowed++
		}
	}
	if allowed < 6 || allowed > 7 {
		t.Fatalf("%d retries for 10 calls", allowed)
	}
}
