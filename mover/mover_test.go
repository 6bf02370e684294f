package mover_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/mover"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/router"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	concurrency = 2
	maxQueue    = 3
	maxBytes    = 1000
)

// fakeEngines implements EngineClient with delays and Targets with facts that change.
type fakeEngines struct {
	exportTime, importTime time.Duration
	bytes                  int

	mu sync.Mutex
	// incarnations counts the restarts of each target. Closed targets accept no moves.
	incarnations    map[string]int
	closed          map[string]bool
	running         int
	imports         int
	recordMoveCalls int
	violations      []string
}

func addressOf(target string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, target[0]}), 8000)
}

func (f *fakeEngines) MoveFacts(move router.Move) (facts pooler.MoveFacts, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return pooler.MoveFacts{
		From: addressOf(move.From), To: addressOf(move.To),
		FromIncarnation: fmt.Sprint(f.incarnations[move.From]), ToIncarnation: fmt.Sprint(f.incarnations[move.To]),
	}, !f.closed[move.To]
}

func (f *fakeEngines) RecordMove(router.Move, pooler.MoveFacts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordMoveCalls++
}

// runStep waits for a time, as an export or import does, and records a violation if more than
// the allowed number run at once.
func (f *fakeEngines) runStep(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	f.running++
	if f.running > concurrency {
		f.violations = append(f.violations, fmt.Sprintf("%d moves at once", f.running))
	}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.running--
		f.mu.Unlock()
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (f *fakeEngines) Export(ctx context.Context, target netip.AddrPort, _, _ string, _ []hasher.Block) ([]byte, error) {
	// The data begins with the name and the incarnation of the source.
	f.mu.Lock()
	name := string(rune(target.Addr().As4()[3]))
	data := fmt.Sprintf("%s %d", name, f.incarnations[name])
	f.mu.Unlock()
	return append([]byte(data+"\x00"), make([]byte, f.bytes)...), f.runStep(ctx, f.exportTime)
}

func (f *fakeEngines) Import(ctx context.Context, target netip.AddrPort, data []byte) (int, error) {
	f.mu.Lock()
	var from string
	var incarnation int
	if _, err := fmt.Sscanf(string(data), "%s %d", &from, &incarnation); err != nil || f.incarnations[from] != incarnation {
		f.violations = append(f.violations, fmt.Sprintf("blocks of an old incarnation of %s were imported", from))
	}
	if f.closed[string(rune(target.Addr().As4()[3]))] {
		f.violations = append(f.violations, "blocks were imported at a closed target")
	}
	if len(data) > maxBytes {
		f.violations = append(f.violations, fmt.Sprintf("%d bytes were imported", len(data)))
	}
	f.imports++
	f.mu.Unlock()
	return 1, f.runStep(ctx, f.importTime)
}

// factChange restarts a target at the time At after the start of the history, and closes it if Close
// is set.
type factChange struct {
	At     time.Duration
	Target string
	Close  bool
	// Silent changes are not followed by a call of CancelChanged.
	Silent bool
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

// TestMovesAreCancelledWhenTheirFactsChange runs generated moves while targets restart and close.
// It checks that no blocks of an old incarnation or beyond the size are imported, none at a closed
// target, that the concurrency is bounded, and that every move is counted once.
func TestMovesAreCancelledWhenTheirFactsChange(t *testing.T) {
	reached := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		f := &fakeEngines{incarnations: make(map[string]int), closed: make(map[string]bool)}
		f.exportTime, f.importTime = milliseconds(1, 300).Draw(rt, "export"), milliseconds(1, 300).Draw(rt, "import")
		f.bytes = rapid.SampledFrom([]int{10, 10, 10, 2 * maxBytes}).Draw(rt, "bytes")
		closeAfter := milliseconds(100, 3000).Draw(rt, "close")
		moves := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) router.Move {
			return router.Move{
				From: names.Draw(rt, "from"), To: names.Draw(rt, "to"), Account: "a", Weights: "w", Tokens: 1,
				Blocks: []hasher.Block{{Lo: rapid.Uint64Range(1, 6).Draw(rt, "block")}},
			}
		}), 1, 12).Draw(rt, "moves")
		changes := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) factChange {
			return factChange{At: milliseconds(0, 900).Draw(rt, "at") + time.Microsecond, Target: names.Draw(rt, "target"), Close: rapid.Bool().Draw(rt, "closes"), Silent: rapid.Bool().Draw(rt, "silent")}
		}), 0, 4).Draw(rt, "changes")
		var counters mover.Counters
		synctest.Test(t, func(*testing.T) { counters = runMoves(f, moves, changes, closeAfter) })
		for _, violation := range f.violations {
			rt.Fatalf("%s", violation)
		}
		ended := counters.Done + counters.Dropped + counters.FactsChanged + counters.Failed
		if ended != uint64(len(moves)) || f.running != 0 || f.recordMoveCalls > int(counters.Done) {
			rt.Fatalf("%d moves, %+v, %d steps still run, %d calls of RecordMove", len(moves), counters, f.running, f.recordMoveCalls)
		}
		for name, hit := range map[string]bool{
			"done": counters.Done > 0, "dropped": counters.Dropped > 0, "void": counters.FactsChanged > 0,
			"failed": counters.Failed > 0, "too large": f.bytes > maxBytes,
		} {
			if hit {
				reached[name]++
			}
		}
	})
	t.Logf("conditions reached: %v", reached)
	for _, condition := range []string{"done", "dropped", "void", "failed", "too large"} {
		if reached[condition] == 0 {
			t.Errorf("condition %q was never reached", condition)
		}
	}
}

func runMoves(f *fakeEngines, moves []router.Move, changes []factChange, closeAfter time.Duration) mover.Counters {
	m := mover.New(mover.Settings{
		Engines: f, Targets: f, Concurrency: concurrency, MaxQueue: maxQueue, MaxBytes: maxBytes, Timeout: time.Second,
	})
	var group sync.WaitGroup
	for _, c := range changes {
		group.Go(func() {
			time.Sleep(c.At)
			f.mu.Lock()
			f.incarnations[c.Target]++
			f.closed[c.Target] = f.closed[c.Target] || c.Close
			f.mu.Unlock()
			if !c.Silent {
				m.CancelChanged()
			}
		})
	}
	for i, move := range moves {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			m.Move(move)
		})
	}
	group.Wait()
	time.Sleep(closeAfter)
	m.Close()
	return m.Counters()
}

func TestMovesBeyondTheQueueAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{incarnations: make(map[string]int), closed: make(map[string]bool), exportTime: time.Second / 4, importTime: time.Second / 4}
		m := mover.New(mover.Settings{Engines: f, Targets: f, Concurrency: concurrency, MaxQueue: maxQueue, MaxBytes: maxBytes})
		for i := range concurrency + maxQueue + 2 {
			m.Move(router.Move{From: "a", To: "b", Blocks: []hasher.Block{{Lo: uint64(i + 1)}}})
		}
		if dropped := m.Counters().Dropped; dropped != 2 {
			t.Errorf("%d moves were dropped instead of 2", dropped)
		}
		m.Close()
	})
}

func TestCancelChangedCancelsMoveToClosedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{incarnations: make(map[string]int), closed: make(map[string]bool), exportTime: time.Second}
		m := mover.New(mover.Settings{Engines: f, Targets: f})
		defer m.Close()
		m.Move(router.Move{From: "a", To: "b", Blocks: []hasher.Block{{Lo: 1}}})
		time.Sleep(time.Second / 10)
		f.mu.Lock()
		f.closed["b"] = true
		f.mu.Unlock()
		m.CancelChanged()
		synctest.Wait()
		if counters := m.Counters(); counters.FactsChanged != 1 {
			t.Errorf("the move was not cancelled: %+v", counters)
		}
	})
}
