package comparer

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// routerPolicy routes by package router, as a daemon does.
type routerPolicy struct {
	router  *router.Router
	targets []router.Target
	allowed *router.TargetSet
	// request and decision are those of the last call of choose; holdTime and recordSend use them.
	request  router.Request
	decision router.Decision
}

func engineName(engine int) string { return fmt.Sprintf("engine-%02d", engine) }

func dataCentreName(index int) string { return fmt.Sprint("data-centre-", index) }

func newRouterPolicy(r *run, daemon int, seed uint64) *routerPolicy {
	d := r.settings.Deployment
	p := &routerPolicy{
		router: router.New(router.Settings{
			WaitWeight:          d.WaitWeight,
			RecomputationWeight: d.RecomputationWeight,
			IdleLoad:            d.IdleLoad,
			BlockTokens:         d.BlockTokens,
			PrefillTimePerToken: time.Second / engineemulator.DefaultPrefillTokensPerSecond,
			DataCentre:          dataCentreName(daemon % d.DataCentres),
			RemoteLatency:       2 * d.DataCentreOneWayDelay,
			Daemons:             d.Daemons,
			MaxTargets:          d.Targets,
			Seed:                seed,
			Now:                 r.clock.Now,
		}),
	}
	var names []string
	for i, e := range r.engines {
		names = append(names, engineName(i))
		p.targets = append(p.targets, router.Target{
			Name:        engineName(i),
			Weights:     []string{weightsName},
			Incarnation: e.incarnationName(),
			Slots:       d.Slots,
			DataCentre:  dataCentreName(i % d.DataCentres),
			Usable:      !e.down,
		})
	}
	p.allowed = router.NewTargetSet(names)
	p.setTargets()
	return p
}

// setTargets passes the targets to the router. This cannot fail, as the router's MaxTargets is their number.
func (p *routerPolicy) setTargets() {
	if err := p.router.SetTargets(p.targets); err != nil {
		panic(err)
	}
}

func (p *routerPolicy) choose(c *call, tried []int) (engine int, ok bool) {
	p.request = router.Request{
		Chains:       []router.Chain{{Weights: weightsName, Blocks: c.chain}},
		PromptTokens: c.promptTokens,
		MaxTokens:    c.answerTokens,
		Class:        c.class,
		Allowed:      p.allowed,
	}
	for _, engine := range tried {
		p.request.Exclude = append(p.request.Exclude, engineName(engine))
	}
	decision, err := p.router.Route(p.request)
	if err != nil {
		return 0, false
	}
	p.decision = decision
	return slices.IndexFunc(p.targets, func(t router.Target) bool { return t.Name == decision.Target }), true
}

func (p *routerPolicy) holdTime() time.Duration { return p.decision.Hold }

func (p *routerPolicy) recordSend(*call, int) sentCall {
	return routerCall{p.router.RecordSent(p.request, p.decision)}
}

func (p *routerPolicy) setEngineState(engine int, usable bool, incarnation string) {
	p.targets[engine].Usable = usable
	p.targets[engine].Incarnation = incarnation
	p.setTargets()
}

func (p *routerPolicy) observeLoad(engine int, load router.Load, measured time.Time) {
	p.router.ObserveLoad(engineName(engine), load, measured)
}

func (p *routerPolicy) observeEvents(engine int, incarnation string, events []router.Event) {
	p.router.ObserveCache(engineName(engine), incarnation, events)
}

func (p *routerPolicy) usesReports() (loads, events bool) { return true, true }

type routerCall struct{ attempt *router.Attempt }

func (c routerCall) recordStart(incarnation string, cachedTokens int) {
	c.attempt.RecordAnswer(router.Answer{Incarnation: incarnation, Weights: weightsName, CachedTokens: cachedTokens})
}

func (c routerCall) recordEnd() { c.attempt.Finish() }
