package relayer_test

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	rest        = "id: 3\ndata: c\n\n"
)

// cutAfterTwo is a target that breaks off its stream inside the third event.
var cutAfterTwo = targetBehaviour{status: http.StatusOK, body: firstEvents + "id: 3\nda", truncated: true}

// foreignAnswers are answers to a resumption that are not the rest of the stream.
var foreignAnswers = map[string]targetBehaviour{
	"failure":                       {status: http.StatusInternalServerError, body: "internal error"},
	"failure in the form of events": {status: http.StatusInternalServerError, body: rest},
	"long failure":                  {status: http.StatusInternalServerError, body: strings.Repeat("x", 300<<10)},
	"timeout":                       {status: http.StatusGatewayTimeout, body: "timeout"},
	"not found":                     {status: http.StatusNotFound, body: "not found"},
	"bad request":                   {status: http.StatusBadRequest},
	"redirection":                   {status: http.StatusFound, body: rest},
	"no content":                    {status: http.StatusNoContent},
	"other success":                 {status: http.StatusPartialContent, body: rest},
	"refusal without statement":     {status: http.StatusServiceUnavailable, body: "full"},
	"page in place of events":       {status: http.StatusOK, body: "<html>error</html>"},
	"page without length":           {status: http.StatusOK, body: "<html>error</html>", undelimited: true},
	"page of another type":          {status: http.StatusOK, body: rest, contentType: "text/html"},
	"page with a blank line":        {status: http.StatusOK, body: "error\n\nmore of it\n\n"},
	"head and text":                 {status: http.StatusOK, body: "HTTP/1.1 500 Internal Server Error\nContent-Length: 5\n\nerror"},
	"encoded":                       {status: http.StatusOK, body: rest, contentEncoding: "gzip"},
	"empty stream":                  {status: http.StatusOK},
	"empty stream without length":   {status: http.StatusOK, undelimited: true},
	"only seen events":              {status: http.StatusOK, body: firstEvents},
	"only seen events, no length":   {status: http.StatusOK, body: firstEvents, undelimited: true},
	"event without an id":           {status: http.StatusOK, body: "event: error\ndata: failed\n\n"},
	"event with another id":         {status: http.StatusOK, body: "id: error\ndata: failed\n\n"},
	"event without its end":         {status: http.StatusOK, body: "id: 3\ndata: c"},
	"comment alone":                 {status: http.StatusOK, body: ": keep-alive\n\n"},
	"closed":                        broken,
	"closed after the head":         {status: http.StatusOK, truncated: true},
}

// Guards against the text, or the head, of an error in the middle of a stream, and against a stream that ends as if it were
// complete (ORDER, MIXED).
func TestForeignAnswerToResumptionIsNotPartOfStream(t *testing.T) {
	for name, foreign := range foreignAnswers {
		h := newHarness(cutAfterTwo, foreign, good)
		seen := relayOnce(t, h, "/resume/")
		if !seen.aborted || seen.body != firstEvents || seen.status != http.StatusOK || len(h.attemptTargets) != 2 {
			t.Errorf("%s: %+v after %d attempts", name, seen, len(h.attemptTargets))
		}
		h = newHarness(cutAfterTwo, foreign, targetBehaviour{status: http.StatusOK, body: "id: 2\ndata: b\n\n" + rest})
		allowAttempts(h, 3)
		seen = relayOnce(t, h, "/resume/")
		if seen.aborted || seen.body != firstEvents+rest || len(h.attemptTargets) != 3 || h.resumeAfter[2] != "2" {
			t.Errorf("%s, then the rest: %+v after %d attempts", name, seen, len(h.attemptTargets))
		}
		h.retryBudget, h.attemptTargets, h.resumeAfter = 1, nil, nil
		if seen = relayOnce(t, h, "/resume/"); !seen.aborted || seen.body != firstEvents || len(h.attemptTargets) != 2 {
			t.Errorf("%s, beyond the budget: %+v after %d attempts", name, seen, len(h.attemptTargets))
		}
	}
}

// Guards against a success of what stands before a target, which bears no mark of one, in the middle of a stream (MIXED).
func TestUnsealedAnswerIsNotRestOfSealedStream(t *testing.T) {
	first := cutAfterTwo
	first.sealed = true
	for _, sealed := range []bool{true, false} {
		h := newHarness(first, targetBehaviour{status: http.StatusOK, body: rest, sealed: sealed})
		if seen := relayOnce(t, h, "/resume/"); seen.aborted == sealed || sealed && seen.body != firstEvents+rest || !sealed && seen.body != firstEvents {
			t.Errorf("sealed %v: %+v", sealed, seen)
		}
	}
}

// allowAttempts sets how often targets may run a request.
func allowAttempts(h *harness, count int) {
	for _, path := range []string{"/resume/", "/often/"} {
		route, _ := h.catalog.Match(host, path)
		route.MaxAttempts = count
	}
}

// Guards against an error after new events of a resumed stream that is passed on, or hides that the stream is incomplete.
func TestForeignTextAfterResumedEventsIsNotPartOfStream(t *testing.T) {
	for _, tail := range []string{
		"event: error\ndata: failed\n\n", "internal error", "HTTP/1.1 500 Internal Server Error\n\nerror", "id: 4\nda", "id: x\n\n", "id: 2\ndata: b\n\n\x00",
	} {
		h := newHarness(cutAfterTwo, targetBehaviour{status: http.StatusOK, body: rest + tail})
		if seen := relayOnce(t, h, "/resume/"); !seen.aborted || seen.body != firstEvents+rest {
			t.Errorf("%q: %+v", tail, seen)
		}
	}
	for _, tail := range []string{"", "\n", ": keep-alive\n\n", "id: 2\ndata: b\n\n"} {
		h := newHarness(cutAfterTwo, targetBehaviour{status: http.StatusOK, body: rest + tail})
		if seen := relayOnce(t, h, "/resume/"); seen.aborted || seen.body != firstEvents+rest {
			t.Errorf("%q: %+v", tail, seen)
		}
	}
}

// Guards against an answer that begins anew after a part of it was forwarded, since it can't be told where to go on (MIXED).
func TestForwardedPartIsNotRepeated(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	h := newHarness(targetBehaviour{status: http.StatusOK, body: long, truncated: true}, good)
	if seen := relayOnce(t, h, "/often/"); !seen.aborted || !strings.HasPrefix(long, seen.body) || len(h.attemptTargets) != 1 {
		t.Errorf("an answer that broke off after %d bytes: aborted %v after %d attempts", len(seen.body), seen.aborted, len(h.attemptTargets))
	}
	withoutIDs := "data: a\n\ndata: b\n\n"
	h = newHarness(targetBehaviour{status: http.StatusOK, body: withoutIDs, truncated: true}, targetBehaviour{status: http.StatusOK, body: withoutIDs})
	if seen := relayOnce(t, h, "/resume/"); !seen.aborted || seen.body != withoutIDs || len(h.attemptTargets) != 1 {
		t.Errorf("a stream without ids: %+v after %d attempts", seen, len(h.attemptTargets))
	}
}

// For any sequence of answers, what callers get of a stream is a prefix of it, and all of it if it ends as complete.
func TestStreamIsWholeOrBroken(t *testing.T) {
	const whole = firstEvents + rest
	rapid.Check(t, func(t *rapid.T) {
		answers := []targetBehaviour{cutAfterTwo, shed, unsent}
		for _, name := range []string{"failure", "page in place of events", "empty stream", "only seen events", "event without an id", "not found", "closed"} {
			answers = append(answers, foreignAnswers[name])
		}
		answers = append(answers, targetBehaviour{status: http.StatusOK, body: whole}, targetBehaviour{status: http.StatusOK, body: rest})
		given := append([]targetBehaviour{cutAfterTwo}, rapid.SliceOfN(rapid.SampledFrom(answers), 1, 4).Draw(t, "answers")...)
		h := newHarness(given...)
		allowAttempts(h, rapid.IntRange(1, 4).Draw(t, "attempts"))
		h.retryBudget = rapid.IntRange(0, 4).Draw(t, "budget")
		seen := h.relay(t.Context(), "/resume/")
		if !strings.HasPrefix(whole, seen.body) || !strings.HasPrefix(seen.body, firstEvents) {
			t.Fatalf("the caller got %q", seen.body)
		}
		if seen.aborted == (seen.body == whole) {
			t.Fatalf("the caller got %q, aborted %v", seen.body, seen.aborted)
		}
	})
}
