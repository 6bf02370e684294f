package serviceemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Faults are the faults to inject into a service. The zero value injects none.
type Faults struct {
	// Freeze stops all responses while connections stay open.
	Freeze bool
	// Delay is added to Settings.Delay.
	Delay time.Duration
	// LoseAnswers is the number of following orders that run but whose answer is lost.
	LoseAnswers int
	// NotRunAnswers is the number of following orders that are refused before they run.
	NotRunAnswers int
	// Leaving makes the service report that it is leaving and refuse calls.
	Leaving bool
	// EarlyAnswer makes the service answer an order before it has read and run it, without a length, with as many bytes of a body, and
	// reset the connection. Zero disables this.
	EarlyAnswer int
	// Status replaces the three digits of the status of the answer to an order, which runs. Empty disables this.
	Status string
	// CrashText crashes the service when the body of an order contains it. Empty disables
	// this.
	CrashText string
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(faults)
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// setFaults replaces the faults. The caller holds mu.
func (s *Service) setFaults(faults Faults) {
	s.faults = faults
	if faults.Freeze && s.freezeEnded == nil {
		s.freezeEnded = make(chan struct{})
	}
	if !faults.Freeze && s.freezeEnded != nil {
		close(s.freezeEnded)
		s.freezeEnded = nil
	}
}

// waitWhileFrozen blocks a handler while Faults.Freeze is set. It aborts the connection when
// the client disconnects or the service crashes.
func (s *Service) waitWhileFrozen(r *http.Request, inc *incarnation) {
	for {
		s.mu.Lock()
		freezeEnded := s.freezeEnded
		s.mu.Unlock()
		if freezeEnded == nil {
			break
		}
		select {
		case <-freezeEnded:
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

// beginCall starts the handling of a request: it waits while the service is frozen and returns
// the running incarnation. It aborts the connection while the service is down.
func (s *Service) beginCall(r *http.Request) *incarnation {
	s.mu.Lock()
	inc := s.incarnation
	s.mu.Unlock()
	if inc == nil {
		panic(http.ErrAbortHandler)
	}
	s.waitWhileFrozen(r, inc)
	return inc
}

// wireFaults is the body of POST /admin/faults. An absent field leaves its fault unchanged.
type wireFaults struct {
	Crash         bool    `json:"crash"`
	Freeze        *bool   `json:"freeze"`
	DelayMS       *int64  `json:"delay_ms"`
	LoseAnswers   *int    `json:"lose_answers"`
	NotRunAnswers *int    `json:"not_run_answers"`
	Leaving       *bool   `json:"leaving"`
	CrashText     *string `json:"crash_text"`
}

// handleAdminFaults handles POST /admin/faults, also while the service is frozen.
func (s *Service) handleAdminFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var wire wireFaults
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		writeJSON(w, http.StatusBadRequest, wireError{Error: err.Error()})
		return
	}
	s.applyFaults(&wire)
	writeJSON(w, http.StatusOK, struct{}{})
	if wire.Crash {
		// A writer without flush support sends the response after the handler returns.
		_ = http.NewResponseController(w).Flush()
		s.Crash()
	}
}

func (s *Service) applyFaults(wire *wireFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	assign(&faults.Freeze, wire.Freeze)
	assign(&faults.LoseAnswers, wire.LoseAnswers)
	assign(&faults.NotRunAnswers, wire.NotRunAnswers)
	assign(&faults.Leaving, wire.Leaving)
	assign(&faults.CrashText, wire.CrashText)
	if wire.DelayMS != nil {
		faults.Delay = time.Duration(*wire.DelayMS) * time.Millisecond
	}
	s.setFaults(faults)
}

func assign[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}
