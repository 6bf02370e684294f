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
	// pinOwners is the number of owners that are tried.
	pinOwners = 2
	// unpinRetryInterval is the pause between two attempts to report the end of a copy.
	unpinRetryInterval = 500 * time.Millisecond
)

// pin is the target where all copies of a call run until one of them has completed. The owner of
// the call's fingerprint stores it.
type pin struct {
	instance TargetInstance
	// holders counts the running copies by daemon.
	holders map[string]int
	// crashed says that the target is known to have crashed.
	crashed bool
	// since is when the pin was created.
	since time.Time
}

// requestPin asks the owner of the call's fingerprint, or the next owner if that one cannot be
// reached, to count the run, and returns the target of the pin. It returns an empty name if no
// owner can be reached.
func (q *Quarantiner) requestPin(ctx context.Context, r *run) (target string) {
	owners := r.fingerprint.owners(q.members())
	for _, owner := range owners[:min(pinOwners, len(owners))] {
		r.owner = owner
		if owner == q.settings.Daemon {
			return q.acquirePin(owner, r.fingerprint, r.instance)
		}
		response, err := q.requestPinFrom(ctx, owner, r)
		if err == nil {
			q.merge(response.Strikes)
			return response.Pinned
		}
	}
	r.counted = false
	return ""
}

func (q *Quarantiner) requestPinFrom(ctx context.Context, owner string, r *run) (response message, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.settings.PinTimeout)
	defer cancel()
	return q.ask(ctx, owner, message{Kind: kindPin, Fingerprint: r.fingerprint, Instance: r.instance})
}

// acquirePin returns the target where the copy has to run, and counts the copy if that is its own
// target. A copy of a call that has completed, and any copy while the table is full, runs at its
// own target and is not counted. If the target of the pin crashed and a daemon with copies there is
// no longer a member, the call gets a strike.
func (q *Quarantiner) acquirePin(daemon string, fingerprint Fingerprint, instance TargetInstance) (target string) {
	members := q.members()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hasCompleted(fingerprint) {
		return instance.Target
	}
	p := q.pins[fingerprint]
	if p != nil && p.dropDepartedHolders(members) && p.crashed {
		q.strikes.add(fingerprint, p.instance, levelCrashed)
	}
	if p == nil || len(p.holders) == 0 || time.Since(p.since) > pinExpiry {
		if len(q.pins) >= q.settings.MaxEntries {
			return instance.Target
		}
		p = &pin{instance: instance, holders: make(map[string]int), since: time.Now()}
		q.pins[fingerprint] = p
	}
	if p.instance.Target == instance.Target {
		p.holders[daemon]++
	}
	return p.instance.Target
}

// dropDepartedHolders drops the copies of daemons that are no longer members, and reports whether
// there were any.
func (p *pin) dropDepartedHolders(members []string) (dropped bool) {
	for daemon := range p.holders {
		if !slices.Contains(members, daemon) {
			delete(p.holders, daemon)
			dropped = true
		}
	}
	return dropped
}

// unpin reports the end of a copy to the owner, and retries until the owner responds or the pin
// has expired.
func (q *Quarantiner) unpin(r *run, outcome Outcome) {
	if !r.counted {
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
	p.holders[daemon]--
	if p.holders[daemon] <= 0 {
		delete(p.holders, daemon)
	}
	if len(p.holders) == 0 {
		delete(q.pins, fingerprint)
	}
}

// markPinsCrashed marks the pins at an incarnation of a target that crashed. A daemon that died
// together with the target cannot report what it ran there; acquirePin adds the strikes of its
// calls when it is no longer a member. The caller holds the lock.
func (q *Quarantiner) markPinsCrashed(instance TargetInstance) {
	for _, p := range q.pins {
		if p.instance == instance {
			p.crashed = true
		}
	}
}
