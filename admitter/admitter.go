// Package admitter divides the room of an overloaded service fairly among the client accounts.
//
// For each service and account an Admitter sums up the work that was demanded lately, and for each service what was
// served, what began late and what was refused for lack of capacity or time. While a service is overloaded, as these sums
// show, it computes weighted max-min fair shares of what the service can serve. Requests of an account beyond its share are
// shed at random, the least urgent first; the probability depends on the account and the urgency only, not on the
// size of the request. Accounts within their shares are not affected, nor is an account that is alone.
//
// The daemons tell each other their sums with Export and Import while a service is strained, so that all decide alike although
// each sees few callers. A daemon that hears nothing decides by its own sums.
//
// The package does no network I/O and starts no goroutines. It takes the time from Settings.Now.
//
// # Usage
//
//	a := admitter.New(admitter.Settings{Now: time.Now})
//	request := admitter.Request{Service: "orders", Account: "shop", Urgency: 2, PromptTokens: 300, OutputTokens: 20}
//	if admitted, retryAfter := a.Admit(request); !admitted {
//		// Refuse the request and ask the caller to retry after retryAfter.
//	}
//	a.Record(admitter.Outcome{Request: request, Result: admitter.Began})
package admitter

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// Request describes a request of a client account.
type Request struct {
	Service string
	Account string
	// Urgency is the priority class of the request, below placer.Urgencies; zero is the most urgent.
	Urgency int
	// PromptTokens counts the tokens of the prompt, and SharedTokens those of them in parts that other requests share.
	PromptTokens, SharedTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// TimeLeft is the time until the deadline; zero means no limit.
	TimeLeft time.Duration
	// MayHaveRun is set if a target may have run the request before. It is counted and never shed.
	MayHaveRun bool
}

// Result is what became of an admitted request.
type Result int

// The results of admitted requests.
const (
	// Began: an answer began in time.
	Began Result = iota
	// BeganLate: an answer began after the request had waited for others longer than half of its latency objective.
	BeganLate
	// Refused: the request was refused for lack of capacity or time.
	Refused
)

// Outcome is the outcome of an admitted request.
type Outcome struct {
	Request
	Result Result
	// SharedRead is the number of SharedTokens that the target was expected to prefill.
	SharedRead int
}

// Settings are the parameters of an Admitter.
type Settings struct {
	Now func() time.Time
	// Random returns numbers in [0, 1). Default: rand.Float64.
	Random func() float64
	// Logger logs when services become overloaded and what is shed. Default: no log.
	Logger *slog.Logger
}

// Admitter decides which requests are admitted. Its methods are safe for concurrent use.
type Admitter struct {
	settings Settings

	mu         sync.Mutex
	services   map[placer.ServiceHash]*service
	exportedAt time.Time
}

// New returns an Admitter that knows of no demand.
func New(settings Settings) *Admitter {
	if settings.Random == nil {
		settings.Random = rand.Float64
	}
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	return &Admitter{settings: settings, services: make(map[placer.ServiceHash]*service)}
}

// serviceHash and accountHash return the hashes of names in messages. No account has the hash placer.OtherAccounts.
func serviceHash(name string) placer.ServiceHash { return placer.ServiceHash(xxh3.HashString(name)) }

func accountHash(name string) placer.AccountHash {
	return max(placer.AccountHash(xxh3.HashString(name)), placer.OtherAccounts+1)
}

// service returns a service, which begins without demand.
func (a *Admitter) service(hash placer.ServiceHash) *service {
	known := a.services[hash]
	if known == nil {
		known = newService(hash)
		a.services[hash] = known
	}
	return known
}

// Admit counts the work of a request and decides whether it is admitted. If not, its caller should retry after the returned
// time. The same request has the same chance then.
func (a *Admitter) Admit(request Request) (admitted bool, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	s := a.service(serviceHash(request.Service))
	s.name = request.Service
	hash := accountHash(request.Account)
	demanding, work := s.account(hash, request.Account), s.work(request, now)
	demanding.add(request.Urgency, work, now)
	s.noteWork(work)
	s.evaluate(now)
	a.logShortage(s, now)
	ratio := s.ratio(hash, request.Urgency)
	if request.MayHaveRun || ratio >= 1 || a.settings.Random() < ratio {
		demanding.usual.add(work, now, usualMemory)
		return true, 0
	}
	s.shed.add(request)
	s.shedWork.add(work, now, workMemory)
	return false, a.retryAfter(ratio, request.TimeLeft)
}

const (
	// minRetryDelay and maxRetryDelay bound the mean retry delay of shed requests.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// honouredRatio is the fraction of the time that a request has left up to which callers wait before a retry.
	honouredRatio = 1.0 / 3
)

// retryAfter draws the retry delay of a shed request. It grows with the excess of the account's demand, and lies between
// one and three halves of its mean, so that returns are spread.
func (a *Admitter) retryAfter(ratio float64, timeLeft time.Duration) time.Duration {
	excess := 1/max(ratio, minRatio) - 1
	mean := min(max(time.Duration(excess*float64(workMemory)), minRetryDelay), maxRetryDelay)
	if honoured := time.Duration(honouredRatio * float64(timeLeft)); timeLeft > 0 {
		mean = min(mean, honoured*2/3)
	}
	return time.Duration((0.5 + a.settings.Random()) * float64(mean))
}

// Record records the outcome of an admitted request, once.
func (a *Admitter) Record(outcome Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	s := a.service(serviceHash(outcome.Service))
	work := s.work(outcome.Request, now)
	if outcome.Result == Refused {
		s.refused.add(work, now, workMemory)
		return
	}
	s.served.add(work, now, workMemory)
	if outcome.Result == BeganLate {
		s.late.add(work, now, workMemory)
	}
	if outcome.SharedTokens > 0 {
		s.sharedTokens.add(float64(outcome.SharedTokens), now, ratioMemory)
		s.sharedRead.add(float64(outcome.SharedRead), now, ratioMemory)
	}
}

// ShortServices returns the number of services that are overloaded.
func (a *Admitter) ShortServices() (count int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.services {
		if s.shortage.room > 0 {
			count++
		}
	}
	return count
}
