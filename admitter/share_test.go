package admitter_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/admitter"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// Guards against room that is wasted or given twice, and against a share that could grow at the expense of a larger one.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0, 1000).Draw(t, "capacity")
		demands := rapid.SliceOf(rapid.Custom(func(t *rapid.T) admitter.Demand {
			return admitter.Demand{Work: rapid.Float64Range(0, 200).Draw(t, "work"), Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight")}
		})).Draw(t, "demands")
		shares := admitter.FairShares(capacity, demands)
		demanded, given := 0.0, 0.0
		largest := 0.0 // In proportion to the weight.
		for i, demand := range demands {
			if shares[i] < 0 || shares[i] > demand.Work {
				t.Fatalf("share %g of a demand of %g", shares[i], demand.Work)
			}
			demanded, given = demanded+demand.Work, given+shares[i]
			largest = max(largest, shares[i]/demand.Weight)
		}
		if math.Abs(given-min(capacity, demanded)) > 1e-6 {
			t.Fatalf("%g of a capacity of %g given for demands of %g", given, capacity, demanded)
		}
		for i, demand := range demands {
			if shares[i] < demand.Work-1e-6 && shares[i]/demand.Weight < largest-1e-6 {
				t.Fatalf("demand %d is cut to %g, while another has %g for each unit of weight", i, shares[i], largest)
			}
		}
	})
}
