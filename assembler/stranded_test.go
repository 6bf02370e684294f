package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// strandedTime is how long daemons have no links to targets, and lossTime the part of it in which that may hurt.
	strandedTime = 6 * time.Second
	lossTime     = 3 * time.Second
	// strandedCallers is the number of callers of each daemon.
	strandedCallers = 6
)

// tally counts the requests at a daemon and those that were served.
type tally struct{ sent, served atomic.Int64 }

func (c *tally) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }

// strandedFleet runs load at all daemons while the first ones lose their links, and returns what was served afterwards at these and at
// the others. It also checks that no request that must run once ran twice, and that none that was refused as not run has run.
func strandedFleet(t *testing.T, daemons, stranded int, state linkState) (f *fleet, cut, others *tally) {
	t.Helper()
	f = newFleet(t, daemons)
	cut, others = &tally{}, &tally{}
	var counted atomic.Bool
	var mu sync.Mutex
	refused, once := make(map[string]bool), make(map[string]bool)
	end := time.Now().Add(time.Second + lossTime + strandedTime)
	var group conc.WaitGroup
	for i, d := range f.daemons {
		of := others
		if i < stranded {
			of = cut
		}
		for caller := range strandedCallers {
			group.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%d-%d-%d", i, caller, n)
					isCounted := counted.Load()
					r := callAnything(f, d, n, id)
					mu.Lock()
					once[id] = n%3 != 0
					refused[id] = r.err == nil && r.status == http.StatusServiceUnavailable
					mu.Unlock()
					if isCounted {
						of.sent.Add(1)
						if r.err == nil && r.status == http.StatusOK {
							of.served.Add(1)
						}
					}
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	for _, d := range f.daemons[:stranded] {
		d.links.set(state)
	}
	time.Sleep(lossTime)
	counted.Store(true)
	time.Sleep(strandedTime - lossTime)
	counted.Store(false)
	for _, d := range f.daemons[:stranded] {
		d.links.set(linksWork)
	}
	group.Wait()
	for id := range once {
		runs := runsOf(append(f.engines, f.services...), id)
		if once[id] && len(runs) > 1 && !strings.HasPrefix(runs[0].Path, "/ask") {
			t.Errorf("%s ran %d times: %v (TWICE)", id, len(runs), runs)
		}
		if refused[id] && len(runs) > 0 {
			t.Errorf("%s was refused as not run, and ran: %v (REFUSED)", id, runs)
		}
	}
	t.Logf("the daemons without links served %d of %d, the others %d of %d", cut.served.Load(), cut.sent.Load(), others.served.Load(), others.sent.Load())
	return f, cut, others
}

// callAnything sends the n-th request of a caller: look-ups, orders and streams in turn.
func callAnything(f *fleet, d *daemon, n int, id string) reply {
	switch n % 3 {
	case 0:
		return f.call(d, http.MethodGet, "/look/x", id, "")
	case 1:
		return f.call(d, http.MethodPost, "/order/x", id, "wheel")
	default:
		return f.callModel(d, "ask", id)
	}
}

// Guards against callers of daemons that have lost their links to the targets being served worse than others (RECOVER).
func TestDaemonsWithoutLinksServeTheirCallers(t *testing.T) {
	for name, c := range map[string]struct {
		daemons, stranded int
		state             linkState
	}{
		"silent":                    {3, 1, linksSilent},
		"refused":                   {3, 1, linksRefused},
		"new ones refused":          {3, 1, newLinksRefused},
		"most of the daemons":       {4, 3, linksSilent},
		"most daemons, and refused": {4, 3, linksRefused},
	} {
		t.Run(name, func(t *testing.T) {
			f, cut, others := strandedFleet(t, c.daemons, c.stranded, c.state)
			if cut.sent.Load() < 20 || others.served.Load() < 20 {
				t.Fatal("too few requests")
			}
			if log := f.daemons[0].log.String(); c.state == linksRefused && strings.Contains(log, "strike") && !strings.Contains(log, "shows no crash") {
				t.Error("a refused connection counted as the crash of a target")
			}
			if cut.share() < others.share()*2/3 {
				t.Errorf("%.2f of the requests at daemons without links were served, %.2f at the others", cut.share(), others.share())
			}
		})
	}
}
