package loadgenerator

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/checker"
)

const (
	defaultPairPrompts = 16
	defaultWarmUpPairs = 50
	pairSeed           = 0x9a12
)

// Headers that a daemon sets in calls to engines, and that direct calls must therefore set themselves.
const (
	headerRequestID = "Rill-Request-Id"
	headerAccount   = "Rill-Account"
	headerPriority  = "Rill-Priority"
	// interactivePriority is the priority that a daemon sets for interactive calls.
	interactivePriority = "10"
)

// PairSettings are the parameters of RunPairs.
type PairSettings struct {
	// Engine is the URL of the engine, which is the only target of the daemon, and Daemon the URL of the daemon's port
	// for callers.
	Engine string
	Daemon string
	Key    string
	// Account is the client account of Key. Direct calls name it so that they hit the same cached blocks.
	Account string
	Model   string
	// Rate is the number of pairs per second. The intervals between pairs are exponentially distributed.
	Rate         float64
	Duration     time.Duration
	PromptTokens int
	// Prompts is the number of different prompts. The warm-up caches them if there are at least as many WarmUpPairs.
	Prompts   int
	MaxTokens int
	// UniquePrompts makes each pair use a new prompt, which the daemon has not received before. It shares only its first nine
	// tenths with other prompts.
	UniquePrompts bool
	// WarmUpPairs is the number of pairs that are sent first and not measured.
	WarmUpPairs int
	Seed        uint64
}

func (s PairSettings) withDefaults() PairSettings {
	if s.Rate <= 0 {
		s.Rate = DefaultRate
	}
	if s.Duration <= 0 {
		s.Duration = DefaultDuration
	}
	s.PromptTokens = cmp.Or(s.PromptTokens, DefaultPromptTokens)
	s.Prompts = cmp.Or(s.Prompts, defaultPairPrompts)
	s.MaxTokens = cmp.Or(s.MaxTokens, DefaultMaxTokens)
	s.WarmUpPairs = cmp.Or(s.WarmUpPairs, defaultWarmUpPairs)
	return s
}

// PairResult compares direct calls to an engine with the same calls through a daemon.
type PairResult struct {
	Pairs int
	// Direct and Routed are the times to first token.
	Direct Times
	Routed Times
	// DirectTotal and RoutedTotal are the times to the end of the answer.
	DirectTotal Times
	RoutedTotal Times
	// AddedP50 and AddedP99 are the quantiles of Routed minus those of Direct.
	AddedP50 time.Duration
	AddedP99 time.Duration
	// Difference is the difference between the times to first token of each pair, routed minus direct. Negative differences
	// are recorded as the lower bound of the histogram.
	Difference Times
	Counts     checker.Counts
}

// RunPairs sends each call twice, directly to the engine and through the daemon, one after the other. The order alternates
// from pair to pair, so that noise of the machine affects both in the same way.
func RunPairs(ctx context.Context, settings PairSettings) (result PairResult, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	p := newPairRun(settings)
	for i := range settings.WarmUpPairs {
		p.sendPair(ctx, i, time.Now())
	}
	warmUp := p.tally.Counts()
	if warmUp.Complete != warmUp.Requests {
		return PairResult{}, &WarmUpError{Counts: warmUp}
	}
	p.reset()
	p.sendScheduled(ctx)
	return p.result(), nil
}

// WarmUpError reports that not all calls of the warm-up were answered completely.
type WarmUpError struct {
	Counts checker.Counts
}

// Error implements error.
func (e *WarmUpError) Error() string {
	return fmt.Sprintf("only %d of %d warm-up calls were answered completely", e.Counts.Complete, e.Counts.Requests)
}

// pairRun is one call of RunPairs.
type pairRun struct {
	settings      PairSettings
	engine        *checker.Checker
	daemon        *checker.Checker
	uniquePrompts atomic.Int64
	pairMeasurement
}

type pairMeasurement struct {
	tally                    *checker.Tally
	direct, routed           *Histogram
	directTotal, routedTotal *Histogram
	difference               *Histogram
}

func newPairRun(settings PairSettings) *pairRun {
	directClient := NewClient()
	directClient.Transport = engineTransport{next: directClient.Transport, account: settings.Account}
	p := &pairRun{
		settings: settings,
		engine:   checker.New(checker.Settings{URL: settings.Engine, Model: settings.Model, Client: directClient}),
		daemon:   checker.New(checker.Settings{URL: settings.Daemon, Key: settings.Key, Model: settings.Model, Client: NewClient()}),
	}
	p.reset()
	return p
}

func (p *pairRun) reset() {
	p.pairMeasurement = pairMeasurement{
		tally:  &checker.Tally{},
		direct: NewHistogram(), routed: NewHistogram(),
		directTotal: NewHistogram(), routedTotal: NewHistogram(),
		difference: NewHistogram(),
	}
}

// engineTransport adds the headers that a daemon sets in calls to an engine.
type engineTransport struct {
	next    http.RoundTripper
	account string
}

// RoundTrip implements http.RoundTripper.
func (t engineTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(headerRequestID, uuid.NewString())
	request.Header.Set(headerAccount, t.account)
	request.Header.Set(headerPriority, interactivePriority)
	return t.next.RoundTrip(request)
}

func (p *pairRun) sendScheduled(ctx context.Context) {
	random := rand.New(rand.NewPCG(p.settings.Seed, pairSeed))
	started := time.Now()
	next := started
	var workers conc.WaitGroup
	defer workers.Wait()
	for i := 0; ; i++ {
		gap := random.ExpFloat64() / p.settings.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		due := next
		if due.Sub(started) > p.settings.Duration || !sleepUntil(ctx, due) {
			return
		}
		workers.Go(func() { p.sendPair(ctx, i, due) })
	}
}

// sendPair sends one call directly and through the daemon. The first of the two is measured from the due time of the
// pair, the second from the end of the first.
func (p *pairRun) sendPair(ctx context.Context, i int, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	question := i % p.settings.Prompts
	if p.settings.UniquePrompts {
		question = int(p.uniquePrompts.Add(1))
	}
	prompt := Prompt(i%p.settings.Prompts, question, p.settings.PromptTokens)
	startDelay := time.Since(due)
	var direct, routed checker.Result
	if i%2 == 0 {
		direct = addStartDelay(p.engine.Stream(ctx, prompt, p.settings.MaxTokens), startDelay)
		routed = p.daemon.Stream(ctx, prompt, p.settings.MaxTokens)
	} else {
		routed = addStartDelay(p.daemon.Stream(ctx, prompt, p.settings.MaxTokens), startDelay)
		direct = p.engine.Stream(ctx, prompt, p.settings.MaxTokens)
	}
	p.add(direct, routed)
}

func addStartDelay(result checker.Result, startDelay time.Duration) checker.Result {
	result.FirstToken += startDelay
	result.Total += startDelay
	return result
}

func (p *pairRun) add(direct, routed checker.Result) {
	p.tally.Add(direct)
	p.tally.Add(routed)
	if direct.Verdict != checker.Complete || routed.Verdict != checker.Complete {
		return
	}
	p.direct.Add(direct.FirstToken)
	p.routed.Add(routed.FirstToken)
	p.directTotal.Add(direct.Total)
	p.routedTotal.Add(routed.Total)
	p.difference.Add(routed.FirstToken - direct.FirstToken)
}

func (p *pairRun) result() PairResult {
	result := PairResult{
		Direct:      p.direct.Times(),
		Routed:      p.routed.Times(),
		DirectTotal: p.directTotal.Times(),
		RoutedTotal: p.routedTotal.Times(),
		Difference:  p.difference.Times(),
		Counts:      p.tally.Counts(),
	}
	result.Pairs = int(result.Direct.Count)
	result.AddedP50 = result.Routed.P50 - result.Direct.P50
	result.AddedP99 = result.Routed.P99 - result.Direct.P99
	return result
}
