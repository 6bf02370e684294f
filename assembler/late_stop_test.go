package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

const (
	// stopBound is the time of the stop.
	stopBound = 8 * time.Second
	// lastRequests is the time after the start of the stop until which requests are sent. Later ones meet the end of the process
	// before it has read them.
	lastRequests = 7 * time.Second
	// slowWork is how long a target works on a request: shorter than the time from the last requests that are taken to the last sixth of stopBound.
	slowWork = 2700 * time.Millisecond
)

// stopResult is how a request around a stop ended.
type stopResult struct {
	reply
	id     string
	sentAt time.Duration
	ran    int
}

// slowUpload sends a request whose body arrives in two halves, pause after each other.
func (f *fleet) slowUpload(d *daemon, id string, pause time.Duration) reply {
	const body = "wheel"
	reader := &slowReader{halves: []string{body[:2], body[2:]}, pause: pause}
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers.String()+"/tell/x", reader)
	if err != nil {
		return reply{err: err}
	}
	request.Host, request.ContentLength = host, int64(len(body))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Token "+validKey)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Token-Count", "300,6")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{status: response.StatusCode, err: err}
}

// slowReader is a body that arrives in pieces.
type slowReader struct {
	halves []string
	pause  time.Duration
	read   int
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.read == len(r.halves) {
		return 0, io.EOF
	}
	if r.read > 0 {
		time.Sleep(r.pause)
	}
	n := copy(p, r.halves[r.read])
	r.read++
	return n, nil
}

// Guards against requests that come late in a planned stop, are passed on and cut at its end (LOST), among them such as may not be
// repeated: each request ends with a whole answer or with a refusal, and one that was refused has not run.
func TestLateRequestsInStopAreNotCut(t *testing.T) {
	f := newFleet(t, 0)
	f.routeTimeout = stopBound
	f.configure(nil, validKey)
	f.daemons = append(f.daemons, f.start(0))
	for i := range 3 {
		f.store.Delete(fmt.Sprint("servers/engine-", i))
	}
	slow := hostingemulator.NewTarget(hostingemulator.TargetSettings{
		ID: "slow", Service: "engines", Zone: "north", Store: f.store, Model: model, Slots: 200, StreamEvents: 6, EventInterval: slowWork / 6,
		LoadTime: time.Second, RestartTime: time.Second,
	})
	if err := slow.Listen(netip.MustParseAddrPort(loopback)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = slow.Close() })
	f.engines = append(f.engines, slow)
	d := f.daemons[0]
	settings := loader.DefaultSettings()
	settings.Hosted.StopBound = stopBound
	d.Reload(settings)
	f.await("the slow engine", func() bool { return f.callModel(d, "tell", "first").status == http.StatusOK })
	start := time.Now()
	stopped := make(chan error)
	go func() { stopped <- d.Shutdown() }()
	results := f.requestsAroundStop(d, start)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	answered, refused := 0, 0
	for _, r := range results {
		switch {
		case r.err == nil && r.status == http.StatusOK:
			answered++
		case r.err == nil && r.status == http.StatusServiceUnavailable && r.ran == 0:
			refused++
		case r.err != nil && r.ran == 0 && strings.Contains(r.err.Error(), "refused"):
		default:
			t.Errorf("%s, sent %s after the start of the stop: status %d, %v; it ran %d times", r.id, r.sentAt, r.status, r.err, r.ran)
		}
	}
	t.Logf("%d answered, %d refused", answered, refused)
	if answered == 0 || refused == 0 {
		t.Errorf("%d answered and %d refused", answered, refused)
	}
}

// requestsAroundStop sends requests until shortly before the end of the process.
func (f *fleet) requestsAroundStop(d *daemon, start time.Time) (results []stopResult) {
	var mu sync.Mutex
	var group conc.WaitGroup
	send := func(id string, call func() reply) {
		group.Go(func() {
			sentAt := time.Since(start)
			r := call()
			mu.Lock()
			defer mu.Unlock()
			results = append(results, stopResult{reply: r, id: id, sentAt: sentAt, ran: len(runsOf(append(f.engines, f.services...), id))})
		})
	}
	for i := 0; time.Since(start) < lastRequests; i++ {
		stream, order, upload := fmt.Sprint("stream", i), fmt.Sprint("order", i), fmt.Sprint("upload", i)
		send(stream, func() reply { return f.callModel(d, "tell", stream, "X-Deadline-Ms", "8000") })
		send(order, func() reply { return f.call(d, http.MethodPost, "/order/x", order, "wheel") })
		send(upload, func() reply { return f.slowUpload(d, upload, time.Duration(i%25)*100*time.Millisecond) })
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	return results
}
