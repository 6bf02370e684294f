package server

import (
	"math"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/encoder"
	"github.com/rosemaryrill/rosemaryrill/observer"
	"github.com/rosemaryrill/rosemaryrill/refuser"
)

const (
	headerRequestID        = "Rill-Request-Id"
	headerClass            = "Rill-Class"
	headerDeadline         = "Rill-Deadline-Ms"
	headerIdempotencyKey   = "Idempotency-Key"
	headerRepeated         = "Rill-Repeated"
	contentTypeJSON        = "application/json"
	contentTypeEventStream = "text/event-stream"
)

type wireError struct {
	Error wireRefusal `json:"error"`
}

type wireRefusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

func refusalToWire(refusal *refuser.Refusal) wireError {
	return wireError{Error: wireRefusal{
		Code:    string(refusal.Code),
		Message: refusal.Message,
		Run:     string(refusal.Run),
	}}
}

// writeRefusal writes a refusal as the response, passes it to the log and to OnRefusal, and returns
// the outcome of the request.
func (s *Server) writeRefusal(w http.ResponseWriter, account string, refusal *refuser.Refusal) observer.OutcomeLabel {
	s.reportRefusal(account, refusal)
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if refusal.Code == refuser.CodeUnauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, refusal.Status(), refusalToWire(refusal))
	return refusalOutcome(refusal)
}

// refusalOutcome returns the outcome of a refused request.
func refusalOutcome(refusal *refuser.Refusal) observer.OutcomeLabel {
	switch {
	case refusal.Code == refuser.CodeCancelled:
		return observer.OutcomeCancelled
	case refusal.Run == refuser.MayHaveRun:
		return observer.OutcomeMayHaveRun
	}
	return observer.OutcomeNotRun
}

// reportRefusal logs a refusal and passes it to OnRefusal.
func (s *Server) reportRefusal(account string, refusal *refuser.Refusal) {
	s.settings.Log.Debug("server: request refused", "account", account, "code", refusal.Code, "run", refusal.Run, "error", refusal.Cause)
	if s.settings.OnRefusal != nil {
		s.settings.OnRefusal(account, refusal)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, _ := encoder.JSON(value) // An answer can always be encoded.
	data = append(data, '\n')
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// Writing fails if the caller has disconnected, so there is nobody to report the error to.
	_, _ = w.Write(data)
}

type wireHealth struct {
	Status  string   `json:"status"`
	Reasons []string `json:"reasons,omitempty"`
}

// serveLiveness serves GET /healthz, the liveness check.
func (s *Server) serveLiveness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, wireHealth{Status: "alive"})
}

// serveReadiness serves GET /readyz, the readiness check: 200 if the daemon may take traffic, and
// otherwise 503 with the reasons.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var reasons []string
	if s.leaving.Load() {
		reasons = append(reasons, "leaving")
	}
	if s.settings.Readiness != nil {
		reasons = append(reasons, s.settings.Readiness.NotReady()...)
	}
	if len(reasons) > 0 {
		writeJSON(w, http.StatusServiceUnavailable, wireHealth{Status: "not_ready", Reasons: reasons})
		return
	}
	writeJSON(w, http.StatusOK, wireHealth{Status: "ready"})
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models, which lists the models that the selectors allow the client account to use.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, c caller) observer.OutcomeLabel {
	list := wireModels{Object: "list", Data: []wireModel{}}
	for _, model := range c.snapshot.Objects().Models {
		if c.mayUse(model.Name) {
			list.Data = append(list.Data, wireModel{ID: model.Name, Object: "model", OwnedBy: "rosemaryrill"})
		}
	}
	writeJSON(w, http.StatusOK, list)
	return observer.OutcomeComplete
}
