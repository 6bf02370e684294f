package relayer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Guards against a stream that breaks off after its objective and gets no further target (LOST): the objective is for its
// beginning. One that broke off before its first event is measured from there.
func TestStreamThatBreaksOffLateGoesOn(t *testing.T) {
	for name, first := range map[string]targetBehaviour{
		"after two events":       {status: http.StatusOK, body: cutAfterTwo.body, truncated: true, queued: 400 * time.Millisecond},
		"before its first event": {err: broken.err, queued: 400 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(first, targetBehaviour{status: http.StatusOK, body: firstEvents + rest})
			h.expectedTime = 150 * time.Millisecond
			if seen := relayOnce(t, h, "/resume/"); seen.aborted || seen.body != firstEvents+rest {
				t.Errorf("%s: %+v after %d attempts", name, seen, len(h.attemptTargets))
			}
		})
	}
}

// Guards against a stream that breaks off while no target accepts requests, and is cut at once (LOST). It ends if none does
// for longer.
func TestStreamThatBrokeOffWaitsForTarget(t *testing.T) {
	for _, c := range []struct {
		free  time.Duration
		whole bool
	}{{0, true}, {1500 * time.Millisecond, true}, {4 * time.Second, false}} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(cutAfterTwo, targetBehaviour{status: http.StatusOK, body: rest})
			h.behaviours[0].before = func() {
				h.placer.SetTargets(nil)
				time.AfterFunc(c.free, func() { h.placer.SetTargets([]placer.Target{{ID: "free", Service: "s", Slots: 4}}) })
			}
			started := time.Now()
			seen := relayOnce(t, h, "/slow/")
			if seen.aborted == c.whole || c.whole && seen.body != firstEvents+rest {
				t.Errorf("a target is free after %s: %+v", c.free, seen)
			}
			if took := time.Since(started); took > 2500*time.Millisecond {
				t.Errorf("a target is free after %s: the caller was told after %s", c.free, took)
			}
		})
	}
}
