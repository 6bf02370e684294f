package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	oldSoftware, newSoftware = "v1", "v2"
	// cutAfter is the event after which streams break off, and takeUps the number of streams that a test takes up again.
	cutAfter = 2
	takeUps  = 12
	// recordTime is the time in which all daemons have recorded a new version of the targets' software.
	recordTime = 2 * time.Second
)

// softwareFleet is a fleet whose engines have two versions of their software.
type softwareFleet struct {
	*fleet
	old, new []*hostingemulator.Target
}

// newSoftwareFleet starts daemons, and as many engines with the new version of the software as there are with the old one.
func newSoftwareFleet(t *testing.T, daemons int) *softwareFleet {
	t.Helper()
	f := &softwareFleet{fleet: newFleet(t, daemons)}
	f.old = f.engines
	f.addNew()
	return f
}

func (f *softwareFleet) addNew() {
	for i := range f.old {
		f.new = append(f.new, f.targetOf(fmt.Sprint("new-engine-", i), "engines", model, newSoftware))
	}
	f.engines = append(f.old[:len(f.old):len(f.old)], f.new...)
	time.Sleep(recordTime)
}

// cut makes all engines break off their streams, or none.
func (f *softwareFleet) cut(cut bool) {
	faults := hostingemulator.TargetFaults{}
	if cut {
		faults.CutStreamsAfterEvent = cutAfter
	}
	for _, engine := range f.engines {
		engine.SetFaults(faults)
	}
}

// begin begins a stream that breaks off for good.
func (f *softwareFleet) begin(d *daemon, id string) {
	f.t.Helper()
	if r := f.callModel(d, "ask", id); r.err == nil || !strings.HasPrefix(wholeStream(id), r.body) || r.body == "" {
		f.t.Fatalf("stream %s: status %d, body %q, error %v", id, r.status, r.body, r.err)
	}
}

// takeUp takes a stream up again, with a request of its own.
func (f *softwareFleet) takeUp(d *daemon, id string) reply {
	return f.callModel(d, "ask", "again-"+id, "Last-Event-Id", fmt.Sprint(cutAfter), "Resumes", id)
}

// versionsOf returns the versions of the software at which a stream and its take-up ran.
func (f *softwareFleet) versionsOf(id string) map[string]bool {
	versions := make(map[string]bool)
	for _, run := range append(runsOf(f.engines, id), runsOf(f.engines, "again-"+id)...) {
		versions[run.Software] = true
	}
	return versions
}

// Guards against an answer that is joined from two versions of the targets' software (ORDER): the stream breaks off, and no target
// of the version that began it is left.
func TestStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	f := newSoftwareFleet(t, 1)
	for _, engine := range append(f.old[1:], f.new[1:]...) {
		engine.Drain()
	}
	time.Sleep(recordTime)
	f.cut(true)
	for i := range takeUps {
		id := fmt.Sprint("s", i)
		r := f.callModel(f.daemons[0], "ask", id)
		if r.err == nil || len(f.versionsOf(id)) != 1 {
			t.Errorf("stream %s: error %v, versions %v", id, r.err, f.versionsOf(id))
		}
	}
	f.cut(false)
	f.old[0].SetFaults(hostingemulator.TargetFaults{CutStreamsAfterEvent: cutAfter})
	f.new[0].Drain()
	f.await("streams at the old version alone", func() bool {
		return f.callModel(f.daemons[0], "ask", "probe").err != nil
	})
	another := f.targetOf("another", "engines", model, oldSoftware)
	f.engines = append(f.engines, another)
	tries := 0
	f.await("streams that go on at another target of their version", func() bool {
		tries++
		id := fmt.Sprint("whole", tries)
		r := f.callModel(f.daemons[0], "ask", id)
		return r.err == nil && r.body == wholeStream(id) && len(runsOf(f.engines, id)) == 2
	})
}

// Guards against a take-up that is joined from two versions of the targets' software (ORDER), and against refusals of take-ups that
// could go on (LOST): it reaches any daemon, also after the one that began the stream was killed.
func TestTakeUpGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	f := newSoftwareFleet(t, 4)
	f.cut(true)
	for i := range takeUps {
		f.begin(f.daemons[0], fmt.Sprint("s", i))
	}
	f.cut(false)
	_ = f.daemons[0].Close()
	wentOn := 0
	for i := range takeUps {
		id := fmt.Sprint("s", i)
		r := f.takeUp(f.daemons[1+i%3], id)
		if r.status == http.StatusOK && r.err == nil {
			wentOn++
		}
		if len(f.versionsOf(id)) != 1 {
			t.Errorf("stream %s: status %d, versions %v", id, r.status, f.versionsOf(id))
		}
	}
	if wentOn < takeUps {
		t.Errorf("%d of %d streams went on", wentOn, takeUps)
	}
}

// Guards against refusals of take-ups that could go on (LOST): the streams began while no message reached another daemon from the one
// that served them, which is killed shortly after the cut has healed.
func TestTakeUpGoesOnAfterCutBetweenDaemons(t *testing.T) {
	f := newSoftwareFleet(t, 3)
	for _, d := range f.daemons {
		d.fromPeers.set(true)
	}
	f.cut(true)
	for i := range takeUps {
		f.begin(f.daemons[0], fmt.Sprint("s", i))
	}
	f.cut(false)
	time.Sleep(time.Second)
	for _, d := range f.daemons {
		d.fromPeers.set(false)
	}
	for i, d := range f.daemons[1:] {
		if d.fromPeers.lost.Load() < takeUps {
			t.Fatalf("daemon %d lost %d datagrams in the cut", i+1, d.fromPeers.lost.Load())
		}
	}
	time.Sleep(500 * time.Millisecond)
	_ = f.daemons[0].Close()
	for i := range takeUps {
		id := fmt.Sprint("s", i)
		r := f.takeUp(f.daemons[1+i%2], id)
		if r.status != http.StatusOK || r.err != nil || len(f.versionsOf(id)) != 1 {
			t.Errorf("stream %s: status %d, error %v, versions %v", id, r.status, r.err, f.versionsOf(id))
		}
	}
}

// Guards against a take-up that is joined from two versions of the targets' software (ORDER) after all daemons were killed at once,
// so that none knows which version began it: both versions serve, or the old one has just left.
func TestTakeUpAfterRestartOfAllDaemonsIsNotJoined(t *testing.T) {
	for _, left := range []bool{false, true} {
		t.Run(fmt.Sprint("old version left ", left), func(t *testing.T) {
			f := newSoftwareFleet(t, 2)
			f.cut(true)
			for i := range takeUps {
				f.begin(f.daemons[0], fmt.Sprint("s", i))
			}
			f.cut(false)
			if left {
				for i, engine := range f.old {
					_ = engine.Close()
					f.store.Delete(fmt.Sprint("servers/engine-", i))
				}
			}
			for i, d := range f.daemons {
				_ = d.Close()
				f.daemons[i] = f.start(i)
			}
			for i := range takeUps {
				id := fmt.Sprint("s", i)
				r := f.takeUp(f.daemons[i%2], id)
				if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || len(f.versionsOf(id)) != 1 {
					t.Errorf("stream %s: status %d, Retry-After %q, versions %v", id, r.status, r.header.Get("Retry-After"), f.versionsOf(id))
				}
			}
			if r := f.callModel(f.daemons[0], "ask", "fresh"); r.status != http.StatusOK || r.body != wholeStream("fresh") {
				t.Errorf("a new stream: status %d, body %q", r.status, r.body)
			}
		})
	}
}

// Guards against refusals of take-ups that could go on (LOST): all daemons were killed at once, but one version of the targets'
// software alone can have begun the streams.
func TestTakeUpGoesOnWhereOneVersionServes(t *testing.T) {
	f := &softwareFleet{fleet: newFleet(t, 2)}
	f.cut(true)
	for i := range takeUps {
		f.begin(f.daemons[0], fmt.Sprint("s", i))
	}
	f.cut(false)
	for i, d := range f.daemons {
		_ = d.Close()
		f.daemons[i] = f.start(i)
	}
	for i := range takeUps {
		if r := f.takeUp(f.daemons[i%2], fmt.Sprint("s", i)); r.status != http.StatusOK || r.err != nil {
			t.Errorf("stream %d: status %d, error %v", i, r.status, r.err)
		}
	}
}

// Guards against take-ups that borrow the version of another stream (ORDER): what Resumes names is missing, odd, another account's
// or none at all. While two versions serve, none of them goes on.
func TestOddTakeUpsAreNotJoined(t *testing.T) {
	f := newSoftwareFleet(t, 2)
	f.cut(true)
	f.begin(f.daemons[0], "s")
	f.cut(false)
	for name, header := range map[string][]string{
		"missing":         nil,
		"empty":           {"Resumes", ""},
		"another":         {"Resumes", "never-begun"},
		"long":            {"Resumes", strings.Repeat("s", 10_000)},
		"another account": {"Resumes", "s", "Authorization", "Token key-2"},
	} {
		r := f.callModel(f.daemons[1], "ask", "odd-"+name, append([]string{"Last-Event-Id", fmt.Sprint(cutAfter)}, header...)...)
		if r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", name, r.status)
		}
	}
}
