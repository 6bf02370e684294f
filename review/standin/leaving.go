package main

import (
	"fmt"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving plays a replica that leaves while the store turns one machine away. It is judged by DRAIN: a request that a
// client sent later than drainMs after a machine had passed on an answer with Server-Leaving reaches that replica from it.
func playLeaving(w *world) (broken bool, err error) {
	const (
		// awayTime is a dose of the site pages, see claim.txt.
		awayTime = 4 * time.Second
		// The replica says that it leaves leaveAfter after the store turned the machine away, serves for drainMs and linger, and exits.
		leaveAfter = 200 * time.Millisecond
		linger     = 1500 * time.Millisecond
		perSecond  = 60
	)
	w.configure(true)
	var replicas []*replica
	for i := range 4 {
		r, err := w.addReplica(&replica{id: fmt.Sprintf("i-7f3a91c%d", i), service: "engines", zone: "sapporo", model: true, slots: 64, work: 600 * time.Millisecond, load: 830 * time.Millisecond})
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	link, err := newProxy(w.store.Address())
	if err != nil {
		return false, err
	}
	defer link.close()
	machine, err := w.startDaemon("front-sapporo-1", "sapporo", 1000, link.address())
	if err != nil {
		return false, err
	}
	for _, zone := range []string{"asahikawa", "hakodate"} {
		if _, err := w.startDaemon("front-"+zone+"-1", zone, 1000, w.store.Address()); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	c := w.newClient()
	done := make(chan struct{})
	go func() {
		c.load([]*daemon{machine}, perSecond, 20*time.Second, func(int) bool { return true })
		close(done)
	}()
	time.Sleep(contact + 3*time.Second)
	if w.trouble {
		w.note("the store turns the machine away", "daemon", machine.name)
		link.cut()
		time.AfterFunc(awayTime, link.heal)
	}
	time.Sleep(leaveAfter)
	leaver := replicas[0]
	leaver.leave()
	time.Sleep(drainBound + linger)
	w.note("replica exits", "replica", leaver.id)
	leaver.close()
	w.store.Delete("servers/" + leaver.id)
	<-done

	var passedOn time.Time
	results := make(map[string]result)
	lost := 0
	for _, r := range c.all() {
		results[r.id] = r
		if r.leaving && (passedOn.IsZero() || r.endedAt.Before(passedOn)) {
			passedOn = r.endedAt
		}
	}
	late := 0
	for _, ran := range w.allRuns() {
		r := results[ran.id]
		if ran.replica != leaver.id || passedOn.IsZero() || !r.sentAt.After(passedOn.Add(drainBound)) {
			continue
		}
		late++
		whole := r.err == nil && r.status == 200 && r.body == wholeStream(r.id)
		if !whole {
			lost++
		}
		w.note("DRAIN", "id", r.id, "daemon", r.daemon, "sent_after_ms", r.sentAt.Sub(passedOn).Milliseconds(), "status", r.status, "whole answer", whole)
	}
	w.note("verdict", "broken", late > 0, "late", late, "of them without a whole answer", lost, "sent", len(results))
	return late > 0, nil
}
