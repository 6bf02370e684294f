package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two entries of a replica. One that the store did not take is written as soon as it can be.
const (
	heartbeat = 1200 * time.Millisecond
	beatStep  = 20 * time.Millisecond
)

// replica is a stand-in of a replica at one address. Each start is a new lifetime.
type replica struct {
	fleet   *fleet
	service string
	zone    string
	model   string
	// answer serves an admitted request.
	answer func(l *lifetime, w http.ResponseWriter, r *http.Request)
	// storeAway is set while the store is away, so that no replica reaches it.
	storeAway *atomic.Bool

	mu      sync.Mutex
	address string
	current *lifetime
}

// lifetime is a replica from one start to its end.
type lifetime struct {
	replica  *replica
	id       string
	software string
	born     time.Time
	server   *http.Server
	ended    chan struct{}
	endOnce  sync.Once
}

// start starts a lifetime at the replica's address.
func (r *replica) start(id, software string) (*lifetime, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	l := &lifetime{replica: r, id: id, software: software, born: time.Now(), ended: make(chan struct{})}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	r.current = l
	go func() { _ = l.server.Serve(listener) }()
	r.fleet.note("replica %s of %s starts at %s, software %s", id, r.service, r.address, software)
	go l.beat()
	return l, nil
}

// beat writes the replica's entry with each heartbeat.
func (l *lifetime) beat() {
	for {
		l.write()
		for waited := time.Duration(0); waited < heartbeat || l.replica.storeAway != nil && l.replica.storeAway.Load(); waited += beatStep {
			select {
			case <-l.ended:
				return
			case <-time.After(beatStep):
			}
		}
	}
}

// write writes the entry of the replica, if it lives and reaches the store.
func (l *lifetime) write() {
	r := l.replica
	select {
	case <-l.ended:
		return
	default:
	}
	if r.storeAway != nil && r.storeAway.Load() {
		return
	}
	models := []any{}
	if r.model != "" {
		models = append(models, map[string]any{"name": r.model, "version": 1, "adapters": []string{}})
	}
	r.fleet.store.put("servers/"+l.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": l.software, "slots": 24, "state": "ready",
		"coldRemainingMs": 0, "seq": 0, "born": l.born.UnixMilli(), "stage": "both", "models": models,
	})
}

// crash ends the lifetime as the end of its process does: its listener and all its channels are closed.
func (l *lifetime) crash(cause string) {
	l.endOnce.Do(func() {
		close(l.ended)
		l.replica.fleet.note("replica %s crashes: %s", l.id, cause)
		_ = l.server.Close()
	})
}

// serve serves the replica's protocol.
func (l *lifetime) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	switch r.URL.Path {
	case "/report":
		header.Set("Content-Type", "application/json")
		models := "[]"
		if l.replica.model != "" {
			models = fmt.Sprintf(`[{"name":%q,"version":1,"adapters":[]}]`, l.replica.model)
		}
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":%s,"busy":false,"seq":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":100000,"handles":0,"born":%d}`, models, l.born.UnixMilli())
		return
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		header.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"bootEpoch":%d,"next":1,"lost":false,"events":[],"born":%d}`, l.born.UnixMilli(), l.born.UnixMilli())
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if l.replica.model != "" {
		header.Set("X-Weight-Versions", "1")
	}
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != l.id {
		header.Set("X-Replica-Id", l.id)
		header.Set("X-Not-Executed", "1")
		header.Del("X-Weight-Versions")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Version"); l.replica.model != "" && expected != "" && expected != "1" {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	header.Set("X-Response-Seal", "seal."+l.id)
	l.replica.answer(l, w, r)
}
