package connector_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
)

// Guards against idle connections to targets that are gone, which are never asked for again and keep their descriptors until none
// is left.
func TestIdleConnectionsToFormerTargetsAreClosed(t *testing.T) {
	const formerTargets = 20
	c := connector.New(connector.Settings{IdleTimeout: 100 * time.Millisecond})
	defer func() { _ = c.Close() }()
	var former []*scriptedTarget
	for range formerTargets {
		target := newScriptedTarget(t, echo)
		if _, err := send(t, c, target.address, newRequest("one")); err != nil {
			t.Fatal(err)
		}
		former = append(former, target)
	}
	current := newScriptedTarget(t, echo)
	for range 2 { // The second one comes long after the others have expired.
		time.Sleep(1100 * time.Millisecond)
		if _, err := send(t, c, current.address, newRequest("two")); err != nil {
			t.Fatal(err)
		}
	}
	open := int64(0)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		open = 0
		for _, target := range former {
			open += target.open.Load()
		}
		if open == 0 {
			return
		}
	}
	t.Errorf("%d of %d connections to former targets are open", open, formerTargets)
}
