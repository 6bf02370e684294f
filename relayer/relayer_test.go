package relayer_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

func TestAttemptOutcomes(t *testing.T) {
	for _, c := range []struct {
		name       string
		path       string
		behaviours []targetBehaviour
		status     int
		attempts   int
		notRun     bool
	}{
		{"good", "/once/", []targetBehaviour{good}, 200, 1, false},
		{"non-idempotent, connection broke", "/once/", []targetBehaviour{broken, good}, 502, 1, false},
		{"non-idempotent, not sent", "/once/", []targetBehaviour{unsent, good}, 200, 2, false},
		{"non-idempotent, shed", "/once/", []targetBehaviour{shed, good}, 200, 2, false},
		{"non-idempotent, shed by all targets", "/once/", []targetBehaviour{shed}, 503, 4, true},
		{"non-idempotent, not sent to any target", "/once/", []targetBehaviour{unsent}, 503, 4, true},
		{"non-idempotent, shed, then connection broke", "/once/", []targetBehaviour{shed, broken}, 502, 2, false},
		{"non-idempotent, failed at the target", "/once/", []targetBehaviour{fails, good}, 500, 1, false},
		{"non-idempotent, answer truncated", "/once/", []targetBehaviour{{status: 200, body: "x", truncated: true}, good}, 502, 1, false},
		{"idempotent, connection broke", "/often/", []targetBehaviour{broken, good}, 200, 2, false},
		{"idempotent, all connections broke", "/often/", []targetBehaviour{broken}, 502, 2, false},
		{"idempotent, failed at the target", "/often/", []targetBehaviour{fails, good}, 200, 2, false},
		{"idempotent, failed at all targets", "/often/", []targetBehaviour{fails}, 500, 2, false},
		{"idempotent, connection broke, then shed", "/often/", []targetBehaviour{broken, shed}, 502, 4, false},
		{"idempotent, answer truncated", "/often/", []targetBehaviour{{status: 200, body: "x", truncated: true}, good}, 200, 2, false},
		{"stream, connection broke", "/stream/", []targetBehaviour{broken, good}, 502, 1, false},
		{"resumable stream, connection broke", "/resume/", []targetBehaviour{broken, good}, 200, 2, false},
	} {
		h := newHarness(c.behaviours...)
		seen := relayOnce(t, h, c.path)
		if seen.status != c.status || len(h.attemptTargets) != c.attempts || seen.notRun != c.notRun || seen.aborted {
			t.Errorf("%s: %+v after %d attempts, want status %d after %d, not run %v", c.name, seen, len(h.attemptTargets), c.status, c.attempts, c.notRun)
		}
	}
}

// For any sequence of target behaviours, a non-idempotent request or a stream that is not resumable runs at most once,
// others at most twice, "not run" is reported only if no target ran the request, no target gets a request twice, and
// retries stay within the retry budget.
func TestRunsAndRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		given := rapid.SliceOfN(rapid.SampledFrom([]targetBehaviour{
			unsent, broken, shed, fails, good, {status: 200, body: "id: 1\n\nid", truncated: true},
		}), 1, 5).Draw(t, "answers")
		path := rapid.SampledFrom([]string{"/once/", "/often/", "/stream/", "/resume/"}).Draw(t, "path")
		h := newHarness(given...)
		h.retryBudget = rapid.IntRange(0, 4).Draw(t, "budget")
		budget := h.retryBudget
		seen := h.relay(context.Background(), path)
		runs := h.runs()
		if (path == "/once/" || path == "/stream/") && runs > 1 || runs > 2 {
			t.Fatalf("%s ran %d times", path, runs)
		}
		if seen.notRun && runs > 0 {
			t.Fatalf("the response is marked as not run, but the request had %d runs", runs)
		}
		if seen.status == 503 && !seen.notRun && len(seen.reason) > 0 {
			t.Fatalf("a 503 of the relayer is not marked as not run: %+v", seen)
		}
		if unique := slices.Compact(slices.Sorted(slices.Values(h.attemptTargets))); len(unique) != len(h.attemptTargets) {
			t.Fatalf("a target got the request twice: %v", h.attemptTargets)
		}
		// A retry after an unsent attempt takes nothing from the budget.
		budgetedRetries := 0
		for i := range h.attemptTargets[:len(h.attemptTargets)-1] {
			if given[min(i, len(given)-1)].err != unsent.err {
				budgetedRetries++
			}
		}
		if budgetedRetries > budget {
			t.Fatalf("%d retries with a retry budget of %d", budgetedRetries, budget)
		}
	})
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	h := newHarness(
		targetBehaviour{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", truncated: true},
		targetBehaviour{status: 200, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"},
	)
	seen := relayOnce(t, h, "/resume/")
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	if seen.body != want || seen.aborted || h.resumeAfter[1] != "2" {
		t.Errorf("got %q (aborted %v), resumed after %q", seen.body, seen.aborted, h.resumeAfter[1])
	}
}

// Guards against events that are lost from the answer of the first target because a later one repeats an id (ORDER).
func TestFirstStreamIsForwardedUnchanged(t *testing.T) {
	const body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n: comment\n\nid: 3\ndata: c"
	if seen := relayOnce(t, newHarness(targetBehaviour{status: 200, body: body}), "/resume/"); seen.aborted || seen.body != body {
		t.Errorf("%+v", seen)
	}
}

func TestIncompleteStreamAbortsConnection(t *testing.T) {
	h := newHarness(targetBehaviour{status: 200, body: "id: 1\ndata: a\n\nid: 2", truncated: true})
	if seen := relayOnce(t, h, "/stream/"); !seen.aborted || seen.body != "id: 1\ndata: a\n\n" {
		t.Errorf("a truncated stream returned %+v", seen)
	}
}

// Guards against a stream without a length or chunks that breaks off being passed on as complete (ORDER, MIXED).
func TestUndelimitedStreamThatEndsInsideEventIsIncomplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, path string
		body       string
		want       result
		attempts   int
	}{
		{"whole", "/stream/", whole, result{status: 200, body: whole}, 1},
		{"ends inside an event", "/stream/", whole + "id: 3\nda", result{status: 200, body: whole, aborted: true}, 1},
		{"ends before the first event", "/stream/", "", result{status: 502, reason: "broken"}, 1},
		{"resumed", "/resume/", "id: 1\ndata: a\n\nid: 2\nda", result{status: 200, body: whole}, 2},
	} {
		h := newHarness(targetBehaviour{status: 200, body: c.body, undelimited: true}, targetBehaviour{status: 200, body: "id: 2\ndata: b\n\n"})
		if seen := relayOnce(t, h, c.path); seen != c.want || len(h.attemptTargets) != c.attempts {
			t.Errorf("%s: %+v after %d attempts, want %+v after %d", c.name, seen, len(h.attemptTargets), c.want, c.attempts)
		}
	}
}

func TestAdmissionUsesNewestConfiguration(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		arrange func(h *harness)
		status  int
		reason  string
	}{
		{"no configuration", "/once/", func(h *harness) { h.catalog = nil }, 503, "no_configuration"},
		{"unknown route", "/none/", func(*harness) {}, 404, "no_route"},
		{"unknown route, contact age too high to deny it as unknown", "/none/", func(h *harness) { h.contactAge = 3 * time.Second }, 503, "no_contact"},
		{"known route, contact age too high to deny unknown routes", "/once/", func(h *harness) { h.contactAge = 3 * time.Second }, 200, ""},
		{"known key, contact age too high to use it", "/once/", func(h *harness) { h.contactAge = 5 * time.Second }, 503, "no_contact"},
		{"key revoked", "/once/", func(h *harness) {
			h.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
		}, 401, "unknown_key"},
		{"last key taken away", "/once/", func(h *harness) { h.takeAllKeys() }, 401, "unknown_key"},
		{"last key taken away, contact age too high to deny unknown keys", "/once/", func(h *harness) { h.takeAllKeys(); h.contactAge = 3 * time.Second }, 503, "no_contact"},
		{"last key taken away, contact age too high to use keys", "/once/", func(h *harness) { h.takeAllKeys(); h.contactAge = 5 * time.Second }, 503, "no_contact"},
		{"too late", "/stream/", func(h *harness) { h.expectedTime = time.Second }, 503, "not_in_time"},
		{"a request that crashes targets", "/often/", func(h *harness) { h.crashesTargets = true }, 503, "crashes_targets"},
	} {
		h := newHarness(good)
		c.arrange(h)
		if seen := relayOnce(t, h, c.path); seen.status != c.status || seen.reason != c.reason {
			t.Errorf("%s: %+v, want %d %s", c.name, seen, c.status, c.reason)
		}
	}
}

// A key that is revoked during an attempt is not used for a retry.
func TestAdmissionIsCheckedBeforeEachSend(t *testing.T) {
	h := newHarness()
	h.behaviours = []targetBehaviour{{status: 503, notRun: true, before: func() {
		h.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
	}}, good}
	if seen := relayOnce(t, h, "/once/"); seen.status != 401 || len(h.attemptTargets) != 1 {
		t.Errorf("%+v after %d attempts", seen, len(h.attemptTargets))
	}
}

// Guards against an attempt with a key that was taken away with the last account meanwhile (CONFIG).
func TestLastKeyIsCheckedBeforeEachSend(t *testing.T) {
	for path, first := range map[string]targetBehaviour{"/once/": shed, "/often/": broken, "/resume/": broken} {
		h := newHarness()
		first.before = func() { h.takeAllKeys() }
		h.behaviours = []targetBehaviour{first, good}
		if seen := relayOnce(t, h, path); seen.status == http.StatusOK || len(h.attemptTargets) != 1 {
			t.Errorf("%s: %+v after %d attempts", path, seen, len(h.attemptTargets))
		}
	}
}

// If a target may have run an earlier attempt, the refusal of a retry must not be marked as not run.
func TestRefusalAfterRunIsNotMarkedNotRun(t *testing.T) {
	for name, refuse := range map[string]func(h *harness){
		"no other target": func(h *harness) { h.placer.SetTargets(nil) },
		"too late":        func(h *harness) { h.expectedTime = time.Minute },
		"no contact":      func(h *harness) { h.contactAge = time.Minute },
		"key revoked": func(h *harness) {
			h.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
		},
	} {
		h := newHarness()
		h.behaviours = []targetBehaviour{{err: broken.err, before: func() { refuse(h) }}}
		seen := relayOnce(t, h, "/resume/")
		if len(h.attemptTargets) != 1 || seen.status != http.StatusBadGateway || seen.notRun {
			t.Errorf("%s: %+v after %d attempts", name, seen, len(h.attemptTargets))
		}
	}
}

func TestDeadlineReturnsGatewayTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(targetBehaviour{before: func() { time.Sleep(5 * time.Second) }, status: 200})
		seen := h.relay(t.Context(), "/once/")
		if seen.status != http.StatusGatewayTimeout || seen.notRun {
			t.Errorf("a request beyond its deadline returned %+v", seen)
		}
		if h.remaining[0] > 2*time.Second {
			t.Errorf("the target received a timeout of %s, but the request has 2 s in all", h.remaining[0])
		}
	})
}

func TestRetryGetsRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(targetBehaviour{before: func() { time.Sleep(time.Second) }, err: broken.err}, good)
		h.relay(t.Context(), "/often/")
		if len(h.remaining) != 2 || h.remaining[1] > time.Second {
			t.Errorf("the attempts received timeouts of %v, but the request has 2 s in all", h.remaining)
		}
	})
}

func TestCallerDisconnectStopsRetries(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	h := newHarness(targetBehaviour{before: cancel, status: 200}, good)
	if seen := h.relay(ctx, "/often/"); !seen.aborted || len(h.attemptTargets) != 1 {
		t.Errorf("%+v after %d attempts", seen, len(h.attemptTargets))
	}
}

// Guards against requests that a stopping daemon cuts (LOST): one that it cancels is answered, and not as not run, since a
// target may have run it.
func TestStoppingDaemonAnswersCancelledRequests(t *testing.T) {
	for _, path := range []string{"/once/", "/often/", "/stream/", "/resume/"} {
		ctx, cancel := context.WithCancelCause(t.Context())
		h := newHarness(targetBehaviour{status: 200, before: func() { cancel(relayer.ErrStopping) }}, good)
		want := result{status: http.StatusBadGateway, reason: string(relayer.ReasonStopping)}
		if seen := h.relay(ctx, path); seen != want || len(h.attemptTargets) != 1 {
			t.Errorf("%s: %+v after %d attempts", path, seen, len(h.attemptTargets))
		}
	}
}

func TestOnlyBrokenAttemptsCountAsStrikes(t *testing.T) {
	for name, c := range map[string]struct {
		given targetBehaviour
		want  int
	}{"broken": {broken, 1}, "shed": {shed, 0}, "unsent": {unsent, 0}, "failed": {fails, 0}} {
		h := newHarness(c.given)
		relayOnce(t, h, "/once/")
		total := 0
		for _, count := range h.strikes {
			total += count
		}
		if total != c.want {
			t.Errorf("%s: %d strikes", name, total)
		}
	}
}

// The parts of a prompt get a strike only if the target may have crashed at the beginning of the answer, and only a
// complete success whose end is stated clears them.
func TestPartsCountAtBeginningOfAnswer(t *testing.T) {
	closed := targetBehaviour{err: &connector.NoResponseError{Cause: io.EOF}}
	gone := targetBehaviour{err: &connector.NoResponseError{Cause: syscall.ETIMEDOUT}}
	for _, c := range []struct {
		name        string
		path        string
		given       targetBehaviour
		strikes     int
		completions int
	}{
		{"closed without an answer", "/stream/", closed, 3, 0},
		{"closed after the head", "/stream/", targetBehaviour{status: 200, truncated: true}, 3, 0},
		{"closed after the first event", "/stream/", targetBehaviour{status: 200, body: "id: 1\n\nid", truncated: true}, 3, 0},
		{"the host is gone", "/stream/", gone, 1, 0},
		{"broken off without a stated end", "/stream/", targetBehaviour{status: 200, undelimited: true}, 3, 0},
		{"complete", "/stream/", targetBehaviour{status: 200, body: "id: 1\n\n"}, 0, 3},
		{"complete, without a stated end", "/stream/", targetBehaviour{status: 200, body: "id: 1\n\n", undelimited: true}, 0, 0},
		{"failed at the target", "/once/", fails, 0, 0},
		{"complete, not a stream", "/once/", good, 0, 3},
		{"shed", "/once/", shed, 0, 0},
	} {
		h := newHarness(c.given)
		h.prompt = relayer.Prompt{Model: model, Parts: []placer.Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}}
		h.placer.SetTargets([]placer.Target{engine("a", 1), engine("b", 1), engine("c", 1), engine("d", 1)})
		relayOnce(t, h, c.path)
		if len(h.strikes) != c.strikes || len(h.completions) != c.completions {
			t.Errorf("%s: %d causes with strikes and %d completed, want %d and %d", c.name, len(h.strikes), len(h.completions), c.strikes, c.completions)
		}
	}
}

// The weights of a target are replaced: a newer wanted version was set. A request that is still queued at the target
// shortly before the version bound is cancelled, and retried at another target if the route allows it.
func TestQueuedRequestIsCancelledOnReplacedWeights(t *testing.T) {
	for _, c := range []struct {
		name        string
		path        string
		replacedFor time.Duration
		queued      time.Duration
		status      int
		attempts    int
	}{
		{"starts in time", "/slow/", 7 * time.Second, time.Second, 200, 1},
		{"starts late", "/slow/", 7 * time.Second, 4 * time.Second, 200, 2},
		{"starts late and must not be retried", "/slow-once/", 7 * time.Second, 4 * time.Second, 502, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(targetBehaviour{status: 200, body: "id: 1\n\n", queued: c.queued}, good)
			h.useReplacedWeights(c.replacedFor)
			h.behaviours[0].before = func() {
				h.placer.SetTargets([]placer.Target{engine(h.attemptTargets[0], 1), engine("other", 2)})
			}
			started := time.Now()
			seen := h.relay(t.Context(), c.path)
			if seen.status != c.status || len(h.attemptTargets) != c.attempts || seen.notRun {
				t.Errorf("%s: %+v after %d attempts, want %d after %d", c.name, seen, len(h.attemptTargets), c.status, c.attempts)
			}
			if took := time.Since(started); c.replacedFor+took >= versionBound {
				t.Errorf("%s: the request stayed at the target until %s after its weights were replaced", c.name, c.replacedFor+took)
			}
			if len(h.strikes) > 0 {
				t.Errorf("%s: the cancelled attempt counts as a strike", c.name)
			}
		})
	}
}

// If an operator sets a newer wanted version while a request is queued, the version bound counts from that moment.
func TestWeightsReplacedWhileRequestIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(targetBehaviour{status: 200, body: "id: 1\n\n", queued: 50 * time.Second}, good)
		h.useReplacedWeights(time.Second)
		h.placer.SetTargets([]placer.Target{engine("newer", 2)})
		time.AfterFunc(5*time.Second, func() { h.placer.SetWantedVersion(model, 3, true) })
		started := time.Now()
		h.relay(t.Context(), "/slow-once/")
		if took := time.Since(started); took >= 5*time.Second+versionBound || h.closed != 1 {
			t.Errorf("the request was queued for %s, and %d connections were closed", took, h.closed)
		}
	})
}
