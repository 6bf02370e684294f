package engineemulator

import "time"

// cacheEvent records that a block was stored or evicted.
type cacheEvent struct {
	seq   uint64
	kind  eventKind
	block cachedBlock
	at    time.Time
}

// eventLog keeps at least the newest limit cache events, and at most twice as many, in the
// order of their sequence numbers.
type eventLog struct {
	limit   int
	nextSeq uint64
	events  []cacheEvent
}

func newEventLog(limit int) *eventLog {
	return &eventLog{limit: limit, nextSeq: 1}
}

func (l *eventLog) append(kind eventKind, block cachedBlock) {
	l.events = append(l.events, cacheEvent{seq: l.nextSeq, kind: kind, block: block, at: time.Now()})
	l.nextSeq++
	if len(l.events) > 2*l.limit {
		l.events = append([]cacheEvent(nil), l.events[len(l.events)-l.limit:]...)
	}
}

// after returns the events after the sequence number that are at least as old as the delay,
// and the sequence number to pass to the next call.
func (l *eventLog) after(seq uint64, delay time.Duration) (events []cacheEvent, next uint64) {
	next = seq
	cutoff := time.Now().Add(-delay)
	for _, event := range l.events {
		if event.seq <= seq {
			continue
		}
		if event.at.After(cutoff) {
			break
		}
		events = append(events, event)
		next = event.seq
	}
	return events, next
}
