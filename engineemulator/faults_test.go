package engineemulator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
)

func TestCrashDropsRunsAndCache(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{}, func(f *fixture) {
		prompt := textOfTokens("rim ", 500)
		_, before, _, _ := f.chat("r1", prompt, 1)
		var wait sync.WaitGroup
		wait.Go(func() {
			if _, _, _, err := f.chat("r2", prompt, 1000); err == nil {
				t.Error("a run survived a crash")
			}
		})
		time.Sleep(100 * time.Millisecond)
		f.engine.Crash()
		wait.Wait()
		if _, _, _, err := f.chat("r3", prompt, 1); err == nil {
			t.Error("a crashed engine answered")
		}
		if err := f.engine.Restart(); err != nil {
			t.Error(err)
		}
		_, after, _, _ := f.chat("r4", prompt, 1)
		if after.Get("Rill-Cached-Tokens") != "0" || after.Get("Rill-Incarnation") <= before.Get("Rill-Incarnation") {
			t.Errorf("before %v, after %v", before, after)
		}
		if status, _, _, _ := f.do(http.MethodGet, "/v1/streams/r1?from=0", ""); status != http.StatusNotFound {
			t.Errorf("a run of the former incarnation: %d", status)
		}
	})
}

func TestCrashText(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{RestartAfter: time.Second}, func(f *fixture) {
		_, _, _, _ = f.do(http.MethodPost, "/admin/faults", `{"crash_text":"poison"}`)
		for i := range 2 {
			if _, _, _, err := f.chat(fmt.Sprint("bad", i), "some poison here", 4); err == nil {
				t.Error("the prompt did not crash the engine")
			}
			time.Sleep(1100 * time.Millisecond)
			if status, _, _, err := f.chat(fmt.Sprint("good", i), "q", 4); status != http.StatusOK || err != nil {
				t.Errorf("after the restart: %d, %v", status, err)
			}
		}
		if runs := f.engine.Runs(); runs["bad0"] != 1 || runs["bad1"] != 1 {
			t.Errorf("runs %v", runs)
		}
	})
}

func TestFreezeAndStall(t *testing.T) {
	runWithEngine(t, engineemulator.Settings{}, func(f *fixture) {
		_, _, _, _ = f.do(http.MethodPost, "/admin/faults", `{"stall":true}`)
		var wait sync.WaitGroup
		wait.Go(func() { _, _, _, _ = f.chat("r1", "q", 4) })
		time.Sleep(time.Second)
		var first, second wireLoad
		f.get("/v1/load", &first)
		time.Sleep(time.Second)
		f.get("/v1/load", &second)
		if first.Progress != second.Progress {
			t.Error("a stalled engine made progress")
		}
		_, _, _, _ = f.do(http.MethodPost, "/admin/faults", `{"stall":false,"freeze":true}`)
		started := time.Now()
		time.AfterFunc(3*time.Second, func() {
			_, _, _, _ = f.do(http.MethodPost, "/admin/faults", `{"freeze":false}`)
		})
		f.get("/v1/load", &second)
		wait.Wait()
		if waited := time.Since(started); waited < 3*time.Second || waited > 4*time.Second {
			t.Errorf("a frozen engine answered after %s", waited)
		}
	})
}

func TestOrdersAndFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		runWithEngine(t, engineemulator.Settings{IgnoreFencing: ignore}, func(f *fixture) {
			sendOrder := func(order string) (status int, answer string) {
				status, _, answer, _ = f.do(http.MethodPost, "/v1/orders", order)
				return status, strings.TrimSpace(answer)
			}
			if _, answer := sendOrder(`{"kind":"load_version","weights":"w2","fencing":5}`); answer != `{"state":"loading"}` {
				t.Errorf("first order: %s", answer)
			}
			if status, _, _, _ := f.chat("r1", "q", 1, "Rill-Weights", "w2"); status != http.StatusConflict {
				t.Errorf("weights that are still loading: %d", status)
			}
			time.Sleep(1100 * time.Millisecond)
			if _, answer := sendOrder(`{"kind":"load_version","weights":"w2","fencing":5}`); answer != `{"state":"done"}` {
				t.Errorf("after the load: %s", answer)
			}
			status, answer := sendOrder(`{"kind":"set_role","role":"prefill","fencing":4}`)
			if refused := status == http.StatusConflict; refused == ignore {
				t.Errorf("stale fencing token with IgnoreFencing %v: %d %s", ignore, status, answer)
			}
			if stale := f.engine.Counters().StaleOrders; stale != 1 {
				t.Errorf("%d stale orders were counted", stale)
			}
		})
	}
}

// TestWeightStoreSharesBandwidth runs one, two and four concurrent loads.
func TestWeightStoreSharesBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for loads, want := range map[int]time.Duration{1: time.Second, 2: time.Second, 4: 2 * time.Second} {
			store := engineemulator.NewWeightStore(engineemulator.WeightStoreSettings{MaxLoads: 2})
			started := time.Now()
			var wait sync.WaitGroup
			for range loads {
				wait.Go(func() { _ = store.Load(context.Background(), "w2") })
			}
			wait.Wait()
			if took := time.Since(started); took < want || took > want+100*time.Millisecond || store.MaxConcurrentLoads() != loads {
				t.Errorf("%d loads took %s, want %s", loads, took, want)
			}
		}
	})
}

// TestRemoteWeightStore loads weights from a store over HTTP.
func TestRemoteWeightStore(t *testing.T) {
	store := engineemulator.NewWeightStore(engineemulator.WeightStoreSettings{LoadTime: time.Millisecond})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	remote := &engineemulator.RemoteWeightStore{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
	}
	if err := remote.Load(t.Context(), "w2"); err != nil || store.Loads() != 1 {
		t.Fatalf("%v after %d loads", err, store.Loads())
	}
	server.Close()
	if err := remote.Load(t.Context(), "w2"); err == nil {
		t.Fatal("a load from a closed store succeeded")
	}
}
