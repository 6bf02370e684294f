// Package balancer decides when a request leaves its data centre, and bounds how many do.
//
// A Balancer compares the best target of each data centre for a request. The request goes to another data centre if that is
// worth more to its caller than the bytes that it moves cost. What this daemon sends to a data centre is bounded by its part of
// the free slots there, so that all daemons together do not fill them at once before they learn of each other's requests. A data
// centre of which nothing was heard lately gets single requests only.
//
// The package does no network I/O and starts no goroutines. It takes the time from Settings.Now.
//
// # Usage
//
//	b := balancer.New(balancer.Settings{DataCentre: "north", GigabyteCost: cost, Now: time.Now})
//	b.RecordRoundTrip("south", 3*time.Millisecond)
//	index, chosen := b.Choose(request, options)
//	if !chosen {
//		// No option may be used: the request has to wait for its own data centre.
//	}
//	b.RecordAnswer(options[index].DataCentre)
package balancer

import (
	"log/slog"
	"sync"
	"time"
)

// Request is a request for which a data centre is chosen.
type Request struct {
	// Objective is the time within which the answer, or its first event, is on time; zero if there is none.
	Objective time.Duration
	// Bytes is the size of the request and of its expected answer.
	Bytes int
	// Daemons is the number of daemons that may send, this one included.
	Daemons int
	// ServedAtHome is set if the own data centre has targets that serve such requests, even if none can be chosen now.
	ServedAtHome bool
}

// Option is the best target for the request in one data centre.
type Option struct {
	DataCentre string
	// Expected is the expected time to the answer, or to its first event, without the round trip between data centres.
	Expected time.Duration
	// FreeSlots is the number of requests that the targets of the data centre can begin at once, as far as is known.
	FreeSlots int
}

// Reason tells why a request leaves its data centre.
type Reason string

const (
	// ReasonLate means that it would probably be late at home.
	ReasonLate Reason = "late_at_home"
	// ReasonFaster means that it is answered earlier there.
	ReasonFaster Reason = "faster"
	// ReasonUnavailable means that no target at home can be chosen now.
	ReasonUnavailable Reason = "unavailable_at_home"
	// ReasonNotServed means that the own data centre has no targets that serve it.
	ReasonNotServed Reason = "not_served_at_home"
)

// Settings are the parameters of a Balancer. CacheGigabyteCost, Logger and Observe are optional.
type Settings struct {
	// DataCentre is the data centre of the daemon.
	DataCentre string
	// GigabyteCost is the cost of a gigabyte between data centres, where 1 is what an answer on time is worth.
	GigabyteCost func() float64
	// CacheGigabyteCost is that of a gigabyte of cached parts of prompts, which engines move. Default: none.
	CacheGigabyteCost func() float64
	Now               func() time.Time
	// Logger logs when this daemon begins and ceases to send to a data centre.
	Logger *slog.Logger
	// Observe is called with each request that leaves the data centre.
	Observe func(dataCentre string, reason Reason, bytes int)
}

// Balancer chooses between data centres. Its methods are safe for concurrent use.
type Balancer struct {
	settings Settings

	mu     sync.Mutex
	remote map[string]*remote // by the name of the data centre
}

// New returns a Balancer that knows nothing of other data centres.
func New(settings Settings) *Balancer {
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	if settings.CacheGigabyteCost == nil {
		settings.CacheGigabyteCost = func() float64 { return 0 }
	}
	if settings.Observe == nil {
		settings.Observe = func(string, Reason, int) {}
	}
	return &Balancer{settings: settings, remote: make(map[string]*remote)}
}

// RecordRoundTrip records the time that the opening of a connection to a data centre took.
func (b *Balancer) RecordRoundTrip(dataCentre string, took time.Duration) {
	b.update(dataCentre, func(r *remote, _ time.Time) { r.recordRoundTrip(took) })
}

// RecordAnswer records an answer of a target in a data centre that reports the target's load.
func (b *Balancer) RecordAnswer(dataCentre string) {
	b.update(dataCentre, (*remote).recordAnswer)
}

// RecordFailure records that a target in a data centre could not be reached, or did not answer.
func (b *Balancer) RecordFailure(dataCentre string) {
	b.update(dataCentre, func(r *remote, now time.Time) { r.failedAt = now })
}

func (b *Balancer) update(dataCentre string, change func(r *remote, now time.Time)) {
	if dataCentre == b.settings.DataCentre {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b.remoteOf(dataCentre), b.settings.Now())
}

func (b *Balancer) remoteOf(dataCentre string) *remote {
	known := b.remote[dataCentre]
	if known == nil {
		known = &remote{name: dataCentre, roundTrip: defaultRoundTrip}
		b.remote[dataCentre] = known
	}
	return known
}

// WorthMoving reports whether it is worth its cost that an engine fetches bytes of cached parts from another data centre, for a request
// that is answered earlier by the saved time.
func (b *Balancer) WorthMoving(bytes int, saved, objective time.Duration) bool {
	cost := b.settings.CacheGigabyteCost()
	return cost == 0 || slowLoss*ratio(saved, objective) > cost*float64(bytes)/gigabyte
}

const gigabyte = 1e9

func (b *Balancer) cost(bytes int) float64 {
	return b.settings.GigabyteCost() * float64(bytes) / gigabyte
}
