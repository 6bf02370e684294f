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

// engine answers at once with the events that it is set to have.
type engine struct {
	mu     sync.Mutex
	asked  int
	events []forwarder.CacheEvent
	err    error
}

func (e *engine) CacheEvents(_ context.Context, _ netip.AddrPort, after uint64, _ time.Duration) (forwarder.CacheEvents, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	return forwarder.CacheEvents{Incarnation: "1", Events: e.events, Next: after + uint64(len(e.events))}, e.err
}

func (e *engine) set(events []forwarder.CacheEvent, err error) (asked int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asked = e.asked
	e.asked, e.events, e.err = 0, events, err
	return asked
}

type heard struct {
	mu    sync.Mutex
	count int
}

func (h *heard) ObserveCache(_ string, events forwarder.CacheEvents) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count += len(events.Events)
}

func TestQuietAndFailingEnginesAreAskedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		observer := &heard{}
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
			if asked := e.set(phase.events, phase.err); asked < phase.least || asked > phase.most {
				t.Errorf("%s: asked %d times in a minute, want %d to %d", phase.name, asked, phase.least, phase.most)
			}
		}
		_ = p.Close()
		if observer.count < 180 {
			t.Errorf("%d events were told", observer.count)
		}
	})
}

func TestTargetsThatAreNotAssignedAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{}
		p := poller.New(poller.Settings[forwarder.CacheEvents]{Engines: e, Observer: &heard{}, Assigned: func(target string) bool { return target != "engine-1" }})
		defer func() { _ = p.Close() }()
		p.SetTargets([]poller.Target{{Name: "engine-1"}})
		time.Sleep(time.Minute)
		if asked := e.set(nil, nil); asked != 0 {
			t.Errorf("asked %d times", asked)
		}
	})
}
