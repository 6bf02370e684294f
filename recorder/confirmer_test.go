package recorder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/recorder"
)

// attempt lets a daemon of an older release make an attempt to begin a stream, and tell it to all others.
func (d *daemon) attempt(s begun) {
	stream := xxh3.HashString(s.Service + "\x00" + s.Account + "\x00" + s.ID)
	origin := recorder.Origin{Stream: stream, Software: s.software}
	d.set(func() { d.attempts[stream] = origin })
	var others []netip.AddrPort
	for _, other := range d.daemons {
		if other != d {
			others = append(others, other.address)
		}
	}
	d.TellOrigins(others, []recorder.Origin{origin})
}

func (d *daemon) isOlder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.older
}

// lastAttempt returns the last attempt of a daemon of an older release to begin a stream.
func (d *daemon) lastAttempt(stream uint64) (attempt recorder.Origin, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	attempt, known = d.attempts[stream]
	return attempt, known
}

// withOlderDaemon runs a history of three daemons, the first of which is of an older release, and attempts to begin 24 streams at v1.
func withOlderDaemon(t *testing.T, history func(w *world, older *daemon)) {
	testWorld(t, 3, func(w *world) {
		older := w.daemons[0]
		w.set(func() { older.older, older.attempts = true, make(map[uint64]recorder.Origin) })
		for i := range 24 {
			s := begun{Stream: recorder.Stream{Service: service, Account: "a", ID: fmt.Sprint(i)}, software: "v1", at: time.Now()}
			w.streams = append(w.streams, s)
			older.attempt(s)
		}
		history(w, older)
	})
}

// Guards against streams that don't go on (LOST) beside a daemon of an older release, which tells attempts only and is killed.
func TestStreamsOfOlderReleaseGoOn(t *testing.T) {
	withOlderDaemon(t, func(w *world, older *daemon) {
		time.Sleep(1500 * time.Millisecond)
		older.stop()
		unknown, err := w.unknown(w.streams)
		if allowed := len(w.streams) / 4; err != nil || len(unknown) > allowed { // A tenth of the messages is lost, and not told again.
			t.Errorf("error %v, not known: %v", err, unknown)
		}
	})
}

// Guards against an attempt that began nothing, told by a daemon of an older release, that counts as the origin (ORDER): the stream began
// at another version while the daemon was cut off, and the daemon is killed after the cut.
func TestAttemptOfOlderReleaseIsNoOrigin(t *testing.T) {
	for _, untilKilled := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		t.Run(untilKilled.String(), func(t *testing.T) {
			withOlderDaemon(t, func(w *world, older *daemon) {
				time.Sleep(300 * time.Millisecond)
				older.step(true, false)
				for i := range w.streams {
					w.streams[i].software = "v2"
					older.attempt(w.streams[i])
				}
				time.Sleep(1100 * time.Millisecond)
				older.step(false, false)
				time.Sleep(untilKilled)
				older.stop()
				if _, err := w.unknown(w.streams); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a confirmed attempt that is followed by another one (ORDER): the caller got no event of the first.
func TestLaterAttemptOfOlderReleaseReplacesConfirmedOne(t *testing.T) {
	withOlderDaemon(t, func(w *world, older *daemon) {
		time.Sleep(1500 * time.Millisecond)
		for i := range w.streams {
			w.streams[i].software = "v2"
			for range 8 { // A tenth of the messages is lost.
				older.attempt(w.streams[i])
			}
		}
		if _, err := w.unknown(w.streams); err != nil {
			t.Error(err)
		}
		time.Sleep(1500 * time.Millisecond)
		if unknown, err := w.unknown(w.streams); err != nil || len(unknown) > 0 {
			t.Errorf("error %v, not known: %v", err, unknown)
		}
	})
}
