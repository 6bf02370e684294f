package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of the bounds, and contactTime is contactMs.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// leavingRounds is how often the case is played, with new daemons, and leavingClients how many clients send.
	leavingRounds  = 4
	leavingClients = 12
	// lingering is how long a replica serves after its entry is gone.
	lingering = 6 * time.Second
)

// leavingBehindSilence removes the entry of a replica just after the open channels to the store have fallen silent. Each round has daemons
// of its own, which are 10 s old then.
func leavingBehindSilence(w *world, t trouble) (breaches []string, err error) {
	w.putConfiguration(3)
	for i := range 3 {
		if _, err := w.addReplica(orderReplica(i + 1)); err != nil {
			return nil, err
		}
	}
	late := 0
	for round := range leavingRounds {
		tooLate, err := w.leavingRound(round, t)
		if err != nil {
			return nil, err
		}
		late += tooLate
	}
	if late > 0 {
		breaches = append(breaches, fmt.Sprintf("DRAIN: %d requests reached replicas later than drainMs after the store had acknowledged that they are gone", late))
	}
	return breaches, nil
}

func orderReplica(number int) replicaSettings {
	return replicaSettings{
		id: fmt.Sprint("o-", number), service: "orders", zone: fmt.Sprint("zone-", number%3+1), software: "v1", slots: 24, firstAfter: 15 * time.Millisecond,
	}
}

// leavingRound plays one round, and returns how many requests reached the replica that left too late, sent by machines in touch.
func (w *world) leavingRound(round int, t trouble) (tooLate int, err error) {
	leaving, err := w.addReplica(orderReplica(4 + round))
	if err != nil {
		return 0, err
	}
	defer leaving.close()
	started := time.Now()
	var daemons []*daemon
	for i := range 3 {
		d, err := w.addDaemon(fmt.Sprintf("front-%d-%d", round+1, i+1), fmt.Sprint("zone-", i+1), memoryMB)
		if err != nil {
			return 0, err
		}
		daemons = append(daemons, d)
		defer d.kill()
	}
	for _, d := range daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	sent := &sentTimes{at: make(map[string]time.Time), answers: make(map[int]int)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	for i := range leavingClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ctx.Err() == nil; n++ {
				c := call{id: fmt.Sprintf("r%d-c%d-%d", round+1, i, n), method: "POST", path: "/order/x", body: "order", deadline: 600 * time.Millisecond}
				sent.note(c.id)
				sent.answered(send(ctx, daemons[(i+n)%len(daemons)].callers, c))
				time.Sleep(15 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	silent := time.Now()
	if t.cut {
		for _, d := range daemons {
			d.toStore.silence()
		}
		w.note("the open channels from the daemons to the store are silent from now on; new ones work")
	}
	time.Sleep(200 * time.Millisecond)
	leaving.leave()
	left := time.Now()
	time.Sleep(lingering)
	latest, runs := time.Duration(0), leaving.runs()
	w.note("round %d: %s; %s ran %d of them, the last one %s", round+1, sent, leaving.id, len(runs), lastID(runs))
	for _, ran := range runs {
		at := sent.of(ran.id)
		if at.Sub(left) > drainTime && at.Sub(silent) > contactTime {
			tooLate++
			latest = max(latest, at.Sub(left))
			w.note("%s ran at %s, sent %.3f s after the removal and %.3f s after the silence began", ran.id, leaving.id, at.Sub(left).Seconds(), at.Sub(silent).Seconds())
		}
	}
	w.note("round %d: %d requests ran at %s that were sent more than %v after its entry was removed, and more than %v after the silence began; the last one %.2f s after the removal",
		round+1, tooLate, leaving.id, drainTime, contactTime, latest.Seconds())
	return tooLate, nil
}

// sentTimes remembers when clients sent their requests, and counts their answers by status; zero stands for none.
type sentTimes struct {
	mu      sync.Mutex
	at      map[string]time.Time
	answers map[int]int
}

func (s *sentTimes) answered(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[a.status]++
}

// String counts what was sent and answered.
func (s *sentTimes) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d requests sent, answers by status %v", len(s.at), s.answers)
}

func (s *sentTimes) note(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

func (s *sentTimes) of(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id]
}

func lastID(runs []ranRequest) string {
	if len(runs) == 0 {
		return "none"
	}
	return runs[len(runs)-1].id
}
