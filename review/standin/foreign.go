package main

import (
	"net"
	"net/http"
	"net/netip"
	"time"
)

func init() { cases["foreign"] = playForeign }

// playForeign plays an entry of another writer among those of the replicas. It is judged by DENIED: more than 5 + one in 500
// of all requests are ended with a 4xx that no replica gave, though they are proper.
func playForeign(w *world) (broken bool, err error) {
	const (
		perSecond = 60
		before    = 4 * time.Second
		length    = 20 * time.Second
	)
	w.configure(false)
	for i, zone := range []string{"sapporo", "asahikawa", "hakodate"} {
		if _, err := w.addReplica(&replica{id: "i-7f3a91c" + string(rune('0'+i)), service: "orders", zone: zone, slots: 6, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	// A program that is no replica: it knows none of the paths that it is asked for.
	listener, err := net.Listen("tcp", netip.AddrPortFrom(w.nextHost(), 0).String())
	if err != nil {
		return false, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.note("foreign server asked", "path", r.URL.Path, "id", r.Header.Get("X-Request-Id"), "tenant", r.Header.Get("X-Tenant"))
		http.NotFound(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	for _, zone := range []string{"sapporo", "asahikawa"} {
		if _, err := w.startDaemon("front-"+zone+"-1", zone, 1000, w.store.Address()); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.AfterFunc(before, func() {
		if !w.trouble {
			return
		}
		// It lacks the version of the software, coldRemainingMs, seq and born.
		entry := map[string]any{"service": "orders", "address": listener.Addr().String(), "zone": "sapporo", "slots": 6, "state": "ready"}
		w.store.Put("servers/agent-7", entry)
		w.note("entry of another writer", "entry", entry)
	})
	c := w.newClient()
	c.load(w.daemons, perSecond, length, func(int) bool { return false })
	ran := make(map[string]bool)
	for _, r := range w.allRuns() {
		ran[r.id] = true
	}
	denied, lost := 0, 0
	for _, r := range c.all() {
		if r.status/100 != 4 || r.status == 408 || r.status == 421 || r.status == 429 || r.seal != "" {
			continue
		}
		denied++
		if !ran[r.id] {
			lost++
		}
		w.note("DENIED", "id", r.id, "daemon", r.daemon, "status", r.status, "ran", ran[r.id])
	}
	sent := len(c.all())
	broken = denied > 5+sent/500
	w.note("verdict", "broken", broken, "sent", sent, "denied", denied, "of them never run", lost)
	return broken, nil
}
