package broadcaster_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

func TestRateLimitsAndWorkFactorsAreEncoded(t *testing.T) {
	want := broadcaster.Message{Sender: "d1", Update: placer.PeerUpdate{RateLimits: []placer.RateLimit{
		{Target: 1 << 63, Limited: true, PerSecond: 2.5, Age: time.Second},
		{Target: 2, Limited: true},
		{Target: 3, Age: 50 * time.Millisecond},
	}, WorkFactors: []placer.WorkFactor{{Target: 1 << 63, WorkPercent: 250, Age: 40 * time.Millisecond}, {Target: 2, WorkPercent: 60}}}}
	if decoded, err := broadcaster.Decode(want.Encode()[0]); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, %v", decoded, err)
	}
}

// A limit or a factor of which one daemon hears reaches all others, also through aggregators.
func TestRateLimitsAndWorkFactorsReachTheFleet(t *testing.T) {
	for _, count := range []int{9, 40} {
		f := newSimulatedFleet(count, 3)
		f.run(t, 2*time.Second)
		limit := placer.RateLimit{Target: 7, Limited: true, PerSecond: 3}
		factor := placer.WorkFactor{Target: 7, WorkPercent: 250}
		f.daemons[1].own.RateLimits, f.daemons[1].own.WorkFactors = []placer.RateLimit{limit}, []placer.WorkFactor{factor}
		f.run(t, maxWorkAge)
		for i, d := range f.daemons {
			if i != 1 && (len(d.limits) == 0 || d.limits[0] != limit || len(d.factors) == 0 || d.factors[0] != factor) {
				t.Errorf("daemon %d of %d got %+v and %+v", i, count, d.limits, d.factors)
			}
		}
	}
}
