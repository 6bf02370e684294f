package allocator

import "slices"

// setShare sets the share of a coordinator that creates units. Buckets are filled under the old share before.
func (n *Node) setShare(share float64) {
	if change := share - n.terms.share; change > settleStep || change < -settleStep {
		for _, a := range n.accounts {
			a.fill(n.terms)
		}
	}
	n.terms.share, n.terms.majority = min(share, 1), share > 0.5
	n.terms.young = n.now.Sub(n.terms.since) < answerTimeout
	for a := range n.active {
		a.fill(n.terms)
	}
}

// share returns the part of the fleet whose time reaches this daemon.
func (n *Node) share() (share float64) {
	if n.roster.mayCreate(n.now) {
		share = 1 / float64(n.roster.count(n.now))
	}
	for _, c := range n.children {
		if c.fresh(n.now) {
			share += c.share
		}
	}
	return min(share, 1)
}

// choose chooses the coordinator: the first candidate that answers. Without one, this daemon creates units itself, after it has
// asked all candidates.
func (n *Node) choose() {
	before := n.parent
	n.parent = nil
	for _, c := range n.candidates {
		if c.answers(n.now) {
			n.parent = c
			break
		}
	}
	switch {
	case n.parent != nil:
		n.searchingSince = 0
		n.endTerm()
		n.urgent = n.urgent || n.parent != before && len(n.active) > 0
		return
	case before != nil:
		n.searchingSince = before.answeredAt
	case n.searchingSince == 0:
		n.searchingSince = n.now
	}
	if !n.terms.creates && n.exhausted() {
		n.beginTerm()
	}
}

// exhausted reports whether all candidates were asked and none has answered.
func (n *Node) exhausted() bool {
	if !slices.ContainsFunc(n.candidates, func(c *coordinator) bool { return !c.leaving }) {
		return true
	}
	return n.probes() >= len(n.candidates) && n.now.Sub(n.searchingSince) > answerTimeout
}

// probes returns the number of candidates that are asked while there is no coordinator.
func (n *Node) probes() int {
	rounds := min(int(n.now.Sub(n.searchingSince)/probeInterval), 16)
	return firstProbes << rounds
}

// beginTerm makes this daemon create units. Its buckets start empty.
func (n *Node) beginTerm() {
	n.terms = terms{creates: true, share: n.share(), since: n.now, young: true}
	for _, a := range n.accounts {
		a.level, a.levelAt = -float64(a.debt), 0
		a.debt = 0
	}
}

// endTerm makes this daemon get its units from another. What its buckets have can be used for a short time, as if it was granted now:
// by this daemon, or by the next coordinator if this one is leaving.
func (n *Node) endTerm() {
	if !n.terms.creates {
		return
	}
	n.setShare(n.share())
	for _, a := range n.accounts {
		a.fill(n.terms)
		if a.level >= 1 {
			n.passOn(a, uint64(a.level))
		} else if a.level <= -1 {
			a.debt += uint64(-a.level)
		}
		a.level = 0
	}
	n.terms = terms{}
}

// passOn keeps units for this daemon, or grants them to the coordinator of a daemon that is leaving.
func (n *Node) passOn(a *account, amount uint64) {
	if c := n.children[n.parent.incarnation]; n.leaving && c != nil && c.fresh(n.now) {
		a.give(c.claim(a.hash), amount, n.now)
		return
	}
	a.add(amount, n.now.Add(lotLifetime))
}
