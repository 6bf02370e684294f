package pooler

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// Query describes a model call for which a plan is made.
type Query struct {
	Account string
	// Model is the model's name, with "@version" if the caller wants that version only.
	Model     string
	Messages  []hasher.Message
	MaxTokens int
	Class     router.Class
}

// UnknownModelError reports that a model or a version is not declared.
type UnknownModelError struct {
	Model   string
	Version string
}

// Error names what is not declared.
func (e *UnknownModelError) Error() string {
	if e.Version != "" {
		return fmt.Sprintf("model %q has no version %q", e.Model, e.Version)
	}
	return fmt.Sprintf("model %q is not declared", e.Model)
}

// DeniedError reports that no selector lets the account use any target of the model.
type DeniedError struct {
	Account string
	Model   string
}

// Error names the account and the model.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("no selector allows account %q to use model %q", e.Account, e.Model)
}

// TooLongError reports that a prompt and its answer do not fit the model's context.
type TooLongError struct {
	Tokens int
	Limit  int
}

// Error names the sizes in tokens.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("the prompt and max_tokens have %d tokens, the model takes at most %d", e.Tokens, e.Limit)
}

// Plan holds the data that all attempts of one call share. Each choice of a target uses the
// configuration in force at that time, so that no attempt is sent to a target at which a selector
// in force denies the call.
type Plan struct {
	Model   *registrar.Model
	Request router.Request

	pooler *Pooler
	query  Query
	prompt string
	// adapter is the adapter of all versions of the plan.
	adapter string

	mu       sync.Mutex
	resolved *resolvedPlan
}

// resolvedPlan is a plan resolved against one snapshot of the configuration.
type resolvedPlan struct {
	snapshot *registrar.Snapshot
	router   *router.Router
	options  []option
}

// option is a version that may answer, with the targets at which the selectors allow it.
type option struct {
	version *registrar.Version
	chain   router.Chain
	allowed *allowedTargets
}

// Choice is a decision, with the data that is needed to call its target.
type Choice struct {
	Decision router.Decision
	Address  netip.AddrPort
	Version  *registrar.Version
	// Router is the router that made the decision; its RecordSent method records that the call was
	// sent.
	Router *router.Router
}

// Plan returns the plan of a call.
func (p *Pooler) Plan(query Query) (plan *Plan, err error) {
	defer Error.WrapP(&err)
	snapshot, pool, err := p.currentPool(query.Model)
	if err != nil {
		return nil, err
	}
	name, pinned, _ := strings.Cut(query.Model, "@")
	model, _ := snapshot.Model(name)
	adapter, err := adapterOf(snapshot, model, pinned)
	if err != nil {
		return nil, err
	}
	prompt := hasher.Prompt(query.Messages)
	tokens := hasher.Tokens(prompt)
	if limit := model.MaxContextTokens; limit > 0 && tokens+query.MaxTokens > limit {
		return nil, &TooLongError{Tokens: tokens + query.MaxTokens, Limit: limit}
	}
	plan = &Plan{
		Model: model, pooler: p, query: query, prompt: prompt, adapter: adapter,
		Request: router.Request{PromptTokens: tokens, MaxTokens: query.MaxTokens, Class: query.Class},
	}
	plan.resolved, err = plan.resolve(snapshot, pool, nil)
	if err != nil {
		return nil, err
	}
	plan.fillRequest()
	return plan, nil
}

// currentPool returns the configuration in force and the pool of a model.
func (p *Pooler) currentPool(model string) (snapshot *registrar.Snapshot, pool *modelPool, err error) {
	name, _, _ := strings.Cut(model, "@")
	p.mu.Lock()
	defer p.mu.Unlock()
	pool = p.pools[name]
	if p.snapshot == nil || pool == nil {
		return nil, nil, &UnknownModelError{Model: name}
	}
	return p.snapshot, pool, nil
}

// adapterOf returns the adapter of the pinned version, or of the default one.
func adapterOf(snapshot *registrar.Snapshot, model *registrar.Model, pinned string) (adapter string, err error) {
	name := model.DefaultVersion
	if pinned != "" {
		name = pinned
	}
	version, ok := snapshot.Version(name)
	if !ok || version.Model != model.Name {
		return "", &UnknownModelError{Model: model.Name, Version: pinned}
	}
	return version.Adapter, nil
}

// candidateVersions returns the versions with the adapter: only the pinned one if a version is
// pinned, else the default one followed by the others.
func candidateVersions(snapshot *registrar.Snapshot, model *registrar.Model, pinned, adapter string) []*registrar.Version {
	var versions []*registrar.Version
	objects := snapshot.Objects()
	for i := range objects.Versions {
		version := &objects.Versions[i]
		wanted := pinned == "" || version.Name == pinned
		if wanted && version.Model == model.Name && version.Adapter == adapter {
			versions = append(versions, version)
		}
	}
	first := slices.IndexFunc(versions, func(v *registrar.Version) bool { return v.Name == model.DefaultVersion })
	if first > 0 {
		preferred := versions[first]
		versions = slices.Insert(slices.Delete(versions, first, first+1), 0, preferred)
	}
	return versions
}

// resolve finds the versions that may answer under a configuration. Chains of the earlier resolved
// plan are reused.
func (plan *Plan) resolve(snapshot *registrar.Snapshot, pool *modelPool, earlier *resolvedPlan) (resolved *resolvedPlan, err error) {
	name, pinned, _ := strings.Cut(plan.query.Model, "@")
	model, ok := snapshot.Model(name)
	if !ok {
		return nil, &UnknownModelError{Model: name}
	}
	versions := candidateVersions(snapshot, model, pinned, plan.adapter)
	if len(versions) == 0 {
		return nil, &UnknownModelError{Model: name, Version: pinned}
	}
	resolved = &resolvedPlan{snapshot: snapshot, router: pool.router}
	for _, version := range versions {
		allowed := plan.pooler.allowedTargets(snapshot.Verdicts(plan.selectorRequest(version)))
		weights := weightsName(version.Weights, version.Adapter)
		if len(allowed.names) == 0 || resolved.hasWeights(weights) {
			continue
		}
		chain := router.Chain{Account: plan.query.Account, Weights: weights, Blocks: plan.chainBlocks(earlier, weights, version, model)}
		resolved.options = append(resolved.options, option{version: version, chain: chain, allowed: allowed})
	}
	if len(resolved.options) == 0 {
		return nil, &DeniedError{Account: plan.query.Account, Model: name}
	}
	return resolved, nil
}

// chainBlocks returns the chain of the prompt under the weights of a version.
func (plan *Plan) chainBlocks(earlier *resolvedPlan, weights string, version *registrar.Version, model *registrar.Model) []hasher.Block {
	if earlier != nil && plan.Model.BlockTokens == model.BlockTokens {
		for _, o := range earlier.options {
			if o.chain.Weights == weights {
				return o.chain.Blocks
			}
		}
	}
	seed := hasher.Seed(plan.query.Account, version.Weights, version.Adapter)
	return hasher.Blocks(seed, plan.prompt, model.BlockTokens)
}

func (r *resolvedPlan) hasWeights(weights string) bool {
	return slices.ContainsFunc(r.options, func(o option) bool { return o.chain.Weights == weights })
}

// fillRequest puts the chains and the targets that any version may use into the request.
func (plan *Plan) fillRequest() {
	options := plan.resolved.options
	plan.Request.Allowed = options[0].allowed.set
	names := options[0].allowed.names
	for _, o := range options {
		plan.Request.Chains = append(plan.Request.Chains, o.chain)
		if !slices.Equal(names, o.allowed.names) {
			names = union(names, o.allowed.names)
			plan.Request.Allowed = router.NewTargetSet(names)
		}
	}
}

func (plan *Plan) selectorRequest(version *registrar.Version) registrar.Request {
	return registrar.Request{Account: plan.query.Account, Model: version.Model, Version: version.Name}
}

func union(a, b []string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// refresh returns the plan resolved against the configuration in force, and resolves it again if
// the configuration or the router has changed.
func (plan *Plan) refresh() (current *resolvedPlan, err error) {
	snapshot, pool, err := plan.pooler.currentPool(plan.query.Model)
	if err != nil {
		return nil, err
	}
	plan.mu.Lock()
	defer plan.mu.Unlock()
	if plan.resolved.snapshot == snapshot && plan.resolved.router == pool.router {
		return plan.resolved, nil
	}
	current, err = plan.resolve(snapshot, pool, plan.resolved)
	if err != nil {
		return nil, err
	}
	plan.resolved = current
	return current, nil
}

// Route chooses a target that is not excluded, under the configuration in force. If weights is
// not empty, because the answer has begun with these weights, only targets that have them loaded
// are chosen. If only is not empty, only the target of that name is chosen. Versions that are
// allowed at different targets are tried one after another, the preferred first.
func (plan *Plan) Route(excluded []string, weights, only string) (choice Choice, request router.Request, err error) {
	current, err := plan.refresh()
	if err != nil {
		return Choice{}, request, err
	}
	options := current.matching(weights, only)
	request = plan.Request
	request.Exclude = slices.Clone(excluded)
	err = &router.NoTargetError{}
	for len(options) > 0 {
		count := countSameTargets(options)
		request.Chains = chainsOf(options[:count])
		request.Allowed = options[0].allowed.set
		decision, failure := current.router.Route(request)
		if failure == nil {
			return current.newChoice(decision, request)
		}
		err = failure
		options = options[count:]
	}
	return Choice{}, request, err
}

// matching returns the options that have the given weights and allow the given target, narrowed
// to that target. An empty argument matches all options.
func (r *resolvedPlan) matching(weights, only string) []option {
	if weights == "" && only == "" {
		return r.options
	}
	var matching []option
	var narrowed *allowedTargets
	for _, o := range r.options {
		if weights != "" && o.chain.Weights != weights || only != "" && !slices.Contains(o.allowed.names, only) {
			continue
		}
		if only != "" {
			if narrowed == nil {
				narrowed = &allowedTargets{set: router.NewTargetSet([]string{only}), names: []string{only}}
			}
			o.allowed = narrowed
		}
		matching = append(matching, o)
	}
	return matching
}

// countSameTargets counts the leading options that are allowed at the same targets.
func countSameTargets(options []option) (count int) {
	first := options[0].allowed
	for count < len(options) && (options[count].allowed == first || slices.Equal(options[count].allowed.names, first.names)) {
		count++
	}
	return count
}

func chainsOf(options []option) []router.Chain {
	chains := make([]router.Chain, 0, len(options))
	for _, o := range options {
		chains = append(chains, o.chain)
	}
	return chains
}

// newChoice completes a decision with the address of its target and its version.
func (r *resolvedPlan) newChoice(decision router.Decision, request router.Request) (Choice, router.Request, error) {
	target, ok := r.snapshot.Target(decision.Target)
	if !ok {
		return Choice{}, request, &router.NoTargetError{}
	}
	for _, o := range r.options {
		if o.chain.Weights == decision.Weights {
			return Choice{Decision: decision, Address: target.Address, Version: o.version, Router: r.router}, request, nil
		}
	}
	return Choice{}, request, &router.NoTargetError{}
}

// Permits reports whether a choice is still valid: the selectors in force allow its version at its
// target, the target has the same address, and it may get new work.
func (plan *Plan) Permits(choice Choice) bool {
	current, err := plan.refresh()
	if err != nil {
		return false
	}
	target, ok := current.snapshot.Target(choice.Decision.Target)
	if !ok || target.Address != choice.Address || !plan.pooler.usable(target) {
		return false
	}
	return len(current.matching(choice.Decision.Weights, target.Name)) > 0
}

// Selector returns the name of the selector that allows a choice, or an empty string if none does
// any more.
func (plan *Plan) Selector(choice Choice) string {
	current, err := plan.refresh()
	if err != nil {
		return ""
	}
	for _, verdict := range current.snapshot.Verdicts(plan.selectorRequest(choice.Version)) {
		if verdict.Allowed && verdict.Target.Name == choice.Decision.Target {
			return verdict.Selector
		}
	}
	return ""
}

// Explain returns the verdicts on the call for all targets of the pool.
func (plan *Plan) Explain() []router.Verdict {
	plan.mu.Lock()
	defer plan.mu.Unlock()
	return plan.resolved.router.Explain(plan.Request)
}

// Adapter returns the name of the adapter of all versions of the plan, or an empty string.
func (plan *Plan) Adapter() string {
	return plan.adapter
}

// IsPlanError reports whether an error is an UnknownModelError, a DeniedError or a TooLongError,
// that is, whether the declared objects or the selectors rule the call out.
func IsPlanError(err error) bool {
	var unknown *UnknownModelError
	var denied *DeniedError
	var long *TooLongError
	return errors.As(err, &unknown) || errors.As(err, &denied) || errors.As(err, &long)
}
