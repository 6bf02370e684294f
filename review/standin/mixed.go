package main

import (
	"fmt"
	"time"
)

func init() { cases["mixed"] = playMixed }

// playMixed plays replicas that send some of their answers a second time, late. It is judged by MIXED: a client gets a
// success without the replica's seal, or an answer that belongs to another request.
func playMixed(w *world) (broken bool, err error) {
	const (
		// The doses are those of the site pages, see claim.txt: 0.03 of the answers of 0.6 of the replicas, for 5 s, more than once.
		extraEvery = 34
		spoiled    = 6
		replicas   = 10
		bout       = 5 * time.Second
		pause      = 2 * time.Second
		perSecond  = 120
		length     = 95 * time.Second
	)
	start := time.Now()
	doubling := func() bool { return time.Since(start)%(bout+pause) >= pause }
	w.configure(false)
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	for i := range replicas {
		r := &replica{id: fmt.Sprintf("i-7f3a91c%x", i), service: "engines", zone: zones[i%3], model: true, slots: 64, work: 20 * time.Millisecond, load: 830 * time.Millisecond}
		if w.trouble && i < spoiled {
			r.extraEvery, r.doubling = extraEvery, doubling
		}
		if _, err := w.addReplica(r); err != nil {
			return false, err
		}
	}
	for i, zone := range zones {
		if _, err := w.startDaemon(fmt.Sprintf("front-%s-%d", zone, i), zone, 1000, w.store.Address()); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	c := w.newClient()
	c.load(w.daemons, perSecond, length, func(int) bool { return true })
	served := 0
	for _, r := range c.all() {
		if r.status/100 != 2 || r.err != nil {
			continue
		}
		served++
		if r.seal == "" || r.echo != r.id || r.body != wholeStream(r.id) {
			broken = true
			w.note("MIXED", "id", r.id, "status", r.status, "seal", r.seal, "echo", r.echo, "body", r.body[:min(len(r.body), 300)])
		}
	}
	w.note("verdict", "broken", broken, "sent", len(c.all()), "served", served)
	if served < len(c.all())/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(c.all()))
	}
	return broken, nil
}
