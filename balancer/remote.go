package balancer

import (
	"math"
	"time"
)

const (
	// defaultRoundTrip is assumed until a connection was opened.
	defaultRoundTrip = 2 * time.Millisecond
	// roundTripGain is the weight of a longer time in the mean. Connections take longer than the round trip when hosts are busy, so
	// that a shorter time counts at once.
	roundTripGain = 0.125
	// knownTime is how long after its last answer the load of a data centre counts as known.
	knownTime = 2 * time.Second
	// boundInterval is the time within which the daemons learn of each other's requests, and freeShare the part of the free slots
	// that all of them together may take in it.
	boundInterval = 250 * time.Millisecond
	freeShare     = 0.5
	// trickle is the number of requests per second to a data centre of unknown load. It halves with each request in a row after which
	// nothing was heard, at most maxHalvings times.
	trickle     = 1.0
	maxHalvings = 5
	// quietTime is how long nothing is sent to a data centre before sending counts as ended.
	quietTime = 2 * time.Second
)

// remote is what is known of another data centre, and what is sent there.
type remote struct {
	name       string
	roundTrip  time.Duration
	measured   bool
	answeredAt time.Time
	failedAt   time.Time
	// unanswered counts the requests since the last answer that were sent while the load was unknown.
	unanswered int

	// tokens is the number of requests that may be sent as of refilledAt, at most burst.
	tokens     float64
	refilledAt time.Time

	// sending is set from the first request until none was sent for quietTime; the fields after it concern that time.
	sending      bool
	startedAt    time.Time
	sentAt       time.Time
	sentRequests int
	sentBytes    int
	// held counts the requests that the bound kept at home.
	held int
}

func (r *remote) recordRoundTrip(took time.Duration) {
	switch {
	case took <= 0:
	case !r.measured || took < r.roundTrip:
		r.roundTrip, r.measured = took, true
	default:
		r.roundTrip += time.Duration(roundTripGain * float64(took-r.roundTrip))
	}
}

// known reports whether the load of the data centre is known: whether a target there answered lately, and after the last failure.
func (r *remote) known(now time.Time) bool {
	return now.Sub(r.answeredAt) <= knownTime && r.answeredAt.After(r.failedAt)
}

func (r *remote) recordAnswer(now time.Time) { r.answeredAt, r.unanswered = now, 0 }

// refill adds the requests that may have been sent since the last call. Requests that were not sent do not add up to more than
// those of one interval.
func (r *remote) refill(option Option, daemons int, now time.Time) {
	rate, burst := math.Ldexp(trickle, -min(r.unanswered, maxHalvings)), 1.
	if r.known(now) {
		perInterval := freeShare * float64(max(option.FreeSlots, 0)) / float64(max(daemons, 1))
		rate, burst = perInterval/boundInterval.Seconds(), max(perInterval, 1)
	}
	if r.refilledAt.IsZero() {
		r.tokens = 1
	}
	r.tokens = math.Min(r.tokens+rate*now.Sub(r.refilledAt).Seconds(), burst)
	r.refilledAt = now
}

// age returns the time since a moment; zero if there was none.
func age(since, now time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}
