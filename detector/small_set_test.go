package detector_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/detector"
)

// frozenBound is how long an idle target that freezes may still count as live.
const frozenBound = 2 * time.Second

// idlePoller answers polls as an idle target does, except for the frozen target.
type idlePoller struct {
	mu       sync.Mutex
	frozen   string
	progress uint64
}

func (p *idlePoller) freeze(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = target
}

func (p *idlePoller) Poll(ctx context.Context, target detector.Target, _ bool) (detector.Report, error) {
	p.mu.Lock()
	frozen := p.frozen == target.Name
	p.progress++
	progress := p.progress
	p.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return detector.Report{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return detector.Report{Incarnation: "1", Progress: progress}, nil
}

// TestFrozenIdleTargetIsDetectedInSmallSet freezes idle targets one after another, in sets of up to
// 32 targets, as current deployments have. Each must be detected within frozenBound.
func TestFrozenIdleTargetIsDetectedInSmallSet(t *testing.T) {
	for _, count := range []int{4, 16, 24, 32} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				poller := &idlePoller{}
				d := detector.New(detector.Settings{Poller: poller})
				defer func() { _ = d.Close() }()
				var targets []detector.Target
				for i := range count {
					address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
					targets = append(targets, detector.Target{Name: fmt.Sprint("target-", i), Address: address})
				}
				d.SetTargets(targets)
				for _, target := range targets {
					time.Sleep(3 * time.Second)
					poller.freeze(target.Name)
					time.Sleep(frozenBound)
					if d.Usable(target.Name) {
						t.Errorf("%s still counts as live %s after it froze", target.Name, frozenBound)
					}
					poller.freeze("")
				}
			})
		})
	}
}
