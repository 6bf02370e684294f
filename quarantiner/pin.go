package quarantiner

import (
	"context"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// pinExpiry is how long a pin is kept for copies whose end was not reported.
	pinExpiry = 2 * time.Minute
	// pinOwners is the number of owners that a daemon asks for a pin before it runs the call without
	// one.
	pinOwners = 2
	// unpinRetryInterval is the pause between two attempts to report the end of a copy.
	unpinRetryInterval = 500 * time.Millisecond
)

// pin is the target where all copies of a call run until one of them has completed. It is stored by
// the owner of the call's fingerprint, which is a daemon chosen by rendezvous hashing.
type pin struct {
	targetIncarnation TargetIncarnation
	// copiesByDaemon counts the running copies of each daemon.
	copiesByDaemon map[string]int
	// targetCrashed reports whether the target is known to have crashed.
	targetCrashed bool
	// since is when the pin was created.
	since time.Time
}

// requestPin asks the owner of the call's fingerprint, or the next owner if that one cannot be
// reached, to count the run, and returns the target of the pin. It returns an empty name if none of
// them can be reached.
func (q *Quarantiner) requestPin(ctx context.Context, r *run) (target string) {
	owners := r.fingerprint.owners(q.members())
	for _, owner := range owners[:min(pinOwners, len(owners))] {
		r.owner = owner
		if owner == q.settings.Daemon {
			return q.acquirePin(owner, r.fingerprint, r.targetIncarnation)
		}
		response, err := q.requestPinFrom(ctx, owner, r)
		if err == nil {
			q.merge(response.Strikes)
			return response.PinnedTarget
		}
	}
	r.usesPin = false
	return ""
}

func (q *Quarantiner) requestPinFrom(ctx context.Context, owner string, r *run) (response message, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.settings.PinTimeout)
	defer cancel()
	return q.ask(ctx, owner, message{Kind: kindPin, Fingerprint: r.fingerprint, TargetIncarnation: r.targetIncarnation})
}

// acquirePin returns the target where a copy must run, and counts the copy if that is the target of
// the given incarnation. A copy may run there without being counted if the call has completed before,
// or if it needs a new pin and the table is full. If the target of the pin crashed and a daemon with
// copies there is no longer a member, the call gets a strike.
func (q *Quarantiner) acquirePin(daemon string, fingerprint Fingerprint, targetIncarnation TargetIncarnation) (target string) {
	members := q.members()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hasCompleted(fingerprint) {
		return targetIncarnation.Target
	}
	p := q.pins[fingerprint]
	if p != nil && p.dropDepartedDaemons(members) && p.targetCrashed {
		q.strikes.add(fingerprint, p.targetIncarnation, levelCrashed)
	}
	if p == nil || len(p.copiesByDaemon) == 0 || time.Since(p.since) > pinExpiry {
		if len(q.pins) >= q.settings.MaxEntries {
			return targetIncarnation.Target
		}
		p = &pin{targetIncarnation: targetIncarnation, copiesByDaemon: make(map[string]int), since: time.Now()}
		q.pins[fingerprint] = p
	}
	if p.targetIncarnation.Target == targetIncarnation.Target {
		p.copiesByDaemon[daemon]++
	}
	return p.targetIncarnation.Target
}

// dropDepartedDaemons drops the copies of daemons that are no longer members, and reports whether
// there were any.
func (p *pin) dropDepartedDaemons(members []string) (dropped bool) {
	for daemon := range p.copiesByDaemon {
		if !slices.Contains(members, daemon) {
			delete(p.copiesByDaemon, daemon)
			dropped = true
		}
	}
	return dropped
}

// unpin reports the end of a copy to the owner, and retries until the owner responds or the pin
// has expired.
func (q *Quarantiner) unpin(r *run, outcome Outcome) {
	if !r.usesPin {
		return
	}
	owner := r.owner
	if owner == q.settings.Daemon {
		q.releasePin(owner, r.fingerprint, outcome)
		return
	}
	q.workers.Go(func() {
		ctx, cancel := context.WithTimeout(q.background, pinExpiry)
		defer cancel()
		for {
			_, err := q.ask(ctx, owner, message{Kind: kindUnpin, Fingerprint: r.fingerprint, Outcome: outcome})
			if err == nil || !waiter.Sleep(ctx, unpinRetryInterval) {
				return
			}
		}
	})
}

// releasePin removes a copy from the pin, and deletes the pin after its last copy.
func (q *Quarantiner) releasePin(daemon string, fingerprint Fingerprint, outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if outcome == Completed {
		q.recordCompletion(fingerprint)
	}
	p := q.pins[fingerprint]
	if p == nil {
		return
	}
	p.copiesByDaemon[daemon]--
	if p.copiesByDaemon[daemon] <= 0 {
		delete(p.copiesByDaemon, daemon)
	}
	if len(p.copiesByDaemon) == 0 {
		delete(q.pins, fingerprint)
	}
}

// markPinsCrashed marks the pins at an incarnation of a target that crashed. A daemon that died
// together with the target cannot report the calls that it ran there; acquirePin adds their strikes
// once that daemon is no longer a member. The caller holds the lock.
func (q *Quarantiner) markPinsCrashed(targetIncarnation TargetIncarnation) {
	for _, p := range q.pins {
		if p.targetIncarnation == targetIncarnation {
			p.targetCrashed = true
		}
	}
}
