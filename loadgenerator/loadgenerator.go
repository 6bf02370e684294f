// Package loadgenerator sends an open-loop load to running daemons and measures latencies. Requests are sent on a
// schedule that does not wait for answers, and latencies are measured from the time at which a request was due. A stall
// of the fleet is therefore measured in full (no coordinated omission).
//
// Package checker verifies every answer.
//
// # Usage
//
//	result, err := loadgenerator.Run(ctx, loadgenerator.Settings{
//		URLs: []string{"http://127.0.0.1:8080"}, Keys: []string{"demo-key"}, Model: "demo-model",
//		Rate: 20, Duration: 10 * time.Second, Shares: loadgenerator.Shares{Streams: 1},
//	})
//	fmt.Println(result.FirstToken.P99, result.Counts.AnswersCorrect())
package loadgenerator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/checker"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loadgenerator")

// Defaults of Settings.
const (
	DefaultRate         = 10.0
	DefaultDuration     = 10 * time.Second
	DefaultPromptTokens = 4_096
	DefaultMaxTokens    = 32
	DefaultPrefixes     = 8

	bytesPerToken        = 4
	answerTimeout        = time.Minute
	idleConnsPerDaemon   = 256
	sharedPromptFraction = 0.9
	defaultOrderPath     = "/services/orders/place"
	scheduleSeed         = 0x10ad
)

// Shares are the relative shares of the kinds of requests. They need not add up to one.
type Shares struct {
	Streams float64
	Plain   float64
	Orders  float64
}

// Settings are the parameters of a run. Zero values are replaced by the defaults.
type Settings struct {
	// URLs are the base URLs of the daemons' ports for callers, used in turn.
	URLs []string
	// Keys are the API keys, used in turn.
	Keys  []string
	Model string
	// Class is sent in the header Rill-Class unless it is empty.
	Class string
	// Rate is the number of requests per second. The intervals between requests are exponentially distributed.
	Rate     float64
	Duration time.Duration
	Shares   Shares
	// PromptTokens is the length of a prompt. Nine tenths of it are a prefix that other prompts share.
	PromptTokens int
	// Prefixes is the number of different shared prefixes.
	Prefixes  int
	MaxTokens int
	// ServiceURL is the URL of the emulated service, which is queried at the end of the run for how often it executed
	// each order. Without it, an order that was executed twice is detected only if its two answers differ.
	ServiceURL string
	// OrderPath is the path of the operation that places an order.
	OrderPath string
	Seed      uint64
	// Client sends the requests; by default a client with its own connection pool, see NewClient.
	Client *http.Client
}

// MissingSettingError reports a required setting that is empty.
type MissingSettingError struct {
	Field string
}

// Error implements error.
func (e *MissingSettingError) Error() string {
	return fmt.Sprintf("missing required setting %s", e.Field)
}

func (s Settings) withDefaults() Settings {
	if s.Rate <= 0 {
		s.Rate = DefaultRate
	}
	if s.Duration <= 0 {
		s.Duration = DefaultDuration
	}
	if s.PromptTokens <= 0 {
		s.PromptTokens = DefaultPromptTokens
	}
	if s.Prefixes <= 0 {
		s.Prefixes = DefaultPrefixes
	}
	if s.MaxTokens <= 0 {
		s.MaxTokens = DefaultMaxTokens
	}
	if s.OrderPath == "" {
		s.OrderPath = defaultOrderPath
	}
	if s.Shares == (Shares{}) {
		s.Shares.Streams = 1
	}
	if s.Client == nil {
		s.Client = NewClient()
	}
	return s
}

func (s Settings) check() error {
	switch {
	case len(s.URLs) == 0:
		return &MissingSettingError{Field: "URLs"}
	case len(s.Keys) == 0:
		return &MissingSettingError{Field: "Keys"}
	case s.Model == "":
		return &MissingSettingError{Field: "Model"}
	}
	return nil
}

// NewClient returns a client that keeps enough idle connections for an open-loop load.
func NewClient() *http.Client {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnsPerDaemon, DisableCompression: true}
	return &http.Client{Transport: transport}
}

// Run sends the load, waits for all answers and returns the measurements. It returns an error if a required setting is
// missing, or if the request to ServiceURL fails; in the latter case the result is valid except for doubled orders.
func Run(ctx context.Context, settings Settings) (result Result, err error) {
	defer Error.WrapP(&err)
	if err := settings.check(); err != nil {
		return Result{}, err
	}
	settings = settings.withDefaults()
	r := &run{settings: settings, id: uuid.NewString(), measurement: newMeasurement()}
	r.sendScheduled(ctx)
	if settings.ServiceURL != "" {
		err = r.countDoubledOrders(ctx)
	}
	return r.measurement.result(), err
}

// run is one run of the load.
type run struct {
	settings Settings
	// id is part of the idempotency keys, which distinguishes the orders of this run from those of others.
	id          string
	measurement *measurement
}

// sendScheduled starts each request when it is due, regardless of those still in flight, and waits for all of them.
func (r *run) sendScheduled(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, scheduleSeed))
	started := time.Now()
	next := started
	var workers conc.WaitGroup
	defer workers.Wait()
	for i := 0; ; i++ {
		gap := random.ExpFloat64() / r.settings.Rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		due := next
		if due.Sub(started) > r.settings.Duration || !sleepUntil(ctx, due) {
			return
		}
		kind := r.settings.Shares.pickKind(random.Float64())
		workers.Go(func() { r.sendRequest(ctx, i, due, kind) })
	}
}

// sleepUntil waits for a time and reports whether it was reached before the context was done.
func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type requestKind int

const (
	kindStream requestKind = iota
	kindPlain
	kindOrder
)

// pickKind maps a uniform sample from 0 to 1 to a kind of request, so that the kinds occur in proportion to the shares.
func (s Shares) pickKind(sample float64) requestKind {
	sample *= s.Streams + s.Plain + s.Orders
	switch {
	case sample < s.Streams:
		return kindStream
	case sample < s.Streams+s.Plain:
		return kindPlain
	}
	return kindOrder
}

func (r *run) sendRequest(ctx context.Context, i int, due time.Time, kind requestKind) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	startDelay := time.Since(due)
	switch kind {
	case kindStream:
		r.measurement.add(r.newChecker(i, 0).Stream(ctx, r.prompt(i), r.settings.MaxTokens), startDelay)
	case kindPlain:
		r.measurement.add(r.newChecker(i, 0).Plain(ctx, r.prompt(i), r.settings.MaxTokens), startDelay)
	case kindOrder:
		r.sendOrderTwice(ctx, i, startDelay)
	}
}

// newChecker returns the checker for request i. It uses the daemon that is offset places after the one whose turn it is.
func (r *run) newChecker(i, offset int) *checker.Checker {
	return checker.New(checker.Settings{
		URL:    r.settings.URLs[(i+offset)%len(r.settings.URLs)],
		Key:    r.settings.Keys[i%len(r.settings.Keys)],
		Model:  r.settings.Model,
		Class:  r.settings.Class,
		Client: r.settings.Client,
	})
}

// sendOrderTwice places an order and then sends it again, with the same idempotency key, to the next daemon. Both answers
// must be the same.
func (r *run) sendOrderTwice(ctx context.Context, i int, startDelay time.Duration) {
	key := fmt.Sprintf("%s-%d", r.id, i)
	body := []byte(fmt.Sprintf(`{"item":"wheel-%d"}`, i))
	placed := r.newChecker(i, 0).PlaceOrder(ctx, r.settings.OrderPath, key, body)
	r.measurement.add(placed, startDelay)
	repeated := r.newChecker(i, 1).PlaceOrder(ctx, r.settings.OrderPath, key, body)
	if placed.Verdict == checker.Complete && repeated.Verdict == checker.Complete && repeated.Body != placed.Body {
		repeated.Verdict = checker.Mixed
	}
	r.measurement.add(repeated, 0)
}

// prompt returns the prompt of a request, which shares its prefix with other prompts.
func (r *run) prompt(i int) string {
	return Prompt(i%r.settings.Prefixes, i, r.settings.PromptTokens)
}

// Prompt returns a prompt with about the given number of tokens. Nine tenths of it depend on prefix alone and the rest
// on question.
func Prompt(prefix, question, tokens int) string {
	length := tokens * bytesPerToken
	shared := int(float64(length) * sharedPromptFraction)
	return repeatToLength(fmt.Sprintf("prefix %d handbook ", prefix), shared) + repeatToLength(fmt.Sprintf("question %d ", question), length-shared)
}

// repeatToLength repeats the text up to a length in bytes.
func repeatToLength(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}
