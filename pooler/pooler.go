// Package pooler keeps one router for each model and plans which targets a request may reach.
//
// It combines the declared objects, the decisions of the selectors, the liveness of the targets,
// and the weights and load that the engines report.
//
// # Usage
//
//	p := pooler.New(pooler.Settings{DataCentre: "sapporo", Liveness: detector})
//	p.Apply(snapshot)                // After each change of the configuration.
//	p.Refresh()                      // After each change of a target's liveness.
//	p.ObserveLoad("engine-1", load)  // For each load report.
//	plan, err := p.Plan(pooler.Query{Account: "demo", Model: "demo-model", Messages: messages})
//	choice, request, err := plan.Route(excluded, weights, only)
package pooler

import (
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// Error is the class of all errors of this package.
var Error = errs.Class("pooler")

// maxKeptHintBytes bounds the hints that are kept when a model's routing weights change.
const maxKeptHintBytes = 4 << 20

// maxAllowedTargetSets bounds the number of cached sets of allowed targets.
const maxAllowedTargetSets = 4096

// labelTrue is the value of a label that is set.
const labelTrue = "true"

// Liveness provides the state of the targets.
type Liveness interface {
	// Usable reports whether the target may get new work.
	Usable(target string) bool
	// Incarnation returns the latest incarnation that was seen, or an empty string.
	Incarnation(target string) string
}

// Settings are the parameters of a Pooler.
type Settings struct {
	// Daemon is the name of the daemon. It seeds the random choices, so that daemons choose
	// differently.
	Daemon     string
	DataCentre string
	Liveness   Liveness
	Log        *slog.Logger
}

// Pooler keeps the pools of all models.
type Pooler struct {
	settings Settings

	mu       sync.Mutex
	snapshot *registrar.Snapshot
	pools    map[string]*modelPool
	// loaded holds the last report of the weights of each target.
	loaded            map[string]weightsReport
	allowedTargetSets map[allowedTargetsKey]*allowedTargets
	// daemons is how many daemons send to the pools.
	daemons int
}

// weightsReport holds the names of the weights that a target had loaded at a time.
type weightsReport struct {
	names      []string
	measuredAt time.Time
}

// modelPool is the router of one model with its targets, and the settings that it was made with.
type modelPool struct {
	router      *router.Router
	targets     []*registrar.Target
	blockTokens int
	routing     registrar.RoutingWeights
}

// allowedTargets is the set of the targets that a list of verdicts allows.
type allowedTargets struct {
	set   *router.TargetSet
	names []string
}

// allowedTargetsKey identifies a list of verdicts by its first element and its length. Requests that
// match the same selectors share the list.
type allowedTargetsKey struct {
	first *registrar.Verdict
	count int
}

// New returns a Pooler without models.
func New(settings Settings) *Pooler {
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	return &Pooler{
		settings:          settings,
		pools:             make(map[string]*modelPool),
		loaded:            make(map[string]weightsReport),
		allowedTargetSets: make(map[allowedTargetsKey]*allowedTargets),
	}
}

// totalKnownPrefixes is the number of prefixes that the tables of all models hold together.
const totalKnownPrefixes = 2 * router.DefaultKnownPrefixes

// Apply puts a new configuration into force. A model whose block size or routing weights have changed
// gets a new router, which takes over the hottest hints of the old one if the block size is the same.
func (p *Pooler) Apply(snapshot *registrar.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = snapshot
	clear(p.allowedTargetSets)
	targets := p.targetsByModel()
	objects := snapshot.Objects()
	keptHints := make(map[*modelPool][]byte)
	for i := range objects.Models {
		model := &objects.Models[i]
		pool := p.pools[model.Name]
		if pool == nil || pool.blockTokens != model.BlockTokens || pool.routing != model.Routing {
			replacement := p.newPool(model)
			if pool != nil && pool.blockTokens == model.BlockTokens {
				keptHints[replacement] = pool.router.Export(maxKeptHintBytes)
			}
			pool = replacement
			p.pools[model.Name] = pool
		}
		pool.targets = targets[model.Name]
	}
	p.dropUndeclared()
	p.refresh()
	p.importHints(keptHints)
}

// dropUndeclared removes the pools of models and the reports of targets that are not declared any
// more.
func (p *Pooler) dropUndeclared() {
	for name := range p.pools {
		if _, ok := p.snapshot.Model(name); !ok {
			delete(p.pools, name)
		}
	}
	for name := range p.loaded {
		if _, ok := p.snapshot.Target(name); !ok {
			delete(p.loaded, name)
		}
	}
}

// importHints imports the hints that were exported from replaced routers into their replacements.
func (p *Pooler) importHints(kept map[*modelPool][]byte) {
	for pool, hints := range kept {
		if err := pool.router.Import(hints); err != nil {
			p.settings.Log.Warn("pooler: import of hints into a new router failed", "error", err)
		}
	}
}

// knownPrefixes returns the size of one model's table of known prefixes. The tables of all models
// share totalKnownPrefixes; a table keeps the size that it was made with.
func knownPrefixes(models int) int {
	return min(router.DefaultKnownPrefixes, totalKnownPrefixes/max(models, 1))
}

func (p *Pooler) newPool(model *registrar.Model) *modelPool {
	return &modelPool{
		blockTokens: model.BlockTokens,
		routing:     model.Routing,
		router: router.New(router.Settings{
			WaitWeight:          model.Routing.Wait,
			RecomputationWeight: model.Routing.Recomputation,
			IdleLoad:            model.Routing.IdleLoad,
			BlockTokens:         model.BlockTokens,
			DataCentre:          p.settings.DataCentre,
			Daemons:             p.daemons,
			Seed:                xxh3.HashString(p.settings.Daemon),
			KnownPrefixes:       knownPrefixes(len(p.snapshot.Objects().Models)),
		}),
	}
}

// targetsByModel lists the reachable engines of each model, those of the daemon's own data centre
// first.
func (p *Pooler) targetsByModel() map[string][]*registrar.Target {
	lists := make(map[string][]*registrar.Target)
	objects := p.snapshot.Objects()
	for i := range objects.Targets {
		target := &objects.Targets[i]
		if target.Kind == registrar.TargetEngine {
			lists[target.Model] = append(lists[target.Model], target)
		}
	}
	named := namedTargets(objects.Selectors)
	for model, targets := range lists {
		lists[model] = p.selectReachable(targets, named)
	}
	return lists
}

// Refresh applies the current liveness of all targets.
func (p *Pooler) Refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != nil {
		p.refresh()
	}
}

func (p *Pooler) refresh() {
	for model, pool := range p.pools {
		p.refreshPool(model, pool)
	}
}

func (p *Pooler) refreshPool(model string, pool *modelPool) {
	targets := make([]router.Target, 0, len(pool.targets))
	for _, target := range pool.targets {
		targets = append(targets, p.routerTarget(target))
	}
	if err := pool.router.SetTargets(targets); err != nil {
		p.settings.Log.Warn("pooler: pool has too many targets", "model", model, "error", err)
	}
}

func (p *Pooler) routerTarget(target *registrar.Target) router.Target {
	return router.Target{
		Name:        target.Name,
		Weights:     p.loaded[target.Name].names,
		Incarnation: p.settings.Liveness.Incarnation(target.Name),
		Slots:       target.Slots,
		DataCentre:  target.DataCentre,
		Usable:      p.usable(target),
	}
}

// usable reports whether the target may get new work.
func (p *Pooler) usable(target *registrar.Target) bool {
	return target.Labels[registrar.LabelDrain] != labelTrue && p.settings.Liveness.Usable(target.Name)
}

// allowedTargets returns the shared set of the targets that a list of verdicts allows.
func (p *Pooler) allowedTargets(verdicts []registrar.Verdict) *allowedTargets {
	if len(verdicts) == 0 {
		return &allowedTargets{}
	}
	key := allowedTargetsKey{first: &verdicts[0], count: len(verdicts)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.allowedTargetSets[key]; ok {
		return cached
	}
	if len(p.allowedTargetSets) >= maxAllowedTargetSets {
		clear(p.allowedTargetSets)
	}
	var names []string
	for i := range verdicts {
		if verdicts[i].Allowed {
			names = append(names, verdicts[i].Target.Name)
		}
	}
	allowed := &allowedTargets{set: router.NewTargetSet(names), names: names}
	p.allowedTargetSets[key] = allowed
	return allowed
}

// Targets returns the engines of all pools.
func (p *Pooler) Targets() []*registrar.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []*registrar.Target
	for _, pool := range p.pools {
		targets = append(targets, pool.targets...)
	}
	return targets
}

// Router returns the router of a model.
func (p *Pooler) Router(model string) (r *router.Router, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[model]
	if !ok {
		return nil, false
	}
	return pool.router, true
}
