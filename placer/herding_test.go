package placer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// simulatedEngine prefills one prompt after another.
type simulatedEngine struct {
	lasting, noise float64
	requests       int
	freeAt         time.Time
}

type simulatedEvent struct {
	at time.Time
	do func()
}

// simulation is a fleet of daemons that learn late of each other's work, and of engines that noise slows at times.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	events  []simulatedEvent
	placers []*placer.Placer
	engines map[string]*simulatedEngine
	reports bool
	// answers counts the first events, late those after the objective, and peaks are the ratios between the busiest engine and the mean.
	answers, late int
	peaks         []float64
}

func newSimulation(lasting []float64, noise, reports bool) *simulation {
	const engines, daemons = 90, 58
	s := &simulation{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*simulatedEngine), reports: reports}
	described := targets(engines, 1)
	for i := range described {
		described[i].Slots = 12
		e := &simulatedEngine{lasting: lasting[i%len(lasting)], noise: 1}
		s.engines[described[i].ID] = e
		if noise {
			s.makeNoise(e)
		}
	}
	for i := range daemons {
		p := placer.New(placer.Settings{Now: func() time.Time { return s.now }, DataCentre: "north", VersionBound: versionBound, Seed: uint64(i)})
		p.SetTargets(described)
		p.SetPeers(make([]string, daemons-1))
		s.placers = append(s.placers, p)
	}
	return s
}

func (s *simulation) after(delay time.Duration, do func()) {
	at := s.now.Add(delay)
	position, _ := slices.BinarySearchFunc(s.events, at, func(e simulatedEvent, at time.Time) int { return e.at.Compare(at) })
	s.events = slices.Insert(s.events, position, simulatedEvent{at: at, do: do})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *simulation) makeNoise(e *simulatedEngine) {
	const length, pause = 600 * time.Millisecond, 3400 * time.Millisecond
	s.after(s.exponential(pause), func() {
		e.noise = 2.5
		s.after(length, func() {
			e.noise = 1
			s.makeNoise(e)
		})
	})
}

// exchange gives each daemon the work of all others and what they tell, as it was some time before.
func (s *simulation) exchange() {
	const interval, delay = 60 * time.Millisecond, 100 * time.Millisecond
	sums := make(map[placer.TargetHash]placer.Load)
	own := make([]map[placer.TargetHash]placer.Load, len(s.placers))
	var factors []placer.WorkFactor
	for i, p := range s.placers {
		update := p.Export()
		own[i] = make(map[placer.TargetHash]placer.Load)
		for _, load := range update.Loads {
			sums[load.Target], own[i][load.Target] = sums[load.Target].Plus(load), load
		}
		for _, factor := range update.WorkFactors {
			factor.Age += delay
			factors = append(factors, factor)
		}
	}
	s.after(delay, func() {
		for i, p := range s.placers {
			others := placer.PeerUpdate{WorkFactors: factors}
			for target, load := range sums {
				others.Loads = append(others.Loads, load.Minus(own[i][target]))
			}
			p.Import("fleet", others)
		}
	})
	s.after(interval, s.exchange)
}

func (s *simulation) arrive() {
	const perSecond, longFraction, tokensPerSecond, overheadTokens, decodeTime = 724, 0.15, 54_600, 400, 250 * time.Millisecond
	call, objective := placer.Call{Service: service, Model: model, PromptTokens: 383, OutputTokens: 10}, 500*time.Millisecond
	if s.random.Float64() < longFraction {
		call, objective = placer.Call{Service: service, Model: model, PromptTokens: 17_020, OutputTokens: 20}, 800*time.Millisecond
	}
	choice, err := s.placers[s.random.IntN(len(s.placers))].Choose(call, nil)
	if err != nil {
		panic(err)
	}
	e := s.engines[choice.Target.ID]
	e.requests++
	if e.freeAt.Before(s.now) {
		e.freeAt = s.now
	}
	factor := e.lasting * e.noise
	e.freeAt = e.freeAt.Add(time.Duration(float64(call.PromptTokens+overheadTokens) / tokensPerSecond * factor * float64(time.Second)))
	took := e.freeAt.Sub(s.now)
	s.after(took, func() {
		s.answers++
		if took > objective {
			s.late++
		}
		report := placer.LoadReport{Requests: e.requests}
		if s.reports {
			report.WorkPercent = int(100 * e.lasting * e.noise)
		}
		choice.Attempt.RecordLoad(report)
		choice.Attempt.RecordFirstEvent()
		s.after(time.Duration(factor*float64(decodeTime)), func() {
			e.requests--
			choice.Attempt.Finish()
		})
	})
	s.after(s.exponential(time.Second/perSecond), s.arrive)
}

func (s *simulation) sample() {
	total, most := 0, 0
	for _, e := range s.engines {
		total += e.requests
		most = max(most, e.requests)
	}
	s.peaks = append(s.peaks, float64(most*len(s.engines))/float64(max(total, 1)))
	s.after(20*time.Millisecond, s.sample)
}

// run simulates some time, and forgets what was counted in the first part of it.
func (s *simulation) run() (atMoment, late float64) {
	const warmUp, end = 3 * time.Second, 15 * time.Second
	started := s.now
	for _, start := range []func(){s.arrive, s.exchange, s.sample} {
		s.after(0, start)
	}
	s.after(warmUp, func() { s.peaks, s.answers, s.late = nil, 0, 0 })
	for s.now.Sub(started) < end {
		event := s.events[0]
		s.events = s.events[1:]
		s.now = event.at
		event.do()
	}
	for _, peak := range s.peaks {
		atMoment += peak / float64(len(s.peaks))
	}
	return atMoment, float64(s.late) / float64(s.answers)
}

// Daemons that learn late of each other's work must not all send to the targets that were the least loaded in the last messages, or
// reported to be the fastest.
func TestDaemonsDoNotHerd(t *testing.T) {
	for _, test := range []struct {
		name           string
		lasting        []float64
		noise, reports bool
		// atMoment bounds the ratio between the busiest engine and the mean, and late the fraction of late first events.
		atMoment, late float64
	}{
		{"equal", []float64{1}, false, false, 3.5, 0.05},
		{"uneven", []float64{0.6, 1, 1.6}, true, false, 3.8, 0.09},
		{"uneven, reported", []float64{0.6, 1, 1.6}, true, true, 3.8, 0.03},
	} {
		t.Run(test.name, func(t *testing.T) {
			atMoment, late := newSimulation(test.lasting, test.noise, test.reports).run()
			t.Logf("busiest engine / mean %.2f, late %.2f%%", atMoment, 100*late)
			if atMoment > test.atMoment || late > test.late {
				t.Errorf("want at most %.1f and %.0f%%", test.atMoment, 100*test.late)
			}
		})
	}
}
