package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamEvents   = 25
	streamInterval = 100 * time.Millisecond
	// storeAwayTime is how long the store is away: the longest time of platform_down for all machines on the site's sheet.
	storeAwayTime = 4500 * time.Millisecond
	// replicaDown is how long a replica is down when it is started again in its place.
	replicaDown = time.Second
	// storeLead is how long before the first replica is up again the store goes away, and restartGap the time from then until the next one is stopped.
	storeLead  = 100 * time.Millisecond
	restartGap = 600 * time.Millisecond
	// streamPause is the time between two streams.
	streamPause = 25 * time.Millisecond
	// allowedMixed is how many streams may hold events of two versions.
	allowedMixed = 2
)

var versionsConfiguration = configuration{
	Version: 7, Host: "app.example", Key: "key", Model: "m", Timeout: 8 * time.Second,
	Routes: []route{{Name: "ask", Kind: "streaming", Service: "engines"}},
}

func init() { cases["versions"] = playVersions }

// stream is a stream of one client over all its tries.
type stream struct {
	events   []string
	software map[string]bool
	whole    bool
}

// playVersions restarts the replicas of a service one after the other in their places, with newer software, while the store is away.
func playVersions(f *fleet, trouble bool) error {
	versionsConfiguration.put(f.store)
	f.store.put("op/version/m", map[string]any{"model": "m", "version": 1})
	var storeAway atomic.Bool
	replicas, err := startReplicas(f, &storeAway)
	if err != nil {
		return err
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
	time.Sleep(time.Second)
	end := playStreams(f)
	time.Sleep(9 * time.Second)
	if trouble {
		if err := restartReplicas(f, replicas[:2], &storeAway); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	return judgeStreams(f, end())
}

// playStreams lets clients ask for streams. The returned function ends that and returns the streams by their names.
func playStreams(f *fleet) (end func() map[string]*stream) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	streams := make(map[string]*stream)
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(streamPause):
			}
			clients.Go(func() {
				s, id := &stream{software: make(map[string]bool)}, fmt.Sprintf("s%d", n)
				mu.Lock()
				streams[id] = s
				mu.Unlock()
				s.play(f, n, id)
			})
		}
	})
	return func() map[string]*stream {
		close(stop)
		clients.Wait()
		return streams
	}
}

// judgeStreams checks that no more than two streams hold events of replicas of two software versions.
func judgeStreams(f *fleet, streams map[string]*stream) error {
	mixed, whole := 0, 0
	for id, s := range streams {
		if s.whole {
			whole++
		}
		if len(s.software) > 1 {
			mixed++
			f.note("stream %s holds events of two versions of the software: %s", id, strings.Join(s.events, " "))
		}
	}
	f.note("%d streams, %d whole, %d with events of two versions", len(streams), whole, mixed)
	if whole < len(streams)/4 {
		return fmt.Errorf("%d of %d streams were whole", whole, len(streams))
	}
	if mixed > allowedMixed {
		return fmt.Errorf("%w: ORDER, %d streams hold events of replicas of two software versions", errBroken, mixed)
	}
	return nil
}

// restartReplicas starts replicas again in their places, one after the other, with other software. The store is away from shortly before the first
// one is up again.
func restartReplicas(f *fleet, replicas []*replica, storeAway *atomic.Bool) error {
	leaves := os.Getenv("TROUBLE") != "restarts" // The restarts alone show what the other half does.
	time.AfterFunc(replicaDown-storeLead, func() {
		if !leaves {
			return
		}
		f.note("the store is away")
		storeAway.Store(true)
		f.store.leave()
		time.Sleep(storeAwayTime)
		f.store.comeBack()
		storeAway.Store(false)
		f.note("the store is back")
	})
	for _, r := range replicas {
		before := r.current
		before.crash("it is started again in its place with other software")
		time.Sleep(replicaDown)
		if _, err := r.start(before.id, "v2"); err != nil {
			return err
		}
		time.Sleep(restartGap)
	}
	return nil
}

// answerStream writes the events of a stream from the one that the request names.
func answerStream(l *lifetime, w http.ResponseWriter, r *http.Request) {
	l.replica.fleet.note("replica %s (%s) runs %s, after event %q", l.id, l.software, r.Header.Get("X-Request-Id"), r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := from + 1; id <= streamEvents; id++ {
		select {
		case <-time.After(streamInterval):
		case <-l.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, l.software)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// play asks for the stream at one daemon, and takes it up once at the next one if its channel breaks.
func (s *stream) play(f *fleet, n int, id string) {
	last, first := 0, ""
	for try := range 2 {
		d := f.daemons[(n+try)%len(f.daemons)]
		request, err := versionsConfiguration.request(d.callers, versionsConfiguration.Routes[0], "body", fmt.Sprintf("%s-%d", id, try))
		if err != nil {
			return
		}
		if last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(last))
			request.Header.Set("Resumes", first)
		}
		status, ended := s.read(request, &last)
		f.note("client: %s-%d at %s, status %d, complete %t, events so far %d", id, try, d.name, status, ended, last)
		if ended {
			s.whole = last == streamEvents
			return
		}
		if first == "" && last > 0 {
			first = fmt.Sprintf("%s-%d", id, try)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// read reads the events of one try. It returns the status, and whether the answer was complete.
func (s *stream) read(request *http.Request, last *int) (status int, complete bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}
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
		if text, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.events = append(s.events, fmt.Sprintf("%d/%s", *last, text))
			s.software[text] = true
		}
	}
	return response.StatusCode, lines.Err() == nil
}
