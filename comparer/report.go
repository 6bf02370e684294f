package comparer

import (
	"time"

	"github.com/rosemaryrill/rosemaryrill/router"
)

const (
	loadInterval  = 250 * time.Millisecond
	eventInterval = 250 * time.Millisecond
	// loadLag and eventLag are the delays with which daemons receive load reports and cache events. Of the events, one
	// in eventLossOneIn is lost.
	loadLag        = 500 * time.Millisecond
	eventLag       = 500 * time.Millisecond
	eventLossOneIn = 20
	// The slow values replace those above in a run with FaultLag.
	slowLoadLag        = 3 * time.Second
	slowEventLag       = 4 * time.Second
	slowEventLossOneIn = 3

	// loadReportBytes and eventBytes are the sizes of a load report and of a cache event between daemons: the hash of
	// a block, the target, the kind and the incarnation.
	loadReportBytes = 40
	eventBytes      = 22
)

// eventHistorySize is the number of published events that an engine retains for daemons that start later, and
// fetchDelay the time that such a daemon takes to fetch them and the last load report.
const (
	eventHistorySize = 1024
	fetchDelay       = 10 * time.Millisecond
)

// loadReport is a load with the time at which it was measured.
type loadReport struct {
	load     router.Load
	measured time.Time
}

// reportLags holds the delays and the loss rate of reports in a run.
type reportLags struct {
	load, events time.Duration
	lossOneIn    int
}

func (r *run) lags() reportLags {
	if r.settings.Fault == FaultLag {
		return reportLags{load: slowLoadLag, events: slowEventLag, lossOneIn: slowEventLossOneIn}
	}
	return reportLags{load: loadLag, events: eventLag, lossOneIn: eventLossOneIn}
}

// startReports schedules the load reports and cache events of every engine. Kinds that the policy does not use are left
// out.
func (r *run) startReports() {
	loads, events := r.daemons[0].usesReports()
	for index := range r.engines {
		phase := time.Duration(r.random.Int64N(int64(loadInterval)))
		if loads {
			r.repeat(phase, loadInterval, func() { r.reportLoad(index) })
		}
		if events {
			r.repeat(phase, eventInterval, func() { r.reportEvents(index) })
		}
	}
}

// repeat calls do at a fixed interval, for the first time after the phase.
func (r *run) repeat(phase, interval time.Duration, do func()) {
	var runAndReschedule func()
	runAndReschedule = func() {
		do()
		r.clock.after(interval, runAndReschedule)
	}
	r.clock.after(phase, runAndReschedule)
}

func (r *run) reportLoad(index int) {
	e := r.engines[index]
	if e.down {
		return
	}
	load, measured := e.load(), r.clock.now
	lag := r.lags().load
	r.afterUnlessCrashed(index, lag, func() { e.lastLoad = loadReport{load: load, measured: measured} })
	r.notifyDaemons(lag, func(daemon policy) {
		r.measurement.addControlMessages(1, loadReportBytes)
		daemon.observeLoad(index, load, measured)
	})
}

func (r *run) reportEvents(index int) {
	e := r.engines[index]
	lags := r.lags()
	var delivered []router.Event
	for _, event := range e.unpublished {
		if r.random.IntN(lags.lossOneIn) != 0 {
			delivered = append(delivered, event)
		}
	}
	e.unpublished = nil
	if e.down || len(delivered) == 0 {
		return
	}
	incarnation := e.incarnationName()
	r.afterUnlessCrashed(index, lags.events, func() {
		e.published = append(e.published, delivered...)
		e.published = e.published[max(len(e.published)-eventHistorySize, 0):]
	})
	r.notifyDaemons(lags.events, func(daemon policy) {
		r.measurement.addControlMessages(len(delivered), eventBytes)
		daemon.observeEvents(index, incarnation, delivered)
	})
}

// afterUnlessCrashed calls do after a delay, unless the engine has another incarnation by then.
func (r *run) afterUnlessCrashed(index int, delay time.Duration, do func()) {
	incarnation := r.engines[index].incarnation
	r.clock.after(delay, func() {
		if r.engines[index].incarnation == incarnation {
			do()
		}
	})
}

// fetchReports passes the last load report and the retained events of each engine to a daemon that has just started.
func (r *run) fetchReports(daemon policy) {
	loads, events := daemon.usesReports()
	for index, e := range r.engines {
		if e.down {
			continue
		}
		if loads && !e.lastLoad.measured.IsZero() {
			r.measurement.addControlMessages(1, loadReportBytes)
			daemon.observeLoad(index, e.lastLoad.load, e.lastLoad.measured)
		}
		if events && len(e.published) > 0 {
			r.measurement.addControlMessages(len(e.published), eventBytes)
			daemon.observeEvents(index, e.incarnationName(), e.published)
		}
	}
}

// notifyDaemons calls do for each daemon after a delay, with random jitter so that the daemons are not notified at the
// same time.
func (r *run) notifyDaemons(delay time.Duration, do func(policy)) {
	for index := range r.daemons {
		jitter := time.Duration(r.random.Int64N(int64(loadInterval)))
		r.clock.after(delay+jitter, func() { do(r.daemons[index]) })
	}
}
