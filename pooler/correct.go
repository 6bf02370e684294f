package pooler

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

var _ streamer.HintCorrector = (*Pooler)(nil)

// CorrectHint implements streamer.HintCorrector. It is called when a target answers with weights
// or an incarnation other than expected. The target is not chosen for the weights that it lacked
// until it reports them again, and the hints about an earlier incarnation are dropped.
func (p *Pooler) CorrectHint(target string, expected, got streamer.Identity) {
	r, ok := p.correctWeights(target, expected.Weights, got.Weights)
	if ok && got.Incarnation != "" {
		r.ObserveCache(target, got.Incarnation, nil)
	}
}

// correctWeights replaces the expected weights by those that the target answered with in the list of
// its loaded weights. It returns the router of the target's model.
func (p *Pooler) correctWeights(target, expected, got string) (r *router.Router, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil {
		return nil, false
	}
	declared, ok := p.snapshot.Target(target)
	if !ok || p.pools[declared.Model] == nil {
		return nil, false
	}
	pool := p.pools[declared.Model]
	if expected == got {
		return pool.router, true
	}
	names := slices.DeleteFunc(slices.Clone(p.loaded[target].names), func(name string) bool {
		weights, _, _ := strings.Cut(name, "+")
		return weights == expected
	})
	if got != "" && !slices.Contains(names, got) {
		names = append(names, got)
	}
	p.loaded[target] = weightsReport{names: names, measuredAt: time.Now()}
	p.refreshPool(declared.Model, pool)
	return pool.router, true
}
