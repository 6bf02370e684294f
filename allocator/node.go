package allocator

import (
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

const (
	// heartbeat is the time between two messages to the coordinator of a daemon without requests that wait, and relayHeartbeat
	// that of one whose messages pass on the time of others.
	heartbeat      = 200 * time.Millisecond
	relayHeartbeat = 100 * time.Millisecond
	// minSpacing is the least time between two messages to the coordinator.
	minSpacing = 4 * time.Millisecond
	// aheadSpacing is the same if nothing is wanted but units for requests to come.
	aheadSpacing = 20 * time.Millisecond
	// retryInterval is how long a message with needs may stay unanswered before they are told again, beyond the usual time of an
	// answer, and refreshInterval is how often needs that wait at the coordinator are told again.
	retryInterval   = 30 * time.Millisecond
	refreshInterval = 80 * time.Millisecond
	// maxBacklog bounds the fleet time that a daemon keeps while it has no coordinator, and what it creates after a pause.
	maxBacklog = 500 * time.Millisecond
	// restartCredit is fleet time that a daemon creates at once when it begins, for a part of the time that it was not there.
	restartCredit = 250 * time.Millisecond
	// creationStep is the least time that is created at once, so that rounding loses little.
	creationStep = time.Millisecond
	// maxEchoAge is the age, by the own clock, of the message that a daemon must have received for its wishes to count.
	maxEchoAge = time.Second
	// maxParts is the number of needs or refusals in a message, which then fits into one packet, and itemParts is how many of them
	// the rest of a want or a grant is as large as.
	maxParts  = 120
	itemParts = 4
	// settleStep is the change of a coordinator's share upon which all buckets are filled by the old one.
	settleStep = 0.02
	// queueWake is the longest time between two calls of Advance while requests wait.
	queueWake = 5 * time.Millisecond
)

// NodeSettings are the parameters of a Node.
type NodeSettings struct {
	Self Peer
	// Incarnation is a random number that identifies the process. It is not zero.
	Incarnation uint64
}

// Outgoing is a message to another daemon.
type Outgoing struct {
	To      string
	Message Message
}

// Quota is the quota of one account.
type Quota struct {
	Account       string
	RatePerSecond float64
	Burst         float64
	// InTokens is set if the quota counts tokens and not requests.
	InTokens bool
}

// Node decides what one daemon grants, uses and sends. It does no network I/O and has no goroutines; each method gets the time of
// the boot clock, which must not decrease. Its methods are not safe for concurrent use.
type Node struct {
	settings NodeSettings
	now      clocker.Instant
	// stamp is the last SentAt.
	stamp    clocker.Instant
	roster   *roster
	accounts map[AccountHash]*account
	// active are the accounts that have needs or debts or want units ahead.
	active     map[*account]bool
	candidates []*coordinator
	peers      []Peer
	leaving    bool
	// parent is the coordinator of this daemon; nil if it has none. searchingSince is since when it has none.
	parent         *coordinator
	searchingSince clocker.Instant
	children       map[uint64]*child
	// sweptAt is when old children and claims were last forgotten.
	sweptAt clocker.Instant

	// createdAt is up to when fleet time was created. created is set once the daemon has created some.
	createdAt clocker.Instant
	created   bool
	// backlog is fleet time that was neither transferred nor converted yet.
	backlog time.Duration
	terms   terms
	// urgent is set if there is something to tell the coordinator at once.
	urgent bool
}

// NewNode returns a Node without accounts and peers.
func NewNode(settings NodeSettings) *Node {
	return &Node{
		settings: settings, roster: newRoster(settings.Self.DataCentre), accounts: make(map[AccountHash]*account),
		active: make(map[*account]bool), children: make(map[uint64]*child),
	}
}

// SetQuotas replaces the quotas. A bucket whose capacity shrinks loses what it has beyond it.
func (n *Node) SetQuotas(quotas []Quota, now clocker.Instant) {
	n.advanceClock(now)
	if len(n.accounts) == 0 {
		n.createdAt, n.searchingSince = now, now
	}
	before := n.accounts
	n.accounts = make(map[AccountHash]*account, len(quotas))
	for _, quota := range quotas {
		hash := HashAccount(quota.Account)
		a := before[hash]
		if a == nil {
			a = &account{hash: hash, name: quota.Account}
		}
		a.fill(n.terms)
		a.rate, a.burst, a.inTokens = quota.RatePerSecond, quota.Burst, quota.InTokens
		a.fill(n.terms)
		n.accounts[hash] = a
	}
	for hash, a := range before {
		if n.accounts[hash] == nil {
			n.drop(a)
		}
	}
}

// drop grants the waiting requests of an account that has no quota any more.
func (n *Node) drop(a *account) {
	for _, e := range a.entries {
		if e.waiter != nil {
			e.waiter.Granted = true
			close(e.waiter.Done)
		}
	}
	a.entries = nil
	delete(n.active, a)
}

// SetListing applies a reading of the daemons' entries.
func (n *Node) SetListing(listing Listing, now clocker.Instant) {
	n.advanceClock(now)
	n.roster.set(listing, now)
	n.peers = listing.Peers
	n.setCandidates()
}

// Leave makes this daemon nobody's coordinator, since it stops soon.
func (n *Node) Leave(now clocker.Instant) {
	n.advanceClock(now)
	n.leaving = true
	n.setCandidates()
	for _, c := range n.children {
		c.replyDue = c.replyDue || c.fresh(now)
	}
}

// setCandidates sets the candidates according to the peers.
func (n *Node) setCandidates() {
	known := make(map[string]*coordinator, len(n.candidates))
	for _, c := range n.candidates {
		known[c.Name] = c
	}
	n.candidates = nil
	for _, peer := range coordinatorsFor(n.settings.Self, n.leaving, n.peers) {
		c := known[peer.Name]
		if c == nil {
			c = &coordinator{}
		}
		c.Peer = peer
		n.candidates = append(n.candidates, c)
	}
}

// Confirm records when the last listing was known to be current.
func (n *Node) Confirm(at clocker.Instant) { n.roster.confirm(at) }

// Acquire takes an amount of the quota of an account. It returns nil if there is none, and otherwise a Waiter, which may already be done.
func (n *Node) Acquire(hash AccountHash, amount uint64, now clocker.Instant) *Waiter {
	n.advanceClock(now)
	a := n.accounts[hash]
	if a == nil {
		return nil
	}
	w := &Waiter{Done: make(chan struct{}), account: a, amount: amount}
	n.place(a, &entry{claim: &a.local, waiter: w, amount: amount, deadline: now.Add(MaxWait)})
	return w
}

// place adds a need to the queue of an account. A coordinator refuses it at once if it can't be granted in time.
func (n *Node) place(a *account, e *entry) {
	a.enqueue(e)
	a.serve(n.terms, n.now)
	n.watch(a)
	if !slices.Contains(a.entries, e) {
		return
	}
	if e.waiter != nil {
		a.usage.Waited++
	}
	n.urgent = true
	if wait := a.wait(e, n.terms, n.now); n.terms.creates && !n.terms.young && wait > e.deadline.Sub(n.now) {
		a.refuse(e, wait, n.now)
	}
}

// Withdraw ends the wait of a request. What it may already have got is given back.
func (n *Node) Withdraw(w *Waiter, now clocker.Instant) {
	n.advanceClock(now)
	for _, e := range w.account.entries {
		if e.waiter == w {
			w.account.refuse(e, w.account.wait(e, n.terms, now), now)
			return
		}
	}
	if w.Granted {
		n.refund(w.account, w.amount)
	}
}

// Charge takes an amount without a check, which may leave a debt.
func (n *Node) Charge(hash AccountHash, amount uint64, now clocker.Instant) {
	n.advanceClock(now)
	if a := n.accounts[hash]; a != nil {
		a.fill(n.terms)
		a.take(amount, n.terms, now)
		a.count(amount, now)
		a.usage.Used += amount
		n.urgent = n.urgent || a.debt > 0
		n.watch(a)
	}
}

// Refund gives back units that were not used and were held for a time. They have lapsed after lotLifetime, as unused units do: if
// many requests were rejected together after long waits, the use after that would exceed the quota.
func (n *Node) Refund(hash AccountHash, amount uint64, held time.Duration, now clocker.Instant) {
	n.advanceClock(now)
	if a := n.accounts[hash]; a != nil && held <= lotLifetime {
		n.refund(a, amount)
	}
}

func (n *Node) refund(a *account, amount uint64) {
	a.usage.Refunded += amount
	a.add(amount, n.now.Add(lotLifetime))
	a.serve(n.terms, n.now)
	n.watch(a)
}

// watch makes Advance look at an account while it has needs or debts, or wants units ahead.
func (n *Node) watch(a *account) { n.active[a] = true }

// advanceClock creates the fleet time since the last call and updates who coordinates.
func (n *Node) advanceClock(now clocker.Instant) {
	n.now = max(now, n.now)
	if len(n.accounts) == 0 {
		return
	}
	if elapsed := n.now.Sub(n.createdAt); elapsed >= creationStep {
		n.createdAt = n.now
		mayCreate := n.roster.mayCreate(n.now)
		if mayCreate && !n.created {
			elapsed += restartCredit
		}
		n.created = n.created || mayCreate
		if mayCreate {
			n.backlog += min(elapsed, maxBacklog) / time.Duration(n.roster.count(n.now))
		}
	}
	n.choose()
	share := n.share()
	n.backlog = min(n.backlog, time.Duration(share*float64(maxBacklog)))
	if n.parent != nil || !n.terms.creates {
		return
	}
	n.setShare(share)
	n.terms.time += n.backlog
	n.backlog = 0
}
