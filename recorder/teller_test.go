package recorder_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/recorder"
)

const (
	// healedFor is the time after the last cut after which daemons count as undisturbed again.
	healedFor = 3 * time.Second
	// maxRepeatsPerSecond bounds the origins that a daemon tells again in a second: 14 KB at 26 bytes.
	maxRepeatsPerSecond = 540
	holdersAtFirst      = 2
)

// testWorld runs a history of daemons in a world of its own.
func testWorld(t *testing.T, daemons int, history func(w *world)) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(1, daemons, "v1", "v2")
		defer func() {
			for _, d := range w.daemons {
				d.stop()
			}
			time.Sleep(newsDelay)
		}()
		history(w)
	})
}

// unknown returns the take-ups of the streams that don't go on, of those at each living daemon. The error tells of a stream that goes on
// at another version.
func (w *world) unknown(streams []begun) (unknown []string, err error) {
	for _, d := range w.daemons {
		for _, s := range streams {
			if !d.isAlive() {
				continue
			}
			software, known := d.knownOrigins().Find(context.Background(), s.Stream)
			switch {
			case !known:
				unknown = append(unknown, s.ID+" at "+d.name)
			case software != s.software:
				return nil, fmt.Errorf("stream %s of %s goes on at %s", s.ID, s.software, software)
			}
		}
	}
	return unknown, nil
}

// remove ends a daemon, and the others learn that it is gone.
func (w *world) remove(gone *daemon) {
	gone.stop()
	var peers []recorder.Daemon
	for _, d := range w.daemons {
		if d.isAlive() {
			peers = append(peers, recorder.Daemon{Name: d.name, Address: d.address})
		}
	}
	for _, d := range w.daemons {
		if d.isAlive() {
			d.knownOrigins().SetPeers(slices.DeleteFunc(slices.Clone(peers), func(p recorder.Daemon) bool { return p.Name == d.name }))
		}
	}
}

// Guards against streams that don't go on after a cut (LOST): they began at a daemon that was cut off from all others, and was killed
// shortly after the cut had healed.
func TestOriginsOfStreamsBehindCutAreToldAfterIt(t *testing.T) {
	testWorld(t, 3, func(w *world) {
		first := w.daemons[0]
		first.step(true, false)
		for range 24 {
			w.beginAt(first)
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Second)
		first.step(false, false)
		time.Sleep(500 * time.Millisecond)
		first.stop()
		if unknown, err := w.unknown(w.streams); err != nil || len(unknown) > 0 {
			t.Errorf("error %v, not known: %v", err, unknown)
		}
	})
}

// Guards against streams that don't go on (LOST) since the daemons that knew where they began were replaced one after the other.
func TestOriginsMoveToOtherHolders(t *testing.T) {
	testWorld(t, 8, func(w *world) {
		for range 24 {
			w.beginAt(w.daemons[0])
		}
		for _, gone := range []int{7, 6, 5, 4, 3} {
			time.Sleep(time.Second)
			w.remove(w.daemons[gone])
		}
		time.Sleep(time.Second)
		w.remove(w.daemons[0])
		if unknown, err := w.unknown(w.streams); err != nil || len(unknown) > 0 {
			t.Errorf("error %v, not known: %v", err, unknown)
		}
	})
}

// Guards against daemons that fill the links with what others don't acknowledge: one of many daemons is cut off from all others while
// streams begin there.
func TestRepeatedOriginsAreBounded(t *testing.T) {
	testWorld(t, 40, func(w *world) {
		first := w.daemons[0]
		first.step(true, false)
		const seconds, streams = 6, 200
		for range streams {
			w.beginAt(first)
			time.Sleep(seconds * time.Second / streams)
		}
		if repeated := w.toldSoFar() - holdersAtFirst*streams; repeated > maxRepeatsPerSecond*seconds {
			t.Errorf("%d origins were told again in %d s", repeated, seconds)
		}
		first.step(false, false)
		time.Sleep(healedFor)
		first.stop()
		told := w.toldSoFar()
		if unknown, err := w.unknown(w.streams); err != nil || len(unknown) > 0 {
			t.Errorf("error %v, not known: %v", err, unknown)
		}
		time.Sleep(healedFor)
		if further := w.toldSoFar() - told; further != 0 {
			t.Errorf("%d origins were told although all know them", further)
		}
	})
}

// span is a time in which links are cut. The daemons whose bit is set in side are cut off from the others, in one direction or in both.
type span struct {
	begin, end time.Duration
	side       uint64
	// outwards and inwards tell which messages are lost: those from the side, and those to it.
	outwards, inwards bool
}

func drawSpan(t *rapid.T) span {
	begin := time.Duration(rapid.IntRange(0, 4000).Draw(t, "begin")) * time.Millisecond
	length := time.Duration(rapid.IntRange(100, 6500).Draw(t, "length")) * time.Millisecond
	direction := rapid.IntRange(1, 3).Draw(t, "direction")
	return span{
		begin: begin, end: begin + length, side: rapid.Uint64().Draw(t, "side"), outwards: direction&1 != 0, inwards: direction&2 != 0,
	}
}

// cuts reports whether the span cuts the link between the daemons with these numbers at a time.
func (s span) cuts(from, to int, at time.Duration) bool {
	fromSide, toSide := s.side>>from&1 != 0, s.side>>to&1 != 0
	open := at < s.begin || at >= s.end
	return !open && (s.outwards && fromSide && !toSide || s.inwards && !fromSide && toSide)
}

// Guards against daemons that believe different things of a stream (ORDER, LOST), or nothing, after cuts of drawn links in one direction or
// both: no take-up goes on at another version at any time, and once the last cut has been healed for a while each daemon finds the origin
// of each stream, also if any one of them is killed then.
func TestOriginsAreKnownAfterCuts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		daemons := rapid.IntRange(2, 12).Draw(rt, "daemons")
		spans := rapid.SliceOfN(rapid.Custom(drawSpan), 1, 3).Draw(rt, "spans")
		killed := rapid.IntRange(0, daemons-1).Draw(rt, "killed")
		var unknown []string
		var err error
		testWorld(t, daemons, func(w *world) { // It runs in a goroutine of its own, in which rt must not fail.
			if err = w.play(spans); err != nil {
				return
			}
			w.daemons[killed].stop()
			recent := slices.DeleteFunc(slices.Clone(w.streams), func(s begun) bool { return time.Since(s.at) > longest })
			unknown, err = w.unknown(recent)
		})
		if err != nil || len(unknown) > 0 {
			rt.Fatalf("error %v, not known: %v", err, unknown)
		}
	})
}

// play lets streams begin and go on while the spans cut links, and for a while after that.
func (w *world) play(spans []span) error {
	began, healed := time.Now(), time.Duration(0)
	for _, s := range spans {
		healed = max(healed, s.end)
	}
	for time.Since(began) < healed+healedFor {
		w.setCuts(spans, time.Since(began))
		if time.Since(began) < healed {
			w.begin()
		}
		if err := w.takeUp(); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// setCuts cuts the links that the spans cut at a time.
func (w *world) setCuts(spans []span, at time.Duration) {
	w.set(func() {
		clear(w.cuts)
		for i, from := range w.daemons {
			for j, to := range w.daemons {
				w.cuts[link{from, to}] = slices.ContainsFunc(spans, func(s span) bool { return s.cuts(i, j, at) })
			}
		}
	})
}
