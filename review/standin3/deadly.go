package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the small deployments.
	contactTime = 3 * time.Second
	// deadlyInterval is the time between two requests that crash replicas, and crashedTime how long a replica is down after a crash.
	deadlyInterval = 5 * time.Second
	crashedTime    = 2500 * time.Millisecond
	deadlyBody     = "deadly"
	// restartTime is how long a daemon is down when its process was killed.
	restartTime = 500 * time.Millisecond
	// allowedRetries is how many retries of such a request may reach replicas.
	allowedRetries = 3
)

// killTimes are the times, since the first deadly request, at which all processes are killed at the same moment.
var killTimes = []time.Duration{15300 * time.Millisecond, 40300 * time.Millisecond}

const deadlyTime = 64 * time.Second

var deadlyConfiguration = configuration{
	Version: 7, Host: "app.example", Key: "key", Timeout: 2 * time.Second,
	Routes: []route{{Name: "order", Kind: "non_idempotent", Service: "services"}},
}

func init() { cases["deadly"] = playDeadly }

// deadlyArrivals are what reached the replicas.
type deadlyArrivals struct {
	mu      sync.Mutex
	crashes int
	third   time.Time
	// touchedFrom is when the daemons are in touch again after the last time that their processes were started.
	touchedFrom time.Time
	// counted are the retries that reached replicas from daemons in touch, later than contactTime after the third crash.
	counted int
}

// arrive counts a deadly request that reaches a replica.
func (a *deadlyArrivals) arrive(l *lifetime, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.crashes++
	if a.crashes == 3 {
		a.third = now
	}
	inTouch := now.After(a.touchedFrom)
	counts := a.crashes > 3 && inTouch && now.Sub(a.third) > contactTime
	if counts {
		a.counted++
	}
	l.replica.fleet.note("deadly request %s reaches replica %s: crash %d, sender in touch %t, counts %t", id, l.id, a.crashes, inTouch, counts)
}

// playDeadly sends a request that crashes each replica which begins to run it, again and again. All processes of the system are killed at the same
// moment, twice, and start again.
func playDeadly(f *fleet, trouble bool) error {
	deadlyConfiguration.put(f.store)
	arrivals := &deadlyArrivals{}
	var replicas []*replica
	var mu sync.Mutex
	closed := false
	for i := range 4 {
		var r *replica
		r = &replica{fleet: f, service: "services", zone: daemonZones[i%len(daemonZones)]}
		r.answer = func(l *lifetime, w http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("X-Request-Id")
			if !strings.HasPrefix(id, "deadly") {
				select {
				case <-time.After(100 * time.Millisecond):
					_, _ = io.WriteString(w, "done "+id)
				case <-l.ended:
					panic(http.ErrAbortHandler)
				}
				return
			}
			arrivals.arrive(l, id)
			go l.crash("it begins to run " + id)
			time.AfterFunc(crashedTime, func() {
				mu.Lock()
				defer mu.Unlock()
				if !closed {
					f.store.delete("servers/" + l.id) // The next lifetime has another id, and the entry of this one lapses.
					_, _ = r.start(fmt.Sprintf("i-%d-%d", i, time.Now().UnixMilli()%100000), "v1")
				}
			})
			<-l.ended
			panic(http.ErrAbortHandler)
		}
		if _, err := r.start(fmt.Sprintf("i-%d-0", i), "v1"); err != nil {
			return err
		}
		replicas = append(replicas, r)
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		closed = true
		for _, r := range replicas {
			r.current.crash("the end of the case")
		}
	}()
	for range 3 {
		if err := f.addDaemon(); err != nil {
			return err
		}
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime)
	begun := time.Now()
	arrivals.touchedFrom = begun
	var group sync.WaitGroup
	var counts sync.Mutex
	sound := make(map[int]int)
	group.Go(func() {
		for n := 0; time.Since(begun) < deadlyTime; n++ {
			time.Sleep(50 * time.Millisecond)
			group.Go(func() {
				status := sendOrder(f, n, fmt.Sprintf("order-%d", n), "sound")
				counts.Lock()
				sound[status]++
				counts.Unlock()
			})
		}
	})
	group.Go(func() {
		for n := 0; time.Since(begun) < deadlyTime; n++ {
			id := fmt.Sprintf("deadly-%d", n)
			f.note("client: %s at %s", id, f.daemons[n%len(f.daemons)].name)
			f.note("client: %s gets %d", id, sendOrder(f, n, id, deadlyBody))
			time.Sleep(time.Until(begun.Add(time.Duration(n+1) * deadlyInterval)))
		}
	})
	if trouble {
		for _, at := range killTimes {
			time.Sleep(time.Until(begun.Add(at)))
			for _, d := range f.daemons {
				f.kill(d)
			}
			time.Sleep(restartTime)
			for _, d := range f.daemons {
				if err := f.start(d); err != nil {
					return err
				}
			}
			if err := f.awaitReady(10 * time.Second); err != nil {
				return err
			}
			arrivals.mu.Lock()
			arrivals.touchedFrom = time.Now().Add(contactTime)
			arrivals.mu.Unlock()
		}
	}
	group.Wait()
	f.note("sound orders by status: %v", sound)
	f.note("%d crashes, of which %d by retries that count", arrivals.crashes, arrivals.counted)
	if arrivals.crashes < 3 || sound[http.StatusOK] == 0 {
		return fmt.Errorf("%d crashes and %d answered orders", arrivals.crashes, sound[http.StatusOK])
	}
	if arrivals.counted > allowedRetries {
		return fmt.Errorf("%w: BUDGET, %d retries of the request reached replicas later than contactMs after the third crash, sent by machines in touch", errBroken, arrivals.counted)
	}
	return nil
}

// sendOrder sends an order once and returns the status of its answer, or zero if there was none.
func sendOrder(f *fleet, n int, id, body string) (status int) {
	d := f.daemons[n%len(f.daemons)]
	request, err := deadlyConfiguration.request(d.callers, deadlyConfiguration.Routes[0], body, id)
	if err != nil {
		return 0
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
