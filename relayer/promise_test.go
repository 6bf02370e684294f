package relayer_test

import (
	"net/http"
	"testing"
)

// Guards against a status that promises callers that the request was not run, from a target that doesn't say so (REFUSED, TWICE).
func TestStatusThatPromisesNotRunIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		unexplained := targetBehaviour{status: status, body: "busy"}
		for _, c := range []struct {
			path       string
			behaviours []targetBehaviour
			status     int
			attempts   int
		}{
			{"/once/", []targetBehaviour{unexplained, good}, 502, 1},
			{"/once/", []targetBehaviour{shed, unexplained, good}, 502, 2},
			{"/stream/", []targetBehaviour{unexplained, good}, 502, 1},
			{"/often/", []targetBehaviour{unexplained, good}, 200, 2},
			{"/often/", []targetBehaviour{unexplained}, 502, 2},
			{"/resume/", []targetBehaviour{unexplained}, 502, 2},
		} {
			h := newHarness(c.behaviours...)
			seen := relayOnce(t, h, c.path)
			if seen.status != c.status || len(h.attemptTargets) != c.attempts || seen.notRun || seen.aborted {
				t.Errorf("%d on %s: %+v after %d attempts, want %d after %d", status, c.path, seen, len(h.attemptTargets), c.status, c.attempts)
			}
			if len(h.strikes) > 0 {
				t.Errorf("%d on %s counts as a crash of the target", status, c.path)
			}
		}
	}
}
