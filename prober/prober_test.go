package prober_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/prober"
)

// world knows which targets are suspect and which are reached.
type world struct {
	mu               sync.Mutex
	now, answeredAt  time.Time
	suspects, others []placer.Suspect
	unreached        map[netip.AddrPort]bool
	probed           []placer.TargetHash
	links            map[placer.TargetHash]bool
}

func suspect(number int, failed bool) placer.Suspect {
	return placer.Suspect{Target: placer.TargetHash(number), Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(number)), Failed: failed}
}

func newWorld() (*world, *prober.Prober) {
	w := &world{now: time.Unix(1000, 0), unreached: make(map[netip.AddrPort]bool), links: make(map[placer.TargetHash]bool)}
	return w, prober.New(prober.Settings{Targets: w, Reach: w.reach, Now: func() time.Time { return w.now }, Logger: slog.New(slog.DiscardHandler)})
}

func (w *world) Links() placer.Links {
	return placer.Links{Suspects: w.suspects, Others: w.others, AnsweredAt: w.answeredAt}
}

func (w *world) RecordLink(target placer.TargetHash, reached bool) { w.links[target] = reached }

func (w *world) reach(_ context.Context, address netip.AddrPort) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probed = append(w.probed, placer.TargetHash(address.Port()))
	if w.unreached[address] {
		return errors.New("refused")
	}
	return nil
}

// round runs a round and returns which targets were probed.
func (w *world) round(t *testing.T, p *prober.Prober) []placer.TargetHash {
	t.Helper()
	w.probed = nil
	p.Round(t.Context())
	slices.Sort(w.probed)
	return w.probed
}

func TestSoundTargetsAreNotProbed(t *testing.T) {
	w, p := newWorld()
	w.suspects, w.others = []placer.Suspect{suspect(1, true), suspect(2, false)}, []placer.Suspect{suspect(3, false)}
	w.unreached[suspect(1, true).Address] = true
	if got := w.round(t, p); !slices.Equal(got, []placer.TargetHash{1, 2}) {
		t.Errorf("probed %v, want the suspects", got)
	}
	if w.links[1] || !w.links[2] {
		t.Errorf("links: %v", w.links)
	}
}

// Guards against each target having to fail a request before the daemon knows that its links are lost (RECOVER).
func TestOthersAreProbedIfNoSuspectIsReached(t *testing.T) {
	w, p := newWorld()
	w.suspects = []placer.Suspect{suspect(1, true), suspect(2, false)}
	w.others = []placer.Suspect{suspect(3, false), suspect(4, false)}
	for i := range 4 {
		w.unreached[suspect(i+1, false).Address] = true
	}
	if got := w.round(t, p); len(got) != 4 {
		t.Errorf("probed %v, want all", got)
	}
	for target, reached := range w.links {
		if reached {
			t.Errorf("target %d counts as reached", target)
		}
	}
}

// Guards against probes of all targets whenever a few have crashed.
func TestOthersAreNotProbedWhileTargetsAnswer(t *testing.T) {
	w, p := newWorld()
	w.suspects, w.others = []placer.Suspect{suspect(1, true), suspect(2, true)}, []placer.Suspect{suspect(3, false)}
	w.unreached[suspect(1, true).Address], w.unreached[suspect(2, true).Address] = true, true
	w.answeredAt = w.now.Add(-100 * time.Millisecond)
	if got := w.round(t, p); len(got) != 2 {
		t.Errorf("probed %v, want the suspects", got)
	}
}

func TestProbesAreSpacedOut(t *testing.T) {
	w, p := newWorld()
	w.suspects = []placer.Suspect{suspect(1, true), suspect(2, false)}
	probes := map[placer.TargetHash]int{}
	for range 40 { // Four seconds.
		for _, target := range w.round(t, p) {
			probes[target]++
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
	if probes[1] != 10 || probes[2] != 4 {
		t.Errorf("probes in four seconds: %v, want 10 of a target that fails and 4 of one that is slow", probes)
	}
}
