package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// takenStream is a stream over all its client attempts.
type takenStream struct {
	id      string
	answers []answer
}

// software returns the versions of the replicas' software from which the client has events.
func (s takenStream) software() (versions []string) {
	known := make(map[string]bool)
	for _, a := range s.answers {
		for _, e := range a.events {
			if !known[e.software] {
				known[e.software] = true
				versions = append(versions, e.software)
			}
		}
	}
	return versions
}

// last returns the id of the last event that the client has, and the id of the attempt that brought the first one.
func (s takenStream) last() (lastEvent int, first string) {
	for i, a := range s.answers {
		if len(a.events) > 0 && first == "" {
			first = attemptID(s.id, i)
		}
		if len(a.events) > 0 {
			lastEvent = a.events[len(a.events)-1].id
		}
	}
	return lastEvent, first
}

func attemptID(stream string, attempt int) string { return fmt.Sprintf("%s-%d", stream, attempt+1) }

func queryCall(id string, prompt int, deadline time.Duration) call {
	return call{
		id: id, method: "POST", path: "/query/ask", body: "question", tokens: "300,12",
		prompt: fmt.Sprintf("%x:200,%x:100", 0xa0000+prompt, 0xb0000+prompt), deadline: deadline,
	}
}

const (
	queryTime = 3 * time.Second
	streams   = 24
)

// takeUpAfterCut lets a zone be cut off while streams wait for their first event at a replica of another zone. The daemon of the zone
// begins them anew at a replica of its own zone, which has another version of the software. Then the daemon is killed, and the clients
// take their streams up at a daemon of another zone.
func takeUpAfterCut(w *world, t trouble) (breaches []string, err error) {
	replicas, daemons, err := w.threeZones([]engine{{"i-1", "zone-1", "v2"}, {"i-2", "zone-2", "v1"}, {"i-3", "zone-3", "v1"}}, 9)
	if err != nil {
		return nil, err
	}
	if err := w.warmUp(daemons[0]); err != nil {
		return nil, err
	}
	w.note("replicas i-2 and i-3 fall silent for 1 s, %d streams are sent to front-1", streams)
	replicas[1].silence(time.Second)
	replicas[2].silence(time.Second)
	results := make([]takenStream, streams)
	var all sync.WaitGroup
	for i := range results {
		results[i].id = fmt.Sprintf("s%02d", i)
		all.Add(1)
		go func() {
			defer all.Done()
			w.follow(&results[i], i, daemons)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if t.cut {
		if err := w.cutZone("zone-1", true); err != nil {
			return nil, err
		}
	}
	time.Sleep(1100 * time.Millisecond)
	if t.cut {
		if err := w.cutZone("zone-1", false); err != nil {
			return nil, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	if t.kill {
		daemons[0].kill()
		w.note("daemon front-1 killed")
	}
	all.Wait()
	whole, joined := 0, 0
	for _, s := range results {
		if s.answers[len(s.answers)-1].whole && s.answers[len(s.answers)-1].status == 200 {
			whole++
		}
		versions := s.software()
		w.noteStream(s, versions)
		if len(versions) > 1 {
			joined++
		}
	}
	w.noteRuns("s")
	w.note("%d of %d streams ended whole, %d hold events of two software versions; more than two break the rule", whole, streams, joined)
	if !t.cut && !t.kill && whole < streams {
		return nil, fmt.Errorf("only %d of %d streams were whole without the disruption", whole, streams)
	}
	if joined > 2 {
		breaches = append(breaches, fmt.Sprintf("ORDER: %d streams hold events from replicas of two software versions of one service", joined))
	}
	return breaches, nil
}

// engine is a replica of a model, with its zone and the version of its software.
type engine struct{ id, zone, software string }

// threeZones starts engines, and a daemon in each of three zones, and waits until the daemons know each other.
func (w *world) threeZones(engines []engine, events int) (replicas []*replica, daemons []*daemon, err error) {
	w.putConfiguration(3)
	for _, e := range engines {
		added, err := w.addReplica(replicaSettings{
			id: e.id, zone: e.zone, software: e.software, service: "engines", model: model, slots: 64,
			firstAfter: 30 * time.Millisecond, pause: 200 * time.Millisecond, events: events,
		})
		if err != nil {
			return nil, nil, err
		}
		replicas = append(replicas, added)
	}
	for i := range 3 {
		added, err := w.addDaemon(fmt.Sprint("front-", i+1), fmt.Sprint("zone-", i+1), 134)
		if err != nil {
			return nil, nil, err
		}
		daemons = append(daemons, added)
	}
	for _, d := range daemons {
		if err := d.awaitReady(15 * time.Second); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(3 * time.Second) // The daemons have found each other, and the versions are in the store.
	return replicas, daemons, nil
}

const (
	warmUpClients = 6
	warmUpCalls   = 20
)

// warmUp sends streams whose clients leave soon, so that the daemon has a retry budget as in steady traffic.
func (w *world) warmUp(d *daemon) error {
	var served atomic.Int32
	var all sync.WaitGroup
	for i := range warmUpClients {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range warmUpCalls {
				id, prompt := fmt.Sprintf("w%d-%d", i, n), 1000+warmUpCalls*i+n
				if a := send(context.Background(), d.callers, queryCall(id, prompt, 300*time.Millisecond)); a.status == 200 {
					served.Add(1)
				}
			}
		}()
	}
	all.Wait()
	w.note("warm-up: %d of %d streams began", served.Load(), warmUpClients*warmUpCalls)
	if served.Load() < warmUpClients*warmUpCalls/2 {
		return fmt.Errorf("only %d streams began in the warm-up", served.Load())
	}
	return nil
}

// follow sends a stream to the first daemon, and takes it up at the others when its channel breaks.
func (w *world) follow(s *takenStream, number int, daemons []*daemon) {
	end := time.Now().Add(queryTime)
	for attempt := 0; attempt < 3 && time.Until(end) > 0; attempt++ {
		d := daemons[attempt]
		c := queryCall(attemptID(s.id, attempt), number, time.Until(end))
		last, first := s.last()
		if last > 0 {
			c.lastEventID, c.resumes = fmt.Sprint(last), first
		}
		a := send(context.Background(), d.callers, c)
		s.answers = append(s.answers, a)
		w.note("attempt %s at %s after event %q: status %d, %d events, whole %v, error %v", c.id, d.name, c.lastEventID, a.status, len(a.events), a.whole, a.err)
		if a.whole && a.status == 200 {
			return
		}
		pause := 20 * time.Millisecond
		if seconds, err := strconv.ParseFloat(a.retry, 64); err == nil {
			pause = min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
		}
		time.Sleep(pause)
	}
}

func (w *world) noteStream(s takenStream, versions []string) {
	var text []string
	for _, a := range s.answers {
		for _, e := range a.events {
			text = append(text, fmt.Sprintf("%d:%s", e.id, e.software))
		}
		text = append(text, "|")
	}
	w.note("stream %s: versions %v, events %s", s.id, versions, strings.Join(text, " "))
}

// takeUpOfCutOff lets streams begin at a daemon whose zone is cut off. When the cut has healed, the daemon is killed, and the clients take
// their streams up at the other daemons, which never heard where they began.
func takeUpOfCutOff(w *world, t trouble) (breaches []string, err error) {
	_, daemons, err := w.threeZones([]engine{
		{"i-1", "zone-1", "v1"}, {"i-2", "zone-2", "v1"}, {"i-3", "zone-3", "v1"}, {"i-4", "zone-1", "v2"}, {"i-5", "zone-2", "v2"}, {"i-6", "zone-3", "v2"},
	}, 11)
	if err != nil {
		return nil, err
	}
	if t.cut {
		if err := w.cutZone("zone-1", true); err != nil {
			return nil, err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	results := make([]takenStream, streams)
	var all sync.WaitGroup
	for i := range results {
		results[i].id = fmt.Sprintf("s%02d", i)
		all.Add(1)
		go func() {
			defer all.Done()
			w.follow(&results[i], i, daemons)
		}()
	}
	time.Sleep(time.Second)
	if t.cut {
		if err := w.cutZone("zone-1", false); err != nil {
			return nil, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if t.kill {
		daemons[0].kill()
		w.note("daemon front-1 killed")
	}
	fresh := make([]answer, streams)
	for i := range fresh {
		all.Add(1)
		go func() {
			defer all.Done()
			c, d := queryCall(fmt.Sprintf("n%02d", i), 100+i, queryTime), daemons[1+i%2]
			fresh[i] = send(context.Background(), d.callers, c)
			w.note("new stream %s at %s: status %d, %d events, whole %v, error %v", c.id, d.name, fresh[i].status, len(fresh[i].events), fresh[i].whole, fresh[i].err)
		}()
	}
	all.Wait()
	taken, wentOn, began := 0, 0, 0
	for _, s := range results {
		w.noteStream(s, s.software())
		if len(s.answers[0].events) == 0 || s.answers[0].whole {
			continue
		}
		taken++
		if last, _ := s.last(); last > s.answers[0].events[len(s.answers[0].events)-1].id {
			wentOn++
		}
	}
	for _, a := range fresh {
		if len(a.events) > 0 {
			began++
		}
	}
	w.noteRuns("s", "n")
	w.note("%d of %d streams that were taken up went on; %d of %d new streams began at the same daemons", wentOn, taken, began, streams)
	if !t.kill && taken > 0 {
		return nil, fmt.Errorf("%d streams broke without the disruption", taken)
	}
	if taken >= 12 && 2*wentOn*streams < taken*began {
		breaches = append(breaches, fmt.Sprintf("LOST: %d of %d streams that clients took up again went on, while %d of %d new ones began", wentOn, taken, began, streams))
	}
	return breaches, nil
}

// noteRuns writes into the record what replicas ran of the requests whose ids begin so.
func (w *world) noteRuns(prefixes ...string) {
	for _, r := range w.replicas {
		for _, ran := range r.runs() {
			if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(ran.id, prefix) }) {
				w.note("run of %s at %s (%s) after event %q, whole %v", ran.id, ran.replica, ran.software, ran.resumedAfter, ran.whole)
			}
		}
	}
}
