package relayer_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

func TestHowAttemptsEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		answers []answer
		status  int
		sends   int
		notRun  bool
	}{
		{"good", "/once/", []answer{good}, 200, 1, false},
		{"an order whose target broke", "/once/", []answer{broken, good}, 502, 1, false},
		{"an order that was not sent", "/once/", []answer{unsent, good}, 200, 2, false},
		{"an order that was shed", "/once/", []answer{shed, good}, 200, 2, false},
		{"an order that all shed", "/once/", []answer{shed}, 503, 4, true},
		{"an order that nobody can be sent", "/once/", []answer{unsent}, 503, 4, true},
		{"an order shed, then broken", "/once/", []answer{shed, broken}, 502, 2, false},
		{"an order that failed there", "/once/", []answer{fails, good}, 500, 1, false},
		{"an order cut in its answer", "/once/", []answer{{status: 200, body: "x", cut: true}, good}, 502, 1, false},
		{"a look-up whose target broke", "/often/", []answer{broken, good}, 200, 2, false},
		{"a look-up that breaks all", "/often/", []answer{broken}, 502, 2, false},
		{"a look-up that failed there", "/often/", []answer{fails, good}, 200, 2, false},
		{"a look-up that fails everywhere", "/often/", []answer{fails}, 500, 2, false},
		{"a look-up broken, then shed", "/often/", []answer{broken, shed}, 502, 4, false},
		{"a look-up cut in its answer", "/often/", []answer{{status: 200, body: "x", cut: true}, good}, 200, 2, false},
		{"a stream whose target broke", "/stream/", []answer{broken, good}, 502, 1, false},
		{"a resumable stream whose target broke", "/resume/", []answer{broken, good}, 200, 2, false},
	} {
		w := newWorld(c.answers...)
		seen := relayOnce(t, w, c.path)
		if seen.status != c.status || len(w.sent) != c.sends || seen.notRun != c.notRun || seen.aborted {
			t.Errorf("%s: %+v after %d sends, want status %d after %d, not run %v", c.name, seen, len(w.sent), c.status, c.sends, c.notRun)
		}
	}
}

// Whatever targets do, an order runs at most once, "not run" is true, no target gets a request
// twice, and no route has more runs than it allows.
func TestRunsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		given := rapid.SliceOfN(rapid.SampledFrom([]answer{
			unsent, broken, shed, fails, good, {status: 200, body: "id: 1\n\nid", cut: true},
		}), 1, 5).Draw(t, "answers")
		path := rapid.SampledFrom([]string{"/once/", "/often/", "/stream/", "/resume/"}).Draw(t, "path")
		w := newWorld(given...)
		w.budget = rapid.IntRange(0, 4).Draw(t, "budget")
		budget := w.budget
		seen := w.relay(context.Background(), path)
		runs := w.runs()
		if (path == "/once/" || path == "/stream/") && runs > 1 || runs > 2 {
			t.Fatalf("%s ran %d times", path, runs)
		}
		if seen.notRun && runs > 0 {
			t.Fatalf("told as not run after %d runs", runs)
		}
		if seen.status == 503 && !seen.notRun && len(seen.reason) > 0 {
			t.Fatalf("503 of our own without the promise: %+v", seen)
		}
		if unique := slices.Compact(slices.Sorted(slices.Values(w.sent))); len(unique) != len(w.sent) {
			t.Fatalf("a target got the request twice: %v", w.sent)
		}
		repeated := 0
		for i := range w.sent[:len(w.sent)-1] {
			if given[min(i, len(given)-1)].err != unsent.err {
				repeated++
			}
		}
		if repeated > budget {
			t.Fatalf("%d repetitions with a budget of %d", repeated, budget)
		}
	})
}

func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	w := newWorld(
		answer{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", cut: true},
		answer{status: 200, body: "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"},
	)
	seen := relayOnce(t, w, "/resume/")
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	if seen.body != want || seen.aborted || w.after[1] != "2" {
		t.Errorf("got %q (aborted %v), asked to go on after %q", seen.body, seen.aborted, w.after[1])
	}
}

func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	w := newWorld(answer{status: 200, body: "id: 1\ndata: a\n\nid: 2", cut: true})
	if seen := relayOnce(t, w, "/stream/"); !seen.aborted || seen.body != "id: 1\ndata: a\n\n" {
		t.Errorf("a broken stream ended as %+v", seen)
	}
}

func TestAdmissionByTheNewestConfiguration(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		arrange func(w *world)
		status  int
		reason  string
	}{
		{"no configuration", "/once/", func(w *world) { w.catalog = nil }, 503, "no_configuration"},
		{"unknown route", "/none/", func(*world) {}, 404, "no_route"},
		{"unknown route, old contact", "/none/", func(w *world) { w.age = 3 * time.Second }, 503, "no_contact"},
		{"known route, old contact", "/once/", func(w *world) { w.age = 3 * time.Second }, 200, ""},
		{"key without proof", "/once/", func(w *world) { w.age = 5 * time.Second }, 503, "no_contact"},
		{"key taken away", "/once/", func(w *world) {
			w.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
		}, 401, "unknown_key"},
		{"too late", "/stream/", func(w *world) { w.expect = time.Second }, 503, "not_in_time"},
		{"crashes targets", "/often/", func(w *world) { w.convict = true }, 503, "crashes_targets"},
	} {
		w := newWorld(good)
		c.arrange(w)
		if seen := relayOnce(t, w, c.path); seen.status != c.status || seen.reason != c.reason {
			t.Errorf("%s: %+v, want %d %s", c.name, seen, c.status, c.reason)
		}
	}
}

// A key that is taken away while the request is repeated is not used again.
func TestAdmissionIsCheckedBeforeEachSend(t *testing.T) {
	w := newWorld()
	w.answers = []answer{{status: 503, notRun: true, before: func() {
		w.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
	}}, good}
	if seen := relayOnce(t, w, "/once/"); seen.status != 401 || len(w.sent) != 1 {
		t.Errorf("%+v after %d sends", seen, len(w.sent))
	}
}

// Once a target may have run the request, no refusal may say that it has not run.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	for name, refuse := range map[string]func(w *world){
		"no other target": func(w *world) { w.places.SetTargets(nil) },
		"too late":        func(w *world) { w.expect = time.Minute },
		"no contact":      func(w *world) { w.age = time.Minute },
		"key taken away": func(w *world) {
			w.catalog = cataloger.New(2, cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "other", Keys: []string{"k"}}}})
		},
	} {
		w := newWorld()
		w.answers = []answer{{err: broken.err, before: func() { refuse(w) }}}
		seen := relayOnce(t, w, "/resume/")
		if len(w.sent) != 1 || seen.status != http.StatusBadGateway || seen.notRun {
			t.Errorf("%s: %+v after %d sends", name, seen, len(w.sent))
		}
	}
}

func TestDeadlineEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(answer{before: func() { time.Sleep(5 * time.Second) }, status: 200})
		seen := w.relay(t.Context(), "/once/")
		if seen.status != http.StatusGatewayTimeout || seen.notRun {
			t.Errorf("a request over its time ended as %+v", seen)
		}
		if w.left[0] > 2*time.Second {
			t.Errorf("the target was given %s of 2 s", w.left[0])
		}
	})
}

func TestTimeOfARepetitionIsWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(answer{before: func() { time.Sleep(time.Second) }, err: broken.err}, good)
		w.relay(t.Context(), "/often/")
		if len(w.left) != 2 || w.left[1] > time.Second {
			t.Errorf("the attempts were given %v of 2 s", w.left)
		}
	})
}

func TestCallerThatLeftGetsNothingAndEndsTheWork(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newWorld(answer{before: cancel, status: 200}, good)
	if seen := w.relay(ctx, "/often/"); !seen.aborted || len(w.sent) != 1 {
		t.Errorf("%+v after %d sends", seen, len(w.sent))
	}
}

func TestBreaksAreStrikesAndShedsAreNot(t *testing.T) {
	for name, c := range map[string]struct {
		given answer
		want  int
	}{"broken": {broken, 1}, "shed": {shed, 0}, "unsent": {unsent, 0}, "failed": {fails, 0}} {
		w := newWorld(c.given)
		relayOnce(t, w, "/once/")
		total := 0
		for _, count := range w.strikes {
			total += count
		}
		if total != c.want {
			t.Errorf("%s: %d strikes", name, total)
		}
	}
}

// A request that still waits when its weights may no longer begin one is taken back, and goes
// elsewhere where that is allowed.
func TestRequestIsTakenBackFromReplacedWeights(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		ago    time.Duration
		queued time.Duration
		status int
		sends  int
	}{
		{"begins in time", "/slow/", 7 * time.Second, time.Second, 200, 1},
		{"begins late", "/slow/", 7 * time.Second, 4 * time.Second, 200, 2},
		{"begins late and can't go on", "/slow-once/", 7 * time.Second, 4 * time.Second, 502, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(answer{status: 200, body: "id: 1\n\n", queued: c.queued}, good)
			w.withWeights(c.ago)
			w.answers[0].before = func() {
				w.places.SetTargets([]placer.Target{engine(w.sent[0], 1), engine("other", 2)})
			}
			started := time.Now()
			seen := w.relay(t.Context(), c.path)
			if seen.status != c.status || len(w.sent) != c.sends || seen.notRun {
				t.Errorf("%s: %+v after %d sends, want %d after %d", c.name, seen, len(w.sent), c.status, c.sends)
			}
			if took := time.Since(started); c.ago+took >= versionBound {
				t.Errorf("%s: the request was at the target until %s after its weights were replaced", c.name, c.ago+took)
			}
			if len(w.strikes) > 0 {
				t.Errorf("%s: the request counts as one that breaks targets", c.name)
			}
		})
	}
}

// Weights that are named while a request waits bound it too.
func TestWeightsNamedWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(answer{status: 200, body: "id: 1\n\n", queued: 50 * time.Second}, good)
		w.withWeights(time.Second)
		w.places.SetTargets([]placer.Target{engine("newer", 2)})
		time.AfterFunc(5*time.Second, func() { w.places.Want(model, 3, true) })
		started := time.Now()
		w.relay(t.Context(), "/slow-once/")
		if took := time.Since(started); took >= 5*time.Second+versionBound || w.closed != 1 {
			t.Errorf("the request waited %s, %d connections were closed", took, w.closed)
		}
	})
}
