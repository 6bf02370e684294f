package assembler_test

import (
	"testing"
	"time"
)

const (
	// removalTime is the time after the removal of a target's entry from which no daemon sends it requests. It is the shortest
	// time for which such a target goes on serving.
	removalTime = 2 * time.Second
	// touchTime is the time after a disturbance of its connections from which a daemon is bound by such times.
	touchTime = 3 * time.Second
	// gapTime is how long watches hear nothing before the store drops its history.
	gapTime = time.Second
)

// lateAfterRemoval returns how many requests a target gets later than removalTime after its entry was removed, while remove
// disturbs the store's watches around that.
func lateAfterRemoval(t *testing.T, daemons int, remove func(f *fleet, remove func()) (bound time.Time)) (late int) {
	t.Helper()
	f := newFleet(t, daemons)
	leaver := f.services[0]
	stop := f.load(targetKinds[1].send(f))
	time.Sleep(time.Second)
	bound := remove(f, func() { f.store.Delete("servers/service-0") })
	time.Sleep(time.Until(bound) + 2*touchTime)
	sent, served := stop()
	if runsBetween(leaver, time.Time{}, bound) == 0 {
		t.Error("the target got no requests before")
	}
	if served < sent {
		t.Errorf("%d of %d requests were served", served, sent)
	}
	return runsBetween(leaver, bound, time.Now())
}

// Guards against requests to a target that has left for good (DRAIN): its entry is removed after a watch was cut, which is no
// outage of the store in which the entry could have lapsed.
func TestTargetRemovedAfterCutWatchGetsNoNewRequests(t *testing.T) {
	for name, remove := range map[string]func(f *fleet, remove func()) time.Time{
		"soon after": func(f *fleet, remove func()) time.Time {
			f.store.CutWatches()
			time.Sleep(300 * time.Millisecond)
			remove()
			return time.Now().Add(removalTime / 2) // Half of it is left for what delays the news.
		},
		"long after": func(f *fleet, remove func()) time.Time {
			f.store.CutWatches()
			time.Sleep(removalTime + touchTime)
			remove()
			return time.Now().Add(removalTime / 2)
		},
		"before, unheard": func(f *fleet, remove func()) time.Time {
			end := f.store.SilenceWatches()
			remove()
			bound := time.Now().Add(removalTime)
			time.Sleep(gapTime)
			f.store.Compact()
			end()
			return bound
		},
	} {
		t.Run(name, func(t *testing.T) {
			if late := lateAfterRemoval(t, 2, remove); late > 0 {
				t.Errorf("the target got %d requests too late", late)
			}
		})
	}
}

// Guards against requests to a target that has left for good (DRAIN): the connection on which the daemon watches the targets has
// fallen silent, while others to the store work.
func TestTargetRemovedBehindSilentWatchGetsNoNewRequests(t *testing.T) {
	for name, daemons := range map[string]int{"directly": 2, "through another daemon": 5} {
		t.Run(name, func(t *testing.T) {
			late := lateAfterRemoval(t, daemons, func(f *fleet, remove func()) time.Time {
				end := f.store.SilenceWatches()
				f.t.Cleanup(end)
				remove()
				return time.Now().Add(touchTime)
			})
			if late > 0 {
				t.Errorf("the target got %d requests too late", late)
			}
		})
	}
}
