package assembler_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// askedTime is the time for which a target wants no requests, and heedDelay the time after its first refusal in which all
	// daemons have got one of their own and what they had sent before has arrived.
	askedTime = 3 * time.Second
	heedDelay = 700 * time.Millisecond
	// strayRequests is how many requests a daemon may send in the time after that.
	strayRequests = 2
)

// Guards against requests that a target has asked not to get (BUDGET): it answered 503 with Retry-After. Afterwards it gets
// requests again.
func TestTargetThatAsksForTimeGetsNoRequests(t *testing.T) {
	for _, c := range targetKinds {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			busy := c.targets(f)[0]
			stop := f.load(c.send(f))
			time.Sleep(time.Second)
			asked := time.Now()
			busy.SetFaults(hostingemulator.TargetFaults{RetryAfter: strconv.FormatFloat(askedTime.Seconds(), 'f', 1, 64)})
			time.Sleep(askedTime - 100*time.Millisecond)
			ended := time.Now()
			busy.SetFaults(hostingemulator.TargetFaults{})
			time.Sleep(time.Second)
			for _, other := range c.targets(f)[1:] {
				other.Drain() // Otherwise prompts might all go to where they are cached.
			}
			f.await("requests after that time", func() bool { return runsBetween(busy, ended, time.Now()) > 5 })
			sent, served := stop()
			late := 0
			for _, arrival := range busy.Arrivals() {
				if arrival.At.After(asked.Add(heedDelay)) && arrival.At.Before(ended) {
					late++
				}
			}
			if late > strayRequests*len(f.daemons) {
				t.Errorf("the target got %d requests from %s after it had asked for %s", late, heedDelay, askedTime)
			}
			if served < sent {
				t.Errorf("%d of %d requests were served", served, sent)
			}
		})
	}
}

// Guards against requests that wait for targets, or are tried at them, although all of them have asked for time (BUDGET): each is
// refused at once, with the time after which the first target takes requests.
func TestRequestsAreRefusedWhileAllTargetsAskForTime(t *testing.T) {
	f := newFleet(t, 1)
	for i, target := range f.services {
		target.SetFaults(hostingemulator.TargetFaults{RetryAfter: strconv.Itoa(20 + 10*i)})
	}
	f.await("refusals of both targets", func() bool {
		f.call(f.daemons[0], http.MethodGet, "/look/x", "first", "")
		return len(f.services[0].Arrivals()) > 0 && len(f.services[1].Arrivals()) > 0
	})
	before := len(f.services[0].Arrivals()) + len(f.services[1].Arrivals())
	for range 5 {
		began := time.Now()
		r := f.call(f.daemons[0], http.MethodGet, "/look/x", "second", "")
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if r.status != http.StatusServiceUnavailable || err != nil || seconds < 10 || seconds > 20 || time.Since(began) > time.Second {
			t.Errorf("status %d, Retry-After %q after %s", r.status, r.header.Get("Retry-After"), time.Since(began))
		}
	}
	if after := len(f.services[0].Arrivals()) + len(f.services[1].Arrivals()); after > before {
		t.Errorf("%d requests were sent", after-before)
	}
}
