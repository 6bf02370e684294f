package configurator_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	dataCentres          = 3
	daemonsPerDataCentre = 3
	gossipInterval       = 500 * time.Millisecond
	propagationLimit     = 5 * time.Second
	convergenceTime      = 90 * time.Second
	offerBytes           = 64 << 10
	commitTimeout        = 8 * time.Second
	pairSuffix           = "-pair"
	generationLabel      = "generation"
)

// member is one daemon of the fleet. A restart replaces its Configurator.
type member struct {
	fleet   *fleet
	index   int
	conn    *platformemulator.Connection
	current *configurator.Configurator
	paused  bool
	done    chan struct{}
	// reachablePeers is the number of reachable peers that HighestRevision last returned.
	reachablePeers int
	// sawStaleReads is set if the platform returned stale reads since the start. A stale read may
	// return fewer entries than the platform stores, which the daemon cannot detect.
	sawStaleReads bool
}

func (m *member) dataCentre() int { return m.index / daemonsPerDataCentre }

// acceptedCommit is a commit that returned a revision.
type acceptedCommit struct {
	revision registrar.Revision
	id       string
	at       time.Time
}

// fleet is a set of daemons on one platform, with an oracle that checks their configurations.
type fleet struct {
	platform *platformemulator.Platform
	members  []*member
	group    sync.WaitGroup
	commits  sync.WaitGroup
	stop     chan struct{}
	backup   *platformemulator.Snapshot

	mu sync.Mutex
	// epoch changes whenever a fault or a restart begins or ends. A check of the propagation of a
	// change is skipped if the epoch has changed since the commit.
	epoch       int
	partitioned [dataCentres]bool
	nextID      int
	accepted    []acceptedCommit
	rejected    map[string]error
	entries     map[registrar.Revision][]byte
	hashes      map[registrar.Revision]configurator.Hash
	violations  []string
	coverage    map[string]int
}

func newFleet(size int) *fleet {
	f := &fleet{
		platform: platformemulator.New(platformemulator.Settings{}),
		stop:     make(chan struct{}),
		rejected: map[string]error{},
		entries:  map[registrar.Revision][]byte{},
		hashes:   map[registrar.Revision]configurator.Hash{},
		coverage: map[string]int{},
	}
	for i := range size {
		f.members = append(f.members, &member{fleet: f, index: i})
	}
	for _, m := range f.members {
		m.start()
	}
	for _, m := range f.members {
		f.group.Go(func() { f.gossip(m) })
	}
	return f
}

func (f *fleet) close() {
	f.commits.Wait()
	close(f.stop)
	for _, m := range f.members {
		m.shutdown()
	}
	f.group.Wait()
}

func (f *fleet) addViolation(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, arguments...))
}

func (f *fleet) cover(situation string, times int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coverage[situation] += int(times)
}

func (m *member) settings() configurator.Settings {
	return configurator.Settings{
		Daemon:        fmt.Sprintf("daemon-%d", m.index),
		Store:         m.conn,
		Peers:         m,
		WatchRole:     m,
		Validate:      validatePairs,
		SnapshotEvery: 8,
		KeepEntries:   4,
		TrimAge:       30 * time.Second,
		PageEntries:   5,
		PartBytes:     400,
		WindowEntries: 6,
	}
}

// validatePairs rejects a configuration in which only one account of a pair was changed.
func validatePairs(objects registrar.Objects) error {
	generations := map[string]string{}
	for _, account := range objects.Accounts {
		generations[account.Name] = account.Labels[generationLabel]
	}
	for name, generation := range generations {
		if !strings.HasSuffix(name, pairSuffix) && generations[name+pairSuffix] != generation {
			return fmt.Errorf("account %q differs from its pair", name)
		}
	}
	return nil
}

// start creates a new Configurator.
func (m *member) start() {
	m.conn = m.fleet.platform.Connection(fmt.Sprintf("daemon-%d", m.index))
	c, err := configurator.New(m.settings())
	if err != nil {
		panic(err)
	}
	done := make(chan struct{})
	stale := m.fleet.platform.Faults().StaleReads > 0
	m.fleet.mu.Lock()
	m.current, m.done, m.sawStaleReads = c, done, stale
	m.fleet.mu.Unlock()
	m.fleet.group.Go(func() { m.observe(c, done) })
	m.fleet.group.Go(func() { m.checkReady(c, done) })
}

// shutdown closes the Configurator.
func (m *member) shutdown() {
	c := m.live()
	m.fleet.mu.Lock()
	m.current = nil
	m.fleet.mu.Unlock()
	_ = c.Close()
	close(m.done)
	m.fleet.coverCounts(c)
}

func (f *fleet) coverCounts(c *configurator.Configurator) {
	counts := c.Counts()
	f.cover("rebased", counts.Rebased)
	f.cover("lost answer", counts.LostAnswers)
	f.cover("lost answer settled", counts.Settled)
	f.cover("lost answer and lost race", counts.SettledLost)
	f.cover("platform behind", counts.Behind)
	f.cover("snapshot", counts.Snapshots)
	f.cover("trimmed", counts.Trimmed)
	f.cover("entries recreated", counts.Recreated)
	f.cover("leadership lost", counts.LeadershipLost)
	for _, alarm := range c.Alarms() {
		f.cover("alarm "+string(alarm.Kind), 1)
	}
}

// restart replaces the Configurator. If killed is set, the lease is not revoked.
func (m *member) restart(killed bool) {
	m.fleet.advanceEpoch()
	if killed {
		m.conn.SetFaults(platformemulator.Faults{Partitioned: true})
	}
	m.shutdown()
	m.start()
	m.fleet.advanceEpoch()
	m.fleet.cover("restart", 1)
}

func (m *member) live() *configurator.Configurator {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.current
}

// Watches reports whether the daemon is one of the two live daemons with the lowest index in its
// data centre.
func (m *member) Watches() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	before := 0
	for _, other := range m.fleet.members {
		if other.index < m.index && other.dataCentre() == m.dataCentre() && other.current != nil && !other.paused {
			before++
		}
	}
	return before < 2
}

// HighestRevision queries the reachable daemons.
func (m *member) HighestRevision(context.Context) (highest registrar.Revision, reachable int, err error) {
	for _, other := range m.fleet.members {
		c := other.live()
		if other == m || c == nil || !m.fleet.canReach(m, other) {
			continue
		}
		reachable++
		highest = max(highest, c.Digest().Revision)
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.reachablePeers = reachable
	return highest, reachable, nil
}

// canReach reports whether the two daemons can exchange messages.
func (f *fleet) canReach(a, b *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.paused || b.paused {
		return false
	}
	return a.dataCentre() == b.dataCentre() || !f.partitioned[a.dataCentre()] && !f.partitioned[b.dataCentre()]
}

// markStaleReads records that the platform is about to return stale reads.
func (f *fleet) markStaleReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		m.sawStaleReads = true
	}
}

func (f *fleet) advanceEpoch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
}

// gossip lets a daemon exchange entries with all others in turn.
func (f *fleet) gossip(m *member) {
	for next := m.index + 1; ; next++ {
		select {
		case <-f.stop:
			return
		case <-time.After(gossipInterval):
		}
		other := f.members[next%len(f.members)]
		if other == m || !f.canReach(m, other) {
			continue
		}
		a, b := m.live(), other.live()
		if a != nil && b != nil {
			f.exchange(a, b)
			f.exchange(b, a)
		}
	}
}

// exchange applies the newer entries or the state of one daemon to another.
func (f *fleet) exchange(to, from *configurator.Configurator) {
	known := to.Digest().Revision
	if from.Digest().Revision <= known {
		return
	}
	entries := from.Entries(known, offerBytes)
	var err error
	if len(entries) > 0 {
		err = to.Offer(entries)
	} else if from.Digest().Revision > known {
		f.cover("whole state from a peer", 1)
		var data []byte
		if data, err = from.EncodeState(); err == nil {
			err = to.OfferState(data)
		}
	}
	var gap *configurator.GapError
	if err != nil && !errors.As(err, &gap) {
		f.addViolation("the configuration of a peer was rejected: %v", err)
	}
}

// commit changes a pair of accounts through a daemon and records the outcome.
func (f *fleet) commit(ctx context.Context, m *member, account int, revisionsBack int) {
	c := m.live()
	if c == nil {
		return
	}
	f.mu.Lock()
	f.nextID++
	id := fmt.Sprintf("change-%d", f.nextID)
	epoch := f.epoch
	f.mu.Unlock()
	base := c.Digest().Revision
	base -= min(base, registrar.Revision(revisionsBack))
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := c.Commit(ctx, base, pairChange(account, id))
	if err != nil {
		f.recordError(id, err)
		return
	}
	f.record(c.Digest(), c.Entries(revision-1, 1<<20))
	f.mu.Lock()
	f.accepted = append(f.accepted, acceptedCommit{revision: revision, id: id, at: time.Now()})
	f.mu.Unlock()
	if f.platform.Faults().Outage {
		f.cover("outage right after the accept", 1)
	}
	f.group.Go(func() { f.checkPropagation(m, revision, epoch) })
}

func pairChange(account int, id string) registrar.Change {
	name := fmt.Sprintf("account-%d", account)
	labels := registrar.Labels{generationLabel: id}
	return registrar.Change{
		Set: registrar.Objects{Accounts: []registrar.Account{
			{Name: name, Labels: labels},
			{Name: name + pairSuffix, Labels: labels},
		}},
		Author:  "operator",
		Comment: id,
	}
}

// clearFaults ends all faults.
func (f *fleet) clearFaults() {
	f.platform.SetFaults(platformemulator.Faults{})
	f.mu.Lock()
	f.partitioned = [dataCentres]bool{}
	f.epoch++
	f.mu.Unlock()
	for _, m := range f.members {
		m.setPaused(false, platformemulator.Faults{})
	}
}

func (m *member) setPaused(paused bool, faults platformemulator.Faults) {
	m.fleet.mu.Lock()
	m.paused = paused
	m.fleet.epoch++
	m.fleet.mu.Unlock()
	m.conn.SetFaults(faults)
}

var _ configurator.Store = (*storer.Client)(nil)

func (f *fleet) waitReady(t *testing.T) {
	t.Helper()
	for range 600 {
		ready := 0
		for _, m := range f.members {
			if m.live().Ready() {
				ready++
			}
		}
		if ready == len(f.members) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("the daemons did not become ready")
}
