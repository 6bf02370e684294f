package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// replicaSettings describe a replica.
type replicaSettings struct {
	id, service, zone, software, model string
	slots                              int
	// firstAfter is the time from the start of a stream to its first event, pause the time between events, and events their number.
	firstAfter, pause time.Duration
	events            int
}

// ranRequest is a request that a replica ran.
type ranRequest struct {
	id, replica, software, resumedAfter, tenant string
	began, ended                                time.Time
	whole                                       bool
}

// replica is a sound replica as PROTOCOL.md describes it.
type replica struct {
	replicaSettings
	world   *world
	address netip.AddrPort
	server  *http.Server
	stop    context.CancelFunc

	mu      sync.Mutex
	running int
	seq     int
	born    int64
	ran     []*ranRequest
	// silentUntil is when the replica goes on after a silence.
	silentUntil time.Time
	// gone is set once the entry is removed for good.
	gone bool
}

// addReplica starts a replica, which registers itself and writes its entry again with each heartbeat.
func (w *world) addReplica(settings replicaSettings) (*replica, error) {
	r := &replica{replicaSettings: settings, world: w, born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("GET /kv-events", r.cacheEvents)
	mux.HandleFunc("GET /healthz", r.health)
	mux.HandleFunc("/", r.request)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }() // It returns when the server is closed.
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	w.replicas = append(w.replicas, r)
	r.writeEntry()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(1200 * time.Millisecond):
				r.writeEntry()
			}
		}
	}()
	w.note("replica %s of %s, software %s, in zone %s", r.id, r.service, r.software, r.zone)
	return r, nil
}

func (r *replica) close() {
	r.stop()
	_ = r.server.Close()
}

func (r *replica) models() []map[string]any {
	if r.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.model, "version": 1, "adapters": []string{}}}
}

func (r *replica) writeEntry() {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return
	}
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address.String(), "zone": r.zone, "version": r.software, "slots": r.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": r.models(), "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	r.world.store.Put("servers/"+r.id, entry)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // Fails only if the other side is gone.
}

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "seq": 0, "queued": 0, "running": r.running, "kvUsed": 0, "kvTotal": 100000,
		"handles": 0, "born": r.born,
	})
}

func (r *replica) cacheEvents(w http.ResponseWriter, request *http.Request) {
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
	case <-request.Context().Done():
		return
	}
	writeJSON(w, map[string]any{"bootEpoch": r.born, "next": 1, "lost": false, "events": []any{}})
}

func (r *replica) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Replica-Id", r.id)
}

// begin admits a request or turns it away without running it.
func (r *replica) begin(w http.ResponseWriter, request *http.Request) *ranRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	header := w.Header()
	header.Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if request.Header.Get("X-Expect-Replica") != r.id {
		header.Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	if r.model != "" {
		header.Set("X-Weight-Versions", "1")
		if expected := request.Header.Get("X-Expect-Version"); expected != "" && expected != "1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return nil
		}
	}
	if r.running >= r.slots {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	r.running++
	header.Set("X-Response-Seal", r.id+"-"+request.Header.Get("X-Request-Id"))
	header.Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.running, r.slots))
	ran := &ranRequest{
		id: request.Header.Get("X-Request-Id"), replica: r.id, software: r.software, resumedAfter: request.Header.Get("Last-Event-Id"),
		tenant: request.Header.Get("X-Tenant"), began: time.Now(),
	}
	r.ran = append(r.ran, ran)
	return ran
}

func (r *replica) end(ran *ranRequest, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	ran.ended, ran.whole = time.Now(), whole
}

func (r *replica) request(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	ran := r.begin(w, request)
	if ran == nil {
		return
	}
	whole := false
	defer func() { r.end(ran, whole) }()
	if r.model != "" {
		whole = r.stream(w, request)
		return
	}
	select {
	case <-time.After(r.firstAfter):
	case <-request.Context().Done():
		return
	}
	_, err = fmt.Fprintf(w, "%s ran %s with %d bytes", r.id, ran.id, len(body))
	whole = err == nil
}

// stream writes the events that follow the last one that the client has. It ends early if the channel closes.
func (r *replica) stream(w http.ResponseWriter, request *http.Request) (whole bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	wait := r.firstAfter + r.silenceLeft()
	for id := after + 1; id <= r.events; id++ {
		select {
		case <-time.After(wait):
		case <-request.Context().Done():
			return false
		}
		wait = r.pause
		if _, err := fmt.Fprintf(w, "id: %d\ndata: software=%s piece=%d\n\n", id, r.software, id); err != nil || controller.Flush() != nil {
			return false
		}
	}
	return true
}

// runs returns what the replica ran so far.
func (r *replica) runs() (runs []ranRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, ran := range r.ran {
		runs = append(runs, *ran)
	}
	return runs
}

// silence makes the replica give no first event for a while.
func (r *replica) silence(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(duration)
}

func (r *replica) silenceLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.silentUntil), 0)
}

// leave removes the entry of a replica that leaves without a word. It goes on serving for a while.
func (r *replica) leave() {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	r.world.store.Delete("servers/" + r.id)
	r.world.note("entry of replica %s removed", r.id)
}
