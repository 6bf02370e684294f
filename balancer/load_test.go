package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/balancer"
)

const (
	step           = 10 * time.Millisecond
	viewDelay      = 15 // steps
	daemonsAtEach  = 15
	objective      = 500 * time.Millisecond
	workTime       = 60 * time.Millisecond
	enginesAtEach  = 22
	slotsOfEngine  = 12
	messageBytes   = 4_000
	gigabyteCost   = 5_000
	simulatedSteps = 5_200 // four periods of the demand
)

// simulatedCentre is a data centre with a queue of work, which others know as it was viewDelay steps before.
type simulatedCentre struct {
	name     string
	engines  float64
	cut      bool
	silent   bool
	queue    float64 // in requests
	past     []float64
	balancer []*balancer.Balancer
	foreign  int
}

// expected returns the time that a request waits with a queue.
func (c *simulatedCentre) expected(queue float64) time.Duration {
	return workTime + time.Duration(queue/c.engines*float64(workTime))
}

func (c *simulatedCentre) seen() float64 { return c.past[max(len(c.past)-viewDelay, 0)] }

type world struct {
	now     time.Time
	random  *rand.Rand
	centres []*simulatedCentre
	worth   float64
	late    int
	total   int
	crossed int
}

// choice is how the daemons of a world choose.
type choice func(b *balancer.Balancer, home string, options []balancer.Option) (index int, chosen bool)

func byBalancer(b *balancer.Balancer, _ string, options []balancer.Option) (index int, chosen bool) {
	return b.Choose(balancer.Request{Objective: objective, Bytes: messageBytes, Daemons: 4 * daemonsAtEach, ServedAtHome: true}, options)
}

func atHome(_ *balancer.Balancer, home string, options []balancer.Option) (index int, chosen bool) {
	for i := range options {
		if options[i].DataCentre == home {
			return i, true
		}
	}
	return 0, false
}

// byPenalty is the choice without a price: the earliest answer, with a fixed penalty for other data centres.
func byPenalty(_ *balancer.Balancer, home string, options []balancer.Option) (index int, chosen bool) {
	lowest := time.Duration(math.MaxInt64)
	for i, option := range options {
		expected := option.Expected
		if option.DataCentre != home {
			expected += 2 * time.Millisecond
		}
		if expected < lowest {
			lowest, index = expected, i
		}
	}
	return index, true
}

func newWorld() *world {
	w := &world{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(3, 4))}
	for i := range 4 {
		c := &simulatedCentre{name: fmt.Sprint("dc", i), engines: enginesAtEach, past: []float64{0}}
		for range daemonsAtEach {
			c.balancer = append(c.balancer, balancer.New(balancer.Settings{
				DataCentre: c.name, GigabyteCost: func() float64 { return gigabyteCost }, Now: func() time.Time { return w.now },
			}))
		}
		w.centres = append(w.centres, c)
	}
	return w
}

// run sends requests whose number swings by 55 in 100 with a period of 13 s, each data centre a second behind its neighbour.
func (w *world) run(load float64, choose choice) {
	perStep := load * enginesAtEach * float64(step) / float64(workTime)
	for i := range simulatedSteps {
		for j, c := range w.centres {
			phase := 2 * math.Pi * (step.Seconds()*float64(i) - float64(j)) / 13
			for range w.poisson(perStep * (1 + 0.55*math.Sin(phase))) {
				w.send(c, choose)
			}
		}
		for _, c := range w.centres {
			c.queue = max(c.queue-c.engines*float64(step)/float64(workTime), 0)
			c.past = append(c.past, c.queue)
		}
		w.now = w.now.Add(step)
	}
}

func (w *world) poisson(mean float64) (count int) {
	for sum := w.random.ExpFloat64(); sum < mean; sum += w.random.ExpFloat64() {
		count++
	}
	return count
}

func (w *world) send(home *simulatedCentre, choose choice) {
	b := home.balancer[w.random.IntN(len(home.balancer))]
	options := make([]balancer.Option, 0, len(w.centres))
	for _, c := range w.centres {
		if c.cut && c != home {
			continue // None of its targets can be reached.
		}
		queue := c.seen()
		if c.silent && c != home {
			queue = 0 // Nothing is heard of its load, which therefore looks low.
		}
		free := max(c.engines*slotsOfEngine-queue, 0)
		options = append(options, balancer.Option{DataCentre: c.name, Expected: c.expected(queue), FreeSlots: int(free)})
	}
	index, chosen := choose(b, home.name, options)
	w.total++
	if !chosen {
		return
	}
	for _, c := range w.centres {
		if c.name == options[index].DataCentre {
			w.serve(b, home, c)
		}
	}
}

func (w *world) serve(b *balancer.Balancer, home, c *simulatedCentre) {
	took := c.expected(c.queue)
	c.queue++
	w.worth++
	if took > objective {
		w.late++
		w.worth -= 0.7
	}
	if c == home {
		return
	}
	c.foreign++
	w.crossed++
	w.worth -= gigabyteCost * messageBytes / 1e9
	if !c.silent {
		b.RecordAnswer(c.name)
	}
}

func (w *world) String() string {
	return fmt.Sprintf("late %.2f%%, crossed %.2f%%, worth %.0f of %d", 100*float64(w.late)/float64(w.total), 100*float64(w.crossed)/float64(w.total), w.worth, w.total)
}

// Under demand that swings and with a data centre that lost engines, is cut off or tells nothing, requests must be worth more in all
// than at home alone and than with a fixed penalty for other data centres, which all daemons pay at once when they see another queue
// that is a little shorter. Few requests go to a data centre that tells nothing.
func TestBalancerUnderSwingingDemand(t *testing.T) {
	const load, tries = 0.75, 10
	loseThird := func(w *world) { w.centres[1].engines *= 2. / 3 }
	cut := func(w *world) { w.centres[2].cut = true }
	silence := func(w *world) { w.centres[3].silent = true }
	for name, changes := range map[string][]func(w *world){
		"swinging":          nil,
		"a third lost":      {loseThird},
		"one cut off":       {cut},
		"one tells nothing": {silence},
		"all at once":       {loseThird, cut, silence},
	} {
		t.Run(name, func(t *testing.T) {
			results := make([]*world, 3)
			for i, choose := range []choice{byBalancer, atHome, byPenalty} {
				results[i] = newWorld()
				for _, change := range changes {
					change(results[i])
				}
				results[i].run(load, choose)
			}
			balanced, home, penalty := results[0], results[1], results[2]
			t.Logf("balancer: %s; at home: %s; fixed penalty: %s", balanced, home, penalty)
			if balanced.worth <= home.worth || balanced.worth <= penalty.worth {
				t.Errorf("balancer: %s; at home: %s; fixed penalty: %s", balanced, home, penalty)
			}
			if c := balanced.centres[3]; c.silent && c.foreign > tries*daemonsAtEach*3 {
				t.Errorf("%d requests went to a data centre that tells nothing", c.foreign)
			}
		})
	}
}
