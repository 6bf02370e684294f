package attributor

import "time"

const (
	// exportsPerItem is how many times a strike or a completion is sent to the peers, since datagrams may be lost.
	exportsPerItem = 3
	// Each daemon repeats what it knows of suspect causes after repeatPerDaemon for each daemon, and not before
	// minRepeat, so that daemons that have started learn it soon.
	repeatPerDaemon = 100 * time.Millisecond
	minRepeat       = time.Second
)

// Strike records that a target closed the connection while it ran a request with a cause.
type Strike struct {
	Cause Cause
	// Incarnation identifies the target process; a restarted target has a new one.
	Incarnation uint64
	// Age is the time since the connection broke.
	Age time.Duration
	// Ended is set if the sender knows that the incarnation has ended.
	Ended bool
}

// Completion records that an answer to a request with a cause was completed.
type Completion struct {
	Cause Cause
	// Age is the time since then.
	Age time.Duration
}

// strikeKey identifies a strike.
type strikeKey struct {
	cause       Cause
	incarnation uint64
}

// queue contains what is to be sent to the peers, and how often. What was never sent goes first.
type queue[T comparable] struct {
	unsent, sent []T
	remaining    map[T]int
}

// add lets an item be sent a number of times from now on.
func (q *queue[T]) add(item T, times int) {
	if q.remaining == nil {
		q.remaining = make(map[T]int)
	}
	if _, queued := q.remaining[item]; !queued {
		q.unsent = append(q.unsent, item)
	}
	q.remaining[item] = max(q.remaining[item], times)
}

// next returns up to limit items for one message. Those that are to be sent again move to the end.
func (q *queue[T]) next(limit int) (items []T) {
	for _, from := range []*[]T{&q.unsent, &q.sent} {
		taken := min(len(*from), limit-len(items))
		items = append(items, (*from)[:taken]...)
		*from = (*from)[taken:]
	}
	for _, item := range items {
		if q.remaining[item]--; q.remaining[item] > 0 {
			q.sent = append(q.sent, item)
		} else {
			delete(q.remaining, item)
		}
	}
	return items
}

// outbox contains what is to be sent to the peers.
type outbox struct {
	strikes     queue[strikeKey]
	completions queue[Cause]
	repeatedAt  time.Time
}

func (o *outbox) addStrike(key strikeKey)   { o.strikes.add(key, exportsPerItem) }
func (o *outbox) addCompletion(cause Cause) { o.completions.add(cause, exportsPerItem) }

// Export returns the strikes and completions for the next message to the peers, up to limit of each. Further ones follow in
// the next message.
func (a *Attributor) Export(limit int) (strikes []Strike, completions []Completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	a.repeatSuspects(now)
	for _, key := range a.outbox.strikes.next(limit) {
		r := a.records[key.cause]
		if r == nil {
			continue
		}
		for _, s := range r.strikes {
			if s.incarnation == key.incarnation {
				strikes = append(strikes, Strike{Cause: key.cause, Incarnation: s.incarnation, Age: now.Sub(s.at), Ended: a.incarnations.hasEnded(s.incarnation)})
			}
		}
	}
	for _, cause := range a.outbox.completions.next(limit) {
		if r := a.records[cause]; r != nil {
			completions = append(completions, Completion{Cause: cause, Age: now.Sub(r.completedAt)})
		}
	}
	return strikes, completions
}

// repeatSuspects queues the strikes of suspect causes, if it is time to repeat them.
func (a *Attributor) repeatSuspects(now time.Time) {
	if now.Sub(a.outbox.repeatedAt) < max(minRepeat, time.Duration(len(a.peers)+1)*repeatPerDaemon) {
		return
	}
	a.outbox.repeatedAt = now
	for cause := range a.records {
		crashes := a.crashes(cause)
		if countCrashes(crashes) < crashThreshold {
			continue
		}
		for _, s := range crashes {
			a.outbox.strikes.add(strikeKey{cause, s.incarnation}, 1)
		}
	}
}

// Import records strikes and completions that were received from a peer. They are not exported again.
func (a *Attributor) Import(strikes []Strike, completions []Completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	for _, s := range strikes {
		if s.Ended {
			a.incarnations.end(s.Incarnation, now)
		}
		at := now.Add(-s.Age)
		if a.records.completedSince(s.Cause, at) {
			a.outbox.addCompletion(s.Cause) // The peer does not know of the completion.
			continue
		}
		a.records.add(s.Cause, strike{incarnation: s.Incarnation, at: at}, now)
	}
	for _, c := range completions {
		a.records.complete(c.Cause, now.Add(-c.Age), now)
	}
}
