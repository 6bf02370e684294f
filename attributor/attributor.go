// Package attributor finds what crashes the targets that run it, and tells which requests to refuse.
//
// A crash can be caused by one request, whose copies come again, or by one shared part of prompts, which comes in
// requests that otherwise differ. Both are a Cause. If the target closes its connections while it runs a request, each
// cause in that request gets a strike. Most of them did not cause the failure: the request only ran beside the one that did,
// the target crashed for another reason, or only the connection broke. Therefore:
//
//   - A strike counts only after that incarnation of the target has ended. That is known as soon as its address refuses
//     connections, and at the latest when the target is listed no more.
//   - An answer that was completed clears the strikes of all causes in its request, at all daemons.
//   - Crashes within minCrashSpacing of each other count once, since they are likely to have a common cause.
//   - A crash does not count against a cause if it is explained by another one, which has at least as many crashes, this
//     one among them, and is not in the request. That holds for fewer than certainThreshold crashes.
//
// A request is refused while one of its causes has crashThreshold crashes that count. So of two causes that have always
// come together, requests with only one of them still run, and show which of the two it is. From time to time one request
// is let through, in case the cause has been mended or was wrongly suspected.
//
// Daemons exchange strikes and completions. A daemon that starts learns from the others which causes are suspect.
//
// Package quarantiner has the same purpose for OpenAI-compatible calls, where daemons can query each other
// before each attempt and isolate a call that may have caused crashes. The requests that are checked by
// this package cannot wait for a query to a peer.
//
// # Usage
//
//	a := attributor.New(attributor.Settings{KnowsIncarnation: placer.KnowsIncarnation, Now: time.Now})
//	defer a.Close()
//	causes := []attributor.Cause{attributor.RequestCause(account, method, uri, body), attributor.PartCause(model, part)}
//	if verdict := a.Verdict(causes); verdict.Refused {
//		// Refuse the request and ask the caller to retry after verdict.RetryAfter.
//	}
//	a.RecordBroken(causes, incarnation, address) // The target closed the connection.
//	a.RecordCompletion(causes)                   // The answer is complete.
package attributor

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/ranker"
)

const (
	// crashThreshold is the number of crashed targets at which requests with a cause are refused.
	crashThreshold = 3
	// certainThreshold is the number of crashes from which on requests with a cause are refused even if another cause
	// explains the crashes as well.
	certainThreshold = 5
	// minCrashSpacing is the time within which several crashes count once.
	minCrashSpacing = 100 * time.Millisecond
	// baseHold is how long after the last crash requests are refused until one is let through. It doubles with each crash
	// beyond crashThreshold up to maxHold.
	baseHold = 20 * time.Second
	maxHold  = 10 * time.Minute
	// trialStagger is the time between the trials of two daemons, so that the later one knows the result of the first.
	trialStagger = 3 * time.Second
)

// Cause identifies what may crash targets.
type Cause uint64

// RequestCause returns the cause that all copies of a request have in common.
func RequestCause(account, method, uri string, body []byte) Cause {
	return Cause(xxh3.HashSeed(body, xxh3.HashString(account+" "+method+" "+uri)))
}

// PartCause returns the cause that all requests with a part in their prompts have in common. The same part is another
// cause for another model.
func PartCause(model, part string) Cause { return Cause(xxh3.HashString("part " + model + " " + part)) }

// NamedIncarnation returns the number that identifies an incarnation of a target by their names.
func NamedIncarnation(target, incarnation string) uint64 {
	return xxh3.HashStringSeed(incarnation, xxh3.HashString(target))
}

// Settings are the parameters of an Attributor. KnowsIncarnation and Refuses are optional.
type Settings struct {
	// Name is the name of this daemon.
	Name string
	// KnowsIncarnation reports whether an incarnation is still listed. Without it, incarnations end by ReportEnded only.
	KnowsIncarnation func(incarnation uint64) bool
	// Refuses reports whether nothing listens at an address: whether its host refuses connections.
	Refuses func(ctx context.Context, address netip.AddrPort) bool
	Now     func() time.Time
}

// Verdict tells whether a request is to be refused.
type Verdict struct {
	Refused bool
	// Cause is the one for which the request is refused.
	Cause Cause
	// RetryAfter is the time until a request with the cause may be let through.
	RetryAfter time.Duration
}

// Attributor counts crashes by their causes. Its methods are safe for concurrent use.
type Attributor struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	checks   conc.WaitGroup

	mu           sync.Mutex
	records      recordTable
	incarnations incarnationTable
	outbox       outbox
	// peers are the names of the other daemons.
	peers []string
}

// New returns an Attributor without strikes.
func New(settings Settings) *Attributor {
	if settings.KnowsIncarnation == nil {
		settings.KnowsIncarnation = func(uint64) bool { return true }
	}
	a := &Attributor{settings: settings, records: make(recordTable), incarnations: newIncarnationTable(settings.KnowsIncarnation)}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

// Close ends the checks of incarnations and waits for them.
func (a *Attributor) Close() error {
	a.mu.Lock()
	a.cancel() // RecordBroken begins no check from now on.
	a.mu.Unlock()
	a.checks.Wait()
	return nil
}

// RecordBroken records that an incarnation of a target, which listened at the address, closed its connection while it
// ran a request with these causes.
func (a *Attributor) RecordBroken(causes []Cause, incarnation uint64, address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	for _, cause := range causes {
		if a.records.add(cause, strike{incarnation: incarnation, at: now}, now) {
			a.outbox.addStrike(strikeKey{cause, incarnation})
		}
	}
	if a.settings.Refuses != nil && a.ctx.Err() == nil && a.incarnations.beginCheck(incarnation, now) {
		a.checks.Go(func() { a.check(incarnation, address) })
	}
}

// SetPeers sets the names of the other daemons.
func (a *Attributor) SetPeers(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers = slices.Clone(names)
}

// ReportEnded records that an incarnation has ended.
func (a *Attributor) ReportEnded(incarnation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(incarnation)
}

// end records that an incarnation has ended, and lets a strike tell the peers.
func (a *Attributor) end(incarnation uint64) {
	a.incarnations.end(incarnation, a.settings.Now())
	for cause, r := range a.records {
		if r.has(incarnation) {
			a.outbox.addStrike(strikeKey{cause, incarnation})
			return
		}
	}
}

// check finds out whether the incarnation has ended.
func (a *Attributor) check(incarnation uint64, address netip.AddrPort) {
	if !a.settings.Refuses(a.ctx, address) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end(incarnation)
}

// RecordCompletion records that the answer to a request with these causes is complete.
func (a *Attributor) RecordCompletion(causes []Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	for _, cause := range causes {
		if a.records.complete(cause, now, now) {
			a.outbox.addCompletion(cause)
		}
	}
}

// Verdict tells whether a request with these causes is to be refused. If it lets a request through as a trial, it refuses
// the next ones.
func (a *Attributor) Verdict(causes []Cause) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	var trials []*record
	for _, cause := range causes {
		crashes := a.crashes(cause)
		if countCrashes(crashes) < crashThreshold || a.explained(crashes, causes) {
			continue
		}
		hold := holdAfter(crashes)
		due := crashes[len(crashes)-1].at.Add(hold)
		r := a.records[cause]
		if now.Before(due.Add(time.Duration(ranker.Position(a.settings.Name, a.peers, uint64(cause)))*trialStagger)) || now.Sub(r.trialAt) < hold {
			return Verdict{Refused: true, Cause: cause, RetryAfter: max(due.Sub(now), trialStagger)}
		}
		trials = append(trials, r)
	}
	for _, r := range trials {
		r.trialAt = now
	}
	return Verdict{}
}

// crashes returns the strikes of a cause whose incarnations have ended, the oldest first.
func (a *Attributor) crashes(cause Cause) (crashes []strike) {
	r := a.records[cause]
	if r == nil || len(r.strikes) < crashThreshold {
		return nil
	}
	for _, s := range r.strikes {
		if a.incarnations.hasEnded(s.incarnation) {
			crashes = append(crashes, s)
		}
	}
	return crashes
}

// explained reports whether the crashes are fewer than certainThreshold, and too few of them remain without those of
// stronger causes that are not in the request.
func (a *Attributor) explained(crashes []strike, causes []Cause) bool {
	strength, remaining := countCrashes(crashes), crashes
	if strength >= certainThreshold {
		return false
	}
	for other := range a.records {
		if theirs := a.crashes(other); countCrashes(theirs) >= strength && !slices.Contains(causes, other) {
			remaining = without(remaining, theirs)
		}
	}
	return countCrashes(remaining) < crashThreshold
}

// holdAfter returns how long after the last of the crashes no request is let through.
func holdAfter(crashes []strike) time.Duration {
	hold := baseHold
	for range len(crashes) - crashThreshold {
		hold = min(2*hold, maxHold)
	}
	return hold
}
