package relayer_test

import (
	"net/http"
	"slices"
	"testing"
)

// Guards against a stream whose take-ups go on at the software version of an attempt that never began it (ORDER): only the version of
// the target whose first event is passed on is recorded, once, and before the caller has the event.
func TestOnlyVersionThatBeganStreamIsRecorded(t *testing.T) {
	headAlone := targetBehaviour{status: http.StatusOK, truncated: true}
	const never = -1
	for name, test := range map[string]struct {
		behaviours []targetBehaviour
		// began is the attempt that brought the first event.
		began int
	}{
		"first attempt":         {[]targetBehaviour{good}, 0},
		"after a broken one":    {[]targetBehaviour{broken, good}, 1},
		"after an unsent one":   {[]targetBehaviour{unsent, good}, 1},
		"after a head alone":    {[]targetBehaviour{headAlone, good}, 1},
		"broken attempts alone": {[]targetBehaviour{broken}, never},
		"broken off later":      {[]targetBehaviour{cutAfterTwo}, 0},
	} {
		h := newHarness(test.behaviours...)
		h.setTargets(softwareOf)
		seen := relayOnce(t, h, "/resume/")
		var want []string
		if test.began != never {
			want = []string{softwareOf(h.attemptTargets[test.began])}
		}
		if !slices.Equal(h.recorded, want) || h.recordedLate {
			t.Errorf("%s: recorded %q, want %q, late %v; the caller has %+v", name, h.recorded, want, h.recordedLate, seen)
		}
	}
}

// Guards against an origin that is recorded for each attempt of one answer: the rest of a stream comes from the version that began it.
func TestResumptionWithinAnswerIsNotRecorded(t *testing.T) {
	h := newHarness(cutAfterTwo, targetBehaviour{status: http.StatusOK, body: rest})
	if seen := relayOnce(t, h, "/resume/"); seen.body != firstEvents+rest || len(h.recorded) != 1 {
		t.Errorf("recorded %v, the caller has %+v", h.recorded, seen)
	}
}

// Guards against the origin of a stream that the wrong one of two daemons records (ORDER): the one that passed the request on does not
// know where the stream began, and the one that took it does.
func TestDaemonThatTookStreamRecordsIt(t *testing.T) {
	h := newHarness(unsent, unsent, good)
	h.behaviours[1].before = func() { h.unreachable(t) }
	h.delegated = &delegated{body: "id: 1\n\n"}
	if relayOnce(t, h, "/stream/"); len(h.passedOn) != 1 || len(h.recorded) != 0 {
		t.Errorf("passed on: %+v, recorded %v", h.passedOn, h.recorded)
	}
	other := newHarness(good)
	other.setTargets(softwareOf)
	other.fromPeer = true
	if relayOnce(t, other, "/stream/"); !slices.Equal(other.recorded, []string{softwareOf(other.attemptTargets[0])}) {
		t.Errorf("recorded %v at the daemon that took the request", other.recorded)
	}
}

// Guards against streams that don't go on when they are taken up for the second time (LOST): the daemons that knew where they began were
// replaced meanwhile.
func TestTakeUpIsRecordedForFirstRequest(t *testing.T) {
	h := newHarness(targetBehaviour{status: http.StatusOK, body: rest})
	h.lastEventID, h.resumes = "2", "first"
	if seen := relayOnce(t, h, "/resume/"); seen.body != rest || len(h.recorded) != 1 || h.recordedID != "first" {
		t.Errorf("recorded %q for %q, the caller has %+v", h.recorded, h.recordedID, seen)
	}
}
