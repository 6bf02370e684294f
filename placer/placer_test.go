package placer_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/placer"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	model        = "m"
	service      = "engines"
	versionBound = 10 * time.Second
)

// fixture is a placer with engines and a clock that tests move.
type fixture struct {
	t      testing.TB
	now    time.Time
	placer *placer.Placer
}

func newFixture(t testing.TB, engines int) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	f.placer = f.daemon(engines)
	return f
}

// daemon returns another placer that knows the same engines.
func (f *fixture) daemon(engines int) *placer.Placer {
	p := placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return f.now }, VersionBound: versionBound})
	p.SetEngines(map[string]placer.Engine{service: {CacheTokens: 100_000, TokenBytes: 18_000, LinkBitsPerSecond: 180e9}})
	p.SetTargets(targets(engines, 1))
	return p
}

func targets(count int, version int64) (described []placer.Target) {
	for i := range count {
		described = append(described, placer.Target{
			ID: fmt.Sprintf("e%d", i), Service: service, DataCentre: "north", Slots: 16,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Started:  time.Unix(900_000, 0),
			Versions: map[string]int64{model: version},
		})
	}
	return described
}

func long(part string) placer.Call {
	return placer.Call{
		Service: service, Model: model, PromptTokens: 14_000, OutputTokens: 20, Urgency: 1,
		Parts: []placer.Part{{ID: part, Tokens: 13_000}, {ID: "own", Tokens: 1_000}},
	}
}

func brief() placer.Call {
	return placer.Call{Service: service, Model: model, PromptTokens: 300, OutputTokens: 9, Parts: []placer.Part{{ID: "s", Tokens: 50}, {ID: "o", Tokens: 250}}}
}

func (f *fixture) choose(call placer.Call, excluded ...string) placer.Choice {
	f.t.Helper()
	choice, err := f.placer.Choose(call, excluded)
	if err != nil {
		f.t.Fatal(err)
	}
	return choice
}

func TestPromptGoesWhereItIsCached(t *testing.T) {
	f := newFixture(t, 4)
	first := f.choose(long("book"))
	first.Flight.Started()
	first.Flight.Finished()
	second := f.choose(long("book"))
	if second.Target.ID != first.Target.ID || second.Read != 1_000 {
		t.Errorf("the second went to %s and reads %d tokens, the first to %s", second.Target.ID, second.Read, first.Target.ID)
	}
}

// The pattern: a hot prompt whose holder is busy with other prompts.
func TestBusyHolderIsFetchedFrom(t *testing.T) {
	f := newFixture(t, 3)
	holder := f.choose(long("hot"))
	holder.Flight.Started()
	holder.Flight.Finished()
	for range 6 {
		other := f.choose(long("hot"))
		if other.Target.ID == holder.Target.ID {
			continue
		}
		if other.FetchFrom != holder.Target.Address || other.Read != 1_000 {
			t.Fatalf("%s fetches from %s and reads %d tokens, the holder is at %s", other.Target.ID, other.FetchFrom, other.Read, holder.Target.Address)
		}
		return
	}
	t.Error("six prompts waited for one holder")
}

func TestDaemonsAgreeOnTheFirstTargetOfAPrompt(t *testing.T) {
	f := newFixture(t, 8)
	other := f.daemon(8)
	for i := range 50 {
		call := long(fmt.Sprint(i))
		mine := f.choose(call)
		mine.Flight.Finished()
		theirs, err := other.Choose(call, nil)
		if err != nil {
			t.Fatal(err)
		}
		theirs.Flight.Finished()
		if mine.Target.ID != theirs.Target.ID {
			t.Errorf("prompt %d goes to %s and %s", i, mine.Target.ID, theirs.Target.ID)
		}
	}
}

func TestIsolatedAccountsShareNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(long("book")).Flight.Finished()
	walled := long("book")
	walled.Wall = "other"
	if choice := f.choose(walled); choice.Read != walled.PromptTokens {
		t.Errorf("a prompt of an isolated account reads %d of %d tokens", choice.Read, walled.PromptTokens)
	}
}

// The pattern: long prompts fill the engines and brief urgent ones come between them.
func TestUrgentRequestsDoNotWaitForAllOthers(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 10 {
		f.choose(long(fmt.Sprint(i)))
	}
	urgent, other := f.choose(brief()), f.choose(long("last"))
	if urgent.Expected*4 > other.Expected {
		t.Errorf("an urgent request is expected after %s, another one after %s", urgent.Expected, other.Expected)
	}
}

// The pattern: several daemons send to the same few engines.
func TestWorkOfPeersCounts(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.daemon(2)
	sent, err := peer.Choose(long("peer"), nil)
	if err != nil {
		t.Fatal(err)
	}
	f.placer.Import("peer", peer.Export())
	if choice := f.choose(brief()); choice.Target.ID == sent.Target.ID {
		t.Error("a request went to the engine that a peer has just given a long prompt")
	}
	if cached := f.choose(long("peer"), idsBut(2, sent.Target.ID)...); cached.Read != 1_000 {
		t.Errorf("a prompt that a peer sent is read again: %d tokens", cached.Read)
	}
}

func idsBut(count int, kept string) (ids []string) {
	for i := range count {
		if id := fmt.Sprintf("e%d", i); id != kept {
			ids = append(ids, id)
		}
	}
	return ids
}

// Work that is told, taken back and lapses leaves nothing behind.
func TestWorkOfPeersEnds(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.choose(brief()).Expected
	peer := f.daemon(1)
	sent, err := peer.Choose(long("x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	f.placer.Import("peer", peer.Export())
	f.placer.SetTargets(targets(1, 1))
	sent.Flight.Finished()
	f.placer.Import("peer", peer.Export())
	for _, busy := range []placer.Choice{f.choose(brief())} {
		busy.Flight.Finished()
		if busy.Expected > 2*idle {
			t.Errorf("expected after %s, idle %s", busy.Expected, idle)
		}
	}
}

func TestReplacedWeightsAreUsedOnlyForTheirTime(t *testing.T) {
	f := newFixture(t, 2)
	f.now = f.now.Add(time.Minute)
	f.placer.Want(model, 2, true)
	f.choose(brief()).Flight.Finished()
	f.now = f.now.Add(versionBound)
	var none *placer.NoTargetError
	if _, err := f.placer.Choose(brief(), nil); !errors.As(err, &none) || none.RetryAfter <= 0 {
		t.Errorf("replaced weights are used after their time: %v", err)
	}
	f.placer.Updated("e1", model, 2)
	if choice := f.choose(brief()); choice.Target.ID != "e1" || choice.Version != 2 {
		t.Errorf("chosen %s with weights %d", choice.Target.ID, choice.Version)
	}
}

// A newer naming does not prolong the time of weights that an older one replaced.
func TestSecondNamingDoesNotProlongTheFirst(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	f.placer.Want(model, 2, true)
	f.now = f.now.Add(versionBound - time.Second)
	f.placer.Want(model, 3, true)
	f.now = f.now.Add(time.Second)
	if _, err := f.placer.Choose(brief(), nil); err == nil {
		t.Error("weights replaced for the whole bound are used")
	}
}

// A daemon that starts does not know since when weights are replaced, until a peer tells it.
func TestStartingDaemonTrustsReplacedWeightsBriefly(t *testing.T) {
	f := newFixture(t, 1)
	f.placer.Want(model, 2, false)
	f.choose(brief()).Flight.Finished()
	f.now = f.now.Add(3 * time.Second)
	if _, err := f.placer.Choose(brief(), nil); err == nil {
		t.Error("a daemon that knows no time uses replaced weights for 3 s")
	}
	peer := f.daemon(1)
	peer.Want(model, 2, true)
	f.placer.Import("peer", peer.Export())
	f.choose(brief())
}

// A daemon that starts and reads only the newest of several namings hears of the others.
func TestOlderNamingsAreTakenFromPeers(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	peer := f.daemon(1)
	peer.Want(model, 2, true)
	f.now = f.now.Add(versionBound)
	peer.Want(model, 3, true)
	f.placer.Want(model, 3, true)
	f.placer.Import("peer", peer.Export())
	if _, err := f.placer.Choose(brief(), nil); err == nil {
		t.Error("weights that were replaced before the naming that is known are used")
	}
}

// The pattern: an engine whose queue is longer than what is left of the weights' time.
func TestExpectedWaitCountsAgainstTheTimeOfWeights(t *testing.T) {
	f := newFixture(t, 1)
	f.now = f.now.Add(time.Minute)
	f.placer.Want(model, 2, true)
	f.now = f.now.Add(versionBound - 2*time.Second)
	for i := range 8 {
		if choice, err := f.placer.Choose(long(fmt.Sprint(i)), nil); err == nil && choice.Expected > 1200*time.Millisecond {
			t.Fatalf("a request that begins after %s is sent 2 s before the bound", choice.Expected)
		}
	}
}

func TestTargetsThatChangeShedOrBreakAreLeft(t *testing.T) {
	for name, leave := range map[string]func(f *fixture, flight *placer.Flight){
		"changing": func(f *fixture, _ *placer.Flight) { f.placer.Updating("e0", f.now.Add(time.Second)) },
		"shed":     func(_ *fixture, flight *placer.Flight) { flight.Shed() },
		"broke":    func(_ *fixture, flight *placer.Flight) { flight.Broke() },
		"left":     func(_ *fixture, flight *placer.Flight) { flight.Left() },
	} {
		f := newFixture(t, 2)
		flight := f.choose(brief(), "e1").Flight
		leave(f, flight)
		flight.Finished()
		for range 10 {
			if choice := f.choose(brief()); choice.Target.ID == "e0" {
				t.Errorf("%s: a request went to the target", name)
			}
		}
	}
}

func TestNewIncarnationStartsAfresh(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(long("book")).Flight.Finished()
	reborn := targets(1, 1)
	reborn[0].Started = reborn[0].Started.Add(time.Minute)
	f.placer.SetTargets(reborn)
	if choice := f.choose(long("book")); choice.Read != choice.Ahead+14_000 && choice.Read != 14_000 {
		t.Errorf("an engine that started anew is believed to hold a prompt: reads %d", choice.Read)
	}
}

// However flights go, no work is left behind when all have ended.
func TestNoWorkIsLeftBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(nil, 3)
		var open []*placer.Flight
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				call := long(rapid.StringMatching("[a-c]").Draw(t, "part"))
				call.Urgency = rapid.IntRange(0, placer.Urgencies-1).Draw(t, "urgency")
				choice, err := f.placer.Choose(call, nil)
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, choice.Flight)
			case 2:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "flight")].Started()
				}
			case 3:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "flight")].Finished()
				}
			case 4:
				f.placer.SetTargets(targets(3, 1))
				f.now = f.now.Add(time.Second)
			}
		}
		for _, flight := range open {
			flight.Finished()
		}
		if news := f.placer.Export(); len(news.Loads) != 0 {
			t.Fatalf("work is left: %+v", news.Loads)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 60, 480} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := newFixture(b, engines)
			for i := 0; b.Loop(); i++ {
				choice := f.choose(long(fmt.Sprint(i % 200)))
				choice.Flight.Started()
				choice.Flight.Finished()
			}
		})
	}
}

// The pattern: engines let parts go piece by piece while they are busy.
func TestPartsThatEnginesLetGoAreForgottenByAll(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.daemon(2)
	sent, err := peer.Choose(long("book"), nil)
	if err != nil {
		t.Fatal(err)
	}
	sent.Flight.Finished()
	f.placer.Import("peer", peer.Export())
	key := placer.PartKey(model, "", 1, "book")
	for _, tokens := range []int{9_000, 4_000, 500} {
		peer.ObserveCache(sent.Target.ID, placer.CacheEvents{Changes: []placer.CacheChange{{Key: key, Tokens: tokens}}})
		f.placer.Import("peer", peer.Export())
	}
	for name, p := range map[string]*placer.Placer{"the daemon that asks": peer, "another daemon": f.placer} {
		choice, err := p.Choose(long("book"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if choice.Read != 14_000 || choice.FetchFrom.IsValid() {
			t.Errorf("%s reads %d tokens and fetches from %s", name, choice.Read, choice.FetchFrom)
		}
	}
}

// A request that is refused, shed or broken leaves no belief that its prompt was read.
func TestPromptsThatWereNotReadAreNotHeld(t *testing.T) {
	for name, fail := range map[string]func(f *fixture){
		"too late": func(f *fixture) {
			call := long("book")
			call.Within = time.Millisecond
			_, err := f.placer.Choose(call, nil)
			var late *placer.NotInTimeError
			if !errors.As(err, &late) || late.Expected <= late.Within {
				t.Errorf("a call without time was answered with %v", err)
			}
		},
		"shed":   func(f *fixture) { f.choose(long("book")).Flight.Shed() },
		"broken": func(f *fixture) { f.choose(long("book")).Flight.Broke() },
	} {
		f := newFixture(t, 2)
		peer := f.daemon(2)
		fail(f)
		f.now = f.now.Add(time.Minute)
		peer.Import("f", f.placer.Export())
		for _, p := range []*placer.Placer{f.placer, peer} {
			choice, err := p.Choose(long("book"), nil)
			if err != nil {
				t.Fatal(err)
			}
			if choice.Read != 14_000 || choice.FetchFrom.IsValid() {
				t.Errorf("%s: the next one reads %d tokens and fetches from %s", name, choice.Read, choice.FetchFrom)
			}
		}
	}
}

// The pattern: a prompt that takes longer than the objective to read, at engines without work.
func TestLargestPromptsAreNotRefusedForTheirSize(t *testing.T) {
	f := newFixture(t, 1)
	large := long("book")
	large.PromptTokens, large.Within, large.Left = 90_000, 900*time.Millisecond, 8*time.Second
	f.choose(large)
	if _, err := f.placer.Choose(large, nil); err == nil {
		t.Error("a second one waits behind it for longer than its part of the time")
	}
	hurried := large
	hurried.Left = time.Second
	if _, err := newFixture(t, 1).placer.Choose(hurried, nil); err == nil {
		t.Error("a prompt that cannot begin before its deadline is sent")
	}
}

// The pattern: a target goes dark while it still has an entry and open connections.
func TestSilentTargetIsFoundByItsFirstRequest(t *testing.T) {
	f := newFixture(t, 2)
	dark := f.choose(brief(), "e1")
	f.now = f.now.Add(500 * time.Millisecond)
	for range 10 {
		choice := f.choose(brief())
		if choice.Target.ID == "e0" {
			t.Fatal("a request went to a target that has not answered for 0.5 s")
		}
		choice.Flight.Started()
		choice.Flight.Finished()
	}
	dark.Flight.Started()
	for range 10 {
		if f.choose(brief()).Target.ID == "e0" {
			return
		}
	}
	t.Error("a target that has answered again gets nothing")
}

// The pattern: daemons that are cut off from each other share their targets.
func TestTargetsOwnWordOnItsRequestsCounts(t *testing.T) {
	f := newFixture(t, 2)
	f.choose(brief(), "e1").Flight.SawLoad(200)
	for range 20 {
		if choice := f.choose(brief()); choice.Target.ID == "e0" {
			t.Fatal("a request went to a target that says that it has 200 in hand")
		}
	}
	f.now = f.now.Add(time.Second)
	for range 40 {
		if choice := f.choose(brief()); choice.Target.ID == "e0" {
			return
		}
	}
	t.Error("what a target said a second ago still counts")
}

func TestWhenARequestMustHaveBegun(t *testing.T) {
	f := newFixture(t, 1)
	f.placer.Want(model, 1, true)
	flight := f.choose(brief()).Flight
	newest := flight.BeginBy().Sub(f.now)
	f.now = f.now.Add(2 * time.Second)
	named := f.now
	f.placer.Want(model, 2, true)
	f.now = f.now.Add(3 * time.Second)
	replaced := flight.BeginBy().Sub(named)
	if newest != replaced || replaced >= versionBound || replaced < versionBound-time.Second {
		t.Errorf("a request must have begun %s after weights may be replaced and %s after they are, within %s", newest, replaced, versionBound)
	}
	flight.SawVersion(2)
	if upgraded := flight.BeginBy(); !upgraded.Equal(f.now.Add(newest)) {
		t.Errorf("on a target that has the newest weights by now: %s", upgraded.Sub(f.now))
	}
}

// The pattern: a hot prompt is asked for again while its first engine still reads it. A fetch would find nothing
// there, and the prompt would be read twice.
func TestPartsAreNotFetchedFromAnEngineThatStillReadsThem(t *testing.T) {
	f := newFixture(t, 3)
	other := f.daemon(3)
	first := f.choose(long("hot"))
	other.Import("first", f.placer.Export())
	early := f.choose(long("hot"), first.Target.ID)
	early.Flight.Finished()
	theirs, err := other.Choose(long("hot"), []string{first.Target.ID})
	if err != nil || early.FetchFrom.IsValid() || theirs.FetchFrom.IsValid() {
		t.Errorf("fetched before it was read: from %s, a peer from %s, %v", early.FetchFrom, theirs.FetchFrom, err)
	}
}

func TestSecondRequestWaitsForTheFirstToReadThePrompt(t *testing.T) {
	f := newFixture(t, 3)
	first := f.choose(long("hot"))
	if waits := f.choose(long("hot")); waits.Target.ID != first.Target.ID {
		t.Errorf("a second request reads the prompt on %s, while %s is reading it", waits.Target.ID, first.Target.ID)
	}
}

func TestPartsAreFetchedOnceTheyAreRead(t *testing.T) {
	f := newFixture(t, 3)
	other := f.daemon(3)
	first := f.choose(long("hot"))
	other.Import("first", f.placer.Export())
	f.now = f.now.Add(2 * first.Expected)
	first.Flight.Started()
	ours := f.choose(long("hot"), first.Target.ID)
	theirs, err := other.Choose(long("hot"), []string{first.Target.ID})
	if err != nil || ours.FetchFrom != first.Target.Address || theirs.FetchFrom != first.Target.Address {
		t.Errorf("fetched from %s, by a peer from %s, want %s, %v", ours.FetchFrom, theirs.FetchFrom, first.Target.Address, err)
	}
}

func TestPeersAreHeardForAShortTime(t *testing.T) {
	f := newFixture(t, 1)
	f.placer.Import("other", placer.News{})
	if !f.placer.Hears("other") || f.placer.Hears("nobody") {
		t.Error("a peer is not heard at once, or one that never spoke is")
	}
	f.now = f.now.Add(5 * time.Second)
	if f.placer.Hears("other") {
		t.Error("a peer is heard that has been silent for 5 s")
	}
}
