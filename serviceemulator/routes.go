package serviceemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

func (s *Service) routes() http.Handler {
	router := httprouter.New()
	router.POST("/place", s.place)
	router.GET("/stock", s.stock)
	router.GET("/lookup", s.lookup)
	router.GET("/load", s.load)
	router.GET("/v1/load", s.load)
	router.GET("/admin/runs", s.adminRuns)
	router.POST("/admin/faults", s.adminFaults)
	return router
}

// wireLoad is the response body of GET /load.
type wireLoad struct {
	Incarnation    string `json:"incarnation"`
	Progress       uint64 `json:"progress"`
	Running        int    `json:"running"`
	Leaving        bool   `json:"leaving"`
	MeasuredUnixMS int64  `json:"measured_unix_ms"`
}

func (s *Service) load(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	inc := s.beginCall(r)
	s.mu.Lock()
	answer := wireLoad{
		Incarnation: inc.id, Progress: inc.progress, Running: inc.runningOrders,
		Leaving: s.faults.Leaving, MeasuredUnixMS: time.Now().UnixMilli(),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

type wireRuns struct {
	Keys map[string]int `json:"keys"`
}

func (s *Service) adminRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, wireRuns{Keys: s.Runs()})
}

type wireError struct {
	Error string `json:"error"`
}

// writeNotRun writes an error response and sets headerNotRun, which tells the caller that the request was not
// executed.
func (s *Service) writeNotRun(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set(headerNotRun, "true")
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	writeJSON(w, status, wireError{Error: reason})
}

// writeIdentity sets the response headers with the request ID and the incarnation.
func (s *Service) writeIdentity(w http.ResponseWriter, r *http.Request, inc *incarnation) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set(headerIncarnation, inc.id)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
