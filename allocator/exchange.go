package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

// Advance serves the requests that wait and returns the messages that are due, and how long the next call may take.
func (n *Node) Advance(now clocker.Instant) (messages []Outgoing, wait time.Duration) {
	n.advanceClock(now)
	if len(n.accounts) == 0 {
		return nil, maxPatience
	}
	waiting := false
	for a := range n.active {
		a.serve(n.terms, n.now)
		if len(a.entries) == 0 && (n.terms.creates || a.debt == 0 && !a.told && a.ahead(n.now) == 0) {
			delete(n.active, a)
		}
		waiting = waiting || len(a.entries) > 0 || a.debt > 0
	}
	messages = n.ask(waiting)
	messages = append(messages, n.answer()...)
	n.forgetChildren()
	if waiting {
		return messages, queueWake
	}
	return messages, relayHeartbeat / 2
}

// Receive processes a message of another daemon.
func (n *Node) Receive(sender string, message Message, now clocker.Instant) {
	n.advanceClock(now)
	if len(n.accounts) == 0 || message.Sender == n.settings.Incarnation {
		return
	}
	if message.Reply {
		n.receiveAnswer(sender, message)
		return
	}
	n.receiveReport(sender, message)
}

// receiveReport processes a message of a daemon that takes this one for its coordinator. Totals count whenever they arrive. The rest
// counts only if the sender had heard from this incarnation lately: it may be old, for example after a pause of this process.
func (n *Node) receiveReport(sender string, message Message) {
	addressed := message.Receiver == n.settings.Incarnation
	c := n.children[message.Sender]
	if c == nil {
		if len(n.children) >= maxChildren {
			return
		}
		c = newChild(sender, message.Sender)
		n.children[message.Sender] = c
		if addressed {
			c.received = message.Time // It may have been counted before the child was forgotten.
		}
	}
	c.heardAt = n.now
	isNew := message.SentAt > c.sentAt
	c.sentAt = max(c.sentAt, message.SentAt)
	c.replyDue = true
	if !addressed {
		return
	}
	gained := max(message.Time-c.received, 0)
	c.received += gained
	echoAge := n.now.Sub(message.Echo)
	if isNew && message.Echo != 0 && echoAge >= 0 && echoAge <= maxEchoAge {
		c.share, c.freshAt = message.Share, n.now
	} else {
		isNew = false
	}
	n.backlog += gained
	n.advanceClock(n.now)
	if isNew {
		for _, want := range message.Wants {
			n.receiveWant(c, want)
		}
	}
}

// receiveWant updates what a daemon wants of an account, and serves it.
func (n *Node) receiveWant(c *child, want Want) {
	a := n.accounts[want.Account]
	if a == nil {
		return
	}
	claim := c.claim(want.Account)
	claim.observe(want.Seen, n.now)
	claim.wantedAt = n.now
	c.changed(claim)
	a.fill(n.terms)
	if want.Debt > 0 && want.Seen >= claim.debtMark {
		a.take(want.Debt, n.terms, n.now)
		a.give(claim, want.Debt, n.now)
		claim.debtMark = claim.total
	}
	n.withdrawUnlisted(a, claim, want)
	for _, need := range want.Needs {
		n.receiveNeed(a, claim, need, want.Seen)
	}
	n.giveAhead(a, claim, want)
	n.watch(a)
}

// withdrawUnlisted drops the needs that a daemon no longer reports.
func (n *Node) withdrawUnlisted(a *account, claim *claim, want Want) {
	listed := make(map[uint64]bool, len(want.Needs))
	for _, need := range want.Needs {
		listed[need.ID] = true
	}
	for id := range claim.decided {
		if !listed[id] {
			delete(claim.decided, id)
		}
	}
	for i := len(a.entries) - 1; i >= 0; i-- {
		if e := a.entries[i]; e.claim == claim && !listed[e.idThere] {
			a.remove(e)
			a.add(e.held, n.now.Add(lotLifetime))
		}
	}
}

// receiveNeed adds a need, unless it is known. One that was granted is new if its daemon has seen the grant and still tells it: the
// units went to another request there.
func (n *Node) receiveNeed(a *account, claim *claim, need Need, seen uint64) {
	if known, decided := claim.decided[need.ID]; decided {
		if known.grantedTotal == 0 || known.grantedTotal > seen {
			return
		}
		delete(claim.decided, need.ID)
	}
	for _, e := range a.entries {
		if e.claim == claim && e.idThere == need.ID {
			return
		}
	}
	n.place(a, &entry{claim: claim, idThere: need.ID, amount: need.Amount, deadline: n.now.Add(min(need.Patience, MaxWait))})
}

// giveAhead grants units for requests to come, if nobody waits for them.
func (n *Node) giveAhead(a *account, claim *claim, want Want) {
	if want.Ahead == 0 || want.Seen < claim.aheadMark || len(a.entries) > 0 {
		return
	}
	spare := a.available(n.terms, n.now)
	if n.terms.creates {
		spare -= aheadReserve * a.capacity(n.terms)
	}
	if spare < float64(want.Ahead) {
		return
	}
	a.take(want.Ahead, n.terms, n.now)
	a.count(want.Ahead, n.now)
	a.give(claim, want.Ahead, n.now)
	claim.aheadMark = claim.total
}

// receiveAnswer processes the answer of a coordinator. One to a message that was sent lotLifetime ago is of no use.
func (n *Node) receiveAnswer(sender string, message Message) {
	c := n.candidate(sender)
	age := n.now.Sub(message.Echo)
	if c == nil || message.Receiver != n.settings.Incarnation || message.Echo == 0 || age < 0 || age >= lotLifetime || message.Sender == c.retired {
		return
	}
	if message.Sender != c.incarnation {
		c.become(message.Sender)
	}
	if message.Echo > c.answeredAt {
		c.answeredAt, c.roundTrip = message.Echo, age
	}
	if message.SentAt > c.echo {
		c.echo, c.leaving = message.SentAt, message.Leaving
	}
	for _, grant := range message.Grants {
		n.receiveGrant(c, grant, message.Echo.Add(lotLifetime))
	}
	n.advanceClock(n.now)
}

func (n *Node) candidate(name string) *coordinator {
	for _, c := range n.candidates {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// receiveGrant adds the units that were granted since the last answer, and ends the waits of what was refused.
func (n *Node) receiveGrant(c *coordinator, grant Grant, expires clocker.Instant) {
	a := n.accounts[grant.Account]
	if a == nil {
		return
	}
	for _, refusal := range grant.Refusals {
		for _, e := range a.entries {
			if e.id == refusal.ID {
				a.retryAt = n.now.Add(refusal.RetryAfter)
				a.refuse(e, refusal.RetryAfter, n.now)
				break
			}
		}
	}
	from := max(c.seen[grant.Account], grant.From)
	if grant.Total > from {
		a.add(grant.Total-from, expires)
	}
	c.seen[grant.Account] = max(c.seen[grant.Account], grant.Total)
	a.serve(n.terms, n.now)
	n.watch(a)
	n.urgent = n.urgent || slices.ContainsFunc(a.entries, func(e *entry) bool { return !e.told })
}

// answer returns the answers that are due.
func (n *Node) answer() (messages []Outgoing) {
	for _, c := range n.children {
		if !c.replyDue && len(c.due) == 0 {
			continue
		}
		var grants []Grant
		for _, claim := range c.due {
			grants = append(grants, claim.grantMessage())
		}
		c.replyDue = false
		clear(c.due)
		for first := true; first || len(grants) > 0; first = false {
			var part []Grant
			part, grants = split(grants, func(grant Grant) int { return len(grant.Refusals) })
			messages = append(messages, Outgoing{To: c.name, Message: Message{
				Sender: n.settings.Incarnation, Receiver: c.incarnation, SentAt: n.nextStamp(), Echo: c.sentAt, Reply: true, Leaving: n.leaving, Grants: part,
			}})
		}
	}
	return messages
}

// forgetChildren forgets incarnations that have been silent for long, and claims that have not been used lately.
func (n *Node) forgetChildren() {
	if n.now.Sub(n.sweptAt) < claimRetention {
		return
	}
	n.sweptAt = n.now
	for incarnation, c := range n.children {
		if n.now.Sub(c.heardAt) > childRetention {
			delete(n.children, incarnation)
		}
		maps.DeleteFunc(c.claims, func(_ AccountHash, known *claim) bool { return n.now.Sub(known.wantedAt) > claimRetention })
	}
}
