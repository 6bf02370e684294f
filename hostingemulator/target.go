package hostingemulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/listener"
)

// TargetSettings configure a Target.
type TargetSettings struct {
	ID      string
	Service string
	Zone    string
	Store   *Store
	// Model is the model of an engine. It is empty for a plain service.
	Model string
	// Software is the version of the target's software. Default: "v1".
	Software string
	// Slots is the maximum number of concurrent requests; further requests are refused with 503.
	Slots int
	// StreamEvents is the number of events in a stream and EventInterval the time between them.
	StreamEvents  int
	EventInterval time.Duration
	// LoadTime is how long the target takes to load new weights.
	LoadTime time.Duration
	// RestartTime is how long the target is down after a crash.
	RestartTime time.Duration
	// ReceiveBuffer is the size of the receive buffer of each connection in bytes; zero leaves it to the system.
	ReceiveBuffer int
}

const defaultSoftware = "v1"

// TargetFaults are the faults to inject into a Target. The zero value injects none.
type TargetFaults struct {
	// CutStreamsAfterEvent is the ID of the last event that a stream sends completely; the connection
	// breaks within the next event. Zero disables this.
	CutStreamsAfterEvent int
	// FailRequests makes every request fail with 500 after it was admitted.
	FailRequests bool
	// CrashOnPart is the id of a shared part of a prompt. The target crashes when it begins the answer to a request with
	// that part. Empty disables this.
	CrashOnPart string
	// NamedLimit is the number of requests a second that the target names as its limit in all answers. It does not enforce
	// the limit. Zero names none.
	NamedLimit float64
	// Brittle is the number of requests that the target may refuse in a second for want of room before it crashes. It says so in all
	// answers; BrittleFrom is when it begins to crash. Zero disables this.
	Brittle     float64
	BrittleFrom time.Time
	// SaysLeaving makes the target say in all answers that it is leaving. Its entry in the store stays as it is.
	SaysLeaving bool
	// EarlyAnswer makes the target answer each request before it has read the body, without a length, with as many bytes of a body. It
	// resets the connection after EarlyReset. Zero disables this.
	EarlyAnswer int
	EarlyReset  time.Duration
	// Status replaces the three digits of the status of the answer to each request. Empty disables this.
	Status string
	// RetryAfter makes the target refuse all requests with this value as the time after which it wants the next one. Empty
	// disables this.
	RetryAfter string
}

// Run is a request that a target executed.
type Run struct {
	ID        string
	Target    string
	Account   string
	Weights   int64
	CacheSalt string
	// Software is the version of the target's software.
	Software string
	Path     string
	// ResumedAfter is the ID of the event after which the request resumed a stream.
	ResumedAfter string
	// Authorization is the Authorization header that reached the target.
	Authorization string
	// At is when the target admitted the request, and EndedAt when it stopped working on it; zero while it works.
	At, EndedAt time.Time
}

// overlapTime is how long a target may still work on a request after another one has begun it.
const overlapTime = 400 * time.Millisecond

// Overlap reports whether a target still worked on a request for a while after it had begun at another one. It sorts the runs.
func Overlap(runs []Run) bool {
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	for i, run := range runs[min(len(runs), 1):] {
		if before := runs[i]; before.EndedAt.IsZero() || before.EndedAt.Sub(run.At) > overlapTime {
			return true
		}
	}
	return false
}

// Arrival is a request that reached a target, whether it was admitted or not.
type Arrival struct {
	ID string
	At time.Time
}

// Target is an emulated engine or plain service on the hosting platform.
type Target struct {
	settings TargetSettings
	listener listener.Listener

	mu             sync.Mutex
	startedUnixMS  int64
	crashes        int
	closed         bool
	faults         TargetFaults
	running        int
	loadedVersion  int64
	loadingVersion int64
	changeSeq      int64
	highestFencing uint64
	runs           []Run
	arrivals       []Arrival
	// refusedAt are the times of the last refusals for want of room, and fallen is set from a crash for these until the restart.
	refusedAt []time.Time
	fallen    bool
}

// NewTarget returns a target with weights of version 1 that does not listen yet.
func NewTarget(settings TargetSettings) *Target {
	settings.Software = cmp.Or(settings.Software, defaultSoftware)
	t := &Target{settings: settings, startedUnixMS: time.Now().UnixMilli(), loadedVersion: 1}
	t.listener.ReceiveBuffer = settings.ReceiveBuffer
	return t
}

// Listen listens on the address, serves the target until Close, and writes its entry to the
// store.
func (t *Target) Listen(address netip.AddrPort) error {
	if err := t.listener.Start(t.handler(), address); err != nil {
		return err
	}
	t.writeEntry("ready")
	return nil
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", t.handleReport)
	mux.HandleFunc("POST /order", t.handleOrder)
	mux.HandleFunc("/", t.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.saysLeaving() {
			w.Header().Set("Server-Leaving", "1")
		}
		mux.ServeHTTP(w, r)
	})
}

func (t *Target) saysLeaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.SaysLeaving
}

// Drain writes an entry with the state "draining" to the store.
func (t *Target) Drain() { t.writeEntry("draining") }

// Close stops the listener and leaves the entry in the store, as a crash does.
func (t *Target) Close() error {
	t.mu.Lock()
	t.closed = true
	t.endRuns()
	t.mu.Unlock()
	t.listener.Stop()
	t.listener.Wait()
	return nil
}

// Pause makes the target silent for a while. Then it goes on with what it was doing.
func (t *Target) Pause(duration time.Duration) { t.listener.Pause(duration) }

// Silence makes the target's host silent on the network for a while: it acknowledges nothing. Then it goes on.
func (t *Target) Silence(duration time.Duration) error { return t.listener.Silence(duration) }

// Crash closes all connections, and lets a new incarnation of the target listen after TargetSettings.RestartTime.
func (t *Target) Crash() {
	t.mu.Lock()
	t.crashes++
	t.endRuns()
	t.mu.Unlock()
	t.listener.Stop()
	time.AfterFunc(t.settings.RestartTime, t.restart)
}

func (t *Target) restart() {
	t.mu.Lock()
	closed := t.closed
	t.startedUnixMS, t.changeSeq, t.highestFencing, t.fallen = time.Now().UnixMilli(), 0, 0, false
	t.mu.Unlock()
	if closed || t.listener.Restart(t.handler()) != nil {
		return
	}
	t.writeEntry("ready")
}

// Crashes returns how often the target has crashed.
func (t *Target) Crashes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Runs returns the admitted requests, in the order of their admission.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Arrivals returns the requests that reached the target, in their order.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Version returns the version of the loaded weights.
func (t *Target) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadedVersion
}

// writeEntry writes the entry of the target with the given state to the store.
func (t *Target) writeEntry(state string) {
	t.mu.Lock()
	entry := map[string]any{
		"service": t.settings.Service, "address": t.listener.Address().String(), "zone": t.settings.Zone, "version": t.settings.Software,
		"slots": t.settings.Slots, "state": state, "coldRemainingMs": 0, "seq": t.changeSeq, "born": t.startedUnixMS, "models": t.models(),
	}
	t.mu.Unlock()
	t.settings.Store.Put("servers/"+t.settings.ID, entry)
}

// models returns the models of the report and of the entry. The caller holds mu.
func (t *Target) models() []map[string]any {
	if t.settings.Model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": t.settings.Model, "version": t.loadedVersion, "adapters": []string{}}}
}

func (t *Target) handleReport(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, map[string]any{"stage": "both", "models": t.models(), "busy": t.loadingVersion > 0, "seq": t.changeSeq, "running": t.running, "born": t.startedUnixMS})
}

// handleOrder handles POST /order, which starts to load other weights. It refuses an order for
// another target, an order with a fencing token below that of the last order that started a
// load, an order during a load, and an order whose expected sequence number is not the current
// one.
func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	case wire.Fence < t.highestFencing:
		w.WriteHeader(http.StatusPreconditionFailed)
	case t.loadedVersion == wire.Version:
		w.WriteHeader(http.StatusOK)
	case t.loadingVersion > 0 || wire.Expected != nil && *wire.Expected != t.changeSeq:
		w.WriteHeader(http.StatusConflict)
	default:
		t.highestFencing, t.loadingVersion = wire.Fence, wire.Version
		t.changeSeq++
		time.AfterFunc(t.settings.LoadTime, t.finishLoad)
		w.WriteHeader(http.StatusAccepted)
	}
}

// finishLoad makes the loading weights the loaded ones and writes a new entry.
func (t *Target) finishLoad() {
	t.mu.Lock()
	t.loadedVersion, t.loadingVersion = t.loadingVersion, 0
	t.mu.Unlock()
	t.writeEntry("ready")
}

// endRun frees the slot of a run.
func (t *Target) endRun(run int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.runs[run].EndedAt.IsZero() {
		t.runs[run].EndedAt = time.Now()
	}
}

// endRuns records that all runs have ended. The caller holds mu.
func (t *Target) endRuns() {
	for i := range t.runs {
		if t.runs[i].EndedAt.IsZero() {
			t.runs[i].EndedAt = time.Now()
		}
	}
}

// admit occupies a slot and records the run, whose index it returns, if the request may run; otherwise it writes the
// refusal.
func (t *Target) admit(w http.ResponseWriter, r *http.Request) (faults TargetFaults, run int, admitted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	header := w.Header()
	header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	t.arrivals = append(t.arrivals, Arrival{ID: r.Header.Get("X-Request-Id"), At: time.Now()})
	if t.settings.Model != "" {
		header.Set("X-Weight-Versions", strconv.FormatInt(t.loadedVersion, 10))
	}
	if t.faults.NamedLimit > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(t.faults.NamedLimit, 'f', -1, 64))
	}
	if t.faults.Brittle > 0 {
		header.Set("Server-Brittle", strconv.FormatFloat(t.faults.Brittle, 'f', -1, 64))
	}
	expected := r.Header.Get("X-Expect-Version")
	switch {
	case r.Header.Get("X-Expect-Replica") != t.settings.ID:
		header.Set("X-Replica-Id", t.settings.ID)
		header.Del("X-Weight-Versions")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case t.settings.Model != "" && expected != strconv.FormatInt(t.loadedVersion, 10):
		w.WriteHeader(http.StatusMisdirectedRequest)
	case t.faults.RetryAfter != "":
		header.Set("Retry-After", t.faults.RetryAfter)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case t.running >= t.settings.Slots || t.loadingVersion > 0:
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		t.countRefusal()
	default:
		t.running++
		t.runs = append(t.runs, Run{
			ID: r.Header.Get("X-Request-Id"), Target: t.settings.ID, Account: r.Header.Get("X-Tenant"), Weights: t.loadedVersion, Software: t.settings.Software, Path: r.URL.Path,
			CacheSalt: r.Header.Get("X-Cache-Salt"), ResumedAfter: r.Header.Get("Last-Event-Id"), Authorization: r.Header.Get("Authorization"), At: time.Now(),
		})
		return t.faults, len(t.runs) - 1, true
	}
	return TargetFaults{}, 0, false
}

// countRefusal counts a refusal for want of room, and lets a brittle target crash if there were too many. The caller holds mu.
func (t *Target) countRefusal() {
	now := time.Now()
	t.refusedAt = slices.DeleteFunc(append(t.refusedAt, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if t.faults.Brittle > 0 && !t.fallen && now.After(t.faults.BrittleFrom) && float64(len(t.refusedAt)) > t.faults.Brittle {
		t.refusedAt, t.fallen = nil, true
		go t.Crash()
	}
}

// handleRequest handles requests of callers. A plain service responds with the method, the
// URI and the body of the request, an engine with a stream.
func (t *Target) handleRequest(w http.ResponseWriter, r *http.Request) {
	faults, run, admitted := t.admit(w, r)
	if !admitted {
		return
	}
	defer t.endRun(run)
	w.Header().Set("X-Response-Seal", "seal-"+t.settings.ID)
	if faults.EarlyAnswer > 0 {
		_ = listener.AnswerAndReset(w, t.rawAnswer(w, "200")+strings.Repeat("e", faults.EarlyAnswer), faults.EarlyReset) // The caller may have left.
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case faults.Status != "":
		_ = listener.AnswerAndReset(w, t.rawAnswer(w, faults.Status), oddStatusReset) // The caller may have left.
	case faults.FailRequests:
		w.WriteHeader(http.StatusInternalServerError)
	case t.settings.Model == "":
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body) // An error means that the client has disconnected.
	default:
		t.writeStream(w, r, faults)
	}
}

// oddStatusReset is how long a target keeps the connection open after an answer with TargetFaults.Status.
const oddStatusReset = 10 * time.Second

// rawAnswer returns the head of an answer without a length, with three digits as its status.
func (t *Target) rawAnswer(w http.ResponseWriter, status string) string {
	contentType := "text/plain"
	if t.settings.Model != "" {
		contentType = "text/event-stream"
	}
	w.Header().Set("Content-Type", contentType)
	var head strings.Builder
	_ = w.Header().Write(&head) // Writing to a strings.Builder does not fail.
	return "HTTP/1.1 " + status + " Odd\r\n" + head.String() + "Connection: close\r\n\r\n"
}

func (t *Target) writeStream(w http.ResponseWriter, r *http.Request, faults TargetFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	if hasSharedPart(r.Header.Get(PromptHeader), faults.CrashOnPart) {
		_ = http.NewResponseController(w).Flush() // The head of the answer is all that is sent.
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for id := from + 1; id <= t.settings.StreamEvents; id++ {
		select {
		case <-time.After(t.settings.EventInterval):
		case <-r.Context().Done():
			return
		}
		if faults.CutStreamsAfterEvent > 0 && id > faults.CutStreamsAfterEvent {
			_, _ = fmt.Fprintf(w, "id: %d\nda", id) // An incomplete event, as a crash leaves it.
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", id, r.Header.Get("X-Request-Id"), id)
		if controller.Flush() != nil {
			return
		}
	}
}

// hasSharedPart reports whether the prompt contains the part, the last one aside.
func hasSharedPart(prompt, id string) bool {
	parts := strings.Split(prompt, ",")
	return id != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return strings.HasPrefix(part, id+":") })
}
