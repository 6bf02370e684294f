package configurator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
)

// stepKind is the kind of an event in a history.
type stepKind string

const (
	stepCommit              stepKind = "commit"
	stepRace                stepKind = "race"
	stepBurst               stepKind = "burst"
	stepLoseAnswer          stepKind = "lose answers"
	stepLoseRequest         stepKind = "lose requests"
	stepStale               stepKind = "stale reads"
	stepOutage              stepKind = "outage"
	stepLongOutage          stepKind = "long outage"
	stepSlow                stepKind = "slow platform"
	stepPlatformPartition   stepKind = "platform partition"
	stepDataCentrePartition stepKind = "data centre partition"
	stepPause               stepKind = "pause"
	stepRestart             stepKind = "restart"
	stepKill                stepKind = "kill"
	stepRolling             stepKind = "rolling restart"
	stepRestartAll          stepKind = "restart of all daemons"
	stepCompact             stepKind = "compaction"
	stepBackup              stepKind = "backup"
	stepRestore             stepKind = "restore"
)

// rollingReadyTimeout is how long a rolling restart waits for each daemon to become ready.
const rollingReadyTimeout = 20 * time.Second

// step is one event of a history with its parameters.
type step struct {
	Kind    stepKind
	Wait    time.Duration
	Length  time.Duration
	Daemon  int
	Account int
	Count   int
}

func drawSteps(kinds ...stepKind) *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Wait:    time.Duration(rapid.IntRange(0, 6000).Draw(t, "wait")) * time.Millisecond,
			Length:  time.Duration(rapid.IntRange(1, 45).Draw(t, "length")) * time.Second,
			Daemon:  rapid.IntRange(0, dataCentres*daemonsPerDataCentre-1).Draw(t, "daemon"),
			Account: rapid.IntRange(0, 3).Draw(t, "account"),
			Count:   rapid.IntRange(1, 5).Draw(t, "count"),
		}
	})
	return rapid.SliceOfN(one, 4, 16)
}

// coverage counts how often the histories reached each hazardous situation.
type coverage map[string]int

func (c coverage) add(other map[string]int) {
	for name, count := range other {
		c[name] += count
	}
}

func (c coverage) requireAll(t *testing.T, names ...string) {
	t.Helper()
	t.Logf("situations reached: %v", map[string]int(c))
	for _, name := range names {
		if c[name] == 0 {
			t.Errorf("no history reached the situation %q", name)
		}
	}
}

// runHistories runs random histories against a fleet of nine daemons.
func runHistories(t *testing.T, kinds []stepKind, required ...string) {
	total := coverage{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(kinds...).Draw(rt, "steps")
		var f *fleet
		synctest.Test(t, func(t *testing.T) {
			f = newFleet(dataCentres * daemonsPerDataCentre)
			f.waitReady(t)
			for _, s := range steps {
				time.Sleep(s.Wait)
				f.run(t, s)
			}
			f.checkFinalState()
			f.close()
		})
		total.add(f.coverage)
		f.reportViolations(rt, steps...)
	})
	total.requireAll(t, required...)
}

func TestRandomHistoriesWithPartitions(t *testing.T) {
	t.Parallel()
	kinds := []stepKind{
		stepCommit, stepCommit, stepRace, stepRace, stepBurst, stepLoseAnswer, stepLoseRequest, stepStale, stepOutage, stepLongOutage,
		stepSlow, stepPlatformPartition, stepDataCentrePartition, stepPause, stepRestart, stepKill, stepRolling, stepRestartAll, stepCompact,
	}
	runHistories(t, kinds, "rebased", "overlap", "lost answer settled", "lost answer and lost race", "unsettled", "snapshot", "trimmed",
		"leadership lost", "restart", "outage right after the accept", "whole state from a peer", "propagation checked", "ready checked")
}

func TestRandomHistoriesWithRestore(t *testing.T) {
	t.Parallel()
	kinds := []stepKind{
		stepCommit, stepRace, stepBurst, stepBurst, stepLoseAnswer, stepLoseRequest, stepStale, stepOutage,
		stepRestart, stepKill, stepRolling, stepCompact, stepBackup, stepRestore, stepRestore,
	}
	runHistories(t, kinds, "platform behind", "entries recreated", "restore without leases", "alarm behind", "snapshot", "restart", "propagation checked", "ready checked")
}

// run executes a step.
func (f *fleet) run(t *testing.T, s step) {
	m := f.members[s.Daemon]
	f.cover("step "+string(s.Kind), 1)
	switch s.Kind {
	case stepCommit:
		f.commits.Go(func() { f.commit(t.Context(), m, s.Account, s.Count%2) })
	case stepRace:
		f.race(t, s)
	case stepBurst:
		f.burst(t, s)
	case stepLoseAnswer:
		f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.LoseAnswers = s.Count }))
	case stepLoseRequest:
		f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.LoseRequests = s.Count }))
		f.race(t, s)
	case stepStale:
		f.markStaleReads()
		f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.StaleReads = s.Count }))
	case stepOutage:
		f.outage(t, s, s.Length)
	case stepLongOutage:
		f.outage(t, s, 10*time.Minute)
	case stepSlow:
		f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.Delay = s.Length / 10 }))
	case stepPlatformPartition:
		m.conn.SetFaults(platformemulator.Faults{Partitioned: true})
	case stepDataCentrePartition:
		f.setPartitioned(m.dataCentre(), true)
		time.AfterFunc(s.Length, func() { f.setPartitioned(m.dataCentre(), false) })
	case stepPause:
		f.pause(t, m, s)
	case stepRestart:
		m.restart(false)
	case stepKill:
		m.restart(true)
	case stepRolling:
		f.rolling(s)
	case stepRestartAll:
		f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.StaleReads = 0 }))
		for _, each := range f.members {
			each.restart(s.Count%2 == 0)
		}
	case stepCompact:
		f.platform.Compact()
	case stepBackup:
		f.backup = f.platform.Snapshot()
	case stepRestore:
		f.restore(s.Count%2 == 0)
	}
}

// withFault returns the platform's current faults with one change.
func (f *fleet) withFault(change func(*platformemulator.Faults)) platformemulator.Faults {
	faults := f.platform.Faults()
	change(&faults)
	return faults
}

func (f *fleet) setPartitioned(dataCentre int, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[dataCentre] = partitioned
	f.epoch++
}

// race starts concurrent commits through several daemons.
func (f *fleet) race(t *testing.T, s step) {
	for i := range s.Count + 1 {
		m := f.members[(s.Daemon+2*i)%len(f.members)]
		account := (s.Account + i*(s.Count%2)) % 4
		f.commits.Go(func() { f.commit(t.Context(), m, account, 0) })
	}
}

// burst commits many changes, enough to trigger a snapshot.
func (f *fleet) burst(t *testing.T, s step) {
	m := f.members[s.Daemon]
	for i := range 3 * s.Count {
		f.commit(t.Context(), m, (s.Account+i)%4, 0)
	}
}

// outage makes the platform unavailable right after a commit was accepted.
func (f *fleet) outage(t *testing.T, s step, length time.Duration) {
	f.commit(t.Context(), f.members[s.Daemon], s.Account, 0)
	f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.Outage = true }))
	if len(f.accepted) > 0 {
		f.cover("outage right after the accept", 1)
	}
	f.commits.Go(func() { f.commit(t.Context(), f.members[(s.Daemon+4)%len(f.members)], s.Account, 0) })
	time.Sleep(length)
	f.platform.SetFaults(f.withFault(func(faults *platformemulator.Faults) { faults.Outage = false }))
}

// pause stops a daemon's exchanges with its peers and delays its calls to the platform, so that
// they arrive after its lease has expired.
func (f *fleet) pause(t *testing.T, m *member, s step) {
	f.commits.Go(func() { f.commit(t.Context(), m, s.Account, 0) })
	m.setPaused(true, platformemulator.Faults{Delay: s.Length + 20*time.Second})
	time.AfterFunc(s.Length, func() { m.setPaused(false, platformemulator.Faults{}) })
}

// rolling restarts the daemons one by one, each after the previous one is ready.
func (f *fleet) rolling(s step) {
	for _, m := range f.members {
		m.restart(s.Count%2 == 0)
		for waited := time.Duration(0); waited < rollingReadyTimeout && !m.live().Ready(); waited += gossipInterval {
			time.Sleep(gossipInterval)
		}
		time.Sleep(s.Wait / 4)
	}
}

// restore replaces the platform's content by the last backup. It first waits until every accepted
// change has had time to reach all daemons. The backup may lack the leases.
func (f *fleet) restore(withoutLeases bool) {
	f.commits.Wait()
	time.Sleep(propagationLimit)
	backup := f.backup
	if backup == nil {
		backup = platformemulator.New(platformemulator.Settings{}).Snapshot()
	}
	if withoutLeases {
		f.cover("restore without leases", 1)
		backup = backup.WithoutLeases()
	}
	f.platform.Restore(backup)
}
