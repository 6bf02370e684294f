package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryrill/rosemaryrill/admitter"
)

const (
	tick = 10 * time.Millisecond
	// objective is the latency objective of the simulated requests, and refusedWait the expected wait beyond which they
	// are refused.
	objective   = time.Second
	refusedWait = 3 * objective / 2
	// requestWork is the work of each simulated request.
	requestWork = 1000
)

// load is the requests of one account.
type load struct {
	name string
	// rate returns the requests per second at a time since the start.
	rate func(time.Duration) float64
	// urgent is the fraction of the requests that have urgency 0. The others have urgency 2.
	urgent float64
	// daemons is the number of daemons that the callers use; all if zero.
	daemons int
}

// tally counts requests, a request and its retry as one. late are those of the served ones that missed the objective.
type tally struct{ offered, served, late, refused, shed float64 }

func (t tally) ratio() float64 { return t.served / max(t.offered, 1) }

func (t *tally) add(other tally) {
	t.offered += other.offered
	t.served += other.served
	t.late += other.late
	t.refused += other.refused
	t.shed += other.shed
}

// pending is something that happens later.
type pending struct {
	at  time.Time
	run func()
}

// simulation lets daemons admit requests to one service that has a queue.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	daemons  []*admitter.Admitter
	capacity func(time.Duration) float64
	backlog  float64
	// refusedAtRandom and lateAtRandom are the fractions of the requests that are refused or late whatever the load, and latency the time until an
	// answer begins, in addition to the wait.
	refusedAtRandom, lateAtRandom float64
	latency                       time.Duration
	// lost is the fraction of the messages that get lost, and delay how long the others take at most.
	lost  float64
	delay time.Duration
	later []pending
	// counted is the time since the start from which requests are counted, by account and urgency.
	counted time.Duration
	tallies map[string]*tally
}

func newSimulation(daemons int, capacity float64) *simulation {
	s := &simulation{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), delay: 300 * time.Millisecond, tallies: make(map[string]*tally),
		capacity: func(time.Duration) float64 { return capacity * requestWork },
	}
	for range daemons {
		s.daemons = append(s.daemons, admitter.New(admitter.Settings{Now: func() time.Time { return s.now }, Random: s.random.Float64}))
	}
	return s
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.later = append(s.later, pending{at: s.now.Add(delay), run: run})
}

// run simulates the loads for a while.
func (s *simulation) run(duration time.Duration, loads []load) {
	start := s.now
	for elapsed := time.Duration(0); elapsed < duration; elapsed += tick {
		s.now = start.Add(elapsed)
		s.runPending()
		s.backlog = max(s.backlog-s.capacity(elapsed)*tick.Seconds(), 0)
		for _, l := range loads {
			for expected := l.rate(elapsed) * tick.Seconds(); expected > s.random.Float64(); expected-- {
				s.offer(l, elapsed)
			}
		}
		s.exchange()
	}
}

func (s *simulation) runPending() {
	due := s.later
	s.later = nil
	for _, p := range due {
		if p.at.After(s.now) {
			s.later = append(s.later, p)
			continue
		}
		p.run()
	}
}

// offer sends a request of an account to a daemon.
func (s *simulation) offer(l load, elapsed time.Duration) {
	request := admitter.Request{Service: "s", Account: l.name, PromptTokens: requestWork - 400, TimeLeft: 10 * time.Second, Urgency: 2}
	if s.random.Float64() < l.urgent {
		request.Urgency = 0
	}
	daemons := len(s.daemons)
	if l.daemons > 0 {
		daemons = l.daemons
	}
	count := &tally{}
	if elapsed >= s.counted {
		count = s.tally(l.name)
		if request.Urgency == 0 {
			count = s.tally(l.name + " urgent")
		}
	}
	count.offered++
	s.send(s.daemons[s.random.IntN(daemons)], request, count, true)
}

func (s *simulation) tally(name string) *tally {
	if s.tallies[name] == nil {
		s.tallies[name] = &tally{}
	}
	return s.tallies[name]
}

// total returns the sum of the tallies whose names are accepted.
func (s *simulation) total(accepts func(name string) bool) (total tally) {
	for name, counted := range s.tallies {
		if accepts(name) {
			total.add(*counted)
		}
	}
	return total
}

func (s *simulation) send(daemon *admitter.Admitter, request admitter.Request, count *tally, mayRetry bool) {
	admitted, retryAfter := daemon.Admit(request)
	wait := time.Duration(s.backlog / s.capacity(0) * float64(time.Second))
	switch {
	case !admitted && mayRetry:
		s.after(retryAfter, func() { s.send(daemon, request, count, false) })
	case !admitted:
		count.shed++
	case wait > refusedWait || s.random.Float64() < s.refusedAtRandom:
		daemon.Record(admitter.Outcome{Request: request, Result: admitter.Refused})
		count.refused++
	default:
		s.backlog += requestWork
		count.served++
		if wait > objective {
			count.late++
		}
		result := admitter.Began
		if wait > objective/2 || s.random.Float64() < s.lateAtRandom {
			result = admitter.BeganLate
		}
		s.after(wait+s.latency, func() { daemon.Record(admitter.Outcome{Request: request, Result: result}) })
	}
}

// exchange delivers what the daemons tell each other.
func (s *simulation) exchange() {
	for i, from := range s.daemons {
		demands, supplies := from.Export()
		if len(supplies) == 0 {
			continue
		}
		for j, to := range s.daemons {
			if i == j || s.random.Float64() < s.lost {
				continue
			}
			s.after(time.Duration(s.random.Float64()*float64(s.delay)), func() { to.Import(fmt.Sprint(i), demands, supplies) })
		}
	}
}

// steady is a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst multiplies a rate from one time to another.
func burst(rate, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < to {
			return rate * factor
		}
		return rate
	}
}
