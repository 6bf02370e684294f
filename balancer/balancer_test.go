package balancer_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
)

type fixture struct {
	now      time.Time
	balancer *balancer.Balancer
	reasons  map[balancer.Reason]int
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_000_000, 0), reasons: make(map[balancer.Reason]int)}
	f.balancer = balancer.New(balancer.Settings{
		DataCentre: "north", Now: func() time.Time { return f.now }, GigabyteCost: func() float64 { return gigabyteCost },
		CacheGigabyteCost: func() float64 { return gigabyteCost },
		Observe:           func(_ string, reason balancer.Reason, _ int) { f.reasons[reason]++ },
	})
	return f
}

func request(bytes int) balancer.Request {
	return balancer.Request{Objective: objective, Bytes: bytes, Daemons: 10, ServedAtHome: true}
}

// leaves reports whether a request leaves, with expected times at home and in "south".
func (f *fixture) leaves(request balancer.Request, home, there time.Duration, freeSlots int) bool {
	options := []balancer.Option{{DataCentre: "north", Expected: home}, {DataCentre: "south", Expected: there, FreeSlots: freeSlots}}
	index, chosen := f.balancer.Choose(request, options)
	return chosen && index == 1
}

// A request stays if what it gains is worth less than its bytes, or than the round trip takes.
func TestRequestLeavesIfItGainsMoreThanItCosts(t *testing.T) {
	const late, soon = 2 * objective, objective / 10
	for name, test := range map[string]struct {
		bytes     int
		home      time.Duration
		roundTrip time.Duration
		leaves    bool
	}{
		"late at home":          {2_000, late, time.Millisecond, true},
		"on time at home":       {2_000, soon, time.Millisecond, false},
		"large and a bit slow":  {60_000, objective / 2, time.Millisecond, false},
		"larger than its worth": {300_000, late, time.Millisecond, false},
		"far away":              {2_000, late, late, false},
	} {
		f := newFixture()
		f.balancer.RecordAnswer("south")
		f.balancer.RecordRoundTrip("south", time.Second)
		f.balancer.RecordRoundTrip("south", test.roundTrip)
		if left := f.leaves(request(test.bytes), test.home, soon, 100); left != test.leaves {
			t.Errorf("%s: left %v", name, left)
		}
	}
}

// In an interval, this daemon sends at most its part of half of the free slots, and more once time has passed.
func TestBoundFollowsFreeSlots(t *testing.T) {
	f := newFixture()
	f.balancer.RecordAnswer("south")
	count := func(freeSlots int) (left int) {
		for range 100 {
			if f.leaves(request(2_000), 2*objective, 0, freeSlots) {
				left++
			}
		}
		return left
	}
	f.leaves(request(2_000), 2*objective, 0, 200)
	for range 3 {
		f.now = f.now.Add(250 * time.Millisecond)
		if left := count(200); left < 9 || left > 11 {
			t.Errorf("%d requests of one of ten daemons left for 200 free slots in an interval, want 10", left)
		}
	}
	f.now = f.now.Add(250 * time.Millisecond)
	if left := count(0); left > 1 {
		t.Errorf("%d requests left for no free slot", left)
	}
}

// After a failure, and while nothing is heard, single requests leave, and fewer with each that has no answer. An answer ends that.
func TestUnknownDataCentreGetsSingleRequests(t *testing.T) {
	f := newFixture()
	f.balancer.RecordAnswer("south")
	f.now = f.now.Add(time.Millisecond)
	f.balancer.RecordFailure("south")
	left := 0
	for range 6_000 {
		f.now = f.now.Add(10 * time.Millisecond)
		if f.leaves(request(2_000), 2*objective, 0, 1_000) {
			left++
		}
	}
	if left < 3 || left > 8 {
		t.Errorf("%d requests left in a minute", left)
	}
	f.balancer.RecordAnswer("south")
	f.now = f.now.Add(250 * time.Millisecond)
	if !f.leaves(request(2_000), 2*objective, 0, 1_000) || !f.leaves(request(2_000), 2*objective, 0, 1_000) {
		t.Error("no requests left after an answer")
	}
}

// A request that the own data centre serves waits for it if the others may get no more; one that it does not serve goes anywhere.
func TestRequestsWithoutTargetAtHome(t *testing.T) {
	f := newFixture()
	options := []balancer.Option{{DataCentre: "south"}, {DataCentre: "west", Expected: time.Millisecond}}
	f.balancer.RecordAnswer("west")
	kept, left := request(2_000), request(2_000)
	left.ServedAtHome = false
	sent := 0
	for range 10 {
		if _, chosen := f.balancer.Choose(kept, options); chosen {
			sent++
		}
		if index, chosen := f.balancer.Choose(left, options); !chosen || options[index].DataCentre != "west" {
			t.Fatal("a request that is not served at home did not go to the data centre that is known")
		}
	}
	if sent != 2 || f.reasons[balancer.ReasonUnavailable] != 2 || f.reasons[balancer.ReasonNotServed] != 10 {
		t.Errorf("%d requests left, by reasons %v", sent, f.reasons)
	}
}

// Sending goes on with less gain than it begins with, so that a small change of the load does not end it.
func TestSendingHasHysteresis(t *testing.T) {
	f := newFixture()
	f.balancer.RecordAnswer("south")
	const home = objective / 5 // Its gain is between the two bounds.
	if f.leaves(request(8_000), home, 0, 1_000) {
		t.Error("sending began with a small gain")
	}
	if !f.leaves(request(8_000), 2*objective, 0, 1_000) || !f.leaves(request(8_000), home, 0, 1_000) {
		t.Error("sending ended with a small gain")
	}
	f.now = f.now.Add(3 * time.Second)
	f.balancer.RecordAnswer("south")
	if f.leaves(request(8_000), home, 0, 1_000) {
		t.Error("sending began again with a small gain")
	}
}

// Cached parts move only if that saves more than it costs.
func TestCachedPartsMoveIfThatIsWorthIt(t *testing.T) {
	b := newFixture().balancer
	if b.WorthMoving(240_000_000, 200*time.Millisecond, objective) || !b.WorthMoving(1_000, 200*time.Millisecond, objective) {
		t.Error("the price of the bytes does not decide")
	}
}
