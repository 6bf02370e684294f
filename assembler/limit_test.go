package assembler_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
)

const (
	// namedLimit is the number of requests a second that a target in need takes, and limitWindow the time in which it may
	// get one and a half times of what that allows, and limitSlack requests, once all daemons know of it after contactTime.
	namedLimit  = 2.0
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// mostIn returns the largest number of the runs from one time to another within any span of the length.
func mostIn(runs []hostingemulator.Run, from, to time.Time, length time.Duration) (most int) {
	var counted []time.Time
	for _, run := range runs {
		if !run.At.Before(from) && run.At.Before(to) {
			counted = append(counted, run.At)
		}
	}
	first := 0
	for last, at := range counted {
		for at.Sub(counted[first]) > length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// load sends requests through all daemons, one every 20 ms, until the returned function is called. That returns how many
// were sent and how many of them were served.
func (f *fleet) load(send func(d *daemon, id string) reply) (stop func() (sent, served int64)) {
	var stopped atomic.Bool
	var sent, served atomic.Int64
	var group conc.WaitGroup
	group.Go(func() {
		for i := 0; !stopped.Load(); i++ {
			group.Go(func() {
				sent.Add(1)
				if r := send(f.daemons[i%len(f.daemons)], fmt.Sprint("load", i)); r.status == http.StatusOK && r.err == nil {
					served.Add(1)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	return func() (int64, int64) {
		stopped.Store(true)
		group.Wait()
		return sent.Load(), served.Load()
	}
}

// targetKinds are the kinds of targets, with a request that is sent to each.
var targetKinds = []struct {
	name    string
	targets func(f *fleet) []*hostingemulator.Target
	send    func(f *fleet) func(d *daemon, id string) reply
}{
	{"engine", func(f *fleet) []*hostingemulator.Target { return f.engines }, func(f *fleet) func(d *daemon, id string) reply {
		return func(d *daemon, id string) reply { return f.callModel(d, "ask", id) }
	}},
	{"plain service", func(f *fleet) []*hostingemulator.Target { return f.services }, func(f *fleet) func(d *daemon, id string) reply {
		return func(d *daemon, id string) reply { return f.call(d, http.MethodGet, "/look/"+id, id, "") }
	}},
}

// Guards against a target in need getting more requests from all daemons together than the limit that it named (LIMIT).
func TestNamedLimitHoldsOverAllDaemons(t *testing.T) {
	for _, c := range targetKinds {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3)
			limited := c.targets(f)[0]
			stop := f.load(c.send(f))
			time.Sleep(time.Second)
			named := time.Now()
			limited.SetFaults(hostingemulator.TargetFaults{NamedLimit: namedLimit})
			time.Sleep(contactTime + 2*limitWindow)
			ended := time.Now()
			limited.SetFaults(hostingemulator.TargetFaults{})
			time.Sleep(contactTime)
			sent, served := stop()
			allowed := int(1.5*namedLimit*limitWindow.Seconds()) + limitSlack
			if most := mostIn(limited.Runs(), named.Add(contactTime), ended, limitWindow); most > allowed {
				t.Errorf("the target got %d requests in %s, allowed are %d", most, limitWindow, allowed)
			}
			if served < sent*99/100 {
				t.Errorf("%d of %d requests were served", served, sent)
			}
			if after := mostIn(limited.Runs(), ended, time.Now(), time.Second); after < 5 {
				t.Errorf("the target got at most %d requests a second after its need had ended", after)
			}
		})
	}
}
