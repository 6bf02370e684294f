package platformemulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Handler serves the Platform over HTTP as specified in docs/PROTOCOLS.md.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/kv", p.serveList)
	router.GET("/v1/kv/*key", p.serveGet)
	router.PUT("/v1/kv/*key", p.servePut)
	router.DELETE("/v1/kv/*key", p.serveDelete)
	router.POST("/v1/leases", p.serveGrant)
	router.POST("/v1/leases/:id/renew", p.serveRenew)
	router.DELETE("/v1/leases/:id", p.serveRevoke)
	router.GET("/v1/watch", p.serveWatch)
	router.GET("/v1/hosts", p.serveHosts)
	router.POST("/admin/faults", p.serveFaults)
	router.GET("/admin/calls", p.serveCalls)
	return router
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	item, err := p.Get(r.Context(), keyParam(params))
	writeResult(w, encodeItem(item), err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	limit := int(parseNumber(query.Get("limit")))
	page, err := p.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeResult(w, encodePage(page), err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, storer.MaxValueBytes))
	if err != nil {
		writeResult(w, nil, &storer.ValueTooLargeError{Key: keyParam(params), Bytes: storer.MaxValueBytes + 1})
		return
	}
	query := r.URL.Query()
	expected := storer.Version(parseNumber(query.Get("if_version")))
	id := storer.LeaseID(query.Get("lease_id"))
	var version storer.Version
	if expected == 0 {
		version, err = p.Create(r.Context(), keyParam(params), value, id)
	} else {
		version, err = p.Swap(r.Context(), keyParam(params), value, expected, id)
	}
	writeResult(w, wireVersion{Version: uint64(version)}, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	expected := storer.Version(parseNumber(r.URL.Query().Get("if_version")))
	err := p.Delete(r.Context(), keyParam(params), expected)
	writeResult(w, struct{}{}, err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body wireLease
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS <= 0 {
		http.Error(w, "a lease needs a ttl_ms above zero", http.StatusBadRequest)
		return
	}
	granted, err := p.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	writeResult(w, encodeLease(granted), err)
}

func (p *Platform) serveRenew(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	renewed, err := p.Renew(r.Context(), storer.LeaseID(params.ByName("id")))
	writeResult(w, encodeLease(renewed), err)
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	err := p.Revoke(r.Context(), storer.LeaseID(params.ByName("id")))
	writeResult(w, struct{}{}, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	after := storer.Version(parseNumber(query.Get("after_revision")))
	wait := time.Duration(parseNumber(query.Get("wait_ms"))) * time.Millisecond
	events, err := p.Watch(r.Context(), query.Get("prefix"), after, wait)
	writeResult(w, encodeEvents(events), err)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hosts, err := p.Hosts(r.Context())
	writeResult(w, encodeHosts(hosts), err)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body wireFaults
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "faults must be a JSON object", http.StatusBadRequest)
		return
	}
	p.SetFaults(decodeFaults(body))
	writeResult(w, struct{}{}, nil)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResult(w, encodeCalls(p.Calls()), nil)
}

// keyParam returns the key in the path without its leading slash.
func keyParam(params httprouter.Params) string {
	return params.ByName("key")[1:]
}

// parseNumber parses a query value. A value that is not a number counts as zero.
func parseNumber(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 63)
	return n
}

// writeResult writes the body, or the status code of the error. It aborts the connection if the
// outcome of the call is unknown.
func writeResult(w http.ResponseWriter, body any, err error) {
	var notFound *storer.NotFoundError
	var conflict *storer.ConflictError
	var tooLarge *storer.ValueTooLargeError
	var unknown *storer.UnknownOutcomeError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &notFound):
		writeJSON(w, http.StatusNotFound, wireError{Error: notFound.Error()})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, wireConflict{Current: uint64(conflict.Current)})
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, wireError{Error: tooLarge.Error()})
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusServiceUnavailable, wireError{Error: err.Error()})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
