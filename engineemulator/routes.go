package engineemulator

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// routes returns the handler of the engine protocol.
func (e *Engine) routes() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.handleChat)
	router.GET("/v1/streams/:id", e.handleResume)
	router.DELETE("/v1/streams/:id", e.handleCancel)
	router.GET("/v1/load", e.handleLoad)
	router.GET("/v1/cache_events", e.handleCacheEvents)
	router.POST("/v1/orders", e.handleOrder)
	router.POST("/v1/kv_export", e.handleKVExport)
	router.POST("/v1/kv_import", e.handleKVImport)
	router.POST("/admin/faults", e.handleAdminFaults)
	router.GET("/admin/runs", e.handleAdminRuns)
	return router
}

// wireRuns is the response body of GET /admin/runs.
type wireRuns struct {
	Runs map[string]int `json:"runs"`
}

func (e *Engine) handleAdminRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, wireRuns{Runs: e.Runs()})
}

type wireRefusal struct {
	Error wireRefusalDetail `json:"error"`
}

type wireRefusalDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeRefusal(w http.ResponseWriter, refused *refusal) {
	writeJSON(w, refused.status, wireRefusal{
		Error: wireRefusalDetail{Code: refused.code, Message: refused.message},
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
