package recorder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/recorder"
)

// Guards against streams that are joined from two versions (ORDER) while versions come, go and return, daemons are killed one by one
// or all at once, and the store is down or comes back from a copy.
func TestTakeUpsAreNeverJoined(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(seed, 2+int(seed%8), "v1")
			defer func() {
				for _, d := range w.daemons {
					d.stop()
				}
				time.Sleep(newsDelay)
			}()
			older := w.stored()
			for range 400 {
				switch w.intN(40) {
				case 0:
					w.serve(w.versions()...)
				case 1:
					w.randomDaemon().start()
				case 2:
					for _, d := range w.daemons {
						d.start()
					}
				case 3:
					w.set(func() { w.down = !w.down })
				case 4:
					older = w.stored()
				case 5:
					w.restore(older)
				case 6:
					w.randomDaemon().step(true, w.intN(2) == 0)
				case 7:
					w.randomDaemon().step(false, false)
				default:
					w.begin()
					if err := w.takeUp(); err != nil {
						t.Fatalf("seed %d: %v", seed, err)
					}
				}
				time.Sleep(time.Duration(w.intN(400)) * time.Millisecond)
			}
			t.Logf("seed %d: %d streams, %d take-ups gone on, %d refused", seed, len(w.streams), w.goneOn, w.refused)
		})
	}
}

// Guards against streams that are joined from two versions (ORDER): a daemon was out of step while a version joined, which it therefore
// does not know, and the daemons that know the stream don't answer it.
func TestDaemonOutOfStepJoinsNoStream(t *testing.T) {
	for name, unread := range map[string]bool{"reaches the store": false, "reaches nobody": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 3, "v1")
				w.daemons[0].step(true, unread)
				w.serve("v1", "v2")
				time.Sleep(3 * time.Second)
				stream := recorder.Stream{Service: service, Account: "a", ID: "1"}
				w.daemons[1].origins.Record(stream, "v2")
				time.Sleep(time.Second)
				if software, known := w.daemons[0].origins.Find(context.Background(), stream); known {
					t.Errorf("a stream of v2 goes on at %s", software)
				}
				for _, d := range w.daemons {
					d.stop()
				}
				time.Sleep(newsDelay)
			})
		})
	}
}

// Guards against streams that are joined from two versions (ORDER): a daemon hears nothing of the targets for long but reaches the store, and
// removes versions from there that others list.
func TestDaemonOutOfStepRemovesNoListedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 3, "v1")
		late, other := w.daemons[0], w.daemons[1]
		late.step(true, false)
		w.serve("v2")
		time.Sleep(4 * longest)
		for range 200 {
			w.beginAt(other)
			stream := w.streams[len(w.streams)-1]
			if software, known := late.origins.Find(context.Background(), stream.Stream); known && software != stream.software {
				t.Errorf("a stream of %s goes on at %s", stream.software, software)
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, d := range w.daemons {
			d.stop()
		}
		time.Sleep(newsDelay)
	})
}

// Guards against take-ups that are refused although they could go on (LOST): two versions serve for long, and a third of the daemons
// is killed now and then.
func TestTakeUpsGoOnWhileTwoVersionsServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 9, "v1", "v2")
		for range 20 {
			for range 50 {
				w.begin()
				time.Sleep(10 * time.Millisecond)
			}
			for _, i := range w.perm(len(w.daemons))[:3] {
				w.daemons[i].start()
			}
			for range 50 {
				if err := w.takeUp(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(2 * longest)
		}
		for _, d := range w.daemons {
			d.stop()
		}
		if w.goneOn < 10*w.refused {
			t.Errorf("%d take-ups went on, %d were refused", w.goneOn, w.refused)
		}
	})
}
