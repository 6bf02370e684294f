package limiter_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/limiter"
)

const (
	daemonCount    = 3
	rateLimit      = 300.0
	tickLength     = 10 * time.Millisecond
	tickCount      = 2000
	ticksPerSecond = int(time.Second / tickLength)
)

// loanHistory is a generated history of demand and of network partitions between daemons.
type loanHistory struct {
	// demand is the number of calls in each tick, by daemon and phase.
	demand [4][daemonCount]int
	// partitioned is true for each phase, sender and receiver between which messages are lost.
	partitioned [4][daemonCount][daemonCount]bool
}

func drawLoanHistory(rt *rapid.T) (h loanHistory) {
	for phase := range h.demand {
		for daemon := range daemonCount {
			h.demand[phase][daemon] = rapid.SampledFrom([]int{0, 0, 2, 6, 6}).Draw(rt, "demand")
			for other := range daemonCount {
				h.partitioned[phase][daemon][other] = rapid.IntRange(0, 3).Draw(rt, "cut") == 0
			}
		}
	}
	return h
}

func newDaemons() []*limiter.Limiter {
	var daemons []*limiter.Limiter
	for i := range daemonCount {
		limits := limiter.New(limiter.Settings{Name: fmt.Sprint("daemon-", i)})
		limits.SetAccounts([]limiter.Account{{Name: "a", Limits: limiter.Limits{RequestsPerSecond: rateLimit}}})
		var peers []string
		for other := range daemonCount {
			if other != i {
				peers = append(peers, fmt.Sprint("daemon-", other))
			}
		}
		limits.SetPeers(peers)
		daemons = append(daemons, limits)
	}
	return daemons
}

// exchangeUsage sends the usage of each daemon to the peers that it can reach, and returns the
// number of loans in it.
func exchangeUsage(daemons []*limiter.Limiter, partitioned [daemonCount][daemonCount]bool) (loans int) {
	for i, from := range daemons {
		usages := from.Usage()
		for _, usage := range usages {
			loans += len(usage.Lent)
		}
		for other, to := range daemons {
			if other != i && !partitioned[i][other] {
				to.ObservePeer(fmt.Sprint("daemon-", i), usages, time.Now())
			}
		}
	}
	return loans
}

// admitCalls requests admission for the calls of one tick and returns how many were admitted.
func admitCalls(t *testing.T, daemon *limiter.Limiter, calls int) (count int, err error) {
	for range calls {
		release, err := daemon.Admit(t.Context(), limiter.Request{Account: "a", Tokens: 1})
		var limit *limiter.LimitError
		switch {
		case err == nil:
			release()
			count++
		case !errors.As(err, &limit) || limit.RetryAfter <= 0:
			return count, fmt.Errorf("unexpected error %w", err)
		}
	}
	return count, nil
}

// TestLimitHoldsOverAllDaemons checks that in every interval all daemons together admit at most
// the rate limit times its length plus one full bucket, while demand shifts between the daemons
// and messages between them are lost in one or both directions.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	loans, beyondEven := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		h := drawLoanHistory(rt)
		worst := 0.0
		var failure error
		synctest.Test(t, func(t *testing.T) {
			daemons := newDaemons()
			var window [ticksPerSecond][daemonCount]int
			level := 0.0
			for tick := range tickCount {
				phase := tick * len(h.demand) / tickCount
				if tick%ticksPerSecond == 0 {
					loans += exchangeUsage(daemons, h.partitioned[phase])
				}
				sums := [daemonCount]int{}
				for i, daemon := range daemons {
					count, err := admitCalls(t, daemon, h.demand[phase][i])
					failure = errors.Join(failure, err)
					window[tick%ticksPerSecond][i] = count
				}
				for i := range daemons {
					level += float64(window[tick%ticksPerSecond][i])
					for _, counts := range window {
						sums[i] += counts[i]
					}
				}
				worst = max(worst, level)
				level = max(level-rateLimit*tickLength.Seconds(), 0)
				if max(sums[0], sums[1], sums[2]) > int(1.5*rateLimit/daemonCount) && tick > 4*ticksPerSecond {
					beyondEven++
				}
				time.Sleep(tickLength)
			}
		})
		// Each daemon may be one call in debt.
		if bound := rateLimit + daemonCount; worst > bound || failure != nil {
			rt.Fatalf("%v calls admitted beyond the rate, the bound is %v: %v", worst, bound, failure)
		}
	})
	t.Logf("loans reported: %d, ticks in which a daemon used more than its even part: %d", loans, beyondEven)
	if loans == 0 || beyondEven == 0 {
		t.Fatal("no part of a limit was lent and used")
	}
}
