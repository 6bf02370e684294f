package placer_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// contactTime is the time after which all daemons know of a limit that a target named, and limitWindow the span in which
	// it may get one and a half times of what the limit allows, and limitSlack requests.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// limitFleet is a set of daemons that send plain requests to the same targets, of which e0 names a limit. Messages between
// them take messageDelay, and some are lost.
type limitFleet struct {
	*fixture
	daemons  []*placer.Placer
	limit    float64
	limited  bool
	arrivals []time.Time
	messages []limitMessage
}

type limitMessage struct {
	from    int
	update  placer.PeerUpdate
	arrives time.Time
}

const messageDelay = 400 * time.Millisecond

func newLimitFleet(daemons int, limit float64) *limitFleet {
	f := &limitFleet{fixture: &fixture{now: time.Unix(1_000_000, 0)}, limit: limit}
	for i := range daemons {
		p := placer.New(placer.Settings{Name: fmt.Sprint("d", i), DataCentre: "north", Now: func() time.Time { return f.now }, VersionBound: versionBound})
		p.SetTargets(targets(3, 1))
		var peers []string
		for other := range daemons {
			if other != i {
				peers = append(peers, fmt.Sprint("d", other))
			}
		}
		p.SetPeers(peers)
		f.daemons = append(f.daemons, p)
	}
	return f
}

// send sends one request of a daemon. The other targets have no limit, so there is always one that takes it.
func (f *limitFleet) send(daemon int) {
	choice, err := f.daemons[daemon].Choose(placer.Call{Service: service}, nil)
	if err != nil {
		panic(err)
	}
	defer choice.Attempt.Finish()
	if choice.Target.ID == "e0" {
		f.arrivals = append(f.arrivals, f.now)
	}
	if choice.Target.ID == "e0" && f.limited {
		choice.Attempt.RecordRateLimit(f.limit)
	} else {
		choice.Attempt.RecordNoRateLimit()
	}
}

// exchange delivers the messages that are due, and lets each daemon send one that is lost if lost returns true.
func (f *limitFleet) exchange(lost func() bool) {
	for len(f.messages) > 0 && !f.messages[0].arrives.After(f.now) {
		for i, daemon := range f.daemons {
			if i != f.messages[0].from {
				daemon.Import(fmt.Sprint("d", f.messages[0].from), f.messages[0].update)
			}
		}
		f.messages = f.messages[1:]
	}
	for i, daemon := range f.daemons {
		if update := daemon.Export(); !lost() {
			f.messages = append(f.messages, limitMessage{from: i, update: update, arrives: f.now.Add(messageDelay)})
		}
	}
}

// most returns the largest number of arrivals in a limitWindow that begins at a time or later.
func (f *limitFleet) most(from time.Time) (most int) {
	first := 0
	for last, at := range f.arrivals {
		if at.Before(from) {
			first = last + 1
			continue
		}
		for at.Sub(f.arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a target in need getting more requests from fleets of any size than the limit that it named (LIMIT).
func TestNamedLimitHoldsInFleetsOfAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitFleet(rapid.IntRange(1, 25).Draw(t, "daemons"), rapid.Float64Range(0, 40).Draw(t, "limit"))
		perStep := rapid.IntRange(1, 12).Draw(t, "requests each 50 ms")
		pause := rapid.IntRange(1, 40).Draw(t, "steps of a pause")
		lossPercent := rapid.IntRange(0, 20).Draw(t, "lost messages in a hundred")
		sender, losses := 0, 0
		lost := func() bool { losses += 37; return losses%100 < lossPercent }
		var named time.Time
		for step := range 400 {
			f.now = f.now.Add(50 * time.Millisecond)
			if step == 40 {
				f.limited, named = true, f.now
			}
			if step/pause%4 != 3 { // The daemons pause and start again together.
				for range perStep {
					sender = (sender*7 + 3) % (len(f.daemons)*5 + 1)
					f.send(sender % len(f.daemons))
					sender++
				}
			}
			if step%5 == 0 {
				f.exchange(lost)
			}
		}
		if most, allowed := f.most(named.Add(contactTime)), int(1.5*f.limit*limitWindow.Seconds())+limitSlack; most > allowed {
			t.Fatalf("the target got %d requests in %s, allowed are %d", most, limitWindow, allowed)
		}
	})
}

// A target at its limit still gets what it takes, and all of its part again once it names no limit any more.
func TestLimitedTargetIsUsed(t *testing.T) {
	f := newLimitFleet(9, 4)
	run := func(duration time.Duration) (arrivals int) {
		before := len(f.arrivals)
		for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
			f.send(int(f.now.UnixMilli()/10) % len(f.daemons))
			if f.now.UnixMilli()%50 == 0 {
				f.exchange(func() bool { return false })
			}
		}
		return len(f.arrivals) - before
	}
	run(2 * time.Second)
	f.limited = true
	run(contactTime)
	if got := run(10 * time.Second); got < 30 || got > 44 {
		t.Errorf("the target got %d requests in 10 s with a limit of 4 a second", got)
	}
	f.limited = false
	run(contactTime)
	if got := run(time.Second); got < 20 {
		t.Errorf("the target got %d of 100 requests in a second after its need had ended", got)
	}
}

// If all targets are at their limits, the refusal tells when one takes a request again.
func TestRefusalAtLimitTellsWhenToRetry(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(shortCall()).Attempt.RecordRateLimit(2)
	_, err := f.placer.Choose(shortCall(), nil)
	var none *placer.NoTargetError
	if !errors.As(err, &none) || none.RetryAfter != 500*time.Millisecond {
		t.Fatalf("got %v", err)
	}
	f.now = f.now.Add(none.RetryAfter)
	f.choose(shortCall())
}

// An answer to a request that was sent before the limit was named says nothing of its end.
func TestEarlierAnswerDoesNotEndLimit(t *testing.T) {
	f := newFixture(t, 1)
	earlier := f.choose(shortCall()).Attempt
	f.now = f.now.Add(time.Second)
	f.choose(shortCall()).Attempt.RecordRateLimit(1)
	earlier.RecordNoRateLimit()
	if _, err := f.placer.Choose(shortCall(), nil); err == nil {
		t.Error("the limit has ended")
	}
	f.now = f.now.Add(time.Second)
	f.choose(shortCall()).Attempt.RecordNoRateLimit()
	f.choose(shortCall())
}
