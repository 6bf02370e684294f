package gossiper_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

const (
	// convergenceBound is the time within which the membership converges after the last fault.
	convergenceBound = 20 * time.Second
	// detectionBound is the time within which all daemons detect that one has stopped: DeadAfter
	// plus the time in which its last heartbeats still spread.
	detectionBound = 12 * time.Second
)

var errPartitioned = errors.New("cut")

// network connects the daemons of a test in memory. Daemons in different partitions cannot
// reach each other.
type network struct {
	mu        sync.Mutex
	daemons   map[netip.AddrPort]*daemon
	partition map[string]int
	seed      uint64
	starts    uint64
}

type daemon struct {
	name            string
	address         netip.AddrPort
	network         *network
	gossip          *gossiper.Gossiper
	frozen          bool
	stoppedAt       time.Time
	appliedRevision uint64
}

func (d *daemon) Exchange(_ context.Context, address netip.AddrPort, message gossiper.Message) (gossiper.Message, error) {
	d.network.mu.Lock()
	peer := d.network.daemons[address]
	blocked := peer == nil || peer.frozen || d.frozen || d.network.partition[d.name] != d.network.partition[peer.name]
	d.network.mu.Unlock()
	if blocked {
		return gossiper.Message{}, errPartitioned
	}
	time.Sleep(time.Millisecond)
	return peer.gossip.Receive(message), nil
}

func (d *daemon) Digest() gossiper.Digest {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	return gossiper.Digest{Revision: d.appliedRevision}
}

func (d *daemon) OnNewerDigest(_ gossiper.Member, digest gossiper.Digest) {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	d.appliedRevision = max(d.appliedRevision, digest.Revision)
}

func (n *network) start(i int, dataCentre string) *daemon {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
	d := &daemon{name: fmt.Sprintf("daemon-%d", i), address: address, network: n}
	self := gossiper.Member{Name: d.name, Address: address, DataCentre: dataCentre}
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 1000)
	n.starts++
	g, err := gossiper.New(gossiper.Settings{
		Self: self, Transport: d, Configuration: d,
		Seeds:  []netip.AddrPort{seed, address},
		Random: rand.NewPCG(n.seed, n.starts),
	})
	if err != nil {
		panic(err)
	}
	d.gossip = g
	n.mu.Lock()
	n.daemons[address] = d
	n.mu.Unlock()
	g.Start()
	return d
}

func (n *network) stop(d *daemon) {
	n.mu.Lock()
	delete(n.daemons, d.address)
	d.stoppedAt = time.Now()
	n.mu.Unlock()
	_ = d.gossip.Close()
}

// step is one fault or recovery, followed by a wait.
type step struct {
	kind  string
	which int
	wait  time.Duration
}

type history struct {
	daemons int
	seed    uint64
	steps   []step
}

func drawHistory(rt *rapid.T) history {
	kinds := []string{"kill", "restart", "freeze", "thaw", "cut", "heal", "leave"}
	daemons := rapid.IntRange(2, 9).Draw(rt, "daemons")
	steps := make([]step, rapid.IntRange(1, 12).Draw(rt, "steps"))
	for i := range steps {
		steps[i] = step{
			kind:  rapid.SampledFrom(kinds).Draw(rt, "kind"),
			which: rapid.IntRange(0, daemons-1).Draw(rt, "which"),
			wait:  time.Duration(rapid.IntRange(0, 15000).Draw(rt, "wait")) * time.Millisecond,
		}
	}
	return history{daemons: daemons, seed: rapid.Uint64().Draw(rt, "seed"), steps: steps}
}

// fleet is the daemons of one history. stepCounts counts the steps that took effect, by kind.
type fleet struct {
	network    *network
	daemons    []*daemon
	stepCounts map[string]int
}

func (f *fleet) apply(s step) {
	d := f.daemons[s.which]
	running := f.network.daemons[d.address] == d
	switch {
	case s.kind == "kill" && running:
		f.network.stop(d)
	case s.kind == "leave" && running:
		d.gossip.Leave()
		f.network.stop(d)
	case s.kind == "restart" && !running:
		f.daemons[s.which] = f.network.start(s.which, "sapporo")
	case s.kind == "freeze" && running:
		f.freeze(d, true)
	case s.kind == "thaw" && running:
		f.freeze(d, false)
	case s.kind == "cut":
		f.network.mu.Lock()
		f.network.partition[d.name] = 1
		f.network.mu.Unlock()
	case s.kind == "heal":
		f.heal()
	default:
		return
	}
	f.stepCounts[s.kind]++
}

func (f *fleet) freeze(d *daemon, frozen bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	d.frozen = frozen
}

func (f *fleet) heal() {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	clear(f.network.partition)
	for _, d := range f.daemons {
		d.frozen = false
	}
}

// stoppedSeenAsLive returns a violation for each running daemon that still lists a peer that
// stopped more than detectionBound ago.
func (f *fleet) stoppedSeenAsLive() (violations []string) {
	for _, stopped := range f.daemons {
		if stopped.stoppedAt.IsZero() || time.Since(stopped.stoppedAt) < detectionBound {
			continue
		}
		for _, d := range f.daemons {
			for _, peer := range d.gossip.Peers() {
				if d.stoppedAt.IsZero() && peer.Name == stopped.name {
					violations = append(violations, fmt.Sprintf("%s still lists the stopped %s", d.name, peer.Name))
				}
			}
		}
	}
	return violations
}

// disagreements returns a violation for each running daemon that does not list exactly the other
// running ones or has not applied the newest configuration revision.
func (f *fleet) disagreements() (violations []string) {
	running := 0
	for _, d := range f.daemons {
		if d.stoppedAt.IsZero() {
			running++
		}
	}
	for _, d := range f.daemons {
		if d.stoppedAt.IsZero() && len(d.gossip.Peers()) != running-1 {
			violations = append(violations, fmt.Sprintf("%s sees %d peers of %d", d.name, len(d.gossip.Peers()), running-1))
		}
		if d.stoppedAt.IsZero() && d.appliedRevision != 7 {
			violations = append(violations, fmt.Sprintf("%s has revision %d", d.name, d.appliedRevision))
		}
	}
	return violations
}

func runHistory(h history, stepCounts map[string]int) (violations []string) {
	f := &fleet{network: &network{daemons: make(map[netip.AddrPort]*daemon), partition: make(map[string]int), seed: h.seed}, stepCounts: stepCounts}
	for i := range h.daemons {
		f.daemons = append(f.daemons, f.network.start(i, "sapporo"))
	}
	time.Sleep(convergenceBound)
	for _, s := range h.steps {
		f.apply(s)
		time.Sleep(s.wait)
		violations = append(violations, f.stoppedSeenAsLive()...)
	}
	f.heal()
	if f.daemons[0].stoppedAt.IsZero() {
		f.network.stop(f.daemons[0])
	}
	f.daemons[0] = f.network.start(0, "sapporo")
	f.network.mu.Lock()
	f.daemons[0].appliedRevision = 7
	f.network.mu.Unlock()
	time.Sleep(convergenceBound)
	violations = append(violations, f.disagreements()...)
	for _, d := range f.daemons {
		if d.stoppedAt.IsZero() {
			f.network.stop(d)
		}
	}
	return violations
}

func TestMembersAgreeAfterFaults(t *testing.T) {
	stepCounts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runHistory(h, stepCounts) })
		if len(violations) > 0 {
			rt.Fatalf("%v in %+v", violations, h)
		}
	})
	t.Logf("steps that took effect: %v", stepCounts)
	for _, kind := range []string{"kill", "restart", "freeze", "cut", "heal", "leave"} {
		if stepCounts[kind] == 0 {
			t.Errorf("no history had a %s", kind)
		}
	}
}

func TestDaemonKeepsPeersAfterOwnPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{daemons: make(map[netip.AddrPort]*daemon), partition: make(map[string]int)}
		a, b := n.start(0, "sapporo"), n.start(1, "sapporo")
		time.Sleep(convergenceBound)
		n.stop(a)
		n.stop(b)
		time.Sleep(time.Minute)
		a.gossip.RunRound()
		if peers := a.gossip.Peers(); len(peers) != 1 {
			t.Fatalf("a daemon that was paused sees %d peers, want 1", len(peers))
		}
	})
}

// TestNewDaemonJoinsBeforeFirstRound starts two daemons 10 ms apart and checks that both list
// each other before the first round.
func TestNewDaemonJoinsBeforeFirstRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{daemons: make(map[netip.AddrPort]*daemon), partition: make(map[string]int)}
		first := n.start(0, "sapporo")
		time.Sleep(10 * time.Millisecond)
		second := n.start(1, "sapporo")
		time.Sleep(10 * time.Millisecond)
		if len(first.gossip.Peers()) != 1 || len(second.gossip.Peers()) != 1 || !second.gossip.Joined() {
			t.Errorf("the first sees %v, the second %v", first.gossip.Peers(), second.gossip.Peers())
		}
		n.stop(first)
		n.stop(second)
	})
}

func TestRankedIgnoresInputOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 1, 15, rapid.ID[string]).Draw(rt, "names")
		members := make([]gossiper.Member, len(names))
		reversed := make([]gossiper.Member, len(names))
		for i, name := range names {
			members[i] = gossiper.Member{Name: name}
			reversed[len(names)-1-i] = gossiper.Member{Name: name}
		}
		first, second := gossiper.Ranked(members, "watch"), gossiper.Ranked(reversed, "watch")
		for i := range first {
			if first[i].Name != second[i].Name {
				rt.Fatalf("place %d: %s and %s", i, first[i].Name, second[i].Name)
			}
		}
	})
}

// recorder is a topic that exports its name and records what it imports.
type recorder struct {
	mu   sync.Mutex
	name string
	got  [][]byte
}

func (r *recorder) Name() string      { return r.name }
func (r *recorder) Export(int) []byte { return []byte(r.name) }
func (r *recorder) Import(_ gossiper.Member, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, data)
}

// directTransport passes each message to the peer without a network.
type directTransport struct{ peer *gossiper.Gossiper }

func (d *directTransport) Exchange(_ context.Context, _ netip.AddrPort, message gossiper.Message) (gossiper.Message, error) {
	return d.peer.Receive(message), nil
}

func TestSectionsAreImportedByTheirTopic(t *testing.T) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	transport := &directTransport{}
	newTopics := func() (*recorder, *recorder) { return &recorder{name: "load"}, &recorder{name: "hot"} }
	localLoad, localHot := newTopics()
	remoteLoad, remoteHot := newTopics()
	local, err := gossiper.New(gossiper.Settings{
		Self: gossiper.Member{Name: "a", Address: at(1), DataCentre: "x"}, Transport: transport,
		Topics: []gossiper.Topic{localLoad, localHot}, Seeds: []netip.AddrPort{at(2)},
	})
	if err != nil {
		t.Fatal(err)
	}
	transport.peer, err = gossiper.New(gossiper.Settings{
		Self: gossiper.Member{Name: "b", Address: at(2), DataCentre: "x"}, Transport: transport,
		Topics: []gossiper.Topic{remoteHot, remoteLoad},
	})
	if err != nil {
		t.Fatal(err)
	}
	local.RunRound()
	for _, r := range []*recorder{localLoad, localHot, remoteLoad, remoteHot} {
		if len(r.got) != 1 || !bytes.Equal(r.got[0], []byte(r.name)) {
			t.Errorf("topic %s got %q", r.name, r.got)
		}
	}
}
