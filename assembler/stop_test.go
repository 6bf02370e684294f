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
)

// keptCaller is a caller with one kept connection. Like clients of the platform, it uses the connection again only
// within the time that the last answer announced, and not after it has seen its end.
type keptCaller struct {
	f       *fleet
	daemon  *daemon
	conn    net.Conn
	reader  *bufio.Reader
	ended   chan struct{}
	expires time.Time
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
		return c.expires.IsZero() || time.Now().Before(c.expires)
	}
}

const (
	keptCallers = 400
	// expectedClose is when a stopping daemon closes its idle connections, and closeSpread how much earlier or later
	// callers use theirs again.
	expectedClose = 2600 * time.Millisecond
	closeSpread   = 40 * time.Millisecond
)

// Guards against requests that a stopping daemon leaves without an answer (LOST): callers use their kept connections
// again while the daemon closes those that are idle.
func TestShutdownAnswersRequestsOnKeptConnections(t *testing.T) {
	f := newFleet(t, 1)
	d := f.daemons[0]
	callers := make([]*keptCaller, keptCallers)
	for i := range callers {
		callers[i] = &keptCaller{f: f, daemon: d}
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
			offset := time.Duration(i)*2*closeSpread/keptCallers - closeSpread
			time.Sleep(time.Until(stopAt.Add(expectedClose + offset)))
			if !caller.reusable() {
				return
			}
			_, err := caller.request(fmt.Sprint("again", i))
			mu.Lock()
			defer mu.Unlock()
			reused++
			if err != nil {
				lost = append(lost, fmt.Sprintf("%s from the close: %v", offset, err))
				ran += len(runsOf(f.services, fmt.Sprint("again", i)))
			}
		})
	}
	if err := d.Shutdown(); err != nil {
		t.Error(err)
	}
	group.Wait()
	t.Logf("%d of %d connections were used again", reused, keptCallers)
	if len(lost) > 0 {
		t.Errorf("%d requests got no answer, %d of which ran; the first: %s", len(lost), ran, lost[0])
	}
}
