package pooler

import (
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// ObserveLoad applies a load report of an engine.
func (p *Pooler) ObserveLoad(target string, load forwarder.Load) {
	p.observe(target, loadedNames(load), router.Load{
		Incarnation:         load.Incarnation,
		Running:             load.Running,
		Waiting:             load.Waiting,
		WaitingTokens:       load.WaitingTokens,
		CachedBlocks:        load.CachedBlocks,
		CacheCapacityBlocks: load.CacheCapacityBlocks,
	}, load.MeasuredAt)
}

// ObservePeer applies a report of an engine that another daemon has received: the names of the
// weights that it has loaded, and its load at the given time.
func (p *Pooler) ObservePeer(target string, loaded []string, load router.Load, measuredAt time.Time) {
	p.observe(target, loaded, load, measuredAt)
}

// Loaded returns the names of the weights that an engine has loaded according to its last report.
func (p *Pooler) Loaded(target string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loaded[target].names
}

func (p *Pooler) observe(target string, loaded []string, load router.Load, measuredAt time.Time) {
	r, ok := p.observeWeights(target, loaded, measuredAt)
	if ok {
		r.ObserveLoad(target, load, measuredAt)
	}
}

// observeWeights stores the weights that a target has reported, unless the report is empty or older
// than the last one. It returns the router of the target's model.
func (p *Pooler) observeWeights(target string, loaded []string, measuredAt time.Time) (r *router.Router, ok bool) {
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
	last := p.loaded[target]
	if len(loaded) == 0 || measuredAt.Before(last.measuredAt) {
		return pool.router, true
	}
	p.loaded[target] = weightsReport{names: loaded, measuredAt: measuredAt}
	if !slices.Equal(loaded, last.names) {
		p.refreshPool(declared.Model, pool)
	}
	return pool.router, true
}

// ObserveCache applies cache events of an engine.
func (p *Pooler) ObserveCache(target string, events forwarder.CacheEvents) {
	p.mu.Lock()
	var r *router.Router
	if p.snapshot != nil {
		if declared, ok := p.snapshot.Target(target); ok && p.pools[declared.Model] != nil {
			r = p.pools[declared.Model].router
		}
	}
	p.mu.Unlock()
	if r != nil {
		r.ObserveCache(target, events.Incarnation, cacheEvents(events.Events))
	}
}

func cacheEvents(events []forwarder.CacheEvent) []router.Event {
	kinds := map[forwarder.CacheEventKind]router.EventKind{
		forwarder.CacheStored:  router.EventStored,
		forwarder.CacheEvicted: router.EventEvicted,
		forwarder.CacheCleared: router.EventCleared,
	}
	mapped := make([]router.Event, 0, len(events))
	for _, event := range events {
		mapped = append(mapped, router.Event{Kind: kinds[event.Kind], Block: event.Block})
	}
	return mapped
}

// loadedNames returns the names of the weights that an engine has loaded, each alone and combined
// with each loaded adapter.
func loadedNames(load forwarder.Load) []string {
	var names []string
	for _, weights := range load.Weights {
		names = append(names, weights)
		for _, adapter := range load.Adapters {
			names = append(names, weightsName(weights, adapter))
		}
	}
	return names
}

func weightsName(weights, adapter string) string {
	if adapter == "" {
		return weights
	}
	return weights + "+" + adapter
}
