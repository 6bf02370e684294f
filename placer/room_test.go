package placer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// memory is the memory of an engine of the fixture in tokens.
const memory = 100_000

func newMemoryFixture(t *testing.T, engines int) *fixture {
	f := newFixture(t, engines)
	f.limitsMemory = true
	f.placer = f.newPlacer(engines)
	return f
}

// bulkyCall needs memory for a shared part and for an own part of some tokens.
func bulkyCall(part string, own, urgency int) placer.Call {
	return placer.Call{
		Service: service, Model: model, PromptTokens: 10_000 + own, OutputTokens: 30, Urgency: urgency,
		Parts: []placer.Part{{ID: part, Tokens: 10_000}, {ID: "own", Tokens: own}},
	}
}

// heldAt counts the memory that the requests need at an engine: each shared part once.
type heldAt struct {
	own    int
	shared map[string]int
}

func (h *heldAt) tokens() int {
	tokens := h.own
	for _, requests := range h.shared {
		if requests > 0 {
			tokens += 10_000
		}
	}
	return tokens
}

// engineRun is requests of several daemons at a few engines, which learn of each other's requests late.
type engineRun struct {
	fixture *fixture
	placers []*placer.Placer
	held    map[string]*heldAt
	random  *rand.Rand
	// later is what happens at a step.
	later map[int][]func()
	// sent and refused count the requests, and excess those after which an engine held more than its memory.
	sent, refused, excess int
}

func newEngineRun(t *testing.T, daemons, engines int) *engineRun {
	r := &engineRun{fixture: newMemoryFixture(t, engines), held: make(map[string]*heldAt), random: rand.New(rand.NewPCG(1, 2)), later: make(map[int][]func())}
	described := targets(engines, 1)
	for i := range described {
		described[i].Slots = 64
		r.held[described[i].ID] = &heldAt{shared: make(map[string]int)}
	}
	for range daemons {
		p := r.fixture.newPlacer(engines)
		p.SetTargets(described)
		r.placers = append(r.placers, p)
	}
	return r
}

// send sends a request with one of 12 prompts, which stays for 1.5 s.
func (r *engineRun) send(step int) {
	part := fmt.Sprint("book", r.random.IntN(12))
	choice, err := r.placers[r.random.IntN(len(r.placers))].Choose(bulkyCall(part, 3_500, 1), nil)
	var none *placer.NoTargetError
	if errors.As(err, &none) && none.Full {
		r.refused++
		return
	}
	if err != nil {
		r.fixture.t.Fatal(err)
	}
	h := r.held[choice.Target.ID]
	r.sent++
	h.own += 3_530
	h.shared[part]++
	if h.tokens() > memory {
		r.excess++
	}
	r.later[step+20] = append(r.later[step+20], choice.Attempt.RecordFirstEvent)
	r.later[step+150] = append(r.later[step+150], func() {
		choice.Attempt.Finish()
		h.own -= 3_530
		h.shared[part]--
	})
}

// exchange lets the daemons learn of each other's requests 150 ms later.
func (r *engineRun) exchange(step int) {
	for from, p := range r.placers {
		update := p.Export()
		r.later[step+15] = append(r.later[step+15], func() {
			for to, other := range r.placers {
				if to != from {
					other.Import(fmt.Sprint(from), update)
				}
			}
		})
	}
}

func (r *engineRun) run(perSecond float64) {
	for step := range 2000 {
		r.fixture.now = r.fixture.now.Add(10 * time.Millisecond)
		for _, run := range r.later[step] {
			run()
		}
		delete(r.later, step)
		if r.random.Float64()*100 < perSecond {
			r.send(step)
		}
		if step%10 == 0 {
			r.exchange(step)
		}
	}
}

// Guards against engines that hold requests far beyond their memory, and so preempt some. Without a check of the memory the
// engines are beyond it after a fifth of the requests of the smaller load, and after nine tenths of those of the larger one.
func TestRequestsFitIntoTheMemoryOfEngines(t *testing.T) {
	for _, c := range []struct{ perSecond, excess, refused float64 }{{20, 0.1, 0.1}, {50, 0.25, 0.6}} {
		r := newEngineRun(t, 8, 4)
		r.run(c.perSecond)
		offered := float64(r.sent + r.refused)
		if float64(r.excess) > c.excess*float64(r.sent) || float64(r.refused) > c.refused*offered {
			t.Errorf("%g requests a second: %d sent, %d of them beyond the memory, %d refused", c.perSecond, r.sent, r.excess, r.refused)
		}
	}
}

// Guards against less urgent requests that leave no memory to urgent ones, parts that count once for each request, requests
// that starve since they are large, and memory that stays taken.
func TestMemoryIsLeftToUrgentRequests(t *testing.T) {
	f := newMemoryFixture(t, 1)
	var attempts []*placer.Attempt
	for range 16 {
		choice, err := f.placer.Choose(bulkyCall("book", 5_000, 9), nil)
		if err != nil {
			break
		}
		attempts = append(attempts, choice.Attempt)
	}
	if len(attempts) != (memory*86/100-10_000)/5_040 {
		t.Errorf("%d less urgent requests of 5,040 tokens found memory beside a shared part of 10,000", len(attempts))
	}
	attempts = append(attempts, f.choose(bulkyCall("book", 5_000, 0)).Attempt)
	for _, attempt := range attempts {
		attempt.Finish()
	}
	f.choose(bulkyCall("other", memory, 9)).Attempt.Finish()
}
