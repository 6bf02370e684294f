package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// leastTakenUp is how many streams have to be taken up for the rule to count.
	leastTakenUp = 12
	// takenUpStreams is how many streams are under way when the processes are killed.
	takenUpStreams = 60
	// newStreamsTime is how long new streams are asked for once the daemons are in touch again.
	newStreamsTime = 3 * time.Second
)

// takeUpPauses are the pauses of a client before its tries, of which it makes a few. A longer Retry-After goes before.
var takeUpPauses = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2200 * time.Millisecond, time.Second}

func init() { cases["takeups"] = playTakeUps }

// takenUp is what came of the streams.
type takenUp struct {
	mu sync.Mutex
	// inTouchFrom is when the daemons are in touch again; zero before the kill.
	inTouchFrom time.Time
	// asked are the streams that clients took up at daemons in touch, and wentOn those of them that went on.
	asked, wentOn map[string]bool
}

// playTakeUps kills all processes at the same moment while streams are under way at replicas of two software versions, and lets the clients take the
// streams up again.
func playTakeUps(f *fleet, trouble bool) error {
	versionsConfiguration.put(f.store)
	f.store.put("op/version/m", map[string]any{"model": "m", "version": 1})
	var replicas []*replica
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		r := &replica{fleet: f, service: "engines", zone: daemonZones[i%len(daemonZones)], model: "m", answer: answerStream}
		if _, err := r.start(fmt.Sprintf("i-%d", i), software); err != nil {
			return err
		}
		replicas = append(replicas, r)
	}
	defer endReplicas(replicas)
	for range 3 {
		if err := f.addDaemon(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	state := &takenUp{asked: make(map[string]bool), wentOn: make(map[string]bool)}
	var clients sync.WaitGroup
	for n := range takenUpStreams {
		clients.Go(func() { state.play(f, n) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	killed := f.daemons
	state.mu.Lock()
	if os.Getenv("TROUBLE") == "one" { // One process alone shows what the others know.
		killed, state.inTouchFrom = killed[:1], time.Now()
	}
	state.mu.Unlock()
	if trouble {
		for _, d := range killed {
			f.kill(d)
		}
		time.Sleep(restartTime)
		for _, d := range killed {
			if err := f.start(d); err != nil {
				return err
			}
		}
		if err := f.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	if len(killed) == len(f.daemons) {
		state.mu.Lock()
		state.inTouchFrom = time.Now().Add(contactTime)
		state.mu.Unlock()
		time.Sleep(contactTime)
	}
	begun, fresh := f.playNewStreams()
	clients.Wait()
	f.note("%d of %d streams that were taken up at daemons in touch went on; %d of %d new streams began", len(state.wentOn), len(state.asked), begun, fresh)
	if begun < fresh/2 {
		return fmt.Errorf("%d of %d new streams began", begun, fresh)
	}
	share, newShare := float64(len(state.wentOn))/float64(max(len(state.asked), 1)), float64(begun)/float64(fresh)
	if len(state.asked) >= leastTakenUp && share < newShare/2 {
		return fmt.Errorf("%w: LOST, %d of %d streams went on", errBroken, len(state.wentOn), len(state.asked))
	}
	return nil
}

// playNewStreams asks for new streams, and returns how many began.
func (f *fleet) playNewStreams() (begun, asked int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for end := time.Now().Add(newStreamsTime); time.Now().Before(end); asked++ {
		n := asked
		group.Go(func() {
			last := 0
			status, _ := f.readStream(n, fmt.Sprintf("new%d-0", n), "", &last)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK && last > 0 {
				begun++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	return begun, asked
}

// play asks for a stream and takes it up a few times if its channel breaks.
func (t *takenUp) play(f *fleet, n int) {
	name, last, first := fmt.Sprintf("s%d", n), 0, ""
	begun := time.Now()
	_, whole := f.readStream(n, name+"-0", "", &last)
	if whole || last == 0 {
		return
	}
	first = name + "-0"
	for try, pause := range takeUpPauses {
		time.Sleep(pause)
		if time.Since(begun) > versionsConfiguration.Timeout {
			return
		}
		t.mu.Lock()
		inTouch := !t.inTouchFrom.IsZero() && time.Now().After(t.inTouchFrom)
		t.mu.Unlock()
		status, whole := f.readStream(n+try+1, fmt.Sprintf("%s-%d", name, try+1), first, &last)
		f.note("client: %s taken up after event %d, try %d, in touch %t: status %d, whole %t", name, last, try+1, inTouch, status, whole)
		t.mu.Lock()
		if inTouch {
			t.asked[name] = true
			t.wentOn[name] = t.wentOn[name] || whole
			if !t.wentOn[name] {
				delete(t.wentOn, name)
			}
		}
		t.mu.Unlock()
		if whole {
			return
		}
	}
}

// readStream reads the events of one try at a daemon, from the one after the last on if it takes a stream up. It reports whether the answer was complete.
func (f *fleet) readStream(n int, id, resumes string, last *int) (status int, whole bool) {
	request, err := versionsConfiguration.request(f.daemons[n%len(f.daemons)].callers, versionsConfiguration.Routes[0], "body", id)
	if err != nil {
		return 0, false
	}
	if resumes != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(*last))
		request.Header.Set("Resumes", resumes)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: versionsConfiguration.Timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, false
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			*last, _ = strconv.Atoi(text)
		}
	}
	return response.StatusCode, lines.Err() == nil && *last == streamEvents
}
