package attributor_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	part  attributor.Cause = 7
	other attributor.Cause = 8
	// maxExported is the number of strikes in a message.
	maxExported = 32
)

// fleet is a set of daemons that exchange messages, with a virtual clock. The incarnations in live are listed.
type fleet struct {
	now     time.Time
	live    map[uint64]bool
	refused bool
	daemons []*attributor.Attributor
	last    uint64
}

func newFleet(daemons int) *fleet {
	f := &fleet{now: time.Now(), live: make(map[uint64]bool)}
	for range daemons {
		f.start()
	}
	return f
}

// start adds a daemon.
func (f *fleet) start() *attributor.Attributor {
	a := attributor.New(attributor.Settings{
		Name:             fmt.Sprint("daemon ", len(f.daemons)),
		KnowsIncarnation: func(i uint64) bool { return f.live[i] },
		Refuses:          func(context.Context, netip.AddrPort) bool { return f.refused },
		Now:              func() time.Time { return f.now },
	})
	f.daemons = append(f.daemons, a)
	for i, daemon := range f.daemons {
		var peers []string
		for other := range f.daemons {
			if other != i {
				peers = append(peers, fmt.Sprint("daemon ", other))
			}
		}
		daemon.SetPeers(peers)
	}
	return a
}

// exchange passes a message of each daemon to all others.
func (f *fleet) exchange() {
	for _, from := range f.daemons {
		strikes, completions := from.Export(maxExported)
		for _, to := range f.daemons {
			if to != from {
				to.Import(strikes, completions)
			}
		}
	}
}

// crash lets a target end that runs requests with these causes at a daemon.
func (f *fleet) crash(daemon *attributor.Attributor, requests ...[]attributor.Cause) {
	f.now = f.now.Add(time.Second)
	f.last++
	for _, causes := range requests {
		daemon.RecordBroken(causes, f.last, netip.AddrPort{})
	}
}

func refuses(a *attributor.Attributor, causes ...attributor.Cause) bool {
	return a.Verdict(causes).Refused
}

func TestRequestIsRefusedAfterThreeCrashes(t *testing.T) {
	f := newFleet(1)
	a := f.daemons[0]
	for crash := 1; crash <= 3; crash++ {
		if refuses(a, part) {
			t.Fatalf("the request is refused before crash %d", crash)
		}
		f.crash(a, []attributor.Cause{part}, []attributor.Cause{part})
	}
	if !refuses(a, part) || refuses(a, other) {
		t.Error("the request is not refused after three crashes, or another one is")
	}
}

// A strike does not count while its incarnation still exists, since only the connection may have broken.
func TestStrikesOfLiveIncarnationsDoNotCount(t *testing.T) {
	f := newFleet(1)
	a := f.daemons[0]
	f.live = map[uint64]bool{1: true, 2: true, 3: true, 4: true}
	for range 4 {
		f.crash(a, []attributor.Cause{part})
	}
	if refuses(a, part) {
		t.Error("the request is refused though all targets are alive")
	}
	clear(f.live)
	if !refuses(a, part) {
		t.Error("the request is not refused though all targets have crashed")
	}
}

// Guards against waiting for the store's list while requests crash targets: the list tells of a crash seconds later.
func TestRefusedConnectionsShowCrashBeforeList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.live = map[uint64]bool{1: true, 2: true, 3: true}
		f.refused = true
		for range 3 {
			f.crash(f.daemons[0], []attributor.Cause{part})
			synctest.Wait() // The check of the target reads the clock, which the next crash advances.
		}
		if err := f.daemons[0].Close(); err != nil {
			t.Fatal(err)
		}
		f.exchange()
		for i, a := range f.daemons {
			if !refuses(a, part) {
				t.Errorf("daemon %d does not refuse the request though the targets refuse connections", i)
			}
		}
	})
}

// Guards against refusing parts that only ran beside the one that crashes targets (LOST).
func TestCompletedAnswerClearsStrikesEverywhere(t *testing.T) {
	f := newFleet(3)
	for range 4 {
		f.crash(f.daemons[0], []attributor.Cause{part, other})
		f.exchange()
		f.now = f.now.Add(time.Second)
		f.daemons[1].RecordCompletion([]attributor.Cause{other})
		f.exchange()
	}
	for i, a := range f.daemons {
		if !refuses(a, other, part) || refuses(a, other) {
			t.Errorf("daemon %d: refuses both %v, refuses the cleared one %v", i, refuses(a, other, part), refuses(a, other))
		}
	}
}

// A daemon that missed a completion, and repeats old strikes, is told of the completion.
func TestMissedCompletionIsToldAgain(t *testing.T) {
	f := newFleet(2)
	for range 3 {
		f.crash(f.daemons[0], []attributor.Cause{part})
	}
	f.exchange()
	f.now = f.now.Add(time.Second)
	f.daemons[0].RecordCompletion([]attributor.Cause{part})
	for range 3 {
		f.daemons[0].Export(maxExported) // The messages are lost.
	}
	if !refuses(f.daemons[1], part) {
		t.Fatal("the daemon does not refuse the request although it knows of no completion")
	}
	for range 3 {
		f.now = f.now.Add(time.Second)
		f.exchange()
	}
	if refuses(f.daemons[1], part) {
		t.Error("the daemon has not learned of the completion")
	}
}

// Guards against refusing all requests with a sound part that always came together with one that crashes targets (LOST).
func TestOneOfTwoInseparablePartsIsTriedAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes bool
	}{{"it is sound", false}, {"it crashes targets", true}} {
		f := newFleet(1)
		a := f.daemons[0]
		for range 3 {
			f.crash(a, []attributor.Cause{part, other})
		}
		if !refuses(a, part, other) || refuses(a, part) || refuses(a, other) {
			t.Fatalf("%s: only requests with both parts should be refused", c.name)
		}
		if c.crashes {
			f.crash(a, []attributor.Cause{other})
		} else {
			f.now = f.now.Add(time.Second)
			a.RecordCompletion([]attributor.Cause{other})
		}
		if refuses(a, other) != c.crashes || refuses(a, part) == c.crashes {
			t.Errorf("%s: refuses it %v, and the other part %v", c.name, refuses(a, other), refuses(a, part))
		}
	}
}

// Guards against refusing what many targets ran when they lost power together.
func TestCrashesOfOneMomentCountOnce(t *testing.T) {
	f := newFleet(1)
	a := f.daemons[0]
	for i := range uint64(10) {
		f.now = f.now.Add(time.Millisecond)
		a.RecordBroken([]attributor.Cause{part}, i, netip.AddrPort{})
	}
	if refuses(a, part) {
		t.Error("ten crashes within ten milliseconds count as several")
	}
}

// Guards against crashes by a daemon that has started after the others found the cause (BUDGET beside restarts).
func TestStartedDaemonLearnsSuspects(t *testing.T) {
	f := newFleet(3)
	for range 3 {
		f.crash(f.daemons[0], []attributor.Cause{part})
	}
	for range 3 {
		f.exchange()
	}
	started := f.start()
	for range 2 {
		f.now = f.now.Add(time.Second)
		f.exchange()
	}
	if !refuses(started, part) {
		t.Error("the started daemon does not refuse the request after two seconds")
	}
}

// Guards against daemons that let requests through which crash targets (BUDGET) since each saw a part of the crashes during a cut, whose
// messages are lost: of five crashes on two sides, one side has seen three, and repeats them.
func TestCrashesOnBothSidesOfCutAreLearnt(t *testing.T) {
	for _, sides := range [][2]int{{3, 2}, {2, 3}, {5, 0}} {
		f := newFleet(2)
		for side, crashes := range sides {
			for range crashes {
				f.crash(f.daemons[side], []attributor.Cause{part})
				f.daemons[side].Export(maxExported) // The message is lost.
			}
		}
		f.now = f.now.Add(time.Second)
		for range 3 {
			f.daemons[0].Export(maxExported)
			f.daemons[1].Export(maxExported)
		}
		for range 3 {
			f.now = f.now.Add(time.Second)
			f.exchange()
		}
		for i, a := range f.daemons {
			if !refuses(a, part) {
				t.Errorf("crashes %v: daemon %d does not refuse the request 3 s after the cut", sides, i)
			}
		}
	}
}

// A cause that is refused is tried again by one daemon at a time and ever more rarely, and runs again once it is sound.
func TestRefusedCauseIsTriedAgain(t *testing.T) {
	f := newFleet(4)
	for range 3 {
		f.crash(f.daemons[0], []attributor.Cause{part})
	}
	trials := 0
	for second := range 1200 {
		f.now = f.now.Add(time.Second)
		f.exchange()
		for _, a := range f.daemons {
			if !refuses(a, part) {
				trials++
				f.crash(a, []attributor.Cause{part})
				f.exchange()
			}
		}
		if limit := 1 + second/20; trials > limit || trials > 6 {
			t.Fatalf("%d trials after %d s", trials, second)
		}
	}
	if trials < 3 {
		t.Errorf("%d trials in 20 minutes", trials)
	}
	for range 1200 {
		f.now = f.now.Add(time.Second)
		if a := f.daemons[0]; !refuses(a, part) {
			a.RecordCompletion([]attributor.Cause{part})
			f.exchange()
			break
		}
	}
	for i, a := range f.daemons {
		if refuses(a, part) {
			t.Errorf("daemon %d refuses the request after it was completed", i)
		}
	}
}

// Daemons that exchange strikes agree on which requests to refuse, even if one of the three messages that carry a
// strike is lost.
func TestDaemonsAgreeDespiteLostMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(3)
		strikes := map[attributor.Cause]map[uint64]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "strikes") {
			cause, incarnation := attributor.Cause(rapid.Uint64Range(1, 3).Draw(t, "cause")), rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			f.now = f.now.Add(time.Duration(i) * 100 * time.Millisecond)
			if strikes[cause] == nil {
				strikes[cause] = map[uint64]bool{}
			}
			if strikes[cause][incarnation] {
				continue // The first strike tells the time of the crash; a second daemon may see it later.
			}
			f.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].RecordBroken([]attributor.Cause{cause}, incarnation, netip.AddrPort{})
			strikes[cause][incarnation] = true
		}
		lost := rapid.IntRange(0, 2).Draw(t, "lost message")
		for message := range 3 {
			for _, from := range f.daemons {
				exported, completions := from.Export(maxExported)
				for _, to := range f.daemons {
					if to != from && message != lost {
						to.Import(exported, completions)
					}
				}
			}
		}
		suspects := 0
		for _, incarnations := range strikes {
			if len(incarnations) >= 3 {
				suspects++
			}
		}
		for i, a := range f.daemons {
			if refuses(a, 1, 2, 3) != (suspects > 0) {
				t.Fatalf("daemon %d: the request with all causes is refused %v, %d have three crashes", i, refuses(a, 1, 2, 3), suspects)
			}
			for cause := attributor.Cause(1); cause <= 3; cause++ {
				crashes := len(strikes[cause])
				// A cause with three crashes is certainly refused if no other one can explain them.
				if refused := refuses(a, cause); refused != refuses(f.daemons[0], cause) || refused && crashes < 3 || !refused && crashes >= 3 && suspects == 1 {
					t.Fatalf("daemon %d: cause %d with %d crashes, refused is %v", i, cause, crashes, refused)
				}
			}
		}
	})
}

// Whatever requests run beside those with a part that crashes targets, these stop after few crashes at several daemons,
// and the others are not refused for long.
func TestDeadlyPartIsFoundAmongSoundOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 4).Draw(t, "daemons"))
		const deadly attributor.Cause = 99
		parts := rapid.IntRange(1, 6).Draw(t, "sound parts")
		draw := rapid.IntRange(1, parts)
		beside := rapid.IntRange(0, 6).Draw(t, "requests beside")
		crashes := 0
		var broken []attributor.Cause
		for second := range 60 {
			f.now = f.now.Add(200 * time.Millisecond)
			a := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon")]
			tainted := []attributor.Cause{attributor.Cause(1000 + second), attributor.Cause(draw.Draw(t, "part")), deadly}
			if !refuses(a, tainted...) {
				crashes++
				f.last++
				a.RecordBroken(tainted, f.last, netip.AddrPort{})
				for range beside {
					broken = append(broken, attributor.Cause(draw.Draw(t, "part beside")))
					daemon := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon beside")]
					daemon.RecordBroken(broken[len(broken)-1:], f.last, netip.AddrPort{})
				}
			}
			f.exchange()
			// The sound requests that broke come again at any daemon, some of them a crash later.
			comeAgain := broken[:max(len(broken)-rapid.IntRange(0, beside).Draw(t, "come later"), 0)]
			broken = broken[len(comeAgain):]
			for i := range comeAgain {
				again := comeAgain[i : i+1]
				if daemon := f.daemons[rapid.IntRange(0, len(f.daemons)-1).Draw(t, "daemon again")]; !refuses(daemon, again...) {
					f.now = f.now.Add(time.Millisecond)
					daemon.RecordCompletion(again)
				}
			}
			f.exchange()
		}
		if crashes > 5 {
			t.Fatalf("%d requests with the part crashed targets", crashes)
		}
		f.now = f.now.Add(4 * time.Minute)
		for sound := attributor.Cause(1); sound <= attributor.Cause(parts); sound++ {
			for _, a := range f.daemons {
				if !refuses(a, sound) {
					a.RecordCompletion([]attributor.Cause{sound})
				}
				f.exchange()
			}
			for i, a := range f.daemons {
				if refuses(a, sound) {
					t.Fatalf("daemon %d refuses sound part %d minutes after the part that crashes targets was found", i, sound)
				}
			}
		}
	})
}

func TestNewRequestIsTrackedAtCapacity(t *testing.T) {
	f := newFleet(1)
	a := f.daemons[0]
	for cause := range attributor.Cause(10_000) {
		a.RecordBroken([]attributor.Cause{cause}, 1, netip.AddrPort{})
	}
	f.last = 1
	for range 3 {
		f.crash(a, []attributor.Cause{1 << 40})
	}
	if !refuses(a, 1<<40) {
		t.Error("the strikes of a new request are not recorded when the table is full")
	}
}
