package serviceemulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

const (
	headerAccount        = "Rill-Account"
	headerRequestID      = "Rill-Request-Id"
	headerIncarnation    = "Rill-Incarnation"
	headerNotRun         = "Rill-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"

	maxBodyBytes = 1 << 20
	// initialStock is the stock of the only item before the first order.
	initialStock = 100
)

type wireOrder struct {
	Item string `json:"item"`
}

type wireOrderPlaced struct {
	Order int    `json:"order"`
	Item  string `json:"item"`
}

// handlePlace handles POST /place. It does not deduplicate by the idempotency key, so that
// Runs reveals a repeated order.
func (s *Service) handlePlace(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := s.beginCall(r)
	if size := s.Faults().EarlyAnswer; size > 0 {
		s.setIdentityHeaders(w, r, inc)
		_ = listener.AnswerAndReset(w, rawAnswer(w, "200")+strings.Repeat("e", size), resetDelay) // The daemon may have left.
		return
	}
	key := callKey{account: r.Header.Get(headerAccount), idempotencyKey: r.Header.Get(headerIdempotencyKey)}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var call wireOrder
	if err == nil {
		err = json.Unmarshal(body, &call)
	}
	if err != nil {
		s.writeNotRun(w, r, http.StatusBadRequest, "malformed")
		return
	}
	s.crashIfTriggered(string(body))
	if !s.startOrder(inc, key) {
		s.writeNotRun(w, r, http.StatusServiceUnavailable, "refused")
		return
	}
	s.waitHalfDelay(inc)
	stored, lost := s.runOrder(inc, key, call)
	s.waitHalfDelay(inc)
	s.finishOrder(inc, key)
	if lost {
		panic(http.ErrAbortHandler)
	}
	s.waitWhileFrozen(r, inc)
	s.setIdentityHeaders(w, r, inc)
	w.Header().Set("Content-Type", "application/json")
	if status := s.Faults().Status; status != "" {
		_ = listener.AnswerAndReset(w, rawAnswer(w, status)+stored.body, resetDelay) // The daemon may have left.
		return
	}
	w.WriteHeader(stored.status)
	// An error means that the client has disconnected.
	_, _ = io.WriteString(w, stored.body)
}

// resetDelay is the time from an answer of Faults.EarlyAnswer or Faults.Status to the reset of its connection.
const resetDelay = 5 * time.Millisecond

// rawAnswer returns the head of an answer without a length, with three digits as its status.
func rawAnswer(w http.ResponseWriter, status string) string {
	var head strings.Builder
	_ = w.Header().Write(&head) // Writing to a strings.Builder does not fail.
	return "HTTP/1.1 " + status + " Odd\r\n" + head.String() + "Connection: close\r\n\r\n"
}

// startOrder marks an order as running. It reports false if the order may not run.
func (s *Service) startOrder(inc *incarnation, key callKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Leaving || s.refusedKeys[key] {
		return false
	}
	if s.faults.NotRunAnswers > 0 {
		s.faults.NotRunAnswers--
		return false
	}
	inc.runningOrders++
	inc.runningByKey[key]++
	inc.progress++
	return true
}

// runOrder places the order and stores its outcome; lost reports that the answer must not be
// sent. If the service has crashed since the order started, it aborts the connection instead.
func (s *Service) runOrder(inc *incarnation, key callKey, call wireOrder) (stored outcome, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != inc {
		panic(http.ErrAbortHandler)
	}
	s.placedOrders++
	s.runs[key]++
	inc.progress++
	// Marshal can't fail, because the value holds only numbers and strings.
	body, _ := json.Marshal(wireOrderPlaced{Order: s.placedOrders, Item: call.Item})
	stored = outcome{status: http.StatusOK, body: string(body)}
	s.outcomes[key] = stored
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return stored, true
	}
	return stored, false
}

// finishOrder marks an order as no longer running.
func (s *Service) finishOrder(inc *incarnation, key callKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inc.runningOrders--
	inc.runningByKey[key]--
	inc.progress++
}

// waitHalfDelay waits for half of the duration of an order. A crash aborts the order; a client
// that disconnects does not.
func (s *Service) waitHalfDelay(inc *incarnation) {
	s.mu.Lock()
	half := (s.settings.Delay + s.faults.Delay) / 2
	s.mu.Unlock()
	if half == 0 {
		return
	}
	timer := time.NewTimer(half)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-inc.done:
		panic(http.ErrAbortHandler)
	}
}

// crashIfTriggered crashes the service if the body contains Faults.CrashText.
func (s *Service) crashIfTriggered(body string) {
	s.mu.Lock()
	text := s.faults.CrashText
	s.mu.Unlock()
	if text == "" || !strings.Contains(body, text) {
		return
	}
	s.Crash()
	panic(http.ErrAbortHandler)
}

type wireStock struct {
	Items  map[string]int `json:"items"`
	Orders int            `json:"orders"`
}

// handleStock handles GET /stock. It takes half of the duration of an order.
func (s *Service) handleStock(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := s.beginCall(r)
	s.waitHalfDelay(inc)
	s.mu.Lock()
	orders := s.placedOrders
	leaving := s.faults.Leaving
	inc.progress++
	s.mu.Unlock()
	if leaving {
		s.writeNotRun(w, r, http.StatusServiceUnavailable, "leaving")
		return
	}
	s.setIdentityHeaders(w, r, inc)
	writeJSON(w, http.StatusOK, wireStock{
		Items: map[string]int{"wheel": max(0, initialStock-orders)}, Orders: orders,
	})
}

type wireLookup struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// handleLookup handles GET /lookup and reports the outcome of a key. A key that has not run and
// is not running is refused from then on, so that the reported "not_run" remains correct.
func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := s.beginCall(r)
	query := r.URL.Query()
	key := callKey{account: query.Get("account"), idempotencyKey: query.Get("key")}
	s.mu.Lock()
	stored, ran := s.outcomes[key]
	running := inc.runningByKey[key] > 0
	if !ran && !running {
		s.refusedKeys[key] = true
	}
	s.mu.Unlock()
	s.setIdentityHeaders(w, r, inc)
	switch {
	case ran:
		writeJSON(w, http.StatusOK, wireLookup{Status: stored.status, Body: stored.body})
	case running:
		writeJSON(w, http.StatusConflict, wireError{Error: "running"})
	default:
		writeJSON(w, http.StatusNotFound, wireError{Error: "not_run"})
	}
}
