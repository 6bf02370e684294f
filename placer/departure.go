package placer

import (
	"net/netip"
	"time"
)

const (
	// departureAnnouncements is how many messages in a row announce a departure, since messages may be lost, and
	// departureAnnouncementInterval the time between later ones, for peers that have started since.
	departureAnnouncements        = 3
	departureAnnouncementInterval = time.Second
	// departureRetention is how long a departure is remembered at least. It exceeds the age of the copies from which a store
	// comes back.
	departureRetention = 5 * time.Minute
	// maxDepartures bounds the departures that are remembered.
	maxDepartures = 4096
	// leavingFetchTime is how long a target that is leaving serves as a source of cached parts. A fetch from one that has
	// ended delays a request.
	leavingFetchTime = 5 * time.Second
)

// departure is the knowledge that an incarnation of a target said that it is leaving. It is kept apart from the targets,
// since the list of these may lack the incarnation for a while, or show it as it was before.
type departure struct {
	since time.Time
	// observed is set if an answer told it to this daemon, which then announces it to the peers. announcements counts the
	// announcements, the last of which was at announcedAt.
	observed      bool
	announcements int
	announcedAt   time.Time
}

// RecordLeaving records that the target said in an answer that it is leaving.
func (a *Attempt) RecordLeaving() { a.placer.RecordLeaving(a.target.hash) }

// RecordLeaving records that an incarnation of a target said in an answer that it is leaving. It gets no further requests,
// whatever the list of targets or later answers say.
func (p *Placer) RecordLeaving(incarnation TargetHash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addDeparture(incarnation, true)
}

// addDeparture remembers a departure. observed is set if an answer told it to this daemon.
func (p *Placer) addDeparture(incarnation TargetHash, observed bool) {
	known := p.departures[incarnation]
	if known != nil {
		known.observed = known.observed || observed
		return
	}
	if len(p.departures) >= maxDepartures {
		return
	}
	p.departures[incarnation] = &departure{since: p.settings.Now(), observed: observed}
	id := ""
	if t := p.byHash[incarnation]; t != nil {
		id = t.ID
	}
	p.settings.Logger.Info("target says that it is leaving", "id", id, "incarnation", uint64(incarnation), "told_by_peer", !observed)
}

// accepts reports whether the target accepts new requests, as far as is known.
func (p *Placer) accepts(t *target) bool {
	return !t.Leaving && !t.gone && p.departures[t.hash] == nil
}

// servesFetches reports whether other targets may fetch cached parts from the target.
func (p *Placer) servesFetches(t *target, now time.Time) bool {
	since := t.leavingSince
	if said := p.departures[t.hash]; said != nil && (since.IsZero() || said.since.Before(since)) {
		since = said.since
	}
	return !t.gone && (since.IsZero() || now.Sub(since) < leavingFetchTime)
}

// exportDepartures returns the departures that are to be announced.
func (p *Placer) exportDepartures(now time.Time) (departures []TargetHash) {
	for incarnation, known := range p.departures {
		repeated := p.byHash[incarnation] != nil && now.Sub(known.announcedAt) >= departureAnnouncementInterval
		if !known.observed || known.announcements >= departureAnnouncements && !repeated {
			continue
		}
		known.announcements++
		known.announcedAt = now
		departures = append(departures, incarnation)
	}
	return departures
}

// forgetDepartures forgets old departures of incarnations that are not listed.
func (p *Placer) forgetDepartures(now time.Time) {
	for incarnation, known := range p.departures {
		if p.byHash[incarnation] == nil && now.Sub(known.since) > departureRetention {
			delete(p.departures, incarnation)
		}
	}
}

// IncarnationAt returns the incarnation of the target at an address. known is false if there is none, or if several are
// listed with that address.
func (p *Placer) IncarnationAt(address netip.AddrPort) (incarnation TargetHash, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.Address != address {
			continue
		}
		if known {
			return 0, false
		}
		incarnation, known = t.hash, true
	}
	return incarnation, known
}
