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

const (
	largeRequest = 17_050
	smallRequest = 394
	// usualPart is the part of its quota that an account uses usually.
	usualPart = 1 / 1.8
)

// usualLoad sends the usual load of both accounts to some of the nodes.
func (s *simulation) usualLoad(duration time.Duration) {
	s.load(large.Account, usualPart*large.RatePerSecond, s.mixed, s.nodes[10:30], duration)
	s.load(small.Account, usualPart*small.RatePerSecond, fixed(smallRequest), s.nodes[20:24], duration)
}

// checkRefusals fails if more requests were refused since the last check.
func (s *simulation) checkRefusals(t *testing.T, phase string, allowed int) {
	t.Helper()
	t.Logf("%s: %d of %d requests refused, slowest %s", phase, s.refusals, s.refusals+len(s.uses), s.slowest)
	if s.refusals > allowed {
		t.Errorf("%s: %d of %d requests were refused, %d allowed", phase, s.refusals, s.refusals+len(s.uses), allowed)
	}
	s.refusals, s.slowest, s.uses = 0, 0, nil
}

// creator returns the node that creates the units of all.
func (s *simulation) creator(t *testing.T) (creator *simulatedNode) {
	t.Helper()
	for _, node := range s.nodes {
		if !node.down && node.Creates() {
			if creator != nil {
				t.Fatalf("%s and %s create units", creator.peer.Name, node.peer.Name)
			}
			creator = node
		}
	}
	return creator
}

// Guards against refusals of requests within the quota, although the callers of an account use few of the daemons, all daemons
// restart, or the coordinator stops and returns. While it is dead, requests are refused for answerTimeout at most.
func TestLoadWithinTheQuotaIsNotRefused(t *testing.T) {
	s := newSimulation(1, 70, 3, large, small)
	s.usualLoad(time.Minute)
	s.run(10 * time.Second)
	s.checkRefusals(t, "start", 0)
	for _, node := range s.nodes {
		s.replace(node, 0)
	}
	s.run(10 * time.Second)
	s.checkRefusals(t, "restart of all", 0)
	first := s.creator(t)
	first.Leave(s.now)
	s.step(first)
	s.run(3 * time.Second)
	first.down = true
	s.run(3 * time.Second)
	s.checkRefusals(t, "coordinator left", 0)
	s.restart(first)
	s.run(5 * time.Second)
	s.checkRefusals(t, "coordinator returned", 0)
	if s.creator(t) != first {
		t.Error("the best ranked daemon does not coordinate")
	}
	first.down = true
	s.run(1500 * time.Millisecond)
	s.checkRefusals(t, "coordinator died", 300)
	s.run(5 * time.Second)
	s.checkRefusals(t, "after the death", 0)
}

// Guards against bursts of an idle account that can't be used at one daemon.
func TestBurstAtOneDaemonIsServedAtOnce(t *testing.T) {
	s := newSimulation(1, 70, 3, large)
	s.run(3 * time.Second)
	for range int(large.Burst / largeRequest) {
		s.request(s.nodes[12], large.Account, largeRequest)
	}
	s.run(time.Second)
	s.checkRefusals(t, "burst", 0)
}

// Guards against quota that lies unused in pieces at several daemons, against more use than the quota allows, and against large
// requests that find the bucket empty as long as there are small ones.
func TestLoadBeyondTheQuotaUsesTheQuota(t *testing.T) {
	for _, quota := range []allocator.Quota{large, small} {
		s := newSimulation(2, 70, 3, quota)
		s.run(3 * time.Second)
		from := s.now
		offered := make(map[uint64]int)
		s.load(quota.Account, 5*quota.RatePerSecond, func() uint64 {
			amount := s.mixed()
			offered[amount]++
			return amount
		}, s.nodes[10:20], 20*time.Second)
		s.run(20 * time.Second)
		used := float64(s.used(quota.Account, from)) / (20*quota.RatePerSecond + quota.Burst)
		bound := s.checkBound(t, quota)
		served := make(map[uint64]int)
		for _, u := range s.uses {
			served[u.amount]++
		}
		t.Logf("%s: %.1f%% of the quota, %.1f%% of the bound, served %v of %v", quota.Account, 100*used, 100*bound, served, offered)
		if used < 0.9 {
			t.Errorf("account %s used %.1f%% of its quota", quota.Account, 100*used)
		}
		if share := float64(served[largeRequest]) / float64(offered[largeRequest]); share < float64(served[smallRequest])/float64(offered[smallRequest])/2 {
			t.Errorf("account %s: of %v requests %v were served", quota.Account, offered, served)
		}
	}
}

// Guards against a quota that stays in force, or a bucket that keeps more than it may have, after the quota was lowered.
func TestLoweredQuotaTakesEffectAtOnce(t *testing.T) {
	s := newSimulation(3, 5, 1, large)
	s.run(3 * time.Second)
	s.quotas = []allocator.Quota{{Account: large.Account, RatePerSecond: 1000, Burst: 1000, InTokens: true}}
	for _, node := range s.nodes {
		node.SetQuotas(s.quotas, s.now)
	}
	from := s.now
	s.load(large.Account, 20_000, fixed(smallRequest), s.nodes, 10*time.Second)
	s.run(10 * time.Second)
	if used := s.used(large.Account, from); used > 1000+10*1000+2*smallRequest {
		t.Errorf("%d tokens were used", used)
	}
}
