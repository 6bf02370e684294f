package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// leaseTime is leaseMs, and lapseTime how long the store is away while leases expire.
	leaseTime = 3 * time.Second
	lapseTime = 600 * time.Millisecond
	loadTime  = 1900 * time.Millisecond
)

var holderConfiguration = configuration{
	Version: 7, Host: "app.example", Key: "key", Model: "m", Timeout: 8 * time.Second,
	Routes: []route{{Name: "ask", Kind: "streaming", Service: "engines"}},
}

func init() { cases["holder"] = playHolder }

// order is an order that arrived at an engine.
type order struct {
	engine, holder string
	fence          uint64
	version        int64
	at             time.Time
	status         int
}

// engine is a stand-in of a replica that takes orders and does not check fences.
type engine struct {
	id string
	f  *fleet

	mu      sync.Mutex
	address string
	version int64
	loading int64
	seq     int64
	log     *orderLog
}

type orderLog struct {
	mu     sync.Mutex
	orders []order
	first  chan struct{}
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": "m", "version": e.version, "adapters": []string{}}}
}

// write writes the entry of the engine.
func (e *engine) write(born int64) {
	e.mu.Lock()
	entry := map[string]any{
		"service": "engines", "address": e.address, "zone": daemonZones[0], "version": "v1", "slots": 24, "state": "ready",
		"coldRemainingMs": 0, "seq": e.seq, "born": born, "stage": "both", "models": e.models(),
	}
	e.mu.Unlock()
	if !e.f.store.isAway() {
		e.f.store.put("servers/"+e.id, entry)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		reply(w, map[string]any{
			"stage": "both", "models": e.models(), "busy": e.loading > 0, "seq": e.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0,
		})
	case "/kv-events":
		reply(w, map[string]any{"bootEpoch": 1, "next": 1, "lost": false, "events": []any{}})
	case "/order":
		e.takeOrder(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// takeOrder carries out an order. The caller holds mu.
func (e *engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var wire struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&wire) != nil || wire.Holder == "" || wire.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := http.StatusAccepted
	switch {
	case e.version == wire.Version:
		status = http.StatusOK
	case e.loading > 0 || wire.Expected != nil && *wire.Expected != e.seq:
		status = http.StatusConflict
	default:
		e.seq++
		e.loading = wire.Version
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version, e.loading = e.loading, 0
		})
	}
	w.WriteHeader(status)
	e.f.note("order at %s: holder %s, fence %d, version %d, answered %d", e.id, wire.Holder, wire.Fence, wire.Version, status)
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.log.orders = append(e.log.orders, order{engine: e.id, holder: wire.Holder, fence: wire.Fence, version: wire.Version, at: time.Now(), status: status})
	if len(e.log.orders) == 1 {
		close(e.log.first)
	}
}

// playHolder stops the holder by SIGTERM right after an order. When the next holder has taken the lock over, the store is away for a moment, and
// leases expire meanwhile.
func playHolder(f *fleet, trouble bool) error {
	return playOrders(f, 2, func(holder *daemon, taken <-chan string) error {
		f.note("SIGTERM to %s", holder.name)
		_ = holder.process.Process.Signal(syscall.SIGTERM)
		select {
		case <-taken:
		case <-time.After(10 * time.Second):
			return errors.New("no other daemon took the lock")
		}
		if trouble {
			f.note("the store is away, and leases expire")
			f.store.leave(true)
			time.Sleep(lapseTime)
			f.store.comeBack()
			f.note("the store is back")
		}
		return nil
	})
}

// playOrders lets the holder send an order, names another version of the weights, calls next, and judges the orders that follow.
func playOrders(f *fleet, daemons int, next func(holder *daemon, taken <-chan string) error) error {
	holderConfiguration.put(f.store)
	f.store.put("op/version/m", map[string]any{"model": "m", "version": 1})
	log := &orderLog{first: make(chan struct{})}
	end, err := startEngines(f, log)
	if err != nil {
		return err
	}
	defer end()
	taken := make(chan string, 100)
	f.store.onCommit = func(keys, values []string) {
		if i := slices.Index(keys, "rill/weights/holder"); i >= 0 {
			f.note("%s has taken the lock", values[i])
			taken <- values[i]
		}
	}
	for range daemons {
		if err := f.addDaemon(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	f.note("version 2 is named")
	f.store.put("op/version/m", map[string]any{"model": "m", "version": 2})
	select {
	case <-log.first:
	case <-time.After(10 * time.Second):
		return errors.New("no order arrived")
	}
	time.Sleep(20 * time.Millisecond) // The answer arrives.
	log.mu.Lock()
	name := log.orders[0].holder
	log.mu.Unlock()
	for len(taken) > 0 {
		<-taken
	}
	f.note("version 3 is named")
	f.store.put("op/version/m", map[string]any{"model": "m", "version": 3})
	for _, d := range f.daemons {
		if d.name != name {
			continue
		}
		if err := next(d, taken); err != nil {
			return err
		}
		break
	}
	time.Sleep(8 * time.Second)
	return judgeOrders(f, log)
}

// startEngines starts the engines. The returned function ends them.
func startEngines(f *fleet, log *orderLog) (end func(), err error) {
	stop := make(chan struct{})
	var beats sync.WaitGroup
	var servers []*http.Server
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-%d", i), f: f, version: 1, log: log}
		server, address, err := listen(http.HandlerFunc(e.serve))
		if err != nil {
			return nil, err
		}
		e.address = address
		servers = append(servers, server)
		born := time.Now().UnixMilli()
		beats.Go(func() {
			for {
				e.write(born)
				select {
				case <-stop:
					return
				case <-time.After(heartbeat):
				}
			}
		})
	}
	return func() {
		close(stop)
		beats.Wait()
		for _, server := range servers {
			_ = server.Close()
		}
	}, nil
}

// judgeOrders checks that no two holders have sent orders to an engine within leaseTime.
func judgeOrders(f *fleet, log *orderLog) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	turns, holders := 0, make(map[string]bool)
	for i, o := range log.orders {
		holders[o.holder] = true
		for _, before := range log.orders[:i] {
			if gap := o.at.Sub(before.at); before.engine == o.engine && before.holder != o.holder && gap < leaseTime {
				turns++
				f.note("%s: an order of %s comes %d ms after one of %s", o.engine, o.holder, gap.Milliseconds(), before.holder)
			}
		}
	}
	f.note("%d orders of %d holders", len(log.orders), len(holders))
	if len(holders) < 2 {
		return fmt.Errorf("%d holders sent orders", len(holders))
	}
	if turns > 0 {
		return fmt.Errorf("%w: ONE, %d times a holder's order came within leaseMs of another holder's", errBroken, turns)
	}
	return nil
}
