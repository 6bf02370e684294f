package detector_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// TestEngineStatesOverSockets checks the states of an engine that freezes, resumes, crashes and restarts.
func TestEngineStatesOverSockets(t *testing.T) {
	engine := engineemulator.New(engineemulator.Settings{Weights: []string{"w1"}})
	t.Cleanup(func() { _ = engine.Close() })
	if err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	client := forwarder.New(forwarder.Settings{})
	t.Cleanup(func() { _ = client.Close() })
	d := detector.New(detector.Settings{Poller: detector.NewPoller(client)})
	t.Cleanup(func() { _ = d.Close() })
	changes := d.Subscribe()
	d.SetTargets([]detector.Target{{Name: "t", Address: engine.Address()}})
	waitForState(t, changes, d, func(s detector.Status) bool { return s.Incarnation == engine.Incarnation() })
	engine.SetFaults(engineemulator.Faults{Freeze: true})
	waitForState(t, changes, d, func(s detector.Status) bool { return s.State == detector.Suspect })
	engine.SetFaults(engineemulator.Faults{})
	waitForState(t, changes, d, func(s detector.Status) bool { return s.State == detector.Live })
	engine.Crash()
	waitForState(t, changes, d, func(s detector.Status) bool {
		return s.State == detector.Leaving && s.Reason == detector.ReasonRefused
	})
	if err := engine.Restart(); err != nil {
		t.Fatal(err)
	}
	waitForState(t, changes, d, func(s detector.Status) bool {
		return s.State == detector.Live && s.Incarnation == engine.Incarnation()
	})
}

// waitForState waits until the status of the target meets a condition, for at most a minute.
func waitForState(t *testing.T, changes *detector.Subscription, d *detector.Detector, met func(detector.Status) bool) {
	t.Helper()
	timeout := time.After(time.Minute)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !met(d.Status("t")) {
		select {
		case <-changes.C():
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("still %+v", d.Status("t"))
		}
	}
}
