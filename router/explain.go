package router

import (
	"cmp"
	"slices"
	"time"
)

// Verdict explains to an operator how a request is evaluated for one target.
type Verdict struct {
	Target string
	// RuledOut is the reason why the target may not take the request, or empty if it may.
	RuledOut string
	Weights  string
	// CachedTokens and UncachedTokens split the prompt by what the target is believed to hold.
	CachedTokens   int
	UncachedTokens int
	// Calls is the number of calls that the target is known to have, and Wait the expected time
	// before it starts on another call.
	Calls int
	Wait  time.Duration
	// Score is the weighted cost in seconds; the lowest one is preferred.
	Score float64
	// Chosen marks the target with the lowest score. A decision compares only some of the
	// targets, so it may choose another one.
	Chosen bool
}

// Explain returns the verdicts on a request for all targets of the pool, sorted by name.
func (r *Router) Explain(request Request) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.settings.Now()
	verdicts := make(map[string]Verdict, len(r.byName))
	for _, t := range r.byName {
		verdicts[t.Name] = Verdict{Target: t.Name, RuledOut: r.ruledOut(request, t), Calls: t.knownCalls()}
	}
	for i := range request.Chains {
		r.explainChain(request, i, now, verdicts)
	}
	return sortVerdicts(verdicts)
}

func (r *Router) explainChain(request Request, chain int, now time.Time, verdicts map[string]Verdict) {
	if !r.filterEligible(request, chain) {
		return
	}
	r.scratch.candidates = r.scratch.candidates[:0]
	r.walkChain(request, chain, now)
	r.scratch.candidates = r.scratch.candidates[:0]
	for column := range r.scratch.eligible.all() {
		r.addCandidate(request, chain, column, false, now)
	}
	for _, c := range r.scratch.candidates {
		name := r.byColumn[c.column].Name
		verdict := verdicts[name]
		if verdict.Weights != "" && verdict.Score <= c.score {
			continue
		}
		verdict.Weights = request.Chains[chain].Weights
		verdict.CachedTokens = c.cachedBlocks * r.settings.BlockTokens
		verdict.UncachedTokens = max(request.PromptTokens-verdict.CachedTokens, 0)
		verdict.Wait = c.wait
		verdict.Score = c.score
		verdicts[name] = verdict
	}
}

// ruledOut returns the reason why a target may not take a request, or an empty string.
func (r *Router) ruledOut(request Request, t *target) string {
	allowed := request.Allowed.resolve(r)
	switch {
	case allowed == nil || !allowed.has(t.column):
		return "no selector allows it"
	case !t.Usable:
		return "not usable"
	case !r.hasWeights(t, request.Chains):
		return "weights not loaded"
	case isExcluded(request, t.Name):
		return "tried before"
	default:
		return ""
	}
}

func sortVerdicts(byName map[string]Verdict) []Verdict {
	verdicts := make([]Verdict, 0, len(byName))
	for _, verdict := range byName {
		verdicts = append(verdicts, verdict)
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.Target, b.Target) })
	best := -1
	for i, verdict := range verdicts {
		if verdict.RuledOut == "" && (best < 0 || verdict.Score < verdicts[best].Score) {
			best = i
		}
	}
	if best >= 0 {
		verdicts[best].Chosen = true
	}
	return verdicts
}
