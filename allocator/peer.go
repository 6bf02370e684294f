package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
	"github.com/rosemaryrill/rosemaryrill/ranker"
)

const (
	// answerTimeout is how long another daemon counts as answering after the sending of a message that it answered.
	answerTimeout = 800 * time.Millisecond
	// suspicionTimeout is how long a coordinator may not answer before the next ones are asked too, so that they are known to
	// answer when its time is over.
	suspicionTimeout = 350 * time.Millisecond
	// probeInterval is the time between two messages to a daemon that is not the coordinator.
	probeInterval = 200 * time.Millisecond
	// firstProbes is how many daemons are asked at first; the number doubles with each probeInterval without a coordinator.
	firstProbes = 2
	// maxRemoteProbes is the number of daemons of each other data centre among which a coordinator is sought.
	maxRemoteProbes = 3
	// maxDirectPeers is the number of other daemons up to which all of them have one coordinator; beyond it each data centre has one.
	maxDirectPeers = 16
	// maxChildren bounds the incarnations of other daemons that are remembered, and childRetention is how long they are.
	maxChildren    = 4096
	childRetention = 10 * time.Minute
	// claimRetention is how long the numbers of granted units are remembered after the last want. The next want names them again.
	claimRetention = 10 * time.Second
)

// Peer is another daemon.
type Peer struct {
	Name       string
	DataCentre string
	// LinkMegabits is the bandwidth of the daemon's link in Mbit/s.
	LinkMegabits float64
}

// compareRanks orders the daemons as coordinators. The largest link comes first, since a coordinator sends the most.
func compareRanks(a, b Peer) int {
	return ranker.Compare("quota", ranker.Member{Name: a.Name, LinkMegabits: a.LinkMegabits}, ranker.Member{Name: b.Name, LinkMegabits: b.LinkMegabits})
}

// coordinatorsFor returns the daemons that may be the coordinator of self, the most wanted first. Each of them ranks before self, so
// that no two daemons can be the coordinators of each other. All others rank before a daemon that is leaving.
func coordinatorsFor(self Peer, leaving bool, peers []Peer) (candidates []Peer) {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, compareRanks)
	ranked = slices.DeleteFunc(ranked, func(p Peer) bool { return !leaving && compareRanks(p, self) >= 0 })
	if len(peers) <= maxDirectPeers {
		return ranked
	}
	perDataCentre := make(map[string]int)
	var remote []Peer
	for _, peer := range ranked {
		if peer.DataCentre == self.DataCentre {
			candidates = append(candidates, peer)
			continue
		}
		if perDataCentre[peer.DataCentre]++; perDataCentre[peer.DataCentre] <= maxRemoteProbes {
			remote = append(remote, peer)
		}
	}
	return append(candidates, remote...)
}

// coordinator is a daemon that may be the coordinator of this one.
type coordinator struct {
	Peer
	// incarnation is that of its last answer; zero before the first. retired is the one before.
	incarnation, retired uint64
	// leaving is set if that incarnation stops soon.
	leaving bool
	// answeredAt is when the newest message that it answered was sent, and askedAt when the last one was sent.
	answeredAt, askedAt clocker.Instant
	// echo is the SentAt of its newest message.
	echo clocker.Instant
	// roundTrip is the time from the last answered message to its answer.
	roundTrip time.Duration
	// transferred is the fleet time that was transferred to the incarnation, and seen are the totals that it has granted.
	transferred time.Duration
	seen        map[AccountHash]uint64
}

func (c *coordinator) answers(now clocker.Instant) bool {
	return !c.leaving && c.answeredAt != 0 && now.Sub(c.answeredAt) <= answerTimeout
}

// become records that the daemon has another incarnation. Nothing that was transferred to the former one is transferred again.
func (c *coordinator) become(incarnation uint64) {
	c.retired, c.incarnation = c.incarnation, incarnation
	c.echo, c.transferred, c.seen, c.leaving = 0, 0, make(map[AccountHash]uint64), false
}

// child is one incarnation of a daemon that has sent messages to this one.
type child struct {
	name        string
	incarnation uint64
	// received is the fleet time that it has transferred in all.
	received time.Duration
	// share is the part of the fleet whose time it transfers, as of freshAt.
	share   float64
	freshAt clocker.Instant
	heardAt clocker.Instant
	// sentAt is the SentAt of its newest message.
	sentAt clocker.Instant
	claims map[AccountHash]*claim
	// replyDue is set if an answer is due, which contains the grants for due.
	replyDue bool
	due      map[AccountHash]*claim
}

func newChild(name string, incarnation uint64) *child {
	return &child{name: name, incarnation: incarnation, claims: make(map[AccountHash]*claim), due: make(map[AccountHash]*claim)}
}

func (c *child) fresh(now clocker.Instant) bool {
	return c.freshAt != 0 && now.Sub(c.freshAt) <= answerTimeout
}

// changed makes the next answer contain the grants of a claim.
func (c *child) changed(of *claim) { c.due[of.account] = of }

// claim returns the claim on an account.
func (c *child) claim(hash AccountHash) *claim {
	known := c.claims[hash]
	if known == nil {
		known = &claim{child: c, account: hash}
		c.claims[hash] = known
	}
	return known
}

// observe records what the daemon has seen of the grants. Units that were granted lotLifetime ago and not seen have lapsed.
func (c *claim) observe(seen uint64, now clocker.Instant) {
	switch {
	case seen >= c.total:
		c.total, c.from, c.unseenSince = seen, seen, 0
		return
	case seen > c.from:
		c.from, c.unseenSince = seen, now
	}
	if c.unseenSince != 0 && now.Sub(c.unseenSince) > lotLifetime {
		c.from, c.unseenSince = c.total, 0
		c.debtMark, c.aheadMark = 0, 0
	}
}

// grantMessage returns the grant for the daemon.
func (c *claim) grantMessage() Grant {
	grant := Grant{Account: c.account, From: c.from, Total: c.total}
	for id, decided := range c.decided {
		if decided.grantedTotal == 0 {
			grant.Refusals = append(grant.Refusals, Refusal{ID: id, RetryAfter: decided.retryAfter})
		}
	}
	slices.SortFunc(grant.Refusals, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) })
	return grant
}
