package placer

import (
	"net/netip"
	"time"
)

// linkLossTime is how long a target counts as unreachable after a connection to it could not be opened. It exceeds the time
// between two probes of package prober, which find out whether that has changed.
const linkLossTime = 1500 * time.Millisecond

// UnreachableError reports that this daemon cannot open connections to any target of a service that accepts requests. Other
// daemons may.
type UnreachableError struct{ Service string }

// Error names the service.
func (e *UnreachableError) Error() string {
	return "no target of service " + e.Service + " can be reached"
}

// Suspect is a target to which the link may be lost.
type Suspect struct {
	Target  TargetHash
	Address netip.AddrPort
	// Failed is set if the last connection to the target could not be opened, or broke.
	Failed bool
}

// linkLost reports whether a connection to the target could not be opened lately.
func (t *target) linkLost(now time.Time) bool { return t.unreachableUntil.After(now) }

// RecordUnreachable records that no connection to the target could be opened.
func (a *Attempt) RecordUnreachable() {
	a.updateTarget(func(t *target, now time.Time) { t.unreachableUntil = now.Add(linkLossTime) })
}

// RecordLink records whether a connection to a target could be opened.
func (p *Placer) RecordLink(incarnation TargetHash, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.byHash[incarnation]
	if t == nil {
		return
	}
	now := p.settings.Now()
	if !reached {
		t.unreachableUntil = now.Add(linkLossTime)
		return
	}
	if t.linkLost(now) {
		t.unreachableUntil, t.backoffUntil, t.connectionFailures = time.Time{}, time.Time{}, 0
	}
}

// Links are the targets by what is known of the links to them.
type Links struct {
	// Suspects are the targets to which the link may be lost: those to which connections fail, and those that owe an answer for too
	// long. Others are the rest.
	Suspects, Others []Suspect
	// AnsweredAt is when a target last answered a request of this daemon.
	AnsweredAt time.Time
}

// Links returns the targets that accept requests by what is known of the links to them.
func (p *Placer) Links() (links Links) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	links.AnsweredAt = p.answeredAt
	for _, t := range p.targets {
		s := Suspect{Target: t.hash, Address: t.Address, Failed: t.linkLost(now) || t.backoffUntil.After(now)}
		switch {
		case !p.accepts(t):
		case s.Failed || t.answerOverdue(now):
			links.Suspects = append(links.Suspects, s)
		default:
			links.Others = append(links.Others, s)
		}
	}
	return links
}

// UnreachableCount returns the number of targets that accept requests and cannot be reached.
func (p *Placer) UnreachableCount() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	for _, t := range p.targets {
		if p.accepts(t) && t.linkLost(now) {
			count++
		}
	}
	return count
}

// Neighbours returns the addresses of some other targets than that at an address, at most count.
func (p *Placer) Neighbours(address netip.AddrPort, count int) (addresses []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets { // The order of a map is random.
		if len(addresses) < count && t.Address != address && p.accepts(t) {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// unreachable reports whether there are targets that could take the call, and none of them can be reached.
func (p *Placer) unreachable(call Call, now time.Time) bool {
	candidates := 0
	for _, t := range p.byService[call.Service] {
		if !p.accepts(t) || call.Software != "" && t.Software != call.Software {
			continue
		}
		if !t.linkLost(now) {
			return false
		}
		candidates++
	}
	return candidates > 0
}
