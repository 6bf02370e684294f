package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// grantValidity is how long after requesting a grant a daemon may start the run.
	grantValidity = 2 * time.Second
	// reservationValidity is how long the isolator keeps a grant. It exceeds grantValidity by more
	// than the duration of one round, so that a round sees the run before the reservation expires.
	reservationValidity = grantValidity + 2*time.Second
	// grantWait bounds how long the isolator delays a request for a grant before it refuses it.
	grantWait = time.Second
)

// reservation is a grant whose run may not have started yet.
type reservation struct {
	target string
	until  time.Time
}

// isolator grants isolated runs, at most one at a time for each call and each target. All daemons
// of the data centre use the isolator of the same daemon, the first one in the order of the names.
type isolator struct {
	// roundSlot is a semaphore that limits rounds to one at a time. It guards the fields below up
	// to hasMajority.
	roundSlot chan struct{}
	lastStart time.Time
	running   []location
	// hasMajority reports whether more than half of the members responded in the last round.
	hasMajority bool

	mu           sync.Mutex
	reservations map[Fingerprint]reservation
}

// location names a watched call and a target that is running it.
type location struct {
	fingerprint Fingerprint
	target      string
}

// requestGrant requests a grant from the isolator of the data centre.
func (q *Quarantiner) requestGrant(ctx context.Context, r *run) error {
	first := q.members()[0]
	q.mu.Lock()
	updates := q.strikes.ofCall(r.fingerprint)
	q.mu.Unlock()
	if first == q.settings.Daemon {
		return q.grant(ctx, r.fingerprint, r.targetIncarnation.Target)
	}
	ctx, cancel := context.WithTimeout(ctx, grantWait+q.settings.RoundTimeout)
	defer cancel()
	response, err := q.ask(ctx, first, message{Kind: kindIsolate, Fingerprint: r.fingerprint, TargetIncarnation: r.targetIncarnation, Strikes: updates})
	if err != nil {
		return err
	}
	q.merge(response.Strikes)
	if !response.Granted {
		return errNotGranted
	}
	return nil
}

// grant waits until the call may run in isolation at the target and reserves the run. It returns
// errNotGranted after grantWait or if the call is a suspect.
func (q *Quarantiner) grant(ctx context.Context, fingerprint Fingerprint, target string) error {
	ctx, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	for {
		running, hasMajority := q.runRound(ctx, time.Now())
		if verdict, _ := q.verdict(fingerprint); verdict == Refuse {
			return errNotGranted
		}
		if hasMajority && q.isolator.reserve(fingerprint, target, running) {
			return nil
		}
		if !waiter.Sleep(ctx, pollInterval) {
			return errNotGranted
		}
	}
}

// reserve reserves the run, unless the call or another watched call at the target has a
// reservation or is running.
func (i *isolator) reserve(fingerprint Fingerprint, target string, running []location) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for other, r := range i.reservations {
		if now.After(r.until) {
			delete(i.reservations, other)
			continue
		}
		if other == fingerprint || r.target == target {
			return false
		}
	}
	for _, l := range running {
		if l.fingerprint == fingerprint || l.target == target {
			return false
		}
	}
	i.reservations[fingerprint] = reservation{target: target, until: now.Add(reservationValidity)}
	return true
}

// release removes the reservation of a run that has ended.
func (i *isolator) release(fingerprint Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.reservations, fingerprint)
}

// runRound sends the strikes to all peers and returns the targets at which watched calls run.
// hasMajority is false unless more than half of the members responded, so that a daemon in a
// minority partition grants nothing while the others still count it as a member. The result of a
// round that started after the given time is reused.
func (q *Quarantiner) runRound(ctx context.Context, since time.Time) (running []location, hasMajority bool) {
	i := &q.isolator
	select {
	case i.roundSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	defer func() { <-i.roundSlot }()
	if i.lastStart.After(since) {
		return i.running, i.hasMajority
	}
	i.lastStart = time.Now()
	q.mu.Lock()
	updates := q.strikes.all()
	q.mu.Unlock()
	var mu sync.Mutex
	reached := 1
	q.askAll(ctx, q.settings.RoundTimeout, message{Kind: kindRound, Strikes: updates}, func(response message) {
		q.merge(response.Strikes)
		mu.Lock()
		defer mu.Unlock()
		running = append(running, response.Running...)
		reached++
	})
	i.running = append(running, q.watchedRuns()...)
	i.hasMajority = 2*reached > len(q.members())
	return i.running, i.hasMajority
}

// watchedRuns returns where the watched calls of this daemon run. A run that has ended at this
// daemon may still be running at its target for lingerTime, unless an active strike indicates that
// the target crashed.
func (q *Quarantiner) watchedRuns() (running []location) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for fingerprint := range q.runs.byFingerprint {
		if verdict, _ := q.strikes.verdict(fingerprint); verdict == Run {
			continue
		}
		for r := range q.runs.byFingerprint[fingerprint] {
			if r.lingerElapsed(time.Now()) || !r.endedAt.IsZero() && q.strikes.hasActive(fingerprint, r.targetIncarnation) {
				continue
			}
			running = append(running, location{fingerprint: fingerprint, target: r.targetIncarnation.Target})
		}
	}
	return running
}

// askAll sends the request to all other members concurrently, and passes each response to handle.
// It returns when all have responded or the timeout has passed.
func (q *Quarantiner) askAll(ctx context.Context, timeout time.Duration, request message, handle func(message)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var requests conc.WaitGroup
	others := slices.DeleteFunc(q.members(), func(member string) bool { return member == q.settings.Daemon })
	for _, member := range others {
		requests.Go(func() {
			response, err := q.ask(ctx, member, request)
			if err != nil {
				q.logger.Warn("quarantiner: request to peer failed", "peer", member, "error", err)
				return
			}
			handle(response)
		})
	}
	requests.Wait()
}
