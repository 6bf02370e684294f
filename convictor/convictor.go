// Package convictor finds requests that crash the targets that run them.
//
// A connection that breaks while a target runs a request is a strike against the request. Most such
// requests are innocent: they were there when the target died of something else, or only their
// connection died. A strike counts once the incarnation of the target is gone, and a request is
// refused from the third counting strike on. Copies of a request share its fingerprint, and daemons
// tell each other their strikes.
//
// Package quarantiner pursues the same end for calls in the form of OpenAI, where daemons can ask each
// other before each run and suspects run alone. Here a run cannot wait for a question to a peer.
//
// # Usage
//
//	c := convictor.New(convictor.Settings{Alive: placer.Alive, Now: time.Now})
//	c.Strike(fingerprint, incarnation)
//	if c.Convicted(fingerprint) {
//		// Refuse it.
//	}
package convictor

import (
	"slices"
	"sync"
	"time"
)

const (
	// enough is the number of targets whose crash convicts a request.
	enough = 3
	// strikeKept is how long a strike is remembered.
	strikeKept = 2 * time.Minute
	// maxRequests bounds the requests with strikes.
	maxRequests = 4096
	// toldTimes is how often a strike is told to the peers, since a datagram may be lost.
	toldTimes = 3
)

// Strike is a target that broke while it ran a request.
type Strike struct {
	Request uint64
	// Incarnation names one life of the target.
	Incarnation uint64
}

// Settings are the parameters of a Convictor.
type Settings struct {
	// Alive says whether an incarnation is still known.
	Alive func(incarnation uint64) bool
	Now   func() time.Time
}

// Convictor counts strikes. Its methods are safe for concurrent use.
type Convictor struct {
	settings Settings

	mu       sync.Mutex
	requests map[uint64][]noted
	untold   []toTell
}

// noted is a strike against one request.
type noted struct {
	incarnation uint64
	at          time.Time
}

type toTell struct {
	strike Strike
	times  int
}

// New returns a Convictor without strikes.
func New(settings Settings) *Convictor {
	return &Convictor{settings: settings, requests: make(map[uint64][]noted)}
}

// Strike notes that a target broke while it ran a request.
func (c *Convictor) Strike(request, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	strike := Strike{Request: request, Incarnation: incarnation}
	if c.note(strike) {
		c.untold = append(c.untold, toTell{strike: strike, times: toldTimes})
	}
}

// Import notes a strike that a peer told.
func (c *Convictor) Import(strike Strike) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(strike)
}

// Export returns the strikes that peers should hear of.
func (c *Convictor) Export() (strikes []Strike) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.untold {
		strikes = append(strikes, c.untold[i].strike)
		c.untold[i].times--
	}
	c.untold = slices.DeleteFunc(c.untold, func(t toTell) bool { return t.times <= 0 })
	return strikes
}

// Convicted says whether enough targets have crashed with the request.
func (c *Convictor) Convicted(request uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashed := 0
	for _, known := range c.requests[request] {
		if !c.settings.Alive(known.incarnation) {
			crashed++
		}
	}
	return crashed >= enough
}

// note adds a strike and says whether it is new.
func (c *Convictor) note(strike Strike) (added bool) {
	now := c.settings.Now()
	known := c.requests[strike.Request]
	if slices.ContainsFunc(known, func(n noted) bool { return n.incarnation == strike.Incarnation }) {
		return false
	}
	if known == nil && len(c.requests) >= maxRequests {
		c.forget(now)
	}
	c.requests[strike.Request] = append(known, noted{incarnation: strike.Incarnation, at: now})
	return true
}

// forget drops requests whose strikes are old, or some others where none is.
func (c *Convictor) forget(now time.Time) {
	for request, known := range c.requests {
		if now.Sub(known[len(known)-1].at) > strikeKept {
			delete(c.requests, request)
		}
	}
	for request := range c.requests {
		if len(c.requests) < maxRequests {
			return
		}
		delete(c.requests, request)
	}
}
