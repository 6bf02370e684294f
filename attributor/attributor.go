// Package attributor finds requests that crash the targets that run them.
//
// If the connection to a target breaks while the target runs a request, the request gets a strike. Most requests with a
// strike did not cause the failure: the target crashed for another reason, or only the connection broke.
// Therefore a strike counts only after that incarnation of the target no longer exists, and a request is
// refused once it has strikes from three such incarnations. Requests are identified by a fingerprint, which is the same for all copies
// of a request, and daemons exchange their strikes.
//
// Package quarantiner has the same purpose for OpenAI-compatible calls, where daemons can query each other
// before each attempt and isolate a call that may have caused crashes. The requests that are checked by
// this package cannot wait for a query to a peer.
//
// # Usage
//
//	a := attributor.New(attributor.Settings{KnowsIncarnation: placer.KnowsIncarnation, Now: time.Now})
//	a.Strike(fingerprint, incarnation)
//	if a.CrashesTargets(fingerprint) {
//		// Refuse it.
//	}
package attributor

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashThreshold is the number of crashed targets at which a request is refused.
	crashThreshold = 3
	// strikeRetention is the age of a request's last strike beyond which the request is evicted first when
	// there are maxRequests.
	strikeRetention = 2 * time.Minute
	// maxRequests bounds the number of requests with strikes.
	maxRequests = 4096
	// exportsPerStrike is how many times a strike is sent to the peers, since datagrams may be lost.
	exportsPerStrike = 3
)

// Strike records that the connection to a target broke while the target ran a request.
type Strike struct {
	// Request is the fingerprint of the request.
	Request uint64
	// Incarnation identifies the target process; a restarted target has a new one.
	Incarnation uint64
}

// Settings are the parameters of an Attributor.
type Settings struct {
	// KnowsIncarnation reports whether an incarnation still exists.
	KnowsIncarnation func(incarnation uint64) bool
	Now              func() time.Time
}

// Attributor counts strikes. Its methods are safe for concurrent use.
type Attributor struct {
	settings Settings

	mu       sync.Mutex
	requests map[uint64][]strikeRecord
	pending  []pendingExport
}

// strikeRecord is a strike of one request, without the request's fingerprint, and the time at which it was recorded.
type strikeRecord struct {
	incarnation uint64
	at          time.Time
}

// pendingExport is a strike that is still to be sent to the peers.
type pendingExport struct {
	strike    Strike
	remaining int
}

// New returns an Attributor without strikes.
func New(settings Settings) *Attributor {
	return &Attributor{settings: settings, requests: make(map[uint64][]strikeRecord)}
}

// Strike records that the connection to a target broke while the target ran the request. Further strikes of the
// same incarnation are ignored.
func (a *Attributor) Strike(request, incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	strike := Strike{Request: request, Incarnation: incarnation}
	if a.add(strike) {
		a.pending = append(a.pending, pendingExport{strike: strike, remaining: exportsPerStrike})
	}
}

// Import records a strike that was received from a peer. It is not exported again.
func (a *Attributor) Import(strike Strike) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(strike)
}

// Export returns the strikes for the next message to the peers. It returns each of this daemon's strikes
// exportsPerStrike times.
func (a *Attributor) Export() (strikes []Strike) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.pending {
		strikes = append(strikes, a.pending[i].strike)
		a.pending[i].remaining--
	}
	a.pending = slices.DeleteFunc(a.pending, func(e pendingExport) bool { return e.remaining <= 0 })
	return strikes
}

// CrashesTargets reports whether the request is to be refused, because at least crashThreshold of the incarnations
// that its strikes name no longer exist.
func (a *Attributor) CrashesTargets(request uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	crashes := 0
	for _, record := range a.requests[request] {
		if !a.settings.KnowsIncarnation(record.incarnation) {
			crashes++
		}
	}
	return crashes >= crashThreshold
}

// add records a strike, and reports whether it is the first of its request and incarnation.
func (a *Attributor) add(strike Strike) (added bool) {
	now := a.settings.Now()
	records := a.requests[strike.Request]
	if slices.ContainsFunc(records, func(r strikeRecord) bool { return r.incarnation == strike.Incarnation }) {
		return false
	}
	if records == nil && len(a.requests) >= maxRequests {
		a.evict(now)
	}
	a.requests[strike.Request] = append(records, strikeRecord{incarnation: strike.Incarnation, at: now})
	return true
}

// evict deletes requests whose last strike is older than strikeRetention, and then arbitrary ones while there
// are maxRequests.
func (a *Attributor) evict(now time.Time) {
	for request, records := range a.requests {
		if now.Sub(records[len(records)-1].at) > strikeRetention {
			delete(a.requests, request)
		}
	}
	for request := range a.requests {
		if len(a.requests) < maxRequests {
			return
		}
		delete(a.requests, request)
	}
}
