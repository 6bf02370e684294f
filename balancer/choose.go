package balancer

import (
	"time"
)

const (
	// lateLoss is the part of an answer's worth that is lost if it is late.
	lateLoss = 0.7
	// slowLoss is the part that is lost at an expected time equal to the objective, though the answer is on time. It also stands for
	// the target's time that others then lack.
	slowLoss = 0.3
	// maxSlowness bounds the expected time as a multiple of the objective that counts.
	maxSlowness = 4
	// refusedLoss is what is lost if no target can be chosen.
	refusedLoss = lateLoss + slowLoss
	// defaultObjective is assumed for requests without one.
	defaultObjective = time.Second
	// startFactor and startGain are the hysteresis: until this daemon sends to a data centre, the gain has to exceed the cost by as
	// much.
	startFactor = 1.5
	startGain   = 0.02
)

// ratio returns an expected time as a multiple of the objective.
func ratio(expected, objective time.Duration) float64 {
	if objective <= 0 {
		objective = defaultObjective
	}
	return float64(expected) / float64(objective)
}

// loss returns the part of an answer's worth that an expected time costs. Since the actual time differs from the expected one, the
// probability of being late rises from 0 at half of the objective to 1 at one and a half.
func loss(expected, objective time.Duration) float64 {
	slowness := ratio(expected, objective)
	late := min(max(slowness-0.5, 0), 1)
	if objective <= 0 {
		late = 0
	}
	return lateLoss*late + slowLoss*min(slowness, maxSlowness)
}

// crossing is a request that leaves its data centre.
type crossing struct {
	index  int
	remote *remote
	reason Reason
	// homeLoss is what is lost at home, and gain how much less is lost there.
	homeLoss, gain, cost float64
}

// Choose returns the index of the option to which the request goes. chosen is false if none may be used: there is none at home, and
// the others may get no further request now.
func (b *Balancer) Choose(request Request, options []Option) (index int, chosen bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.settings.Now()
	b.endQuiet(now)
	home := b.indexOfHome(options)
	if home < 0 && !request.ServedAtHome {
		return b.chooseNotServed(request, options, now)
	}
	best := b.bestCrossing(request, options, home, now)
	if best.remote == nil {
		return max(home, 0), home >= 0
	}
	b.send(request, options, home, best, now)
	return best.index, true
}

func (b *Balancer) indexOfHome(options []Option) int {
	for i := range options {
		if options[i].DataCentre == b.settings.DataCentre {
			return i
		}
	}
	return -1
}

// bestCrossing returns the data centre with the largest gain beyond its cost that may get a further request. Its remote is nil if
// the request stays at home.
func (b *Balancer) bestCrossing(request Request, options []Option, home int, now time.Time) (best crossing) {
	homeLoss, reason := refusedLoss, ReasonUnavailable
	if home >= 0 {
		homeLoss, reason = loss(options[home].Expected, request.Objective), ReasonFaster
		if request.Objective > 0 && options[home].Expected > request.Objective {
			reason = ReasonLate
		}
	}
	cost := b.cost(request.Bytes)
	if homeLoss <= cost {
		return best // Nothing can gain more than what is lost at home.
	}
	for i := range options {
		if i == home {
			continue
		}
		r := b.remoteOf(options[i].DataCentre)
		gain := homeLoss - loss(options[i].Expected+r.roundTrip, request.Objective)
		if gain <= r.leastGain(cost) || best.remote != nil && gain <= best.gain {
			continue
		}
		r.refill(options[i], request.Daemons, now)
		if r.tokens < 1 {
			r.held++
			continue
		}
		best = crossing{index: i, remote: r, reason: reason, homeLoss: homeLoss, gain: gain, cost: cost}
	}
	return best
}

// leastGain returns the gain beyond which requests with a cost are sent.
func (r *remote) leastGain(cost float64) float64 {
	if r.sending {
		return cost
	}
	return startFactor*cost + startGain
}

// chooseNotServed chooses between the other data centres for a request that none of the own serves. There is nothing to keep it
// at, so that it is not bounded. Data centres of unknown load are used if there are no others.
func (b *Balancer) chooseNotServed(request Request, options []Option, now time.Time) (index int, chosen bool) {
	best := crossing{index: -1, reason: ReasonNotServed, homeLoss: refusedLoss, cost: b.cost(request.Bytes)}
	bestKnown := false
	for i := range options {
		r := b.remoteOf(options[i].DataCentre)
		known, gain := r.known(now), -loss(options[i].Expected+r.roundTrip, request.Objective)
		if best.index < 0 || known && !bestKnown || known == bestKnown && gain > best.gain {
			best.index, best.remote, best.gain, bestKnown = i, r, gain, known
		}
	}
	if best.remote == nil {
		return 0, false
	}
	b.count(request, best, now)
	return best.index, true
}

// send takes a request that leaves its data centre from the bound, and notes it.
func (b *Balancer) send(request Request, options []Option, home int, best crossing, now time.Time) {
	r, there := best.remote, options[best.index]
	r.tokens--
	if !r.known(now) {
		r.unanswered++
	} else if !r.sending {
		r.sending, r.startedAt, r.sentRequests, r.sentBytes, r.held = true, now, 0, 0, 0
		expected := time.Duration(-1)
		if home >= 0 {
			expected = options[home].Expected
		}
		b.settings.Logger.Info("sending to another data centre",
			"data_centre", r.name, "reason", best.reason, "expected_home_ms", expected.Milliseconds(), "expected_there_ms", there.Expected.Milliseconds(),
			"objective_ms", request.Objective.Milliseconds(), "round_trip_us", r.roundTrip.Microseconds(), "gain", best.gain, "cost", best.cost,
			"free_slots", there.FreeSlots, "daemons", request.Daemons, "answer_age_ms", age(r.answeredAt, now).Milliseconds())
	}
	b.count(request, best, now)
}

func (b *Balancer) count(request Request, best crossing, now time.Time) {
	r := best.remote
	r.sentAt = now
	r.sentRequests++
	r.sentBytes += request.Bytes
	b.settings.Observe(r.name, best.reason, request.Bytes)
}

// endQuiet ends the sending to data centres to which nothing was sent for quietTime.
func (b *Balancer) endQuiet(now time.Time) {
	for _, r := range b.remote {
		if !r.sending || now.Sub(r.sentAt) <= quietTime {
			continue
		}
		r.sending = false
		b.settings.Logger.Info("no longer sending to another data centre",
			"data_centre", r.name, "requests", r.sentRequests, "bytes", r.sentBytes, "kept_by_bound", r.held,
			"lasted_ms", r.sentAt.Sub(r.startedAt).Milliseconds(), "round_trip_us", r.roundTrip.Microseconds(),
			"answer_age_ms", age(r.answeredAt, now).Milliseconds(), "failure_age_ms", age(r.failedAt, now).Milliseconds())
	}
}
