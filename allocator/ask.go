package allocator

import "github.com/rosemaryrill/rosemaryrill/clocker"

// ask returns the messages to the coordinator and to those that might be it.
func (n *Node) ask(waiting bool) (messages []Outgoing) {
	limit := 0
	switch {
	case n.parent == nil:
		limit = n.probes()
	case n.now.Sub(n.parent.answeredAt) > suspicionTimeout:
		limit = firstProbes << 1
	}
	before, passed := 0, n.parent == nil
	for _, c := range n.candidates {
		if c == n.parent {
			passed = true
			if n.dueToParent(waiting) {
				messages = append(messages, n.report()...)
			}
			continue
		}
		if passed && limit <= 0 {
			break
		}
		if passed {
			limit--
		} else if before++; before > firstProbes<<1 {
			continue // Better ranked daemons that do not answer will disappear from the listing.
		}
		if n.now.Sub(c.askedAt) >= probeInterval || c.askedAt == 0 {
			messages = append(messages, n.message(c, Message{}))
		}
	}
	return messages
}

// dueToParent reports whether a message to the coordinator is due.
func (n *Node) dueToParent(waiting bool) bool {
	since := n.now.Sub(n.parent.askedAt)
	interval := heartbeat
	if n.relays() {
		interval = relayHeartbeat
	}
	if waiting {
		interval = refreshInterval
		if n.parent.answeredAt < n.parent.askedAt {
			interval = retryInterval + n.parent.roundTrip
		}
	}
	if n.wantsAhead() {
		interval = min(interval, aheadSpacing)
	}
	if n.urgent {
		interval = minSpacing
	}
	return since >= interval
}

// relays reports whether others transfer their time to this daemon.
func (n *Node) relays() bool {
	for _, c := range n.children {
		if c.fresh(n.now) && c.share > 0 {
			return true
		}
	}
	return false
}

// wantsAhead reports whether less than half of what should be at hand for requests to come is there.
func (n *Node) wantsAhead() bool {
	if n.parent.answeredAt < n.parent.askedAt {
		return false // What the last message asked for is not known yet.
	}
	for a := range n.active {
		if wanted := a.ahead(n.now); len(a.entries) == 0 && a.debt == 0 && a.inLots(n.now) < wanted/2 && !a.aheadRefused(n.now) {
			return true
		}
	}
	return false
}

// report returns the messages that transfer the backlog to the coordinator and tell it what is wanted.
func (n *Node) report() (messages []Outgoing) {
	n.urgent = false
	n.parent.transferred += n.backlog
	n.backlog = 0
	var wants []Want
	for a := range n.active {
		want := n.want(a)
		if wanted := len(want.Needs) > 0 || want.Debt > 0 || want.Ahead > 0; wanted || a.told {
			wants = append(wants, want)
			a.told = wanted
		}
	}
	for first := true; first || len(wants) > 0; first = false {
		var part []Want
		part, wants = split(wants, func(want Want) int { return len(want.Needs) })
		messages = append(messages, n.message(n.parent, Message{Share: n.share(), Wants: part}))
	}
	return messages
}

// split returns the items that fit into one message and the others. An item has a size and a number of parts.
func split[T any](items []T, parts func(T) int) (first, rest []T) {
	size := 0
	for i, item := range items {
		if size += itemParts + parts(item); i > 0 && size > maxParts {
			return items[:i], items[i:]
		}
	}
	return items, nil
}

// want returns what is wanted of an account.
func (n *Node) want(a *account) Want {
	want := Want{Account: a.hash, Seen: n.parent.seen[a.hash], Debt: a.debt}
	for _, e := range a.entries {
		if len(want.Needs) == maxNeeds {
			break
		}
		e.told = true
		want.Needs = append(want.Needs, Need{ID: e.id, Amount: e.missing(), Patience: e.deadline.Sub(n.now)})
	}
	if wanted, there := a.ahead(n.now), a.inLots(n.now); len(a.entries) == 0 && there < wanted {
		want.Ahead = wanted - there
		a.aheadAt = n.now
	}
	return want
}

// message completes a message to a coordinator.
func (n *Node) message(to *coordinator, message Message) Outgoing {
	message.Sender, message.Receiver = n.settings.Incarnation, to.incarnation
	message.SentAt, message.Echo = n.nextStamp(), to.echo
	message.Time = to.transferred
	to.askedAt = message.SentAt
	return Outgoing{To: to.Name, Message: message}
}

// nextStamp returns the time as a stamp that no message had before.
func (n *Node) nextStamp() clocker.Instant {
	n.stamp = max(n.now, n.stamp+1)
	return n.stamp
}
