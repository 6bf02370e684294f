package router_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	blockTokens = 100
	weights     = "weights-1"
)

// clock is a clock that tests advance explicitly.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) Now() time.Time { return c.now }

func names(count int) []string {
	var result []string
	for i := range count {
		result = append(result, fmt.Sprintf("engine-%03d", i))
	}
	return result
}

func targets(count int) []router.Target {
	var result []router.Target
	for _, name := range names(count) {
		result = append(result, router.Target{
			Name: name, Weights: []string{weights}, Incarnation: "1", Slots: 8, Usable: true,
		})
	}
	return result
}

// chain returns a chain whose blocks differ from those of every other number.
func chain(number uint64, blocks int) []hasher.Block {
	text := make([]byte, 0, blocks*hasher.BytesPerToken)
	for i := range blocks {
		text = binary.BigEndian.AppendUint32(text, uint32(i))
	}
	return hasher.Blocks(hasher.Seed(fmt.Sprint(number), weights, ""), string(text), 1)
}

func request(number uint64, blocks int, allowed *router.TargetSet) router.Request {
	return router.Request{
		Chains:       []router.Chain{{Weights: weights, Blocks: chain(number, blocks)}},
		PromptTokens: blocks*blockTokens + 10,
		Allowed:      allowed,
	}
}

func newRouter(t testing.TB, c *clock, count int) (*router.Router, *router.TargetSet) {
	t.Helper()
	r := router.New(router.Settings{BlockTokens: blockTokens, PrefillTimePerToken: time.Millisecond, Now: c.Now})
	if err := r.SetTargets(targets(count)); err != nil {
		t.Fatal(err)
	}
	return r, router.NewTargetSet(names(count))
}

func route(t testing.TB, r *router.Router, request router.Request) router.Decision {
	t.Helper()
	decision, err := r.Route(request)
	if err != nil {
		t.Fatal(err)
	}
	return decision
}

func TestRoutersWithoutStateChooseSameTarget(t *testing.T) {
	c := newClock()
	for number := range uint64(50) {
		first, allowed := newRouter(t, c, 18)
		second, _ := newRouter(t, c, 18)
		a := route(t, first, request(number, 10, allowed))
		first.RecordSent(request(number, 10, allowed), a)
		b := route(t, second, request(number, 10, allowed))
		again := route(t, first, request(number, 10, allowed))
		if again.Target != a.Target || again.CachedTokens != 10*blockTokens {
			t.Fatalf("the prefix went to %s, then to %s with %d cached", a.Target, again.Target, again.CachedTokens)
		}
		// All targets are idle, so the candidates have equal scores and the first one is chosen.
		if a.Target != b.Target {
			t.Fatalf("prefix %d: the first router chooses %s, the second %s", number, a.Target, b.Target)
		}
	}
}

func TestNoTarget(t *testing.T) {
	r, allowed := newRouter(t, newClock(), 3)
	drained := targets(3)
	for i := range drained {
		drained[i].Usable = false
	}
	otherWeights := request(1, 1, allowed)
	otherWeights.Chains[0].Weights = "weights-2"
	tried := request(1, 1, allowed)
	tried.Exclude = names(3)
	cases := []struct {
		name    string
		request router.Request
		want    router.NoTargetError
	}{
		{"nothing allowed", request(1, 1, nil), router.NoTargetError{Known: 3}},
		{"weights", otherWeights, router.NoTargetError{Known: 3, Allowed: 3, Usable: 3}},
		{"tried", tried, router.NoTargetError{Known: 3, Allowed: 3, Usable: 3, Loaded: 3, Excluded: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := r.Route(c.request)
			var noTarget *router.NoTargetError
			if !errors.As(err, &noTarget) || *noTarget != c.want {
				t.Fatalf("got %v", err)
			}
		})
	}
	if err := r.SetTargets(drained); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Route(request(1, 1, allowed)); err == nil {
		t.Fatal("a target that is not usable was chosen")
	}
}

func TestCallsSpreadBeyondBusyHolder(t *testing.T) {
	c := newClock()
	r, allowed := newRouter(t, c, 6)
	hot := request(1, 10, allowed)
	used := map[string]bool{}
	for range 60 {
		decision := route(t, r, hot)
		r.RecordSent(hot, decision)
		used[decision.Target] = true
	}
	if len(used) < 2 {
		t.Fatalf("60 calls at once for one prefix went to %d targets", len(used))
	}
}

func TestReportsOfEarlierTimeOrIncarnationAreDropped(t *testing.T) {
	c := newClock()
	r, allowed := newRouter(t, c, 2)
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 5}, c.now)
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 1}, c.now.Add(-time.Second))
	if calls := r.Explain(request(1, 1, allowed))[0].Calls; calls != 5 {
		t.Fatalf("%d calls after an old report", calls)
	}
	r.ObserveLoad("engine-000", router.Load{Incarnation: "2", Running: 3}, c.now.Add(time.Second))
	r.ObserveLoad("engine-000", router.Load{Incarnation: "1", Running: 7}, c.now.Add(2*time.Second))
	if calls := r.Explain(request(1, 1, allowed))[0].Calls; calls != 3 {
		t.Fatalf("%d calls after a report of an earlier incarnation", calls)
	}
}

func TestProposeDrainMoves(t *testing.T) {
	c := newClock()
	r, allowed := newRouter(t, c, 4)
	hot := request(1, 10, allowed)
	holder := route(t, r, hot)
	r.RecordSent(hot, holder).RecordAnswer(router.Answer{Incarnation: "1"})
	elsewhere := hot
	elsewhere.Exclude = []string{holder.Target}
	otherDecision := route(t, r, elsewhere)
	if otherDecision.Move == nil || otherDecision.Move.From != holder.Target || otherDecision.Move.Tokens != 10*blockTokens {
		t.Fatalf("the move to another target is %+v", otherDecision.Move)
	}
	drained := targets(4)
	for i := range drained {
		drained[i].Usable = drained[i].Name != holder.Target
	}
	if err := r.SetTargets(drained); err != nil {
		t.Fatal(err)
	}
	moves := r.ProposeDrainMoves(holder.Target)
	if len(moves) != 1 || moves[0].From != holder.Target || len(moves[0].Blocks) != 10 {
		t.Fatalf("the moves on draining are %+v", moves)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, count := range []int{18, 48, 480} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkRoute(b, count) })
	}
}

// benchmarkRoute measures decisions with 1,000,000 known prefixes.
func benchmarkRoute(b *testing.B, count int) {
	const chains, blocks = 50_000, 20
	c := newClock()
	r := router.New(router.Settings{BlockTokens: blockTokens, KnownPrefixes: 1 << 21, Now: c.Now})
	if err := r.SetTargets(targets(count)); err != nil {
		b.Fatal(err)
	}
	all := names(count)
	allowed := router.NewTargetSet(all)
	requests := make([]router.Request, chains)
	for i := range requests {
		requests[i] = request(uint64(i), blocks, allowed)
		for j := range 3 {
			name := all[(i+j*7)%count]
			for _, block := range requests[i].Chains[0].Blocks {
				r.CorrectHint(name, "1", block, true)
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	i := 0
	for b.Loop() {
		if _, err := r.Route(requests[i%chains]); err != nil {
			b.Fatal(err)
		}
		i++
	}
	b.ReportMetric(float64(r.KnownPrefixes()), "prefixes")
}
