package comparer

import (
	"math/rand/v2"
	"time"
)

// maxAttempts bounds the number of attempts of a call.
const maxAttempts = 4

// localOneWayDelay is the one-way network delay between two hosts of a data centre.
const localOneWayDelay = 100 * time.Microsecond

// run simulates one policy on one list of calls.
type run struct {
	settings    Settings
	name        PolicyName
	clock       *clock
	random      *rand.Rand
	engines     []*engine
	daemons     []policy
	calls       []*call
	truth       *groundTruth
	measurement *measurement
	// remainingCalls counts the calls that are neither answered nor refused yet.
	remainingCalls int
	// onCallEnd is called for each call that is answered or refused.
	onCallEnd func()
	started   time.Time
}

func newRun(settings Settings, name PolicyName, calls []*call) *run {
	r := &run{
		settings:       settings,
		name:           name,
		clock:          newClock(),
		random:         rand.New(rand.NewPCG(settings.Seed, 3)),
		calls:          calls,
		truth:          newGroundTruth(),
		measurement:    newMeasurement(len(calls)),
		remainingCalls: len(calls),
		onCallEnd:      func() {},
	}
	r.started = r.clock.now
	for range settings.Deployment.Targets {
		e := &engine{
			clock:            r.clock,
			deployment:       settings.Deployment,
			truth:            r.truth,
			recomputedTokens: &r.measurement.recomputedTokens,
			measuring:        func() bool { return r.measurement.warmedUp },
		}
		e.start()
		r.engines = append(r.engines, e)
	}
	for daemon := range settings.Deployment.Daemons {
		r.daemons = append(r.daemons, r.newPolicy(name, daemon))
	}
	return r
}

// runOpenLoop sends every call when it is due and returns the figures of the run.
func (r *run) runOpenLoop() Result {
	for _, c := range r.calls {
		r.clock.schedule(c.due, func() { r.acceptCall(c) })
	}
	r.startReports()
	r.startFaults()
	for more := true; more && r.remainingCalls > 0; {
		more = r.clock.step()
	}
	return r.measurement.result(r.name, r.clock.now.Sub(r.started))
}

// runClosedLoop keeps a constant number of calls in progress and returns how many end per second after the warm-up.
func (r *run) runClosedLoop(concurrent int) (perSecond float64) {
	next := 0
	send := func() {
		if next < len(r.calls) {
			r.acceptCall(r.calls[next])
			next++
		}
	}
	r.onCallEnd = func() { r.clock.after(0, send) }
	for range concurrent {
		send()
	}
	warmUpCalls := len(r.calls) / warmUpOneIn
	var measuredFrom time.Time
	for r.remainingCalls > concurrent && r.clock.step() {
		if measuredFrom.IsZero() && len(r.calls)-r.remainingCalls >= warmUpCalls {
			measuredFrom = r.clock.now
		}
	}
	ended := len(r.calls) - r.remainingCalls - warmUpCalls
	return float64(ended) / r.clock.now.Sub(measuredFrom).Seconds()
}

// acceptCall starts a call: it reaches its daemon after the one-way delay from the caller.
func (r *run) acceptCall(c *call) {
	if !c.warmUp {
		r.measurement.endWarmUp()
	}
	r.clock.after(r.settings.Deployment.CallerOneWayDelay, func() { r.attemptCall(c, nil) })
}

// attemptCall sends a call to the engine that its daemon chooses, or holds it for a while first. It refuses the call
// when no engine or attempt is left or the deadline has passed.
func (r *run) attemptCall(c *call, tried []int) {
	daemon := r.daemons[c.daemon]
	if len(tried) >= maxAttempts || r.clock.now.After(c.deadline) {
		r.refuseCall(c)
		return
	}
	engine, ok := daemon.choose(c, tried)
	if !ok {
		r.refuseCall(c)
		return
	}
	if hold := daemon.holdTime(); hold > 0 && r.mayHoldCall(c) {
		r.clock.after(hold, func() { r.attemptCall(c, tried) })
		return
	}
	sent := daemon.recordSend(c, engine)
	r.clock.after(r.oneWayDelay(c.daemon, engine), func() { r.deliverCall(c, engine, sent, tried) })
}

// maxHoldFraction is the fraction of the time from a call's due time to its deadline in which it may be held.
const maxHoldFraction = 0.5

func (r *run) mayHoldCall(c *call) bool {
	timeout := c.deadline.Sub(c.due)
	return r.clock.now.Sub(c.due) < time.Duration(maxHoldFraction*float64(timeout))
}

// oneWayDelay returns the one-way network delay between a daemon and an engine.
func (r *run) oneWayDelay(daemon, engine int) time.Duration {
	centres := r.settings.Deployment.DataCentres
	if daemon%centres == engine%centres {
		return localOneWayDelay
	}
	return r.settings.Deployment.DataCentreOneWayDelay
}

// deliverCall passes a call to an engine. If the engine rejects or fails it, the daemon tries another one.
func (r *run) deliverCall(c *call, index int, sent sentCall, tried []int) {
	e := r.engines[index]
	returnDelay := r.oneWayDelay(c.daemon, index)
	retry := func() {
		sent.recordEnd()
		if e.down {
			r.daemons[c.daemon].setEngineState(index, false, e.incarnationName())
		}
		r.attemptCall(c, append(tried, index))
	}
	j := &job{call: c}
	j.onStart = func(cachedTokens int) {
		r.measurement.addPrompt(c, cachedTokens)
		incarnation := e.incarnationName()
		r.clock.after(returnDelay, func() { sent.recordStart(incarnation, cachedTokens) })
	}
	j.onFirstToken = func() {
		r.measurement.addFirstToken(c, r.clock.now.Add(returnDelay+r.settings.Deployment.CallerOneWayDelay))
	}
	j.onEnd = func(failed bool) {
		if failed {
			r.clock.after(returnDelay, retry)
			return
		}
		r.clock.after(returnDelay, sent.recordEnd)
		r.endAnsweredCall(c, j.call)
	}
	if !e.enqueue(j) {
		r.clock.after(returnDelay, retry)
	}
}

func (r *run) endAnsweredCall(asked, answered *call) {
	r.measurement.addAnswer(asked, answered)
	r.endCall()
}

func (r *run) refuseCall(c *call) {
	r.measurement.addRefusal(c)
	r.endCall()
}

func (r *run) endCall() {
	r.remainingCalls--
	r.onCallEnd()
}
