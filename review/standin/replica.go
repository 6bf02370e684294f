package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// order is an order as it reached a replica.
type order struct {
	at      time.Time
	replica string
	holder  string
	fence   uint64
	version int64
	status  int
}

// run is a request that a replica began to work on.
type ranRequest struct {
	at      time.Time
	replica string
	id      string
}

// replica is a stand-in for a replica of PROTOCOL.md: a model replica if model is set, or else one of a plain service.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	model   bool
	slots   int
	work    time.Duration
	load    time.Duration
	// extraEvery makes every extraEvery-th answer come a second time, late: where the next response on its channel is
	// expected. Calls for events and requests are counted apart. Zero: never. It holds while doubling returns true.
	extraEvery int
	doubling   func() bool

	listener net.Listener

	mu          sync.Mutex
	connections map[net.Conn]bool
	born        int64
	state       string
	leaving     bool
	beats       int
	running     int
	weights     int64
	loading     int64
	allowed     int64
	seq         int64
	fence       uint64
	answers     map[bool]int
	events      [][]any
	makers      map[string]string
	changed     chan struct{}
	orders      []order
	runs        []ranRequest
	stopped     bool
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(r *replica) (*replica, error) {
	r.w, r.connections, r.born, r.state, r.weights, r.allowed = w, make(map[net.Conn]bool), time.Now().UnixMilli(), "ready", 1, 1
	r.changed, r.answers, r.makers = make(chan struct{}), make(map[bool]int), make(map[string]string)
	var err error
	if r.listener, err = net.Listen("tcp", netip.AddrPortFrom(w.nextHost(), 0).String()); err != nil {
		return nil, err
	}
	go r.accept()
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			r.mu.Lock()
			done := r.stopped
			r.beats++
			r.mu.Unlock()
			if done {
				return
			}
			r.register()
		}
	}()
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	w.note("replica started", "replica", r.id, "service", r.service, "address", r.listener.Addr().String())
	return r, nil
}

// register writes the replica's entry to the store.
func (r *replica) register() {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	entry := map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"coldRemainingMs": 0, "seq": r.beats, "born": r.born,
	}
	if r.model {
		entry["stage"], entry["models"] = "both", r.models()
	}
	r.mu.Unlock()
	r.w.store.Put("servers/"+r.id, entry)
}

func (r *replica) models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": r.weights, "adapters": []string{}}}
}

func (r *replica) allow(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowed = max(r.allowed, version)
}

// leave makes the replica report that it leaves, to the store and in its answers.
func (r *replica) leave() {
	r.mu.Lock()
	r.state, r.leaving = "draining", true
	r.mu.Unlock()
	r.register()
	r.w.note("replica leaves", "replica", r.id)
}

// close ends the replica and its channels.
func (r *replica) close() {
	r.mu.Lock()
	r.stopped = true
	connections := r.connections
	r.connections = make(map[net.Conn]bool)
	r.mu.Unlock()
	_ = r.listener.Close()
	for conn := range connections {
		_ = conn.Close()
	}
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.connections[conn] = true
		r.mu.Unlock()
		go func() {
			r.serve(conn)
			_ = conn.Close()
			r.mu.Lock()
			delete(r.connections, conn)
			r.mu.Unlock()
		}()
	}
}

// serve serves one request at a time on a channel.
func (r *replica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != nil {
			r.w.note("extra answer sent", "replica", r.id, "bytes", len(extra), "before the answer to", request.URL.Path, "id", request.Header.Get("X-Request-Id"))
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := &answerWriter{conn: conn}
		switch {
		case request.Method == http.MethodGet && request.URL.Path == "/report":
			r.report(answer)
		case request.Method == http.MethodPost && request.URL.Path == "/order":
			r.takeOrder(answer, request, body)
		case request.Method == http.MethodGet && request.URL.Path == "/kv-events":
			r.kvEvents(answer, request)
		default:
			r.handle(answer, request)
		}
		if answer.err != nil || request.Close {
			return
		}
		r.mu.Lock()
		if isCall := request.Header.Get("X-Request-Id") == ""; r.extraEvery > 0 && r.doubling() {
			r.answers[isCall]++
			if r.answers[isCall]%r.extraEvery == 0 {
				extra = answer.sent
			}
		}
		r.mu.Unlock()
	}
}

// answerWriter writes an answer and keeps its bytes.
type answerWriter struct {
	conn net.Conn
	sent []byte
	err  error
}

func (a *answerWriter) write(text string) {
	if a.err == nil {
		a.sent = append(a.sent, text...)
		_, a.err = a.conn.Write([]byte(text))
	}
}

// head writes the head of an answer. A negative length stands for chunks.
func (a *answerWriter) head(status, length int, headers ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			text += headers[i] + ": " + headers[i+1] + "\r\n"
		}
	}
	if length < 0 {
		text += "Transfer-Encoding: chunked\r\n"
	} else {
		text += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	a.write(text + "\r\n")
}

func (a *answerWriter) whole(status int, body string, headers ...string) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			text += headers[i] + ": " + headers[i+1] + "\r\n"
		}
	}
	a.write(text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

func (a *answerWriter) chunk(text string) { a.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func (a *answerWriter) json(value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	a.whole(http.StatusOK, string(text), "Content-Type", "application/json")
}

func (r *replica) report(a *answerWriter) {
	r.mu.Lock()
	value := map[string]any{
		"stage": "both", "models": r.models(), "busy": r.loading > 0, "seq": r.seq, "queued": 0, "running": r.running,
		"kvUsed": 0, "kvTotal": 178858, "handles": 0, "born": r.born,
	}
	r.mu.Unlock()
	a.json(value)
}

func (r *replica) takeOrder(a *answerWriter, request *http.Request, body []byte) {
	var wire struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	err := json.Unmarshal(body, &wire)
	r.mu.Lock()
	status := http.StatusAccepted
	switch {
	case err != nil || wire.Holder == "" || wire.Fence == 0 || wire.Op != "version" || wire.Version > r.allowed:
		status = http.StatusBadRequest
	case request.Header.Get("X-Expect-Replica") != "" && request.Header.Get("X-Expect-Replica") != r.id:
		status = http.StatusMisdirectedRequest
	case wire.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case r.weights == wire.Version && r.loading == 0:
		status = http.StatusOK
	case r.loading > 0 || wire.Expected != nil && *wire.Expected != r.seq:
		status = http.StatusConflict
	case r.w.isLate():
		status = 0
		time.AfterFunc(lateAfter, func() { r.carryOutLate(wire.Version, wire.Fence, wire.Expected) })
	default:
		r.begin(wire.Version)
	}
	r.fence = max(r.fence, wire.Fence)
	r.orders = append(r.orders, order{at: time.Now(), replica: r.id, holder: wire.Holder, fence: wire.Fence, version: wire.Version, status: status})
	r.mu.Unlock()
	r.w.note("order", "replica", r.id, "holder", wire.Holder, "fence", wire.Fence, "version", wire.Version, "status", status)
	if status == 0 {
		a.err = errNoAnswer
		return
	}
	a.whole(status, "")
}

// lateAfter is how long after its arrival a late order is carried out.
const lateAfter = 3 * time.Second

var errNoAnswer = errors.New("the order stays unanswered")

// carryOutLate carries out an order that got no answer, if it still holds.
func (r *replica) carryOutLate(version int64, fence uint64, expected *int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := fence >= r.fence && r.loading == 0 && version > r.weights && (expected == nil || *expected == r.seq)
	r.w.note("late order", "replica", r.id, "fence", fence, "version", version, "carried out", holds)
	if holds {
		r.begin(version)
	}
}

// begin loads weights. The caller holds mu.
func (r *replica) begin(version int64) {
	r.loading = version
	r.seq++
	time.AfterFunc(r.load, func() {
		r.mu.Lock()
		r.weights, r.loading = version, 0
		r.mu.Unlock()
		r.register()
	})
}

// kvEvents answers with the events after a number, and waits for some.
func (r *replica) kvEvents(a *answerWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms"))
	deadline := time.After(time.Duration(min(wait, 1000)) * time.Millisecond)
	for waiting := true; ; {
		r.mu.Lock()
		events := r.events[min(max(since-1, 0), len(r.events)):]
		value := map[string]any{"bootEpoch": r.born, "next": len(r.events) + 1, "lost": false, "events": events}
		changed := r.changed
		r.mu.Unlock()
		if len(events) > 0 || !waiting {
			if len(events) == 0 {
				value["events"] = [][]any{}
			}
			a.json(value)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
	}
}

// use notes which tenant made the part that a request uses, and whether the wall stands between the two.
func (r *replica) use(request *http.Request, part string) {
	key, tenant := request.Header.Get("X-Cache-Salt")+" "+part, request.Header.Get("X-Tenant")
	maker, cached := r.makers[key]
	if !cached {
		r.makers[key] = tenant
		return
	}
	walled := maker != tenant && r.w.isWalled()
	r.w.note("part used", "replica", r.id, "id", request.Header.Get("X-Request-Id"), "salt", request.Header.Get("X-Cache-Salt"), "part", part, "made by", maker, "used by", tenant, "walled", walled)
	if walled {
		r.w.walls.Add(1)
	}
}

// cache adds the parts of a prompt to the events.
func (r *replica) cache(request *http.Request) {
	for _, entry := range strings.Split(request.Header.Get("X-Prompt-Prefix"), ",") {
		id, count, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(count)
		r.use(request, id)
		r.events = append(r.events, []any{len(r.events) + 1, "+", request.Header.Get("X-Cache-Salt"), id, tokens, modelName})
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// handle handles a client's request.
func (r *replica) handle(a *answerWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	r.mu.Lock()
	weights, leaving := "", ""
	if r.model {
		weights = strconv.FormatInt(r.weights, 10)
	}
	if r.leaving {
		leaving = "1"
	}
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	refuse := func(status int, headers ...string) {
		r.mu.Unlock()
		a.whole(status, "", append([]string{"X-Request-Id", id, "Server-Leaving", leaving, "X-Replica-Load", load}, headers...)...)
	}
	switch {
	case request.Header.Get("X-Expect-Replica") != r.id:
		refuse(http.StatusMisdirectedRequest, "X-Replica-Id", r.id)
		return
	case r.model && request.Header.Get("X-Expect-Version") != weights:
		refuse(http.StatusMisdirectedRequest, "X-Weight-Versions", weights)
		return
	case r.running >= r.slots || r.loading > 0:
		refuse(http.StatusServiceUnavailable, "X-Not-Executed", "1")
		return
	}
	r.running++
	r.runs = append(r.runs, ranRequest{at: time.Now(), replica: r.id, id: id})
	if r.model {
		r.cache(request)
	}
	r.mu.Unlock()
	r.w.note("run", "replica", r.id, "id", id, "leaving", leaving != "")
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	headers := []string{"X-Request-Id", id, "X-Response-Seal", "seal." + id, "X-Weight-Versions", weights, "X-Replica-Load", load, "Server-Leaving", leaving}
	if !r.model {
		time.Sleep(r.work)
		a.whole(http.StatusOK, plainBody(id), headers...)
		return
	}
	a.head(http.StatusOK, -1, append(headers, "Content-Type", "text/event-stream")...)
	for i := range streamEvents {
		time.Sleep(r.work / streamEvents)
		a.chunk(streamEvent(id, i+1))
	}
	a.write("0\r\n\r\n")
}

const streamEvents = 5

func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, id, number)
}

func wholeStream(id string) string {
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(streamEvent(id, i+1))
	}
	return b.String()
}

func plainBody(id string) string { return "done " + id }

// ordersOf returns the orders that reached all replicas.
func (w *world) allOrders() (all []order) {
	for _, r := range w.replicas {
		r.mu.Lock()
		all = append(all, r.orders...)
		r.mu.Unlock()
	}
	return all
}

// runsOf returns the runs of all replicas.
func (w *world) allRuns() (all []ranRequest) {
	for _, r := range w.replicas {
		r.mu.Lock()
		all = append(all, r.runs...)
		r.mu.Unlock()
	}
	return all
}
