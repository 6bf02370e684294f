package engineemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Faults are the faults to inject into an engine. The zero value injects none.
type Faults struct {
	// Freeze stops the scheduler and all responses while connections stay open.
	Freeze bool
	// Stall stops only the scheduler; load reports are still answered.
	Stall bool
	// SlowFactor multiplies the duration of every scheduler step. Zero means 1.
	SlowFactor float64
	// CrashText crashes the engine when a prompt contains it. Empty disables this.
	CrashText string
	// CutStreamsAfterTokens aborts each stream connection after this many tokens. Zero
	// disables it.
	CutStreamsAfterTokens int
	// SwapAnswers is the number of following answers that carry the request ID and the text
	// of another request.
	SwapAnswers int
	// DuplicateStreamEventOneIn, MissingStreamEventOneIn and ReorderStreamEventOneIn duplicate, drop
	// or reorder a stream event with a probability of 1/n. Zero disables the fault.
	DuplicateStreamEventOneIn int
	MissingStreamEventOneIn   int
	ReorderStreamEventOneIn   int
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(faults)
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// setFaults replaces the faults. The caller holds mu.
func (e *Engine) setFaults(faults Faults) {
	e.faults = faults
	paused := faults.Freeze || faults.Stall
	if paused && e.pauseEnded == nil {
		e.pauseEnded = make(chan struct{})
	}
	if !paused && e.pauseEnded != nil {
		close(e.pauseEnded)
		e.pauseEnded = nil
	}
}

// SetLeaving sets or clears the leaving state, in which the engine refuses new runs and
// reports in its load that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	if e.incarnation != nil {
		e.recordLoad(e.incarnation)
	}
}

// waitWhilePaused waits while Faults.Freeze or Faults.Stall is set. It reports false if the
// incarnation has ended.
func (e *Engine) waitWhilePaused(done <-chan struct{}) bool {
	for {
		e.mu.Lock()
		pauseEnded := e.pauseEnded
		e.mu.Unlock()
		if pauseEnded == nil {
			break
		}
		if !waitFor(pauseEnded, done) {
			return false
		}
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// waitWhileFrozen blocks a handler while Faults.Freeze is set. It aborts the connection when
// the client disconnects or the engine crashes.
func (e *Engine) waitWhileFrozen(r *http.Request, inc *incarnation) {
	for {
		e.mu.Lock()
		pauseEnded, frozen := e.pauseEnded, e.faults.Freeze
		e.mu.Unlock()
		if !frozen {
			break
		}
		select {
		case <-pauseEnded:
		case <-inc.done:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	select {
	case <-inc.done:
		panic(http.ErrAbortHandler)
	default:
	}
}

// beginCall starts the handling of a request: it waits while the engine is frozen and returns
// the running incarnation. It aborts the connection while the engine is down.
func (e *Engine) beginCall(r *http.Request) *incarnation {
	inc := e.currentIncarnation()
	if inc == nil {
		panic(http.ErrAbortHandler)
	}
	e.waitWhileFrozen(r, inc)
	return inc
}

// eventFault is the fault injected into one event of a stream.
type eventFault int

const (
	faultNone eventFault = iota
	faultMissing
	faultDuplicate
	faultReordered
)

// drawEventFault selects the fault of the next stream event at random.
func (e *Engine) drawEventFault() eventFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.oneIn(e.faults.MissingStreamEventOneIn):
		e.counters.FaultyEvents++
		return faultMissing
	case e.oneIn(e.faults.DuplicateStreamEventOneIn):
		e.counters.FaultyEvents++
		return faultDuplicate
	case e.oneIn(e.faults.ReorderStreamEventOneIn):
		e.counters.FaultyEvents++
		return faultReordered
	}
	return faultNone
}

// oneIn returns true with a probability of 1/n, and false if n is zero. The caller holds mu.
func (e *Engine) oneIn(n int) bool {
	return n > 0 && e.random.IntN(n) == 0
}

// wireFaults is the body of POST /admin/faults. An absent field leaves its value unchanged.
type wireFaults struct {
	Crash                 bool     `json:"crash"`
	Freeze                *bool    `json:"freeze"`
	Stall                 *bool    `json:"stall"`
	Leaving               *bool    `json:"leaving"`
	SlowFactor            *float64 `json:"slow_factor"`
	EventGapOneIn         *int     `json:"event_gap_one_in"`
	EventDelayMS          *int64   `json:"event_delay_ms"`
	LoadLagMS             *int64   `json:"load_lag_ms"`
	CrashText             *string  `json:"crash_text"`
	CutStreamsAfterTokens *int     `json:"cut_streams_after_tokens"`
	CrossAnswers          *int     `json:"cross_answers"`
	DuplicateEventOneIn   *int     `json:"duplicate_event_one_in"`
	MissingEventOneIn     *int     `json:"missing_event_one_in"`
	ReorderEventOneIn     *int     `json:"reorder_event_one_in"`
}

// handleAdminFaults handles POST /admin/faults, also while the engine is frozen.
func (e *Engine) handleAdminFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var wire wireFaults
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, "malformed", err.Error()})
		return
	}
	e.applyFaults(&wire)
	writeJSON(w, http.StatusOK, struct{}{})
	if wire.Crash {
		flush(w)
		e.Crash()
	}
}

func (e *Engine) applyFaults(wire *wireFaults) {
	if wire.Leaving != nil {
		e.SetLeaving(*wire.Leaving)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	assign(&faults.Freeze, wire.Freeze)
	assign(&faults.Stall, wire.Stall)
	assign(&faults.SlowFactor, wire.SlowFactor)
	assign(&faults.CrashText, wire.CrashText)
	assign(&faults.CutStreamsAfterTokens, wire.CutStreamsAfterTokens)
	assign(&faults.SwapAnswers, wire.CrossAnswers)
	assign(&faults.DuplicateStreamEventOneIn, wire.DuplicateEventOneIn)
	assign(&faults.MissingStreamEventOneIn, wire.MissingEventOneIn)
	assign(&faults.ReorderStreamEventOneIn, wire.ReorderEventOneIn)
	assign(&e.settings.CacheEventGapOneIn, wire.EventGapOneIn)
	assignTime(&e.settings.CacheEventDelay, wire.EventDelayMS)
	assignTime(&e.settings.LoadLag, wire.LoadLagMS)
	e.setFaults(faults)
}

func assign[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func assignTime(field *time.Duration, milliseconds *int64) {
	if milliseconds != nil {
		*field = time.Duration(*milliseconds) * time.Millisecond
	}
}
