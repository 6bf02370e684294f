package router_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// conditionCounts counts how often a history reached the situations in which a hint can be wrong.
type conditionCounts struct {
	lateEvents, lateReports, lateAnswers, restartsInFlight, hints int
}

// prefix identifies a prefix by its text instead of a hash.
type prefix struct{ account, weights, text string }

// evidence is the reference model of the test: for each target, its current incarnation and the
// prefixes that this incarnation was reported to hold.
type evidence struct {
	incarnation map[string]int
	prefixes    map[string]map[prefix]bool
}

func newEvidence(count int) *evidence {
	e := &evidence{incarnation: map[string]int{}, prefixes: map[string]map[prefix]bool{}}
	for _, name := range names(count) {
		e.incarnation[name] = 1
		e.prefixes[name] = map[prefix]bool{}
	}
	return e
}

func (e *evidence) add(name string, incarnation int, prefixes []prefix) {
	if incarnation > e.incarnation[name] {
		e.restart(name, incarnation)
	}
	if incarnation < e.incarnation[name] {
		return
	}
	for _, p := range prefixes {
		e.prefixes[name][p] = true
	}
}

func (e *evidence) restart(name string, incarnation int) {
	e.incarnation[name] = incarnation
	e.prefixes[name] = map[prefix]bool{}
}

// depth returns the number of blocks of the longest nested prefix that was reported as cached.
func (e *evidence) depth(name string, prefixes []prefix) int {
	for level := len(prefixes); level > 0; level-- {
		if e.prefixes[name][prefixes[level-1]] {
			return level
		}
	}
	return 0
}

const hintTargets = 4

// incarnationName returns a name that compares greater for a later start, as the protocol requires
// of engines.
func incarnationName(number int) string { return fmt.Sprintf("%04d", number) }

// hintHistory is one generated sequence of calls, restarts and late messages.
type hintHistory struct {
	rt       *rapid.T
	clock    *clock
	router   *router.Router
	allowed  *router.TargetSet
	evidence *evidence
	attempts []hintAttempt
	reached  *conditionCounts
}

type hintAttempt struct {
	attempt     *router.Attempt
	prefixes    []prefix
	target      string
	incarnation int
}

var hintAccounts = []string{"account-1", "account-2"}

var hintWeights = []string{"weights-1", "weights-2"}

// hintBlockTokens is the size of a block in the histories.
const hintBlockTokens = 20

// prefixesOf returns the nested prefixes of whole blocks of a prompt.
func prefixesOf(account, weights, prompt string) []prefix {
	var nested []prefix
	size := hintBlockTokens * hasher.BytesPerToken
	for end := size; end <= len(prompt); end += size {
		nested = append(nested, prefix{account, weights, prompt[:end]})
	}
	return nested
}

// drawRequest returns a request and its nested prefixes by weights.
func (h *hintHistory) drawRequest() (router.Request, map[string][]prefix) {
	account := rapid.SampledFrom(hintAccounts).Draw(h.rt, "account")
	document := rapid.IntRange(0, 3).Draw(h.rt, "document")
	prompt := fmt.Sprintf("%0400d", document)
	request := router.Request{PromptTokens: hasher.Tokens(prompt), Allowed: h.allowed}
	prefixes := make(map[string][]prefix)
	for _, weights := range hintWeights {
		seed := hasher.Seed(account, weights, "")
		request.Chains = append(request.Chains, router.Chain{
			Weights: weights, Blocks: hasher.Blocks(seed, prompt, hintBlockTokens),
		})
		prefixes[weights] = prefixesOf(account, weights, prompt)
	}
	return request, prefixes
}

func (h *hintHistory) drawTarget() string {
	return rapid.SampledFrom(names(hintTargets)).Draw(h.rt, "target")
}

// drawIncarnation draws a current, past or future incarnation of a target.
func (h *hintHistory) drawIncarnation(name string) int {
	return max(1, h.evidence.incarnation[name]+rapid.IntRange(-2, 1).Draw(h.rt, "incarnation"))
}

// route checks that a decision expects no prefix that was not reported for the current incarnation.
func (h *hintHistory) route() {
	request, byWeights := h.drawRequest()
	decision, err := h.router.Route(request)
	if err != nil {
		h.rt.Fatalf("%v", err)
	}
	prefixes := byWeights[decision.Weights]
	known := h.evidence.depth(decision.Target, prefixes) * hintBlockTokens
	if decision.CachedTokens > known {
		h.rt.Fatalf("%s is expected to hold %d tokens, but only %d were reported for incarnation %d",
			decision.Target, decision.CachedTokens, known, h.evidence.incarnation[decision.Target])
	}
	if decision.Incarnation != incarnationName(h.evidence.incarnation[decision.Target]) {
		h.rt.Fatalf("%s is expected at incarnation %s", decision.Target, decision.Incarnation)
	}
	if decision.CachedTokens > 0 {
		h.reached.hints++
	}
	incarnation := h.evidence.incarnation[decision.Target]
	attempt := h.router.RecordSent(request, decision)
	h.evidence.add(decision.Target, incarnation, prefixes)
	h.attempts = append(h.attempts, hintAttempt{attempt, prefixes, decision.Target, incarnation})
}

func (h *hintHistory) answer() {
	if len(h.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.attempts)-1).Draw(h.rt, "answered")
	sent := h.attempts[i]
	h.attempts = append(h.attempts[:i], h.attempts[i+1:]...)
	incarnation := h.drawIncarnation(sent.target)
	if incarnation < h.evidence.incarnation[sent.target] {
		h.reached.lateAnswers++
	}
	sent.attempt.RecordAnswer(router.Answer{Incarnation: incarnationName(incarnation)})
	h.evidence.add(sent.target, incarnation, sent.prefixes)
	sent.attempt.Finish()
}

func (h *hintHistory) report() {
	name := h.drawTarget()
	incarnation := h.drawIncarnation(name)
	if incarnation < h.evidence.incarnation[name] {
		h.reached.lateReports++
	}
	if incarnation > h.evidence.incarnation[name] && len(h.attempts) > 0 {
		h.reached.restartsInFlight++
	}
	h.router.ObserveLoad(name, router.Load{Incarnation: incarnationName(incarnation)}, h.clock.now)
	h.evidence.add(name, incarnation, nil)
}

func (h *hintHistory) event() {
	name := h.drawTarget()
	incarnation := h.drawIncarnation(name)
	if incarnation < h.evidence.incarnation[name] {
		h.reached.lateEvents++
	}
	request, byWeights := h.drawRequest()
	chain := rapid.SampledFrom(request.Chains).Draw(h.rt, "chain")
	level := rapid.IntRange(0, len(chain.Blocks)-1).Draw(h.rt, "level")
	block, p := chain.Blocks[level], byWeights[chain.Weights][level]
	kind := router.EventKind(rapid.IntRange(0, 2).Draw(h.rt, "kind"))
	h.router.ObserveCache(name, incarnationName(incarnation), []router.Event{{Kind: kind, Block: block}})
	current := incarnation >= h.evidence.incarnation[name]
	h.evidence.add(name, incarnation, nil)
	switch {
	case !current:
	case kind == router.EventStored:
		h.evidence.add(name, incarnation, []prefix{p})
	case kind == router.EventEvicted:
		delete(h.evidence.prefixes[name], p)
	case kind == router.EventCleared:
		h.evidence.restart(name, incarnation)
	}
}

// TestNoHintsOfEarlierIncarnation generates histories in which targets restart while calls are in
// flight and while their events, reports and answers are late.
func TestNoHintsOfEarlierIncarnation(t *testing.T) {
	var reached conditionCounts
	rapid.Check(t, func(rt *rapid.T) {
		c := newClock()
		h := &hintHistory{
			rt: rt, clock: c, allowed: router.NewTargetSet(names(hintTargets)), evidence: newEvidence(hintTargets), reached: &reached,
			router: router.New(router.Settings{BlockTokens: hintBlockTokens, KnownPrefixes: 256, MaxTargets: hintTargets, Now: c.Now}),
		}
		pool := targets(hintTargets)
		for i := range pool {
			pool[i].Weights = hintWeights
			pool[i].Incarnation = incarnationName(1)
		}
		if err := h.router.SetTargets(pool); err != nil {
			rt.Fatalf("%v", err)
		}
		steps := []func(){h.route, h.route, h.answer, h.report, h.event}
		for range rapid.IntRange(10, 120).Draw(rt, "steps") {
			c.now = c.now.Add(time.Millisecond)
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
		}
	})
	t.Logf("conditions reached: %+v", reached)
	if reached.lateEvents == 0 || reached.lateReports == 0 || reached.lateAnswers == 0 || reached.restartsInFlight == 0 || reached.hints == 0 {
		t.Fatal("a condition was never reached")
	}
}
