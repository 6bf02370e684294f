package assembler_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// quotaRate and quotaBurst are in tokens; each call of the test counts callTokens.
	quotaRate  = 6_000
	quotaBurst = 6_000
	callTokens = 306
)

// quotaLoad calls through daemons without a pause until it is stopped.
type quotaLoad struct {
	served, refused, odd atomic.Int64
	stop                 atomic.Bool
	group                sync.WaitGroup
}

func (f *fleet) startQuotaLoad(name string, daemons ...*daemon) *quotaLoad {
	l := &quotaLoad{}
	for i, d := range daemons {
		for j := range 4 {
			l.group.Go(func() {
				for k := 0; !l.stop.Load(); k++ {
					r := f.callModel(d, "ask", fmt.Sprint(name, i, "-", j, "-", k))
					retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
					switch {
					case r.status == http.StatusOK:
						l.served.Add(1)
					case r.status == http.StatusTooManyRequests && err == nil && retryAfter > 0:
						l.refused.Add(1)
					default:
						l.odd.Add(1)
					}
				}
			})
		}
	}
	return l
}

// end stops the load and returns the number of served calls.
func (l *quotaLoad) end() int64 {
	l.stop.Store(true)
	l.group.Wait()
	return l.served.Load()
}

// Guards against an account whose requests at all daemons together use more than its quota, and against an end of service when the
// coordinator of the quotas dies.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	f := newFleet(t, 0)
	account := f.account("account-1", []string{validKey})
	account["ratePerS"], account["burst"], account["unit"] = quotaRate, quotaBurst, "tokens"
	f.configureAccounts(nil, []any{account})
	for i := range 3 {
		f.daemons = append(f.daemons, f.start(i))
	}
	coordinator, others := f.quotaCoordinator()

	start := time.Now()
	load := f.startQuotaLoad("all", f.daemons...)
	f.await("refusals", func() bool { return load.refused.Load() > 50 && load.served.Load() > 50 })
	_ = coordinator.Close()
	load.end()

	load2 := f.startQuotaLoad("rest", others...)
	f.await("service without the former coordinator", func() bool { return load2.refused.Load() > 20 && load2.served.Load() > 20 })
	served := load.served.Load() + load2.end()
	// What is counted includes calls that were granted after the last look at the clock.
	allowed := 1.1 * (quotaRate*time.Since(start).Seconds() + quotaBurst)
	if used := float64(callTokens * served); used > allowed {
		t.Errorf("%.0f tokens were used in %s, at most %.0f are allowed", used, time.Since(start), allowed)
	}
	if load2.odd.Load() > 0 {
		t.Errorf("%d calls were neither served nor refused with a time", load2.odd.Load())
	}
}

// quotaCoordinator waits until one daemon creates the quotas of all, and returns it and the others.
func (f *fleet) quotaCoordinator() (coordinator *daemon, others []*daemon) {
	f.t.Helper()
	f.await("coordinator", func() bool {
		coordinator, others = nil, nil
		for _, d := range f.daemons {
			if last := lastLine(d.log.String(), "quota coordination changed"); strings.Contains(last, `"creates":true`) && strings.Contains(last, `"daemons":3`) {
				coordinator = d
			} else if strings.Contains(last, `"coordinator":"daemon-`) {
				others = append(others, d)
			}
		}
		return coordinator != nil && len(others) == len(f.daemons)-1
	})
	return coordinator, others
}

// lastLine returns the last line that contains a text.
func lastLine(log, text string) (last string) {
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			last = line
		}
	}
	return last
}
