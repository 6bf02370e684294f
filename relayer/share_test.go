package relayer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/admitter"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// admission admits the requests of a harness, or sheds them, and records what it is told.
type admission struct {
	sheds    bool
	requests []admitter.Request
	outcomes []admitter.Outcome
}

func (a *admission) Admit(request admitter.Request) (admitted bool, retryAfter time.Duration) {
	a.requests = append(a.requests, request)
	return !a.sheds || request.MayHaveRun, time.Second
}

func (a *admission) Record(outcome admitter.Outcome) { a.outcomes = append(a.outcomes, outcome) }

// Guards against requests that a target runs although they were shed, a refusal that promises less than it may, requests that
// are asked for or recorded twice, and repeats that are shed.
func TestRequestsBeyondTheShareAreRefused(t *testing.T) {
	began := []admitter.Result{admitter.Began}
	for _, c := range []struct {
		name       string
		sheds      bool
		change     func(h *harness)
		behaviours []targetBehaviour
		status     int
		asked      int
		recorded   []admitter.Result
	}{
		{"admitted", false, nil, []targetBehaviour{good}, 200, 1, began},
		{"admitted, second attempt", false, nil, []targetBehaviour{shed, good}, 200, 1, began},
		{"admitted, no capacity", false, nil, []targetBehaviour{shed}, 503, 1, []admitter.Result{admitter.Refused}},
		{"admitted, connection lost", false, nil, []targetBehaviour{broken}, 502, 1, nil},
		{"admitted, late", false, nil, []targetBehaviour{{status: 200, body: "done", before: func() { time.Sleep(time.Second) }}}, 200, 1, began},
		{"shed", true, nil, []targetBehaviour{good}, 503, 1, nil},
		{"passed on by a daemon that asked", true, func(h *harness) { h.fromPeer = true }, []targetBehaviour{good}, 200, 0, nil},
		{"stream that is taken up", true, func(h *harness) { h.lastEventID, h.resumes = "1", "1" }, []targetBehaviour{good}, 200, 1, began},
		{"no accounts", true, func(h *harness) { h.listNoAccounts() }, []targetBehaviour{good}, 200, 0, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(c.behaviours...)
			a := &admission{sheds: c.sheds}
			h.admission = a
			if c.change != nil {
				c.change(h)
			}
			seen := relayOnce(t, h, "/often/")
			if seen.status != c.status || len(a.requests) != c.asked || len(a.outcomes) != len(c.recorded) {
				t.Fatalf("%s: %+v, asked %d times, recorded %+v", c.name, seen, len(a.requests), a.outcomes)
			}
			for i, outcome := range a.outcomes {
				if outcome.Result != c.recorded[i] || outcome.Account != "account" || outcome.Service != "s" {
					t.Errorf("%s: recorded %+v", c.name, outcome)
				}
			}
			if c.name != "shed" {
				return
			}
			if len(h.attemptTargets) > 0 || !seen.notRun || seen.reason != string(relayer.ReasonOverShare) || h.retryAfter != time.Second || seen.status != http.StatusServiceUnavailable {
				t.Errorf("%s: %+v after %d attempts, retry after %s", c.name, seen, len(h.attemptTargets), h.retryAfter)
			}
		})
	}
}
