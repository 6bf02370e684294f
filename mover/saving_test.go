package mover_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/mover"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	documentCount = 12
	prefixBlocks  = 8
	blockTokens   = 128
)

// enginePair is a pool of two engines of one model. It also implements the pool's Liveness.
type enginePair struct {
	engines [2]*engineemulator.Engine
	network *engineemulator.Network
	client  *forwarder.Client
	pools   *pooler.Pooler
	objects registrar.Objects
	// mover, if set, runs the moves that the router proposes.
	mover *mover.Mover
}

func (p *enginePair) Usable(string) bool { return true }

func (p *enginePair) Incarnation(target string) string {
	return p.engines[target[len(target)-1]-'0'].Incarnation()
}

func engineAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8000)
}

func newEnginePair() *enginePair {
	p := &enginePair{network: engineemulator.NewNetwork(nil)}
	p.client = forwarder.New(forwarder.Settings{Transport: p.network})
	p.objects = registrar.Objects{
		Accounts:  []registrar.Account{{Name: "a"}},
		Models:    []registrar.Model{{Name: "m", DefaultVersion: "v", BlockTokens: blockTokens}},
		Versions:  []registrar.Version{{Name: "v", Model: "m", Weights: "w"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
	}
	computed := engineemulator.NewBlockSet()
	for i := range p.engines {
		p.engines[i] = engineemulator.New(engineemulator.Settings{Weights: []string{"w"}, BlockTokens: blockTokens, ComputedBlocks: computed})
		p.network.Add(engineAddress(i), p.engines[i])
		p.objects.Targets = append(p.objects.Targets, registrar.Target{
			Name: fmt.Sprint("t", i), Kind: registrar.TargetEngine, Model: "m", Slots: 8, Address: engineAddress(i),
		})
	}
	p.pools = pooler.New(pooler.Settings{Daemon: "d", Liveness: p})
	p.apply(1)
	for i := range p.engines {
		p.pools.ObserveLoad(fmt.Sprint("t", i), forwarder.Load{Incarnation: p.engines[i].Incarnation(), Weights: []string{"w"}, MeasuredAt: time.Now()})
	}
	return p
}

func (p *enginePair) apply(revision registrar.Revision) {
	snapshot, err := registrar.NewSnapshot(revision, p.objects)
	if err != nil {
		panic(err)
	}
	p.pools.Apply(snapshot)
}

// slowTransfers delays each export by the transfer time that the router expects.
type slowTransfers struct {
	*forwarder.Client
}

func (s slowTransfers) Export(ctx context.Context, target netip.AddrPort, account, weights string, blocks []hasher.Block) ([]byte, error) {
	time.Sleep(router.DefaultTransferSetupTime + time.Duration(len(blocks)*blockTokens)*router.DefaultTransferTimePerToken)
	return s.Client.Export(ctx, target, account, weights, blocks)
}

// call routes and runs a call whose prompt is a document and a question, and returns the decision.
func (p *enginePair) call(t *testing.T, document, question int) router.Decision {
	t.Helper()
	text := strings.Repeat(fmt.Sprintf("spec book %d of the wheels ", document), prefixBlocks*blockTokens/4)
	messages := []hasher.Message{{Role: "user", Content: text + fmt.Sprint("question ", question)}}
	plan, err := p.pools.Plan(pooler.Query{Account: "a", Model: "m", Messages: messages, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	choice, request, err := plan.Route(nil, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if p.mover != nil && choice.Decision.Move != nil {
		p.mover.Move(*choice.Decision.Move)
	}
	attempt := choice.Router.RecordSent(request, choice.Decision)
	defer attempt.Finish()
	stream, err := p.client.Generate(context.Background(), choice.Address, forwarder.ModelCall{
		RunID: fmt.Sprintf("r-%d-%d", document, question), Account: "a", Model: "m", Weights: "w", MaxTokens: 1,
		Messages: []forwarder.Message{{Role: "user", Content: messages[0].Content}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	head := stream.Head()
	attempt.RecordAnswer(router.Answer{Incarnation: head.Incarnation, Weights: head.Weights, CachedTokens: head.CachedTokens})
	for err == nil {
		_, err = stream.Next()
	}
	if err != io.EOF && !strings.Contains(err.Error(), "EOF") {
		t.Fatal(err)
	}
	return choice.Decision
}

func (p *enginePair) close() {
	for _, engine := range p.engines {
		_ = engine.Close()
	}
	_ = p.network.Close()
}

// recomputed returns the number of tokens that the engines computed although one of them had
// computed them before.
func (p *enginePair) recomputed() int {
	return p.engines[0].Counters().RecomputedTokens + p.engines[1].Counters().RecomputedTokens
}

// drainEngine fills the caches of both engines, drains one of them and then sends a call for each
// document. It returns the tokens that were computed again and the counters of the mover.
func drainEngine(t *testing.T, moving bool) (recomputed int, counters mover.Counters) {
	t.Helper()
	p := newEnginePair()
	defer p.close()
	for question := range 3 {
		for document := range documentCount {
			p.call(t, document, question)
		}
	}
	before := p.recomputed()
	// Drain the engine that has computed more tokens.
	drained := 0
	if p.engines[1].Counters().ComputedTokens > p.engines[0].Counters().ComputedTokens {
		drained = 1
	}
	m := mover.New(mover.Settings{Engines: slowTransfers{p.client}, Targets: p.pools})
	defer m.Close()
	p.objects.Targets = append([]registrar.Target(nil), p.objects.Targets...)
	p.objects.Targets[drained].Labels = registrar.Labels{registrar.LabelDrain: "true"}
	p.apply(2)
	if moving {
		for _, move := range p.pools.ProposeDrainMoves(fmt.Sprint("t", drained)) {
			m.Move(move)
		}
	}
	time.Sleep(time.Second)
	for document := range documentCount {
		if decision := p.call(t, document, 9); decision.Target == fmt.Sprint("t", drained) {
			t.Errorf("a call went to %s, which is drained", decision.Target)
		}
	}
	return p.recomputed() - before, m.Counters()
}

func TestDrainMovesBlocksHeldOnlyByTheDrainedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without, _ := drainEngine(t, false)
		with, counters := drainEngine(t, true)
		t.Logf("recomputed tokens after the drain: %d without moves, %d with moves; %+v", without, with, counters)
		if counters.Done == 0 || with >= without/2 {
			t.Errorf("recomputed %d tokens with moves and %d without", with, without)
		}
	})
}

// overloadHolder sends calls with a hot document while the engine that holds its blocks reports a
// long queue, so that the router sends the calls to the other engine. If busy, that engine runs
// another prompt first.
func overloadHolder(t *testing.T, moving, busy bool) (recomputed int, counters mover.Counters) {
	t.Helper()
	p := newEnginePair()
	defer p.close()
	holder := p.call(t, 0, 0).Target
	before := p.recomputed()
	m := mover.New(mover.Settings{Engines: slowTransfers{p.client}, Targets: p.pools})
	defer m.Close()
	if moving {
		p.mover = m
	}
	p.pools.ObserveLoad(holder, forwarder.Load{
		Incarnation: p.Incarnation(holder), Weights: []string{"w"}, Running: 8, Waiting: 50, WaitingTokens: 1 << 20,
		MeasuredAt: time.Now().Add(time.Nanosecond),
	})
	var others sync.WaitGroup
	if busy {
		others.Go(func() { p.call(t, 1, 0) })
		time.Sleep(time.Millisecond)
	}
	for question := range 3 {
		if p.call(t, 0, question+1).Target == holder {
			t.Error("a call of the hot document went to the overloaded engine")
		}
	}
	others.Wait()
	return p.recomputed() - before, m.Counters()
}

func TestOverloadReplicatesAHotPrefix(t *testing.T) {
	for _, busy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			without, _ := overloadHolder(t, false, busy)
			with, counters := overloadHolder(t, true, busy)
			t.Logf("recomputed tokens of a hot document, target busy %t: %d without moves, %d with moves; %+v", busy, without, with, counters)
			if counters.Done == 0 || with > without || busy && with >= without {
				t.Errorf("recomputed %d tokens with moves and %d without", with, without)
			}
		})
	}
}
