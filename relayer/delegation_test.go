package relayer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

// unreachable makes all targets of a harness unreachable.
func (h *harness) unreachable(t *testing.T) {
	t.Helper()
	links := h.placer.Links()
	for _, s := range append(links.Suspects, links.Others...) {
		h.placer.RecordLink(s.Target, false)
	}
}

// Guards against requests that fail at a daemon without links, against a second run of what another daemon may have run, and against a
// refusal of that (RECOVER, TWICE, REFUSED).
func TestRequestsWithoutTargetArePassedOn(t *testing.T) {
	full := relayer.Refusal{Status: 503, Reason: relayer.ReasonNotInTime, NotRun: true}
	lost := relayer.Refusal{Status: 502, Reason: relayer.ReasonBroken}
	for name, c := range map[string]struct {
		path      string
		delegated *delegated
		want      result
	}{
		"order":                    {"/once/", &delegated{body: "done"}, result{status: 200, body: "done"}},
		"stream":                   {"/stream/", &delegated{body: "id: 1\n\nid: 2\n\n"}, result{status: 200, body: "id: 1\n\nid: 2\n\n"}},
		"refused there":            {"/once/", &delegated{refusal: &full}, result{status: 503, notRun: true, reason: "not_in_time"}},
		"failed there":             {"/often/", &delegated{refusal: &lost}, result{status: 502, reason: "broken"}},
		"hop breaks":               {"/often/", &delegated{err: &connector.NoResponseError{Cause: errors.New("reset")}}, result{status: 502, reason: "broken"}},
		"stream breaks":            {"/resume/", &delegated{body: "id: 1\n\nid:", truncated: true}, result{status: 200, body: "id: 1\n\n", aborted: true}},
		"answer breaks":            {"/once/", &delegated{body: "do", truncated: true}, result{status: 502, reason: "broken"}},
		"no daemon takes it":       {"/once/", nil, result{status: 503, notRun: true, reason: "unreachable"}},
		"look-up that nobody took": {"/often/", nil, result{status: 503, notRun: true, reason: "unreachable"}},
	} {
		h := newHarness(good)
		h.unreachable(t)
		h.delegated = c.delegated
		if seen := relayOnce(t, h, c.path); seen != c.want {
			t.Errorf("%s: %+v, want %+v", name, seen, c.want)
		}
		if len(h.attemptTargets) != 0 || len(h.passedOn) != 1 || h.deposits != 1 {
			t.Errorf("%s: %d attempts here, passed on %d times, %d deposits", name, len(h.attemptTargets), len(h.passedOn), h.deposits)
		}
	}
}

// Guards against requests that go round among daemons without links, and against two credits for retries.
func TestRequestOfAnotherDaemonStays(t *testing.T) {
	h := newHarness(good)
	h.unreachable(t)
	h.fromPeer, h.delegated = true, &delegated{body: "done"}
	if seen := relayOnce(t, h, "/once/"); seen.reason != "unreachable" || !seen.notRun {
		t.Errorf("%+v", seen)
	}
	if len(h.passedOn) != 0 || h.deposits != 0 {
		t.Errorf("passed on %d times, %d deposits", len(h.passedOn), h.deposits)
	}
}

// Guards against a stream that ends since its target and then the links are lost (RECOVER): it goes on through another daemon after
// its last event.
func TestBrokenStreamGoesOnThroughAnotherDaemon(t *testing.T) {
	h := newHarness(targetBehaviour{status: 200, body: "id: 1\n\nid: 2\n\nid:", truncated: true, before: func() {}})
	h.behaviours[0].before = func() { h.unreachable(t) }
	h.delegated = &delegated{body: "id: 2\n\nid: 3\n\n"}
	if seen := relayOnce(t, h, "/resume/"); seen.body != "id: 1\n\nid: 2\n\nid: 3\n\n" || seen.aborted {
		t.Errorf("%+v", seen)
	}
	if len(h.passedOn) != 1 || h.passedOn[0].LastEventID != "2" || h.passedOn[0].Resumes != "1" {
		t.Errorf("passed on: %+v", h.passedOn)
	}
}

// Guards against a request that is held until its deadline although nobody can serve it.
func TestRequestThatNobodyTakesIsRefusedAtOnce(t *testing.T) {
	h := newHarness(good)
	h.unreachable(t)
	started := time.Now()
	if seen := relayOnce(t, h, "/stream/"); seen.status != 503 || time.Since(started) > time.Second {
		t.Errorf("%+v after %s", seen, time.Since(started))
	}
}
