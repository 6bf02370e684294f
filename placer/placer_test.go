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

// fixture is a placer with engines and a clock that tests advance.
type fixture struct {
	t      testing.TB
	now    time.Time
	placer *placer.Placer
	// limitsMemory makes the placers leave out engines without memory.
	limitsMemory bool
}

func newFixture(t testing.TB, engines int) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	f.placer = f.newPlacer(engines)
	return f
}

// newPlacer returns a placer with the fixture's engines and clock; tests use it as the placer of another daemon.
func (f *fixture) newPlacer(engines int) *placer.Placer {
	p := placer.New(placer.Settings{DataCentre: "north", Now: func() time.Time { return f.now }, VersionBound: versionBound, LimitMemory: f.limitsMemory})
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

func longCall(part string) placer.Call {
	return placer.Call{
		Service: service, Model: model, PromptTokens: 14_000, OutputTokens: 20, Urgency: 1,
		Parts: []placer.Part{{ID: part, Tokens: 13_000}, {ID: "own", Tokens: 1_000}},
	}
}

func shortCall() placer.Call {
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

func TestChoosePrefersTargetWithCachedPrompt(t *testing.T) {
	f := newFixture(t, 4)
	first := f.choose(longCall("book"))
	first.Attempt.RecordFirstEvent()
	first.Attempt.Finish()
	second := f.choose(longCall("book"))
	if second.Target.ID != first.Target.ID || second.PrefillTokens != 1_000 {
		t.Errorf("the second request went to %s with %d tokens to prefill, the first to %s", second.Target.ID, second.PrefillTokens, first.Target.ID)
	}
}

// The only target that holds a frequently requested prompt is busy. The other targets must fetch the shared part from it
// rather than prefill it.
func TestPartsAreFetchedFromBusyHolder(t *testing.T) {
	f := newFixture(t, 3)
	holder := f.choose(longCall("hot"))
	holder.Attempt.RecordFirstEvent()
	holder.Attempt.Finish()
	for range 6 {
		other := f.choose(longCall("hot"))
		if other.Target.ID == holder.Target.ID {
			continue
		}
		if other.FetchFrom != holder.Target.Address || other.PrefillTokens != 1_000 {
			t.Fatalf("%s fetches from %s and has %d tokens to prefill, the holder is at %s", other.Target.ID, other.FetchFrom, other.PrefillTokens, holder.Target.Address)
		}
		return
	}
	t.Error("six requests all went to the only holder of their prompt")
}

func TestPlacersAgreeOnTargetOfNewPrompt(t *testing.T) {
	f := newFixture(t, 8)
	other := f.newPlacer(8)
	for i := range 50 {
		call := longCall(fmt.Sprint(i))
		mine := f.choose(call)
		mine.Attempt.Finish()
		theirs, err := other.Choose(call, nil)
		if err != nil {
			t.Fatal(err)
		}
		theirs.Attempt.Finish()
		if mine.Target.ID != theirs.Target.ID {
			t.Errorf("prompt %d goes to %s and %s", i, mine.Target.ID, theirs.Target.ID)
		}
	}
}

func TestIsolatedAccountsShareNoCachedParts(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(longCall("book")).Attempt.Finish()
	isolated := longCall("book")
	isolated.CacheNamespace = "other"
	if choice := f.choose(isolated); choice.PrefillTokens != isolated.PromptTokens {
		t.Errorf("a prompt of an isolated account has %d of %d tokens to prefill", choice.PrefillTokens, isolated.PromptTokens)
	}
}

// Long prompts occupy the only engine, then a short urgent one arrives.
func TestFirstEventOfUrgentRequestIsExpectedEarlier(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 10 {
		f.choose(longCall(fmt.Sprint(i)))
	}
	urgent, other := f.choose(shortCall()), f.choose(longCall("last"))
	if urgent.Expected*4 > other.Expected {
		t.Errorf("the first event of an urgent request is expected after %s, that of another one after %s", urgent.Expected, other.Expected)
	}
}

// A request avoids the engine to which a peer has just sent a long prompt, and the prompt counts as cached there.
func TestChooseCountsWorkOfPeers(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.newPlacer(2)
	sent, err := peer.Choose(longCall("peer"), nil)
	if err != nil {
		t.Fatal(err)
	}
	f.placer.Import("peer", peer.Export())
	if choice := f.choose(shortCall()); choice.Target.ID == sent.Target.ID {
		t.Error("a request went to the engine to which a peer has just sent a long prompt")
	}
	if cached := f.choose(longCall("peer"), idsExcept(2, sent.Target.ID)...); cached.PrefillTokens != 1_000 {
		t.Errorf("%d tokens are left to prefill of a prompt that a peer has sent to the same engine", cached.PrefillTokens)
	}
}

func idsExcept(count int, kept string) (ids []string) {
	for i := range count {
		if id := fmt.Sprintf("e%d", i); id != kept {
			ids = append(ids, id)
		}
	}
	return ids
}

// The work of a peer counts once, also after SetTargets, and no longer after the peer reports that it has ended.
func TestImportRemovesFinishedWorkOfPeers(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.choose(shortCall()).Expected
	peer := f.newPlacer(1)
	sent, err := peer.Choose(longCall("x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	f.placer.Import("peer", peer.Export())
	f.placer.SetTargets(targets(1, 1))
	sent.Attempt.Finish()
	f.placer.Import("peer", peer.Export())
	for _, choice := range []placer.Choice{f.choose(shortCall())} {
		choice.Attempt.Finish()
		if choice.Expected > 2*idle {
			t.Errorf("the first event of a request is expected after %s once the work of the peer has ended, after %s before it began", choice.Expected, idle)
		}
	}
}

func TestUnavailableTargetsAreNotChosen(t *testing.T) {
	for name, makeUnavailable := range map[string]func(f *fixture, attempt *placer.Attempt){
		"changing": func(f *fixture, _ *placer.Attempt) { f.placer.MarkUpgrading("e0", f.now.Add(time.Second)) },
		"shed":     func(_ *fixture, attempt *placer.Attempt) { attempt.RecordRefusal() },
		"broke":    func(_ *fixture, attempt *placer.Attempt) { attempt.RecordConnectionFailure() },
		"left":     func(_ *fixture, attempt *placer.Attempt) { attempt.RecordTargetGone() },
	} {
		f := newFixture(t, 2)
		attempt := f.choose(shortCall(), "e1").Attempt
		makeUnavailable(f, attempt)
		attempt.Finish()
		for range 10 {
			if choice := f.choose(shortCall()); choice.Target.ID == "e0" {
				t.Errorf("%s: a request went to the unavailable target", name)
			}
		}
	}
}

func TestNewIncarnationHasEmptyCache(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(longCall("book")).Attempt.Finish()
	restarted := targets(1, 1)
	restarted[0].Started = restarted[0].Started.Add(time.Minute)
	f.placer.SetTargets(restarted)
	if choice := f.choose(longCall("book")); choice.PrefillTokens != 14_000 {
		t.Errorf("a new incarnation counts as holding a prompt: %d tokens to prefill", choice.PrefillTokens)
	}
}

// After any sequence of events, no work is counted once all attempts have finished.
func TestFinishedAttemptsLeaveNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(nil, 3)
		var open []*placer.Attempt
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				call := longCall(rapid.StringMatching("[a-c]").Draw(t, "part"))
				call.Urgency = rapid.IntRange(0, placer.Urgencies-1).Draw(t, "urgency")
				choice, err := f.placer.Choose(call, nil)
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, choice.Attempt)
			case 2:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "flight")].RecordFirstEvent()
				}
			case 3:
				if len(open) > 0 {
					open[rapid.IntRange(0, len(open)-1).Draw(t, "flight")].Finish()
				}
			case 4:
				f.placer.SetTargets(targets(3, 1))
				f.now = f.now.Add(time.Second)
			}
		}
		for _, attempt := range open {
			attempt.Finish()
		}
		if update := f.placer.Export(); len(update.Loads) != 0 {
			t.Fatalf("work is counted after all attempts have finished: %+v", update.Loads)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{18, 60, 480} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := newFixture(b, engines)
			for i := 0; b.Loop(); i++ {
				choice := f.choose(longCall(fmt.Sprint(i % 200)))
				choice.Attempt.RecordFirstEvent()
				choice.Attempt.Finish()
			}
		})
	}
}

// An engine evicts a part in several steps and reports each of them. Once too few tokens are left to fetch, neither the
// daemon that reads the cache events nor its peers count any of them as cached.
func TestEvictedPartsAreForgottenByAllPlacers(t *testing.T) {
	f := newFixture(t, 2)
	peer := f.newPlacer(2)
	sent, err := peer.Choose(longCall("book"), nil)
	if err != nil {
		t.Fatal(err)
	}
	sent.Attempt.Finish()
	f.placer.Import("peer", peer.Export())
	key := placer.PartKey(model, "", 1, "book")
	for _, tokens := range []int{9_000, 4_000, 500} {
		peer.ObserveCache(sent.Target.ID, placer.CacheEvents{Changes: []placer.CacheChange{{Key: key, Tokens: tokens}}})
		f.placer.Import("peer", peer.Export())
	}
	for name, p := range map[string]*placer.Placer{"the daemon that read the cache events": peer, "another daemon": f.placer} {
		choice, err := p.Choose(longCall("book"), nil)
		if err != nil {
			t.Fatal(err)
		}
		if choice.PrefillTokens != 14_000 || choice.FetchFrom.IsValid() {
			t.Errorf("%s chose a target with %d tokens to prefill that fetches from %s", name, choice.PrefillTokens, choice.FetchFrom)
		}
	}
}

// After a request that was refused by the placer or the target, or whose connection broke, no placer counts its prompt
// as cached.
func TestUnservedPromptsDoNotCountAsCached(t *testing.T) {
	for name, fail := range map[string]func(f *fixture){
		"too late": func(f *fixture) {
			call := longCall("book")
			call.FirstEventLimit = time.Millisecond
			_, err := f.placer.Choose(call, nil)
			var late *placer.NotInTimeError
			if !errors.As(err, &late) || late.Expected <= late.Limit {
				t.Errorf("a call with a limit of 1 ms returned %v", err)
			}
		},
		"shed":   func(f *fixture) { f.choose(longCall("book")).Attempt.RecordRefusal() },
		"broken": func(f *fixture) { f.choose(longCall("book")).Attempt.RecordConnectionFailure() },
	} {
		f := newFixture(t, 2)
		peer := f.newPlacer(2)
		fail(f)
		f.now = f.now.Add(time.Minute)
		peer.Import("f", f.placer.Export())
		for _, p := range []*placer.Placer{f.placer, peer} {
			choice, err := p.Choose(longCall("book"), nil)
			if err != nil {
				t.Fatal(err)
			}
			if choice.PrefillTokens != 14_000 || choice.FetchFrom.IsValid() {
				t.Errorf("%s: the next request has %d tokens to prefill and fetches from %s", name, choice.PrefillTokens, choice.FetchFrom)
			}
		}
	}
}

// The prefill of a prompt takes longer than Call.FirstEventLimit at an idle engine. The call is still accepted, unless it
// would also wait behind another prompt or could not begin within Call.TimeLeft.
func TestCallWithLongPrefillIsNotRefusedForItAlone(t *testing.T) {
	f := newFixture(t, 1)
	large := longCall("book")
	large.PromptTokens, large.FirstEventLimit, large.TimeLeft = 90_000, 900*time.Millisecond, 8*time.Second
	f.choose(large)
	if _, err := f.placer.Choose(large, nil); err == nil {
		t.Error("a second prompt was accepted though it waits behind the first for longer than its limit")
	}
	shortDeadline := large
	shortDeadline.TimeLeft = time.Second
	if _, err := newFixture(t, 1).placer.Choose(shortDeadline, nil); err == nil {
		t.Error("a prompt that cannot begin before its deadline was accepted")
	}
}

// A target stops answering, but its description and its connections remain, so only the overdue answer shows that it
// should be avoided.
func TestTargetWithOverdueAnswerIsNotChosen(t *testing.T) {
	f := newFixture(t, 2)
	unanswered := f.choose(shortCall(), "e1")
	f.now = f.now.Add(500 * time.Millisecond)
	for range 10 {
		choice := f.choose(shortCall())
		if choice.Target.ID == "e0" {
			t.Fatal("a request went to a target that has not answered for 0.5 s")
		}
		choice.Attempt.RecordFirstEvent()
		choice.Attempt.Finish()
	}
	unanswered.Attempt.RecordFirstEvent()
	for range 10 {
		if f.choose(shortCall()).Target.ID == "e0" {
			return
		}
	}
	t.Error("a target that has answered again gets no requests")
}

// A target runs requests of another daemon whose updates do not reach this placer. Only the request count in the
// target's responses shows them.
func TestChooseCountsRequestsReportedByTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.choose(shortCall(), "e1").Attempt.RecordLoad(placer.LoadReport{Requests: 200})
	for range 20 {
		if choice := f.choose(shortCall()); choice.Target.ID == "e0" {
			t.Fatal("a request went to a target that reports 200 requests")
		}
	}
	f.now = f.now.Add(time.Second)
	for range 40 {
		if choice := f.choose(shortCall()); choice.Target.ID == "e0" {
			return
		}
	}
	t.Error("a report of a target still counts after a second")
}

// A prompt is requested again while an engine still prefills it. A fetch from that engine would find nothing, and the
// prompt would be prefilled twice.
func TestPartsAreNotFetchedDuringPrefill(t *testing.T) {
	f := newFixture(t, 3)
	other := f.newPlacer(3)
	first := f.choose(longCall("hot"))
	other.Import("first", f.placer.Export())
	early := f.choose(longCall("hot"), first.Target.ID)
	early.Attempt.Finish()
	theirs, err := other.Choose(longCall("hot"), []string{first.Target.ID})
	if err != nil || early.FetchFrom.IsValid() || theirs.FetchFrom.IsValid() {
		t.Errorf("fetched before the prefill was complete: from %s, by a peer from %s, %v", early.FetchFrom, theirs.FetchFrom, err)
	}
}

func TestRequestWaitsForPrefillOfSamePrompt(t *testing.T) {
	f := newFixture(t, 3)
	first := f.choose(longCall("hot"))
	if second := f.choose(longCall("hot")); second.Target.ID != first.Target.ID {
		t.Errorf("a second request prefills the prompt on %s while %s is prefilling it", second.Target.ID, first.Target.ID)
	}
}

func TestPartsAreFetchedAfterPrefill(t *testing.T) {
	f := newFixture(t, 3)
	other := f.newPlacer(3)
	first := f.choose(longCall("hot"))
	other.Import("first", f.placer.Export())
	f.now = f.now.Add(2 * first.Expected)
	first.Attempt.RecordFirstEvent()
	ours := f.choose(longCall("hot"), first.Target.ID)
	theirs, err := other.Choose(longCall("hot"), []string{first.Target.ID})
	if err != nil || ours.FetchFrom != first.Target.Address || theirs.FetchFrom != first.Target.Address {
		t.Errorf("fetched from %s, by a peer from %s, want %s, %v", ours.FetchFrom, theirs.FetchFrom, first.Target.Address, err)
	}
}

func TestWorkOfSilentPeerTimesOut(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.choose(shortCall())
	idle.Attempt.Finish()
	peer := f.newPlacer(1)
	if _, err := peer.Choose(longCall("x"), nil); err != nil {
		t.Fatal(err)
	}
	f.placer.Import("other", peer.Export())
	busy := f.choose(shortCall())
	busy.Attempt.Finish()
	f.now = f.now.Add(5 * time.Second)
	f.placer.Import("third", placer.PeerUpdate{})
	if later := f.choose(shortCall()); busy.Expected <= idle.Expected || later.Expected > idle.Expected {
		t.Errorf("expected %s with the work of a peer, %s once it has been silent for 5 s, %s without it", busy.Expected, later.Expected, idle.Expected)
	}
}
