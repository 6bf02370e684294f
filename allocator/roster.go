package allocator

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/clocker"
)

const (
	// goneCount is how long a daemon counts after its entry disappeared, and goneDataCentreCount the same if all of its data centre
	// disappeared, since a partition may hide a data centre that still serves requests.
	goneCount           = 2 * time.Minute
	goneDataCentreCount = time.Hour
	// unlistedBound is how long a daemon creates quota without having seen its own entry. It is shorter than goneCount, for which
	// the others count the daemon, by more than a lease time of the entry.
	unlistedBound = 100 * time.Second
	// announcementDelay is how long a daemon waits after its entry appeared, so that the others know of it and create less.
	announcementDelay = 1500 * time.Millisecond
)

// Listing is one reading of the daemons' entries in the store.
type Listing struct {
	// Listed is set if the reader's own entry was there, and Earlier if a former process with its name wrote that.
	Listed, Earlier bool
	// Peers are the other daemons.
	Peers []Peer
}

// roster counts the daemons that may create quota.
type roster struct {
	dataCentre string
	// present are the data centres of the registered daemons by name, without this one, and gone the daemons that disappeared.
	present map[string]string
	gone    map[string]goneDaemon
	// listed is set while this daemon's entry is there, and listedAt is when it was last known to be. createFrom is from when on
	// the daemon creates quota; zero before it has seen its entry.
	listed     bool
	listedAt   clocker.Instant
	createFrom clocker.Instant
}

type goneDaemon struct {
	dataCentre string
	at         clocker.Instant
}

func newRoster(dataCentre string) *roster {
	return &roster{dataCentre: dataCentre, present: make(map[string]string), gone: make(map[string]goneDaemon)}
}

// set applies a listing.
func (r *roster) set(listing Listing, now clocker.Instant) {
	before := r.present
	r.present = make(map[string]string, len(listing.Peers))
	for _, peer := range listing.Peers {
		r.present[peer.Name] = peer.DataCentre
		delete(r.gone, peer.Name)
	}
	for name, dataCentre := range before {
		if _, present := r.present[name]; !present {
			r.gone[name] = goneDaemon{dataCentre: dataCentre, at: now}
		}
	}
	r.listed = listing.Listed
	if !listing.Listed {
		return
	}
	switch {
	case r.createFrom == 0 && listing.Earlier:
		r.createFrom = now
	case r.createFrom == 0 || now.Sub(r.listedAt) > unlistedBound:
		r.createFrom = now.Add(announcementDelay)
	}
	r.listedAt = now
}

// confirm records when the last listing was known to be current.
func (r *roster) confirm(at clocker.Instant) {
	if r.listed && r.listedAt.Before(at) {
		r.listedAt = at
	}
}

// mayCreate reports whether the others count this daemon.
func (r *roster) mayCreate(now clocker.Instant) bool {
	return r.createFrom != 0 && !now.Before(r.createFrom) && now.Sub(r.listedAt) <= unlistedBound
}

// count returns the number of daemons that may create quota, including this one.
func (r *roster) count(now clocker.Instant) int {
	if len(r.gone) == 0 {
		return 1 + len(r.present)
	}
	seen := map[string]bool{r.dataCentre: true}
	for _, dataCentre := range r.present {
		seen[dataCentre] = true
	}
	for name, daemon := range r.gone {
		bound := goneCount
		if !seen[daemon.dataCentre] {
			bound = goneDataCentreCount
		}
		if now.Sub(daemon.at) > bound {
			delete(r.gone, name)
		}
	}
	return 1 + len(r.present) + len(r.gone)
}
