package reporter_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	daemons = 4
	runTime = 6 * time.Minute
	// copyLimit is how long an entry may take to reach a peer.
	copyLimit = 3 * time.Second
)

// event is an entry that a daemon records.
type event struct {
	at     time.Duration
	daemon int
	code   string
}

// faultPlan is a history of recorded entries and faults.
type faultPlan struct {
	events          []event
	outages         []span
	lostAnswerTimes []time.Duration
	staleReadTimes  []time.Duration
	crashTimes      [daemons]time.Duration
	partitions      [daemons][]span
	falseSuspicions map[string]span
}

// coverage counts how often a history reached each hazardous situation.
type coverage struct {
	diedAfterCopy  int
	diedBeforeCopy int
	lostAnswers    int
	staleReads     int
	replaced       int
	gaps           int
}

func daemonName(i int) string { return fmt.Sprint("daemon-", i) }

func drawMoment(rt *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, int(runTime/time.Millisecond)-1).Draw(rt, label)) * time.Millisecond
}

func drawSpan(rt *rapid.T, label string, longest time.Duration) span {
	from := drawMoment(rt, label)
	return span{from: from, to: from + time.Duration(rapid.Int64Range(1, int64(longest)).Draw(rt, label+" length"))}
}

func drawPlan(rt *rapid.T) faultPlan {
	p := faultPlan{falseSuspicions: map[string]span{}}
	for range rapid.IntRange(1, 40).Draw(rt, "events") {
		p.events = append(p.events, event{
			at:     drawMoment(rt, "event"),
			daemon: rapid.IntRange(0, daemons-1).Draw(rt, "daemon"),
			code:   rapid.SampledFrom([]string{"full", "no_target", "deadline"}).Draw(rt, "code"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(rt, "outages") {
		p.outages = append(p.outages, drawSpan(rt, "outage", 3*time.Minute))
	}
	for range rapid.IntRange(0, 3).Draw(rt, "losses") {
		p.lostAnswerTimes = append(p.lostAnswerTimes, drawMoment(rt, "loss"))
	}
	for range rapid.IntRange(0, 3).Draw(rt, "stale reads") {
		p.staleReadTimes = append(p.staleReadTimes, drawMoment(rt, "stale read"))
	}
	for range rapid.IntRange(0, 2).Draw(rt, "deaths") {
		daemon := rapid.IntRange(0, daemons-1).Draw(rt, "dead daemon")
		p.crashTimes[daemon] = drawMoment(rt, "death")
		// An entry shortly before the crash, which may or may not be copied to a peer in time.
		before := time.Duration(rapid.IntRange(0, 20000).Draw(rt, "before death")) * time.Millisecond
		p.events = append(p.events, event{at: max(0, p.crashTimes[daemon]-before), daemon: daemon, code: "last"})
	}
	if rapid.Bool().Draw(rt, "cut") {
		daemon := rapid.IntRange(0, daemons-1).Draw(rt, "cut daemon")
		partition := drawSpan(rt, "cut", 4*time.Minute)
		p.partitions[daemon] = append(p.partitions[daemon], partition)
		// One entry that peers hold, and one that does not reach them before the batch is stored.
		within := time.Duration(rapid.IntRange(0, 20000).Draw(rt, "within cut")) * time.Millisecond
		p.events = append(p.events,
			event{at: max(0, partition.from-copyLimit), daemon: daemon, code: "last"},
			event{at: min(partition.from+within, runTime), daemon: daemon, code: "last"})
	}
	if rapid.Bool().Draw(rt, "suspect") {
		daemon := rapid.IntRange(0, daemons-1).Draw(rt, "suspected")
		suspicion := drawSpan(rt, "suspicion", 2*time.Minute)
		p.falseSuspicions[daemonName(daemon)] = suspicion
		// Two entries around the time at which a holder writes its copy of the first one.
		between := time.Duration(rapid.IntRange(0, 20000).Draw(rt, "between")) * time.Millisecond
		p.events = append(p.events,
			event{at: suspicion.from, daemon: daemon, code: "last"},
			event{at: min(suspicion.from+between, runTime), daemon: daemon, code: "last"})
	}
	slices.SortFunc(p.events, func(a, b event) int { return int(a.at - b.at) })
	slices.Sort(p.lostAnswerTimes)
	slices.Sort(p.staleReadTimes)
	return p
}

// run executes the plan in virtual time and returns the resulting report.
func (p faultPlan) run(t *testing.T, violate func(string, ...any)) (report reporter.Report, counted coverage) {
	synctest.Test(t, func(*testing.T) {
		fleet := startFleet(p, violate)
		for _, e := range p.events {
			time.Sleep(e.at - time.Since(fleet.platform.start))
			if crashAt := p.crashTimes[e.daemon]; crashAt > 0 && e.at >= crashAt {
				continue
			}
			fleet.recorders[e.daemon].Record(reporter.Entry{Kind: reporter.KindRefusal, Code: e.code, Run: reporter.NotRun})
		}
		time.Sleep(runTime + 5*time.Minute - time.Since(fleet.platform.start))
		fleet.close(p, violate)
		// After this time the reader can distinguish a stopped daemon from a quiet one.
		time.Sleep(20 * time.Minute)
		var err error
		reader := reporter.NewReader(client{fakePlatform: fleet.platform})
		report, err = reader.Read(context.Background(), fleet.platform.start.Add(-time.Hour), time.Now())
		if err != nil {
			violate("read: %v", err)
		}
		counted = coverage{lostAnswers: fleet.platform.lostAnswers, staleReads: fleet.platform.staleReads, replaced: fleet.platform.swaps, gaps: len(report.Gaps)}
		p.check(report, fleet.platform.start, &counted, violate)
	})
	return report, counted
}

type fleet struct {
	platform  *fakePlatform
	recorders []*reporter.Recorder
	holders   []*reporter.Holder
}

func startFleet(p faultPlan, violate func(string, ...any)) *fleet {
	start := time.Now()
	f := &fleet{platform: newFakePlatform(p, start)}
	liveness := fakeLiveness{start: start, crashTimes: map[string]time.Duration{}, falseSuspicions: p.falseSuspicions}
	for i := range daemons {
		liveness.crashTimes[daemonName(i)] = p.crashTimes[i]
	}
	for i := range daemons {
		store := client{fakePlatform: f.platform, crashAt: p.crashTimes[i]}
		f.holders = append(f.holders, reporter.NewHolder(reporter.HolderSettings{}, store, liveness))
	}
	for i := range daemons {
		store := client{fakePlatform: f.platform, crashAt: p.crashTimes[i]}
		first, second := (i+1)%daemons, (i+2)%daemons
		peers := &fakePeers{
			client: store, partitions: p.partitions[i],
			holders:       []*reporter.Holder{f.holders[first], f.holders[second]},
			holderCrashAt: []time.Duration{p.crashTimes[first], p.crashTimes[second]},
		}
		settings := reporter.Settings{Daemon: daemonName(i), DataCentre: fmt.Sprint("dc", i%2), Incarnation: "1"}
		recorder, err := reporter.NewRecorder(settings, store, peers)
		if err != nil {
			violate("start: %v", err)
		}
		f.recorders = append(f.recorders, recorder)
	}
	return f
}

func newFakePlatform(p faultPlan, start time.Time) *fakePlatform {
	platform := newFakePlatformWith(p.outages, slices.Clone(p.lostAnswerTimes), start)
	platform.staleReadTimes = slices.Clone(p.staleReadTimes)
	return platform
}

// close closes the daemons. The calls of crashed ones fail.
func (f *fleet) close(p faultPlan, violate func(string, ...any)) {
	for i, recorder := range f.recorders {
		if err := recorder.Close(); err != nil && p.crashTimes[i] == 0 {
			violate("close of daemon %d: %v", i, err)
		}
	}
	for _, holder := range f.holders {
		_ = holder.Close()
	}
}

// check compares the report with the recorded entries.
func (p faultPlan) check(report reporter.Report, start time.Time, counted *coverage, violate func(string, ...any)) {
	for daemon := range daemons {
		for _, code := range []string{"full", "no_target", "deadline", "last"} {
			reported := 0
			for _, entry := range report.Entries {
				if entry.Daemon == daemonName(daemon) && entry.Code == code {
					reported += entry.Count
				}
			}
			p.checkCode(report, start, daemon, code, reported, counted, violate)
		}
	}
}

func (p faultPlan) checkCode(report reporter.Report, start time.Time, daemon int, code string, reported int, counted *coverage, violate func(string, ...any)) {
	recorded, guaranteed, outsideGaps := 0, 0, 0
	crashAt := p.crashTimes[daemon]
	for _, e := range p.events {
		if e.daemon != daemon || e.code != code || (crashAt > 0 && e.at >= crashAt) {
			continue
		}
		recorded++
		if crashAt == 0 || p.wasCopied(e, counted) {
			guaranteed++
		}
		if !coveredByGap(report.Gaps, daemonName(daemon), start.Add(e.at)) {
			outsideGaps++
		}
	}
	switch {
	case reported > recorded:
		violate("daemon %d, %s: %d reported, %d recorded: entries are duplicated", daemon, code, reported, recorded)
	case reported < guaranteed:
		violate("daemon %d, %s: %d reported, %d of %d were copied or written: entries are lost", daemon, code, reported, guaranteed, recorded)
	case reported < outsideGaps:
		violate("daemon %d, %s: %d reported, %d of %d are outside of gaps", daemon, code, reported, outsideGaps, recorded)
	}
}

// wasCopied reports whether a peer that never crashes had time to receive a copy of the entry.
func (p faultPlan) wasCopied(e event, counted *coverage) bool {
	crashAt := p.crashTimes[e.daemon]
	tooLate := e.at+copyLimit >= crashAt
	if tooLate {
		counted.diedBeforeCopy++
		return false
	}
	for _, partition := range p.partitions[e.daemon] {
		if partition.to > e.at && partition.from < crashAt {
			return false
		}
	}
	for _, peer := range []int{(e.daemon + 1) % daemons, (e.daemon + 2) % daemons} {
		if p.crashTimes[peer] == 0 {
			if e.at+time.Minute > crashAt {
				counted.diedAfterCopy++
			}
			return true
		}
	}
	return false
}

func coveredByGap(gaps []reporter.Gap, daemon string, at time.Time) bool {
	return slices.ContainsFunc(gaps, func(g reporter.Gap) bool {
		return g.Daemon == daemon && !at.Before(g.From) && (g.To.IsZero() || !at.After(g.To))
	})
}

func TestRecordUnderFaults(t *testing.T) {
	var total coverage
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var violations []string
		_, counted := p.run(t, func(format string, args ...any) {
			violations = append(violations, fmt.Sprintf(format, args...))
		})
		total.diedAfterCopy += counted.diedAfterCopy
		total.diedBeforeCopy += counted.diedBeforeCopy
		total.lostAnswers += counted.lostAnswers
		total.staleReads += counted.staleReads
		total.replaced += counted.replaced
		total.gaps += counted.gaps
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
	t.Logf("situations reached: %+v", total)
	if total.diedAfterCopy == 0 || total.diedBeforeCopy == 0 || total.lostAnswers == 0 || total.staleReads == 0 || total.replaced == 0 || total.gaps == 0 {
		t.Fatalf("a situation was never reached: %+v", total)
	}
}
