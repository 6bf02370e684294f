package comparer_test

import (
	"testing"

	"github.com/rosemaryrill/rosemaryrill/comparer"
)

// checkRatio fails the test if got is more than bound times the reference.
func checkRatio(t *testing.T, name string, got, reference, bound float64) {
	t.Helper()
	if got > reference*bound {
		t.Errorf("%s is %v, more than %v times %v", name, got, bound, reference)
	}
}

func TestRecifeRecomputationAndHitRate(t *testing.T) {
	results := compareCached(t, comparer.Recife(), comparer.FaultNone)
	ours, oracle := results[comparer.PolicyRosemaryrill], results[comparer.PolicyOracle]
	leastLoaded := results[comparer.PolicyLeastLoaded]
	checkRatio(t, "recomputed tokens", float64(ours.RecomputedTokens), float64(leastLoaded.RecomputedTokens), 1.0/3)
	checkRatio(t, "hit rate of the oracle", oracle.HitRate, ours.HitRate, 1/0.95)
}

func TestKiyomeTTFT99IsBelowEveryBaseline(t *testing.T) {
	for _, fault := range comparer.Faults() {
		t.Run(string(fault), func(t *testing.T) {
			results := compareCached(t, comparer.Kiyome(), fault)
			ours := results[comparer.PolicyRosemaryrill]
			for name, result := range results {
				if name != comparer.PolicyOracle && name != comparer.PolicyRosemaryrill && result.TTFT99 <= ours.TTFT99 {
					t.Errorf("%s has a TTFT p99 of %s, rosemaryrill of %s", name, result.TTFT99, ours.TTFT99)
				}
			}
		})
	}
}

// TestHitRateAfterRestartOfAllRouters compares a run in which all routers lose their state three times with a run
// without restarts.
func TestHitRateAfterRestartOfAllRouters(t *testing.T) {
	for _, deployment := range []comparer.Deployment{comparer.Kiyome(), comparer.Recife()} {
		steady := settings(deployment, comparer.FaultNone)
		steady.Policies = []comparer.PolicyName{comparer.PolicyRosemaryrill}
		restarting := steady
		restarting.Fault = comparer.FaultRouterRestart
		before := compare(t, steady)[comparer.PolicyRosemaryrill].HitRate
		after := compare(t, restarting)[comparer.PolicyRosemaryrill].HitRate
		if after < before-0.05 {
			t.Errorf("%s: hit rate %.3f with restarts, %.3f without", deployment.Name, after, before)
		}
	}
}
