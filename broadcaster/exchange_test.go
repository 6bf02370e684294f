package broadcaster_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/placer"
)

const (
	// tick is the step of the simulated clock, and datagramDelay how long a datagram takes.
	tick          = 5 * time.Millisecond
	datagramDelay = 2 * tick
	// engines is the number of targets to which the simulated daemons send.
	engines = 63
	// maxWorkAge is the age of the work of another daemon on which a daemon may rely in a calm fleet of any size. It lies
	// below the 400 ms within which the shortest requests are to begin, and a message on each of the three legs.
	maxWorkAge = 700 * time.Millisecond
	// recoveryBound is how long after the loss of daemons the others may be without news of each other. Operators of
	// fleets of this size count hosts as undisturbed again four seconds after a disturbance.
	recoveryBound = 4 * time.Second
)

// simulatedDaemon is a daemon whose datagrams a simulatedFleet delivers. It is the State of its Exchange.
type simulatedDaemon struct {
	*broadcaster.Exchange
	peer     broadcaster.Peer
	nextSend time.Time
	stopped  bool
	sent     int

	own      placer.PeerUpdate
	work     map[string][]placer.Load
	holdings []placer.Holding
	plan     placer.UpgradePlan

	strikes     []attributor.Strike
	completions []attributor.Completion
	limits      []placer.RateLimit
	factors     []placer.WorkFactor
	departures  []placer.TargetHash
	// demands are the last updates with demands, by the sender.
	demands map[string]placer.PeerUpdate
}

func (d *simulatedDaemon) Export() placer.PeerUpdate {
	update := d.own
	d.own.Holdings, d.own.Strikes, d.own.Completions, d.own.RateLimits, d.own.Departures = nil, nil, nil, nil, nil
	d.own.WorkFactors = nil
	return update
}

func (d *simulatedDaemon) Import(peer string, update placer.PeerUpdate) {
	if !update.LoadsOmitted {
		d.work[peer] = slices.Clone(update.Loads)
	}
	if len(update.ServiceSupplies) > 0 {
		d.demands[peer] = update
	}
	d.holdings = append(d.holdings, update.Holdings...)
	d.strikes = append(d.strikes, update.Strikes...)
	d.completions = append(d.completions, update.Completions...)
	d.limits = append(d.limits, update.RateLimits...)
	d.factors = append(d.factors, update.WorkFactors...)
	d.departures = append(d.departures, update.Departures...)
	if update.UpgradePlan.FencingToken >= d.plan.FencingToken {
		d.plan = update.UpgradePlan
	}
}

// requestsOfOthers returns the number of requests that the others have, as far as the daemon knows.
func (d *simulatedDaemon) requestsOfOthers() (requests int) {
	for _, loads := range d.work {
		for _, load := range loads {
			requests += load.Requests
		}
	}
	return requests
}

// sentDatagram is a datagram that is under way.
type sentDatagram struct {
	to      *simulatedDaemon
	payload []byte
	arrives time.Time
}

// simulatedFleet delivers the datagrams of daemons by a simulated clock, without a network.
type simulatedFleet struct {
	now     time.Time
	daemons []*simulatedDaemon
	byAddr  map[netip.AddrPort]*simulatedDaemon
	// inFlight are the datagrams that are under way, in the order of their arrival.
	inFlight []sentDatagram
	// blocked reports whether the datagrams between two daemons are lost.
	blocked func(from, to *simulatedDaemon) bool
	random  *rand.Rand
	// observe is called with the datagrams of each message.
	observe func(datagrams [][]byte)
}

func newSimulatedFleet(count, dataCentres int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Unix(1_000_000, 0), byAddr: make(map[netip.AddrPort]*simulatedDaemon), random: rand.New(rand.NewPCG(1, 2)),
		blocked: func(_, _ *simulatedDaemon) bool { return false }, observe: func([][]byte) {},
	}
	for i := range count {
		d := &simulatedDaemon{work: make(map[string][]placer.Load), demands: make(map[string]placer.PeerUpdate)}
		d.peer = broadcaster.Peer{
			Name: fmt.Sprintf("d%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80),
		}
		d.own.Loads = []placer.Load{{Target: placer.TargetHash(1 + i%engines), Requests: 1}}
		d.Exchange = broadcaster.NewExchange(broadcaster.ExchangeSettings{
			Name: d.peer.Name, DataCentre: d.peer.DataCentre, State: d, Now: func() time.Time { return f.now },
		})
		d.nextSend = f.now.Add(time.Duration(f.random.Int64N(int64(300 * time.Millisecond))))
		f.daemons = append(f.daemons, d)
		f.byAddr[d.peer.Address] = d
	}
	for _, d := range f.daemons {
		var peers []broadcaster.Peer
		for _, other := range f.daemons {
			if other != d {
				peers = append(peers, other.peer)
			}
		}
		d.SetPeers(peers)
	}
	return f
}

// run lets the fleet run for a while.
func (f *simulatedFleet) run(t *testing.T, duration time.Duration) {
	t.Helper()
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(tick) {
		f.deliver(t)
		for _, d := range f.daemons {
			if !d.stopped && !f.now.Before(d.nextSend) {
				f.send(d)
			}
		}
	}
}

func (f *simulatedFleet) send(from *simulatedDaemon) {
	from.nextSend = f.now.Add(from.Interval())
	for _, outgoing := range from.Send() {
		f.observe(outgoing.Datagrams)
		for _, datagram := range outgoing.Datagrams {
			for _, address := range outgoing.To {
				from.sent++
				if to := f.byAddr[address]; !f.blocked(from, to) {
					f.inFlight = append(f.inFlight, sentDatagram{to: to, payload: datagram, arrives: f.now.Add(datagramDelay)})
				}
			}
		}
	}
}

// deliver delivers the datagrams that arrive now.
func (f *simulatedFleet) deliver(t *testing.T) {
	t.Helper()
	for len(f.inFlight) > 0 && !f.inFlight[0].arrives.After(f.now) {
		datagram := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		if datagram.to.stopped {
			continue
		}
		sendNow, err := datagram.to.Receive(datagram.payload)
		if err != nil {
			t.Fatal(err)
		}
		if sendNow {
			datagram.to.nextSend = f.now
		}
	}
}

func (f *simulatedFleet) running() (running []*simulatedDaemon) {
	for _, d := range f.daemons {
		if !d.stopped {
			running = append(running, d)
		}
	}
	return running
}

// checkWork fails the test if a running daemon does not know the work of exactly all other running daemons.
func (f *simulatedFleet) checkWork(t *testing.T, when string) {
	t.Helper()
	running := f.running()
	for _, d := range running {
		if known := d.requestsOfOthers(); known != len(running)-1 {
			t.Fatalf("%s: %s knows of %d requests of others, %d are running", when, d.peer.Name, known, len(running)-1)
		}
	}
}

var fleetSizes = []struct{ daemons, dataCentres int }{{7, 3}, {16, 3}, {30, 3}, {85, 3}, {200, 5}, {500, 5}}

// Many hosts in several data centres each send a few requests to the same engines. Each daemon has to know the work of
// all others within the time in which short requests are to begin, and has to count all of them, whatever their number.
func TestWorkIsKnownEverywhereInTime(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.daemons), func(t *testing.T) {
			f := newSimulatedFleet(size.daemons, size.dataCentres)
			f.run(t, 3*time.Second)
			f.checkWork(t, "calm")
			for _, d := range f.daemons {
				if d.PeerCount() < size.daemons-1 {
					t.Fatalf("%s counts %d peers of %d", d.peer.Name, d.PeerCount(), size.daemons-1)
				}
			}
			changed := f.daemons[f.random.IntN(len(f.daemons))]
			changed.own.Loads = []placer.Load{{Target: 1, Requests: 1000}}
			f.run(t, maxWorkAge)
			for _, d := range f.daemons {
				if d != changed && d.requestsOfOthers() < 1000 {
					t.Errorf("%s does not know the work that %s has had for %s", d.peer.Name, changed.peer.Name, maxWorkAge)
				}
			}
		})
	}
}

// The datagrams of a daemon must not grow with the number of data centres, and those of an aggregator only with the
// number of daemons of its own.
func TestDatagramsStayBoundedInLargeFleets(t *testing.T) {
	for _, size := range fleetSizes {
		f := newSimulatedFleet(size.daemons, size.dataCentres)
		f.run(t, 2*time.Second)
		for _, d := range f.daemons {
			d.sent = 0
		}
		const seconds = 4
		f.run(t, seconds*time.Second)
		var counts []int
		total := 0
		for _, d := range f.daemons {
			counts = append(counts, d.sent/seconds)
			total += d.sent / seconds
		}
		slices.Sort(counts)
		median, most := counts[len(counts)/2], counts[len(counts)-1]
		t.Logf("%d daemons: %d datagrams/s in all, median %d, most %d", size.daemons, total, median, most)
		if median > 200 || most > 500 || size.daemons > 30 && median > 20 {
			t.Errorf("%d daemons: the median daemon sends %d datagrams/s, one of them %d", size.daemons, median, most)
		}
	}
}

// Half of the hosts are killed at the same moment, among them the aggregators.
func TestWorkIsKnownAfterManyDaemonsStop(t *testing.T) {
	for _, size := range fleetSizes[2:] {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d/%d", size.daemons, seed), func(t *testing.T) {
				f := newSimulatedFleet(size.daemons, size.dataCentres)
				random := rand.New(rand.NewPCG(seed, 0))
				f.run(t, 2*time.Second)
				for _, d := range f.daemons {
					d.stopped = random.Float64() < 0.55
				}
				f.run(t, recoveryBound)
				f.checkWork(t, fmt.Sprintf("seed %d", seed))
				for _, d := range f.running() {
					for _, other := range f.daemons {
						if other != d && other.peer.DataCentre == d.peer.DataCentre && d.Alive(other.peer) == other.stopped {
							t.Fatalf("%s counts %s as alive: %t, stopped: %t", d.peer.Name, other.peer.Name, d.Alive(other.peer), other.stopped)
						}
					}
				}
			})
		}
	}
}

// Only daemons that send something count as alive, since the others take over the work of those that do not.
func TestSilentDaemonDoesNotCountAsAlive(t *testing.T) {
	f := newSimulatedFleet(7, 3)
	f.run(t, time.Second)
	f.daemons[3].stopped = true
	if d := f.daemons[0]; !d.Alive(f.daemons[3].peer) || d.Alive(broadcaster.Peer{Name: "nobody"}) {
		t.Error("a daemon that has just sent a message does not count as alive, or one that never sent any does")
	}
	f.run(t, 5*time.Second)
	for _, other := range f.daemons[1:] {
		if f.daemons[0].Alive(other.peer) == other.stopped {
			t.Errorf("%s counts as alive: %t, stopped for 5 s: %t", other.peer.Name, !other.stopped, other.stopped)
		}
	}
}

// A data centre is cut off from the others, and later it is not any more.
func TestCutOffDataCentreGoesOnAlone(t *testing.T) {
	f := newSimulatedFleet(200, 5)
	f.run(t, 2*time.Second)
	f.blocked = func(from, to *simulatedDaemon) bool {
		return (from.peer.DataCentre == "dc0") != (to.peer.DataCentre == "dc0")
	}
	f.run(t, recoveryBound)
	for _, d := range f.daemons {
		want := 160 - 1
		if d.peer.DataCentre == "dc0" {
			want = 40 - 1
		}
		if d.requestsOfOthers() != want {
			t.Fatalf("%s in %s knows of %d requests of others, want %d", d.peer.Name, d.peer.DataCentre, d.requestsOfOthers(), want)
		}
	}
	f.blocked = func(_, _ *simulatedDaemon) bool { return false }
	f.run(t, recoveryBound)
	f.checkWork(t, "healed")
}

// Any daemon may hold the update lock, tell its plan and read cache events. The plan has to reach all others before an
// engine is ordered to change its weights, and each change of a cache once.
func TestPlansAndHoldingsReachAllDaemons(t *testing.T) {
	f := newSimulatedFleet(200, 5)
	f.run(t, 2*time.Second)
	for i, sender := range []*simulatedDaemon{f.daemons[0], f.daemons[57], f.daemons[199]} {
		for _, d := range f.daemons {
			d.holdings = nil
		}
		plan := placer.UpgradePlan{FencingToken: uint64(i + 1), Upgrading: []placer.TargetHash{placer.TargetHash(i + 1)}}
		sender.own.UpgradePlan = plan
		for part := range 100 {
			sender.own.Holdings = append(sender.own.Holdings, placer.Holding{Target: 1, Key: uint64(part), Tokens: 5000})
		}
		sender.nextSend = f.now
		f.run(t, 100*time.Millisecond)
		for _, d := range f.daemons {
			if d != sender && d.plan.FencingToken != plan.FencingToken {
				t.Fatalf("%s has plan %v, %s has told %v for 100 ms", d.peer.Name, d.plan, sender.peer.Name, plan)
			}
		}
		f.run(t, maxWorkAge)
		for _, d := range f.daemons {
			seen := make(map[uint64]bool)
			for _, holding := range d.holdings {
				seen[holding.Key] = true
			}
			if d != sender && len(seen) != 100 {
				t.Fatalf("%s knows %d of 100 holdings", d.peer.Name, len(seen))
			}
		}
		sender.own.UpgradePlan = placer.UpgradePlan{}
	}
}

// The holder of the update lock changes its plan several times a second. A daemon must not return to an earlier plan, and
// the aggregators must not send each other the same plan again and again.
func TestChangedPlansReplaceEarlierOnes(t *testing.T) {
	f := newSimulatedFleet(200, 5)
	f.run(t, 2*time.Second)
	// The daemon that sends least is no aggregator.
	sender := slices.MinFunc(f.daemons, func(a, b *simulatedDaemon) int { return a.sent - b.sent })
	sent := func() (total int) {
		for _, d := range f.daemons {
			total += d.sent
		}
		return total
	}
	before, start := sent(), f.now
	const changes = 30
	for i := range changes {
		plan := placer.UpgradePlan{FencingToken: 7, Upgrading: []placer.TargetHash{placer.TargetHash(i + 1)}}
		sender.own.UpgradePlan = plan
		sender.nextSend = f.now
		f.run(t, 100*time.Millisecond)
		for _, d := range f.daemons {
			if d != sender && !slices.Equal(d.plan.Upgrading, plan.Upgrading) {
				t.Fatalf("%s has plan %v, %s has told %v for 100 ms", d.peer.Name, d.plan, sender.peer.Name, plan)
			}
		}
		f.run(t, time.Duration(f.random.Int64N(int64(300*time.Millisecond)))) // So that other messages cross the plan.
	}
	// A change makes each aggregator send one message more.
	seconds := f.now.Sub(start).Seconds()
	if perSecond := float64(sent()-before) / seconds; perSecond > 2*2600+changes/seconds*250 {
		t.Errorf("%.0f datagrams a second while the plan changes", perSecond)
	}
}
