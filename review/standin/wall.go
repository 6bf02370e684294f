package main

import (
	"time"
)

func init() { cases["wall"] = playWall }

// playWall plays a change of the configuration that isolates a tenant. It is judged by WALL: a request uses KV cache that a
// request of another tenant made, and one of the two is isolated.
func playWall(w *world) (broken bool, err error) {
	// applied is configApplyMs.
	const applied = 2 * time.Second
	w.configure(false)
	for _, id := range []string{"i-7f3a91c0", "i-7f3a91c1"} {
		if _, err := w.addReplica(&replica{id: id, service: "engines", zone: "sapporo", model: true, slots: 64, work: 20 * time.Millisecond, load: 830 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"sapporo", "asahikawa"} {
		if _, err := w.startDaemon("front-"+zone+"-1", zone, 1000, w.store.Address()); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	c := w.newClient()
	parts := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "77aa01ce"}
	ask := func(key string) {
		for n := range 24 {
			c.sendAs(key, w.daemons[n%2], true, parts[n%len(parts)])
			time.Sleep(20 * time.Millisecond)
		}
	}
	ask(clientKey)
	w.isolated = w.trouble
	w.configure(false)
	time.Sleep(applied + time.Second)
	w.walled.Store(w.isolated)
	ask(otherKey)
	ask(clientKey)
	broken = w.walls.Load() > 0
	w.note("verdict", "broken", broken, "uses across the wall", w.walls.Load(), "sent", len(c.all()))
	return broken, nil
}
