package serviceemulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

func (s *Service) routes() http.Handler {
	router := httprouter.New()
	router.POST("/place", s.handlePlace)
	router.GET("/stock", s.handleStock)
	router.GET("/lookup", s.handleLookup)
	router.GET("/load", s.handleLoad)
	router.GET("/v1/load", s.handleLoad)
	router.GET("/admin/runs", s.handleAdminRuns)
	router.POST("/admin/faults", s.handleAdminFaults)
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

func (s *Service) handleLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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

func (s *Service) handleAdminRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, wireRuns{Keys: s.Runs()})
}

type wireError struct {
	Error string `json:"error"`
}

// writeNotRun writes an error response with headerNotRun, by which the caller detects that the
// request was not executed.
func (s *Service) writeNotRun(w http.ResponseWriter, r *http.Request, status int, reason string) {
	w.Header().Set(headerNotRun, "true")
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	writeJSON(w, status, wireError{Error: reason})
}

// setIdentityHeaders sets the response headers with the request ID and the incarnation.
func (s *Service) setIdentityHeaders(w http.ResponseWriter, r *http.Request, inc *incarnation) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set(headerIncarnation, inc.id)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
