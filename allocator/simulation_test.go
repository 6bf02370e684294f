package allocator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/allocator"
	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// quotaWindow is the time over which the use of an account is bounded.
const quotaWindow = 8 * time.Second

// simulation runs nodes on a simulated network in virtual time.
type simulation struct {
	now    clocker.Instant
	events eventQueue
	order  int
	random *rand.Rand
	nodes  []*simulatedNode
	quotas []allocator.Quota
	// delay is the time that a message takes, and lost reports whether it is lost. doubled is the probability of a second copy.
	delay   func(from, to *simulatedNode) time.Duration
	lost    func(from, to *simulatedNode) bool
	doubled float64
	// uses are the granted amounts, and refusals and bytes are counted.
	uses []use
	// rejected is the probability that no target runs a granted request, which is known after a while, and repeated that it runs twice.
	rejected, repeated float64
	refusals           int
	bytes              int
	// slowest is the longest wait of a granted request.
	slowest time.Duration
}

type use struct {
	at      clocker.Instant
	account string
	amount  uint64
}

type simulatedNode struct {
	*allocator.Node
	peer         allocator.Peer
	incarnations uint64
	wakeAt       clocker.Instant
	// pausedUntil delays all events of the node, and skew is added to its clock.
	pausedUntil clocker.Instant
	skew        time.Duration
	pending     []pendingRequest
	// down is set while there is no process, and stops counts the ends of processes.
	down  bool
	stops int
}

type pendingRequest struct {
	waiter  *allocator.Waiter
	since   clocker.Instant
	account string
	amount  uint64
}

type event struct {
	at    clocker.Instant
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation starts nodes spread over data centres.
func newSimulation(seed uint64, nodes, dataCentres int, quotas ...allocator.Quota) *simulation {
	s := &simulation{now: clocker.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 1)), quotas: quotas}
	s.lost = func(_, _ *simulatedNode) bool { return false }
	s.delay = func(from, to *simulatedNode) time.Duration {
		if from.peer.DataCentre == to.peer.DataCentre {
			return 200 * time.Microsecond
		}
		return 1400 * time.Microsecond
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simulatedNode{peer: allocator.Peer{
			Name: fmt.Sprintf("daemon-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), LinkMegabits: 1000,
		}})
	}
	for _, node := range s.nodes {
		s.restart(node)
	}
	return s
}

// processStart is the time between the end of a process and the first creation of quota by the next.
const processStart = 300 * time.Millisecond

// replace ends the process of a node, and starts another after a time unless the node was stopped again meanwhile.
func (s *simulation) replace(node *simulatedNode, downtime time.Duration) {
	node.down = true
	node.stops++
	stops := node.stops
	s.after(max(downtime, processStart), func() {
		if node.stops == stops {
			s.restart(node)
		}
	})
}

// restart starts a process at a node, which finds its entry and those of the others in the store.
func (s *simulation) restart(node *simulatedNode) {
	node.incarnations++
	node.down = false
	node.pending = nil
	node.Node = allocator.NewNode(allocator.NodeSettings{Self: node.peer, Incarnation: s.random.Uint64() | 1})
	node.SetListing(s.listing(node), s.clock(node))
	node.SetQuotas(s.quotas, s.clock(node))
	s.step(node)
}

func (s *simulation) listing(of *simulatedNode) allocator.Listing {
	listing := allocator.Listing{Listed: true, Earlier: true}
	for _, node := range s.nodes {
		if node != of {
			listing.Peers = append(listing.Peers, node.peer)
		}
	}
	return listing
}

func (s *simulation) clock(node *simulatedNode) clocker.Instant { return s.now.Add(node.skew) }

func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(delay), order: s.order, run: run})
}

// run runs the simulation for a time.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// step advances a node, delivers what it sends and notes which of its requests are done.
func (s *simulation) step(node *simulatedNode) {
	if node.down || s.now < node.pausedUntil {
		return
	}
	node.Confirm(s.clock(node))
	messages, wait := node.Advance(s.clock(node))
	for _, outgoing := range messages {
		encoded := outgoing.Message.Encode()
		s.bytes += len(encoded) + 28 + 20 // IP, UDP and the name of the sender
		s.deliver(node, outgoing.To, encoded)
		if s.random.Float64() < s.doubled {
			s.deliver(node, outgoing.To, encoded)
		}
	}
	s.collect(node)
	node.wakeAt = s.now.Add(wait)
	s.after(wait, func() {
		if node.wakeAt <= s.now {
			s.step(node)
		}
	})
}

func (s *simulation) deliver(from *simulatedNode, to string, encoded []byte) {
	for _, node := range s.nodes {
		if node.peer.Name != to || s.lost(from, node) {
			continue
		}
		s.after(s.delay(from, node), func() { s.receive(node, from.peer.Name, encoded) })
	}
}

func (s *simulation) receive(node *simulatedNode, from string, encoded []byte) {
	switch message, err := allocator.Decode(encoded); {
	case err != nil:
		panic(err)
	case node.down:
	case s.now < node.pausedUntil:
		s.after(node.pausedUntil.Sub(s.now), func() { s.receive(node, from, encoded) })
	default:
		node.Receive(from, message, s.clock(node))
		s.step(node)
	}
}

// request makes a request of an account at a node.
func (s *simulation) request(node *simulatedNode, account string, amount uint64) {
	if node.down || s.now < node.pausedUntil {
		return
	}
	waiter := node.Acquire(allocator.HashAccount(account), amount, s.clock(node))
	node.pending = append(node.pending, pendingRequest{waiter: waiter, since: s.now, account: account, amount: amount})
	s.step(node)
}

func (s *simulation) collect(node *simulatedNode) {
	open := node.pending[:0]
	for _, request := range node.pending {
		select {
		case <-request.waiter.Done:
		default:
			open = append(open, request)
			continue
		}
		if !request.waiter.Granted {
			s.refusals++

			continue
		}
		s.slowest = max(s.slowest, s.now.Sub(request.since))
		if s.random.Float64() < s.rejected {
			s.reject(node, request)
			continue
		}
		s.uses = append(s.uses, use{at: s.now, account: request.account, amount: request.amount})
		if s.random.Float64() < s.repeated {
			node.Charge(allocator.HashAccount(request.account), request.amount, s.clock(node))
			s.uses = append(s.uses, use{at: s.now, account: request.account, amount: request.amount})
		}
	}
	node.pending = open
}

// reject refunds a request up to 3 s later, unless its daemon has ended.
func (s *simulation) reject(node *simulatedNode, request pendingRequest) {
	held, process := time.Duration(s.random.Int64N(int64(3*time.Second))), node.Node
	s.after(held, func() {
		if node.Node == process && !node.down && s.now >= node.pausedUntil {
			node.Refund(allocator.HashAccount(request.account), request.amount, held, s.clock(node))
			s.step(node)
		}
	})
}

// load sends requests of an account at a rate, in units per second, to some nodes for a time. Their intervals are random.
func (s *simulation) load(account string, rate float64, amount func() uint64, nodes []*simulatedNode, duration time.Duration) {
	end := s.now.Add(duration)
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		units := amount()
		s.request(nodes[s.random.IntN(len(nodes))], account, units)
		s.after(time.Duration(s.random.ExpFloat64()*float64(units)/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

// used returns the units that an account used from an instant on.
func (s *simulation) used(account string, from clocker.Instant) (sum uint64) {
	for _, u := range s.uses {
		if u.account == account && u.at >= from {
			sum += u.amount
		}
	}
	return sum
}

// checkBound fails unless the use in each window is within the bound. It returns the largest use as a part of the bound.
func (s *simulation) checkBound(t interface {
	Helper()
	Errorf(string, ...any)
}, quota allocator.Quota,
) (largest float64) {
	t.Helper()
	bound := 1.1 * (quota.RatePerSecond*quotaWindow.Seconds() + quota.Burst)
	if quota.InTokens {
		bound += 190_000
	}
	first, sum := 0, uint64(0)
	for _, u := range s.uses {
		if u.account != quota.Account {
			continue
		}
		sum += u.amount
		for ; u.at.Sub(s.uses[first].at) > quotaWindow; first++ {
			if s.uses[first].account == quota.Account {
				sum -= s.uses[first].amount
			}
		}
		largest = max(largest, float64(sum)/bound)
	}
	if largest > 1 {
		t.Errorf("account %s used %.0f%% of its bound in a window", quota.Account, 100*largest)
	}
	return largest
}

// fixed returns requests of one amount.
func fixed(amount uint64) func() uint64 { return func() uint64 { return amount } }

// mixed returns many small and some large requests.
func (s *simulation) mixed() uint64 {
	if s.random.Float64() < 0.06 {
		return largeRequest
	}
	return smallRequest
}
