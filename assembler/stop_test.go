package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/loader"
)

// keptCaller is a caller with one kept connection. It does not use the connection again after it has seen its end. Like
// clients of the platform, one that heedsKeepAlive uses it only within the time that the last answer announced.
type keptCaller struct {
	f              *fleet
	daemon         *daemon
	heedsKeepAlive bool
	conn           net.Conn
	reader         *bufio.Reader
	ended          chan struct{}
	expires        time.Time
}

// connect opens a new connection.
func (c *keptCaller) connect() error {
	conn, err := net.Dial("tcp", c.daemon.callers.String())
	if err != nil {
		return err
	}
	c.conn, c.reader, c.expires = conn, bufio.NewReader(conn), time.Time{}
	return nil
}

// request sends one request and returns its response, or an error if the connection ended without a whole one.
func (c *keptCaller) request(id string) (response *http.Response, err error) {
	const format = "GET /look/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n\r\n"
	if _, err := fmt.Fprintf(c.conn, format, host, id, validKey); err != nil {
		return nil, err
	}
	if c.ended != nil {
		<-c.ended // The first byte of the response, or the end of the connection, has arrived.
	}
	response, err = http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return nil, err
	}
	if _, seconds, found := strings.Cut(response.Header.Get("Keep-Alive"), "timeout="); found {
		if timeout, err := strconv.Atoi(seconds); err == nil {
			c.expires = time.Now().Add(time.Duration(timeout) * time.Second)
		}
	}
	return response, nil
}

// watchEnd notes when a byte or the end of the idle connection arrives.
func (c *keptCaller) watchEnd() {
	c.ended = make(chan struct{})
	go func() {
		defer close(c.ended)
		_, _ = c.reader.Peek(1)
	}()
}

// reusable reports whether the caller may send a further request on its connection.
func (c *keptCaller) reusable() bool {
	select {
	case <-c.ended:
		return false
	default:
		return !c.heedsKeepAlive || c.expires.IsZero() || time.Now().Before(c.expires)
	}
}

const (
	keptCallers = 400
	// expectedClose is when a stopping daemon closes its idle connections, and closeSpread how much earlier or later
	// callers use theirs again.
	expectedClose = 2600 * time.Millisecond
	closeSpread   = 40 * time.Millisecond
)

// reuseOffset returns how long after the start of the stop a caller uses its connection again: every second one, which
// doesn't heed Keep-Alive, around expectedClose, and the others at any time before.
func reuseOffset(caller int) time.Duration {
	if caller%2 == 0 {
		return expectedClose + time.Duration(caller)*2*closeSpread/keptCallers - closeSpread
	}
	return time.Duration(caller) * expectedClose / keptCallers
}

// Guards against requests that a stopping daemon leaves without an answer (LOST): callers use their kept connections
// again until the daemon closes those that are idle.
func TestShutdownAnswersRequestsOnKeptConnections(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	callers := make([]*keptCaller, keptCallers)
	for i := range callers {
		callers[i] = &keptCaller{f: f, daemon: d, heedsKeepAlive: i%2 == 1}
		if err := callers[i].connect(); err != nil {
			t.Fatal(err)
		}
		if response, err := callers[i].request(fmt.Sprint("first", i)); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request before the stop: %v, %v", response, err)
		}
		callers[i].watchEnd()
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	reused, ran := 0, 0
	stopAt := time.Now()
	for i, caller := range callers {
		group.Go(func() {
			time.Sleep(time.Until(stopAt.Add(reuseOffset(i))))
			if !caller.reusable() {
				return
			}
			_, err := caller.request(fmt.Sprint("again", i))
			mu.Lock()
			defer mu.Unlock()
			reused++
			if err != nil {
				lost = append(lost, fmt.Sprintf("%s after the start of the stop: %v", reuseOffset(i), err))
				ran += len(runsOf(f.services, fmt.Sprint("again", i)))
			}
		})
	}
	if err := d.Shutdown(); err != nil {
		t.Error(err)
	}
	group.Wait()
	t.Logf("%d of %d connections were used again", reused, keptCallers)
	if reused < keptCallers/4 {
		t.Errorf("only %d connections were used again", reused)
	}
	if len(lost) > 0 {
		t.Errorf("%d requests got no answer, %d of which ran; the first: %s", len(lost), ran, lost[0])
	}
}

// Guards against requests that a stopping daemon cuts at its stop bound (LOST): a request whose target is still silent and
// one whose body has not arrived are answered.
func TestShutdownAnswersRequestsAtStopBound(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	silent, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	f.store.Delete("servers/service-0")
	f.store.Delete("servers/service-1")
	f.store.Put("servers/silent", map[string]any{
		"service": "services", "address": silent.Addr().String(), "zone": "north", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	settings := loader.DefaultSettings()
	settings.Hosted.StopBound = 4 * time.Second
	d.Reload(settings)
	time.Sleep(time.Second) // The daemon learns of the targets.
	stopped := make(chan error)
	go func() { stopped <- d.Shutdown() }()
	time.Sleep(2 * time.Second)
	half := &keptCaller{f: f, daemon: d}
	if err := half.connect(); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(half.conn, "POST /order/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h\r\nContent-Length: 9\r\n\r\nhalf", host); err != nil {
		t.Fatal(err)
	}
	if r := f.call(d, http.MethodPost, "/order/a", "o", "wheel"); r.status != http.StatusBadGateway || !strings.Contains(r.body, "stopping") {
		t.Errorf("a request whose target is silent: %+v", r)
	}
	if response, err := http.ReadResponse(half.reader, nil); err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a request whose body has not arrived: %+v, %v", response, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A body that breaks the rules of its encoding is refused; the caller is still there to read it.
func TestMalformedBodyIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	c := &keptCaller{f: f, daemon: f.daemons[0]}
	if err := c.connect(); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c.conn, "POST /order/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: m\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", host); err != nil {
		t.Fatal(err)
	}
	if response, err := http.ReadResponse(c.reader, nil); err != nil || response.StatusCode != http.StatusBadRequest {
		t.Errorf("%+v, %v", response, err)
	}
}
