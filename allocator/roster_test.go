package allocator_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/allocator"
	"github.com/rosemaryrill/rosemaryrill/clocker"
)

// served returns how many small requests a node without a coordinator serves in a time, with a quota that allows for one in 10 ms.
func served(node *allocator.Node, from clocker.Instant, duration time.Duration) (count int) {
	for now := from; now < from.Add(duration); now = now.Add(5 * time.Millisecond) {
		node.Advance(now)
		if waiter := node.Acquire(allocator.HashAccount("a"), 1, now); waiter.RetryAfter == 0 {
			select {
			case <-waiter.Done:
				count++
			default:
				node.Withdraw(waiter, now)
			}
		}
	}
	return count
}

// Guards against daemons that create quota before the others count them, or after they stopped to, and against a quota that is
// divided by too few.
func TestDaemonsCreateTheirPart(t *testing.T) {
	const start = clocker.Instant(time.Hour)
	self := allocator.Peer{Name: "a", DataCentre: "north", LinkMegabits: 10}
	other := allocator.Peer{Name: "b", DataCentre: "north", LinkMegabits: 1}
	remote := allocator.Peer{Name: "c", DataCentre: "south", LinkMegabits: 1}
	all := []allocator.Peer{other, remote}
	for name, c := range map[string]struct {
		first, then allocator.Listing
		// after is the time from the second listing to the requests, of which the served ones in a second are counted.
		after     time.Duration
		confirmed bool
		want      int
	}{
		"never listed":                  {allocator.Listing{}, allocator.Listing{Peers: all}, time.Minute, true, 0},
		"first process, just listed":    {allocator.Listing{}, allocator.Listing{Listed: true}, 100 * time.Millisecond, true, 0},
		"first process, known to all":   {allocator.Listing{}, allocator.Listing{Listed: true}, 10 * time.Second, true, 100},
		"part of three":                 {allocator.Listing{Listed: true, Peers: all}, allocator.Listing{Listed: true, Peers: all}, 10 * time.Second, true, 33},
		"one disappeared lately":        {allocator.Listing{Listed: true, Peers: all}, allocator.Listing{Listed: true, Peers: all[1:]}, time.Minute, true, 33},
		"one disappeared long ago":      {allocator.Listing{Listed: true, Peers: all}, allocator.Listing{Listed: true, Peers: all[1:]}, 3 * time.Minute, true, 50},
		"a data centre disappeared":     {allocator.Listing{Listed: true, Peers: all}, allocator.Listing{Listed: true, Peers: all[:1]}, 30 * time.Minute, true, 33},
		"it disappeared long ago":       {allocator.Listing{Listed: true, Peers: all}, allocator.Listing{Listed: true, Peers: all[:1]}, 2 * time.Hour, true, 50},
		"own entry disappeared":         {allocator.Listing{Listed: true}, allocator.Listing{}, 3 * time.Minute, true, 0},
		"no contact to the store":       {allocator.Listing{Listed: true}, allocator.Listing{Listed: true}, 3 * time.Minute, false, 0},
		"short of contact to the store": {allocator.Listing{Listed: true}, allocator.Listing{Listed: true}, time.Minute, false, 100},
	} {
		node := allocator.NewNode(allocator.NodeSettings{Self: self, Incarnation: 1})
		node.SetQuotas([]allocator.Quota{{Account: "a", RatePerSecond: 100, Burst: 3}}, start)
		node.SetListing(c.first, start)
		node.SetListing(c.then, start.Add(5*time.Second))
		from := start.Add(5*time.Second + c.after)
		for now := start; now < from; now = now.Add(time.Second) {
			if c.confirmed {
				node.Confirm(now)
			}
			node.Advance(now)
		}
		if got := served(node, from, time.Second); got < c.want-5 || got > c.want+5 {
			t.Errorf("%s: %d requests in a second, want about %d", name, got, c.want)
		}
	}
}

// Guards against retry times after which the request is refused again, although nothing else was granted, or that are too long.
func TestRetryTimeIsAccurate(t *testing.T) {
	s := newSimulation(1, 20, 2, small)
	s.run(3 * time.Second)
	var refused *allocator.Waiter
	for refused == nil || refused.RetryAfter == 0 {
		refused = s.nodes[3].Acquire(allocator.HashAccount(small.Account), largeRequest, s.now)
		s.step(s.nodes[3])
		s.run(300 * time.Millisecond)
		s.load(small.Account, 10*small.RatePerSecond, fixed(largeRequest), s.nodes[4:5], 100*time.Millisecond)
	}
	s.run(refused.RetryAfter)
	again := s.nodes[7].Acquire(allocator.HashAccount(small.Account), largeRequest, s.now)
	s.step(s.nodes[7])
	s.run(allocator.MaxWait)
	if !again.Granted || refused.RetryAfter > 2*time.Second {
		t.Errorf("refused for %s, then granted: %t", refused.RetryAfter, again.Granted)
	}
}
