package hostingemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

// TargetSettings are the parameters of a Target.
type TargetSettings struct {
	ID      string
	Service string
	Zone    string
	Store   *Store
	// Model makes the target an engine; a plain service has none.
	Model string
	// Slots bounds the requests that run at once.
	Slots int
	// Events is the length of a stream and Step the time between its events.
	Events int
	Step   time.Duration
	// LoadTime is how long new weights take.
	LoadTime time.Duration
}

// TargetFaults are what a target does wrong.
type TargetFaults struct {
	// CutAfter breaks streams off after that many events and half of the next; zero never does.
	CutAfter int
	// Fail answers every request with 500.
	Fail bool
}

// Run is a request that a target ran.
type Run struct {
	ID      string
	Target  string
	Account string
	Weights int64
	Salt    string
	// After is the event after which a stream went on.
	After string
	// Key is what the target saw of the caller's key.
	Key string
}

// Target is the stand-in of a target.
type Target struct {
	settings TargetSettings
	listener listener.Listener
	born     int64

	mu      sync.Mutex
	faults  TargetFaults
	running int
	version int64
	loading int64
	seq     int64
	fence   uint64
	runs    []Run
}

// NewTarget returns a target that does not listen yet.
func NewTarget(settings TargetSettings) *Target {
	return &Target{settings: settings, born: time.Now().UnixMilli(), version: 1}
}

// Listen serves the target and writes its entry to the store.
func (t *Target) Listen(address netip.AddrPort) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", t.report)
	mux.HandleFunc("POST /order", t.order)
	mux.HandleFunc("/", t.serve)
	if err := t.listener.Start(mux, address); err != nil {
		return err
	}
	t.announce("ready")
	return nil
}

// Leave writes that the target is draining.
func (t *Target) Leave() { t.announce("draining") }

// Close ends the target without a word, as a crash does.
func (t *Target) Close() error {
	t.listener.Stop()
	t.listener.Wait()
	return nil
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Version returns the weights.
func (t *Target) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Target) announce(state string) {
	t.mu.Lock()
	entry := map[string]any{
		"service": t.settings.Service, "address": t.listener.Address().String(), "zone": t.settings.Zone, "version": "v1",
		"slots": t.settings.Slots, "state": state, "coldRemainingMs": 0, "seq": t.seq, "born": t.born, "models": t.models(),
	}
	t.mu.Unlock()
	t.settings.Store.Put("servers/"+t.settings.ID, entry)
}

func (t *Target) models() []map[string]any {
	if t.settings.Model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": t.settings.Model, "version": t.version, "adapters": []string{}}}
}

func (t *Target) report(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer(w, map[string]any{"stage": "both", "models": t.models(), "busy": t.loading > 0, "seq": t.seq, "running": t.running, "born": t.born})
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil || wire.Holder == "" || wire.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.Header.Get("X-Expect-Replica") != t.settings.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case wire.Fence < t.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case t.version == wire.Version:
		w.WriteHeader(http.StatusOK)
	case t.loading > 0 || wire.Expected != nil && *wire.Expected != t.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		t.fence, t.loading = wire.Fence, wire.Version
		t.seq++
		time.AfterFunc(t.settings.LoadTime, t.loaded)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (t *Target) loaded() {
	t.mu.Lock()
	t.version, t.loading = t.loading, 0
	t.mu.Unlock()
	t.announce("ready")
}

// admit says whether the request may run, and writes the refusal where it may not.
func (t *Target) admit(w http.ResponseWriter, r *http.Request) (faults TargetFaults, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header := w.Header()
	header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if t.settings.Model != "" {
		header.Set("X-Weight-Versions", strconv.FormatInt(t.version, 10))
	}
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case r.Header.Get("X-Expect-Replica") != t.settings.ID:
		header.Set("X-Replica-Id", t.settings.ID)
		header.Del("X-Weight-Versions")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case t.settings.Model != "" && expected != strconv.FormatInt(t.version, 10):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case t.running >= t.settings.Slots || t.loading > 0:
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		t.running++
		t.runs = append(t.runs, Run{
			ID: r.Header.Get("X-Request-Id"), Target: t.settings.ID, Account: r.Header.Get("X-Tenant"), Weights: t.version,
			Salt: r.Header.Get("X-Cache-Salt"), After: r.Header.Get("Last-Event-Id"), Key: r.Header.Get("Authorization"),
		})
		return t.faults, true
	}
	return TargetFaults{}, false
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	faults, admitted := t.admit(w, r)
	if !admitted {
		return
	}
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	w.Header().Set("X-Response-Seal", "seal-"+t.settings.ID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case t.settings.Model == "":
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body) // A caller that left needs no answer.
	default:
		t.stream(w, r, faults)
	}
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, faults TargetFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for id := from + 1; id <= t.settings.Events; id++ {
		select {
		case <-time.After(t.settings.Step):
		case <-r.Context().Done():
			return
		}
		if faults.CutAfter > 0 && id > faults.CutAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", id) // Half of an event, as a crash leaves it.
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", id, r.Header.Get("X-Request-Id"), id)
		if flusher.Flush() != nil {
			return
		}
	}
}
