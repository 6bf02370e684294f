package assembler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

// slowEvent is the time to each event of a slow engine, which is longer than its host is silent.
const slowEvent = 2500 * time.Millisecond

// slowEngines replaces the engines by ones with another time to each event.
func (f *fleet) slowEngines(events int, interval time.Duration) {
	f.t.Helper()
	for i, engine := range f.engines {
		f.store.Delete(fmt.Sprint("servers/engine-", i))
		_ = engine.Close()
		f.engines[i] = hostingemulator.NewTarget(hostingemulator.TargetSettings{
			ID: fmt.Sprint("slow-", i), Service: "engines", Zone: "north", Store: f.store, Model: model, Slots: 8, StreamEvents: events, EventInterval: interval, RestartTime: restartTime,
		})
		if err := f.engines[i].Listen(netip.MustParseAddrPort(loopback)); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = f.engines[i].Close() })
	}
	time.Sleep(time.Second) // Lets the daemons learn of the engines.
}

// Guards against a stream that goes on at another engine while its own one, whose host was silent for a moment, still works on it
// (TWICE).
func TestStreamStaysAtSilentEngine(t *testing.T) {
	f := newFleet(t, 1)
	f.routeTimeout = 4 * slowEvent
	f.configure(nil, validKey)
	f.slowEngines(2, slowEvent)
	var group conc.WaitGroup
	for i := range 6 {
		group.Go(func() {
			id := fmt.Sprint("stream-", i)
			r := f.callModel(f.daemons[0], "ask", id, "X-Deadline-Ms", "9000")
			if r.status != 200 || r.err != nil {
				t.Errorf("%s: status %d, %v", id, r.status, r.err)
			}
		})
	}
	time.Sleep(900 * time.Millisecond)
	for _, engine := range f.engines {
		if err := engine.Silence(300 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	group.Wait()
	for i := range 6 {
		if runs := runsOf(f.engines, fmt.Sprint("stream-", i)); len(runs) != 1 {
			t.Errorf("stream-%d ran %d times: %v", i, len(runs), runs)
		}
	}
}
