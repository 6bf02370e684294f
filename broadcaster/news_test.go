package broadcaster_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

// newsPerDaemon is the number of changes of each kind that every daemon reports at once.
const newsPerDaemon = 30

// maxNewsPerMessage is the number of changes of a kind up to which a message of an aggregator may grow.
const maxNewsPerMessage = 1024

// Guards against messages of aggregators that grow with the number of daemons: what all of them report of the same thing
// is passed on once in a message, and a flood of changes is bounded.
func TestAggregatorsJoinAndBoundNews(t *testing.T) {
	for name, distinct := range map[string]bool{"the same news of all": false, "different news of each": true} {
		f := newSimulatedFleet(90, 3)
		f.run(t, 2*time.Second)
		for i, d := range f.daemons {
			from := 0
			if distinct {
				from = i * newsPerDaemon
			}
			for n := from; n < from+newsPerDaemon; n++ {
				d.own.Strikes = append(d.own.Strikes, attributor.Strike{Cause: attributor.Cause(n), Incarnation: 8})
				d.own.Completions = append(d.own.Completions, attributor.Completion{Cause: attributor.Cause(n)})
				d.own.RateLimits = append(d.own.RateLimits, placer.RateLimit{Target: placer.TargetHash(n), Limited: true, PerSecond: 3})
			}
		}
		repeated, most := f.newsInMessages(t, maxWorkAge)
		if repeated > 0 {
			t.Errorf("%s: %d changes came more than once in a message", name, repeated)
		}
		if most > maxNewsPerMessage {
			t.Errorf("%s: %d changes of a kind came in a message", name, most)
		}
	}
}

// newsInMessages runs the fleet for a while. It returns how many changes were repeated within a datagram, and the most
// strikes in one message of an aggregator, which may consist of several datagrams.
func (f *simulatedFleet) newsInMessages(t *testing.T, duration time.Duration) (repeated, most int) {
	f.observe = func(datagrams [][]byte) {
		seen := make(map[any]bool)
		strikes := 0
		for _, datagram := range datagrams {
			message, err := broadcaster.Decode(datagram)
			if err != nil {
				t.Fatal(err)
			}
			strikes += len(message.Update.Strikes)
			repeated += countRepeated(seen, message.Update)
		}
		most = max(most, strikes)
	}
	f.run(t, duration)
	return repeated, most
}

// countRepeated counts the changes that were seen before.
func countRepeated(seen map[any]bool, update placer.PeerUpdate) (repeated int) {
	count := func(key any) {
		if seen[key] {
			repeated++
		}
		seen[key] = true
	}
	for _, s := range update.Strikes {
		count([2]uint64{uint64(s.Cause), s.Incarnation})
	}
	for _, c := range update.Completions {
		count(c.Cause)
	}
	for _, l := range update.RateLimits {
		count(l.Target)
	}
	return repeated
}
