package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// simulatedEngine prefills one prompt at a time, urgent ones first.
type simulatedEngine struct {
	lasting, noise float64
	running        int
	queue          []*simulatedRequest
	prefilling     bool
	// requests is the sum of the running requests over all samples.
	requests int
}

type simulatedRequest struct {
	choice placer.Choice
	call   placer.Call
	sentAt time.Time
}

type simulatedEvent struct {
	at time.Time
	do func()
}

// simulation is a fleet of daemons that learn late of each other's work, and of engines that noise slows at times.
type simulation struct {
	started, now time.Time
	random       *rand.Rand
	events       []simulatedEvent
	placers      []*placer.Placer
	engines      map[string]*simulatedEngine
	reports      bool
	// firstEvents are the times to the first events, late counts those after their objective, and peaks are the ratios between the
	// busiest engine and the mean.
	firstEvents []float64
	late        int
	peaks       []float64
	factors     int
}

func newSimulation(lasting []float64, noise, reports bool) *simulation {
	const engines, daemons = 90, 58
	s := &simulation{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*simulatedEngine), reports: reports,
	}
	s.started = s.now
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
		p.SetEngines(map[string]placer.Engine{service: {CacheTokens: 154_619, TokenBytes: 18_000, LinkBitsPerSecond: 180e9}})
		p.SetTargets(described)
		p.SetPeers(make([]string, daemons-1))
		s.placers = append(s.placers, p)
	}
	return s
}

func (s *simulation) after(delay time.Duration, do func()) {
	at := s.now.Add(delay)
	position, _ := slices.BinarySearchFunc(s.events, at, func(e simulatedEvent, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, position, simulatedEvent{at: at, do: do})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *simulation) makeNoise(e *simulatedEngine) {
	const length, fraction = 600 * time.Millisecond, 0.15
	s.after(s.exponential(time.Duration(float64(length)*(1-fraction)/fraction)), func() {
		e.noise = 2.5
		s.after(length, func() {
			e.noise = 1
			s.makeNoise(e)
		})
	})
}

// exchange gives each daemon the work of all others, as it was some time before.
func (s *simulation) exchange() {
	const interval, delay = 60 * time.Millisecond, 100 * time.Millisecond
	sums := make(map[placer.TargetHash]placer.Load)
	updates := make([]placer.PeerUpdate, len(s.placers))
	var factors []placer.WorkFactor
	for i, p := range s.placers {
		updates[i] = p.Export()
		factors = append(factors, updates[i].WorkFactors...)
		for _, load := range updates[i].Loads {
			sums[load.Target] = sums[load.Target].Plus(load)
		}
	}
	s.after(delay, func() {
		for i := range factors {
			factors[i].Age += delay
		}
		for i, p := range s.placers {
			own := make(map[placer.TargetHash]placer.Load)
			for _, load := range updates[i].Loads {
				own[load.Target] = load
			}
			others := placer.PeerUpdate{WorkFactors: factors}
			for target, load := range sums {
				others.Loads = append(others.Loads, load.Minus(own[target]))
			}
			p.Import("fleet", others)
		}
	})
	s.after(interval, s.exchange)
}

func (s *simulation) arrive() {
	const perSecond, longFraction = 724, 0.15
	call := placer.Call{Service: service, Model: model, PromptTokens: 383, OutputTokens: 10, Parts: []placer.Part{{ID: "own", Tokens: 383}}}
	if s.random.Float64() < longFraction {
		call = placer.Call{Service: service, Model: model, PromptTokens: 17_020, OutputTokens: 20, Urgency: 1, Parts: []placer.Part{{ID: "own", Tokens: 17_020}}}
	}
	choice, err := s.placers[s.random.IntN(len(s.placers))].Choose(call, nil)
	if err != nil {
		panic(err)
	}
	e := s.engines[choice.Target.ID]
	e.queue = append(e.queue, &simulatedRequest{choice: choice, call: call, sentAt: s.now})
	slices.SortStableFunc(e.queue, func(a, b *simulatedRequest) int { return a.call.Urgency - b.call.Urgency })
	s.prefill(e)
	s.after(s.exponential(time.Second/perSecond), s.arrive)
}

func (s *simulation) prefill(e *simulatedEngine) {
	if e.prefilling || len(e.queue) == 0 || e.running == 12 {
		return
	}
	const tokensPerSecond, overheadTokens, tokenTime = 54_600, 400, 15 * time.Millisecond
	request, factor := e.queue[0], e.lasting*e.noise
	e.queue, e.prefilling = e.queue[1:], true
	e.running++
	tokens := float64(request.call.PromptTokens + overheadTokens)
	s.after(time.Duration(tokens/tokensPerSecond*factor*float64(time.Second)), func() {
		e.prefilling = false
		s.begin(e, request)
		s.after(time.Duration(float64(request.call.OutputTokens)*factor*float64(tokenTime)), func() {
			e.running--
			request.choice.Attempt.Finish()
			s.prefill(e)
		})
		s.prefill(e)
	})
}

func (s *simulation) begin(e *simulatedEngine, request *simulatedRequest) {
	report := placer.LoadReport{Requests: e.running + len(e.queue)}
	if s.reports {
		report.WorkPercent = int(100 * e.lasting * e.noise)
	}
	request.choice.Attempt.RecordLoad(report)
	request.choice.Attempt.RecordFirstEvent()
	took := s.now.Sub(request.sentAt)
	s.firstEvents = append(s.firstEvents, took.Seconds())
	if took > 500*time.Millisecond+300*time.Millisecond*time.Duration(request.call.Urgency) {
		s.late++
	}
}

func (s *simulation) sample() {
	total, most := 0, 0
	for _, e := range s.engines {
		count := e.running + len(e.queue)
		e.requests += count
		total += count
		most = max(most, count)
	}
	s.peaks = append(s.peaks, float64(most*len(s.engines))/float64(max(total, 1)))
	s.after(20*time.Millisecond, s.sample)
}

// run simulates some time, and forgets what was measured in the first part of it.
func (s *simulation) run() {
	const warmUp, end = 3 * time.Second, 15 * time.Second
	for _, start := range []func(){s.arrive, s.exchange, s.sample} {
		s.after(0, start)
	}
	s.after(warmUp, func() {
		s.firstEvents, s.peaks, s.late = nil, nil, 0
		for _, e := range s.engines {
			e.requests = 0
		}
	})
	for s.now.Sub(s.started) < end {
		event := s.events[0]
		s.events = s.events[1:]
		s.now = event.at
		event.do()
	}
}

// busiest returns the ratio between the busiest engine and the mean, over time and at a moment.
func (s *simulation) busiest() (overTime, atMoment float64) {
	total, most := 0, 0
	for _, e := range s.engines {
		total += e.requests
		most = max(most, e.requests)
	}
	return float64(most*len(s.engines)) / float64(total), mean(s.peaks)
}

func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
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
		{"equal", []float64{1}, false, false, 3.2, 0.02},
		{"uneven", []float64{0.6, 1, 1.6}, true, false, 4, 0.06},
		{"uneven, reported", []float64{0.6, 1, 1.6}, true, true, 4, 0.04},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(test.lasting, test.noise, test.reports)
			s.run()
			overTime, atMoment := s.busiest()
			late := float64(s.late) / float64(len(s.firstEvents))
			slices.Sort(s.firstEvents)
			summary := fmt.Sprintf("busiest engine / mean: %.2f over time, %.2f at a moment; first events: mean %.0f ms, p95 %.0f ms, %.2f%% late",
				overTime, atMoment, 1000*mean(s.firstEvents), 1000*s.firstEvents[len(s.firstEvents)*95/100], 100*late)
			t.Log(summary)
			if atMoment > test.atMoment || late > test.late {
				t.Errorf("%s; want at most %.1f at a moment and %.0f%% late", summary, test.atMoment, 100*test.late)
			}
		})
	}
}
