package connector_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
)

// refusingOnceTarget refuses the first request on each connection, and writes the refusal once more when the next request has
// arrived, before it runs that one.
func refusingOnceTarget(t *testing.T, ran *atomic.Int64) *scriptedTarget {
	refusals := make(map[net.Conn]string) // Requests of this test come one after another.
	return newScriptedTarget(t, func(conn net.Conn, request *http.Request, body string) bool {
		if refusal := refusals[conn]; refusal != "" {
			writeText(conn, refusal)
			time.Sleep(20 * time.Millisecond)
			ran.Add(1)
			return echo(conn, request, body)
		}
		refusals[conn] = "HTTP/1.1 503 Service Unavailable\nX-Id: " + request.Header.Get("X-Id") + "\nX-Not-Run: 1\nContent-Length: 0\n\n"
		writeText(conn, refusals[conn])
		return true
	})
}

// identified returns a request whose responses name it.
func identified(id string) connector.Request {
	request := newRequest(id)
	request.Identity = id
	return request
}

// Guards against a request that counts as not run, and is sent elsewhere or refused, while its target runs it (TWICE, REFUSED): the
// copy of an earlier refusal of the same request is taken for the answer.
func TestCopyOfRefusalIsNotTakenForAnswer(t *testing.T) {
	var ran atomic.Int64
	target := refusingOnceTarget(t, &ran)
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	answered := 0
	for range 2 {
		response, err := c.Send(t.Context(), target.address, identified("a"))
		if err != nil {
			t.Fatal(err)
		}
		if response.Status == http.StatusOK {
			answered++
		}
		_, _ = response.Body.Read(make([]byte, 1)) // Reads to the end, so that the connection could be used again.
		_ = response.Close()
	}
	time.Sleep(100 * time.Millisecond) // Lets the target run what it has got.
	if ran.Load() != int64(answered) {
		t.Errorf("the target ran the request %d times, and %d answers say so", ran.Load(), answered)
	}
}

// A refusal costs no connection: requests with other ids go on to use it, since the copy of the refusal does not match them.
func TestConnectionIsReusedAfterRefusal(t *testing.T) {
	var ran atomic.Int64
	target := refusingOnceTarget(t, &ran)
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "b"} {
		if _, err := send(t, c, target.address, identified(id)); err != nil {
			t.Fatal(err)
		}
	}
	if ran.Load() != 1 || target.connections.Load() != 1 {
		t.Errorf("%d requests ran on %d connections, want 1 on 1", ran.Load(), target.connections.Load())
	}
}
