package comparer

import "time"

const (
	// crashCount is the number of crashes in a run with FaultCrash. Every second one hits two engines at once.
	crashCount = 5
	// restartDelay is the time from the crash of an engine to its restart.
	restartDelay = 3 * time.Second
	// detectionDelay is the time after which all daemons know of a crash or a restart.
	detectionDelay = 500 * time.Millisecond
	// routerRestartCount is the number of times that all routers restart in a run with FaultRouterRestart.
	routerRestartCount = 3
)

// startFaults schedules the faults over the time in which calls are due.
func (r *run) startFaults() {
	last := r.calls[len(r.calls)-1].due.Sub(r.started)
	switch r.settings.Fault {
	case FaultCrash:
		r.repeatEvenly(last, crashCount, r.crash)
	case FaultRouterRestart:
		r.repeatEvenly(last, routerRestartCount, r.restartRouters)
	}
}

// repeatEvenly schedules a number of calls of do at even intervals up to the time last, none of them in the warm-up.
func (r *run) repeatEvenly(last time.Duration, times int, do func(turn int)) {
	for turn := range times {
		at := last * time.Duration(turn+1) / time.Duration(times+1)
		r.clock.after(max(at, last/warmUpOneIn), func() { do(turn) })
	}
}

// crash crashes one engine, or two in every second turn, and schedules the restart. An engine that is already down is
// skipped.
func (r *run) crash(turn int) {
	for range 1 + turn%2 {
		index := r.random.IntN(len(r.engines))
		if r.engines[index].down {
			continue
		}
		r.engines[index].crash()
		r.clock.after(detectionDelay, func() { r.announceEngineState(index) })
		r.clock.after(restartDelay, func() { r.engines[index].start() })
		r.clock.after(restartDelay+detectionDelay, func() { r.announceEngineState(index) })
	}
}

// announceEngineState passes the current state of an engine to every daemon.
func (r *run) announceEngineState(index int) {
	e := r.engines[index]
	for _, daemon := range r.daemons {
		daemon.setEngineState(index, !e.down, e.incarnationName())
	}
}

// restartRouters replaces every router by one without state. A new router has no position in the engines' event
// streams and therefore reads them from the oldest event that they retain.
func (r *run) restartRouters(int) {
	for index := range r.daemons {
		restarted := r.newPolicy(r.name, index)
		r.daemons[index] = restarted
		r.clock.after(fetchDelay, func() { r.fetchReports(restarted) })
	}
}
