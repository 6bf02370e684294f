package poller_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/poller"
)

// engine is a fake engine that responds at once with the events that were last passed to set.
type engine struct {
	mu     sync.Mutex
	polls  int
	events []forwarder.CacheEvent
	err    error
}

func (e *engine) CacheEvents(_ context.Context, _ netip.AddrPort, after uint64, _ time.Duration) (forwarder.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	return forwarder.CacheEvents{Incarnation: "1", Events: e.events, Next: after + uint64(len(e.events))}, e.err
}

// set replaces the events and the error, and returns the number of polls since its last call.
func (e *engine) set(events []forwarder.CacheEvent, err error) (polls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	polls = e.polls
	e.polls, e.events, e.err = 0, events, err
	return polls
}

type recorder struct {
	mu    sync.Mutex
	count int
}

func (r *recorder) ObserveCache(_ string, events forwarder.CacheEvents) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count += len(events.Events)
}

func TestIdleAndFailingEnginesArePolledLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		observer := &recorder{}
		p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: e, Observer: observer})
		defer func() { _ = p.Close() }()
		p.SetTargets([]poller.Target{{Name: "engine-1"}})
		some := []forwarder.CacheEvent{{}}
		for _, phase := range []struct {
			name        string
			events      []forwarder.CacheEvent
			err         error
			least, most int
		}{
			{"quiet", nil, nil, 10, 20},
			{"busy", some, nil, 90, 155},
			{"failing", nil, errors.New("refused"), 10, 20},
			{"busy again", some, nil, 90, 155},
		} {
			e.set(phase.events, phase.err)
			time.Sleep(time.Minute)
			if polls := e.set(phase.events, phase.err); polls < phase.least || polls > phase.most {
				t.Errorf("%s: %d polls in a minute, want %d to %d", phase.name, polls, phase.least, phase.most)
			}
		}
		_ = p.Close()
		if observer.count < 180 {
			t.Errorf("%d events were observed", observer.count)
		}
	})
}

func TestUnassignedTargetsAreNotPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: e, Observer: &recorder{}, Assigned: func(target string) bool { return target != "engine-1" }})
		defer func() { _ = p.Close() }()
		p.SetTargets([]poller.Target{{Name: "engine-1"}})
		time.Sleep(time.Minute)
		if polls := e.set(nil, nil); polls != 0 {
			t.Errorf("%d polls of an unassigned target", polls)
		}
	})
}

// copyingEngine sends a late copy of its first response in place of the third.
type copyingEngine struct{ polls int }

func (e *copyingEngine) CacheEvents(_ context.Context, _ netip.AddrPort, after uint64, _ time.Duration) (forwarder.CacheEvents, error) {
	e.polls++
	if e.polls == 3 {
		after = 0
	}
	return forwarder.CacheEvents{Incarnation: "1", Events: []forwarder.CacheEvent{{}}, Next: after + 1}, nil
}

// Guards against events that a late copy of a response brings once more, which may have been undone since.
func TestEventsOfLateCopyAreNotObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, observer := &copyingEngine{}, &recorder{}
		p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: e, Observer: observer})
		p.SetTargets([]poller.Target{{Name: "engine-1"}})
		time.Sleep(20 * time.Second)
		_ = p.Close()
		if e.polls < 10 || observer.count != e.polls-1 {
			t.Errorf("%d events observed in %d polls, one of which got a copy", observer.count, e.polls)
		}
	})
}

// Guards against a store whose failures go unnoticed, since an observer gets only events.
func TestOutcomesOfPollsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{err: errors.New("refused")}
		var mu sync.Mutex
		failed, succeeded := 0, 0
		p := poller.New(poller.Settings[forwarder.CacheEvents]{
			Engines: e, Observer: &recorder{},
			OnPoll: func(target string, events forwarder.CacheEvents, err error) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					failed++
				case target == "store" && events.Incarnation == "1":
					succeeded++
				}
			},
		})
		p.SetTargets([]poller.Target{{Name: "store"}})
		time.Sleep(10 * time.Second)
		e.set(nil, nil)
		time.Sleep(10 * time.Second)
		_ = p.Close()
		if failed < 2 || succeeded < 1 {
			t.Errorf("%d failed and %d successful polls were told", failed, succeeded)
		}
	})
}
