package allocator_test

import (
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/allocator"
)

var (
	large = allocator.Quota{Account: "large", RatePerSecond: 635_295, Burst: 635_295, InTokens: true}
	small = allocator.Quota{Account: "small", RatePerSecond: 47_000, Burst: 47_000, InTokens: true}
)

// Guards against refusals of requests within the quota: the callers of an account use few of the daemons.
func TestLoadWithinTheQuotaIsNotRefused(t *testing.T) {
	s := newSimulation(1, 70, 3, large, small)
	s.run(time.Second)
	s.load(large.Account, large.RatePerSecond/1.8, s.mixed, s.nodes[10:16], 20*time.Second)
	s.load(small.Account, small.RatePerSecond/1.8, fixed(394), s.nodes[20:24], 20*time.Second)
	s.run(21 * time.Second)
	t.Logf("slowest %s, %d bytes per node and second, uses %d", s.slowest, s.bytes/70/22, len(s.uses))
	if s.refusals > 0 {
		t.Errorf("%d of %d requests were refused", s.refusals, s.refusals+len(s.uses))
	}
}

// Guards against quota that lies unused in pieces at several daemons, and against more use than the quota allows.
func TestLoadBeyondTheQuotaUsesTheQuota(t *testing.T) {
	s := newSimulation(2, 70, 3, large, small)
	s.run(3 * time.Second)
	from := s.now
	s.load(large.Account, 5*large.RatePerSecond, s.mixed, s.nodes[10:20], 20*time.Second)
	s.load(small.Account, 5*small.RatePerSecond, fixed(17_050), s.nodes[20:30], 20*time.Second)
	s.run(20 * time.Second)
	for _, quota := range []allocator.Quota{large, small} {
		share := float64(s.used(quota.Account, from)) / (20*quota.RatePerSecond + quota.Burst)
		bound := s.checkBound(t, quota)
		t.Logf("%s: %.1f%% of the quota, %.1f%% of the bound", quota.Account, 100*share, 100*bound)
		if share < 0.9 {
			t.Errorf("account %s used %.1f%% of its quota", quota.Account, 100*share)
		}
	}
	t.Logf("%d bytes per node and second", s.bytes/70/23)
}
