package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
)

// respondFunc responds to one request and returns whether the connection stays open.
type respondFunc func(conn net.Conn, request *http.Request, body string) (keepOpen bool)

// scriptedTarget is a target that responds with a respondFunc and counts requests and connections.
type scriptedTarget struct {
	address     netip.AddrPort
	requests    atomic.Int64
	connections atomic.Int64
	// open counts the connections that have not ended.
	open atomic.Int64
}

func newScriptedTarget(t *testing.T, respond respondFunc) *scriptedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{address: netip.MustParseAddrPort(listener.Addr().String())}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(conn net.Conn, respond respondFunc) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !respond(conn, request, string(body)) {
			return
		}
	}
}

func writeText(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

func newRequest(id string) connector.Request {
	return connector.Request{
		Method: http.MethodGet, URI: "/x?y=1", Host: "a.example", Header: http.Header{"X-Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// send sends the request and returns the body of the response.
func send(t *testing.T, c *connector.Connector, address netip.AddrPort, request connector.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := c.Send(ctx, address, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// echo is a respondFunc that responds with the id and the body of the request.
func echo(conn net.Conn, request *http.Request, body string) bool {
	id := request.Header.Get("X-Id")
	writeText(conn, "HTTP/1.1 200 OK\nX-Id: "+id+"\nContent-Length: "+contentLength(id+body)+"\n\n"+id+body)
	return true
}

func contentLength(text string) string {
	return string(rune('0'+len(text)/10)) + string(rune('0'+len(text)%10))
}

func TestConnectionsAreReused(t *testing.T) {
	target := newScriptedTarget(t, echo)
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "b", "c"} {
		if body, err := send(t, c, target.address, newRequest(id)); err != nil || body != id {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if target.connections.Load() != 1 {
		t.Errorf("%d connections for three requests", target.connections.Load())
	}
}

// A target that closes a reused connection may have run the request. The client of net/http would retry
// a request without a body on a new connection.
func TestRequestOnClosedConnectionIsNotRetried(t *testing.T) {
	responded := false
	target := newScriptedTarget(t, func(conn net.Conn, request *http.Request, body string) bool {
		if responded {
			return false // Close the connection without a response.
		}
		responded = true
		return echo(conn, request, body)
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if _, err := send(t, c, target.address, newRequest("a")); err != nil {
		t.Fatal(err)
	}
	_, err := send(t, c, target.address, newRequest("b"))
	var noResponse *connector.NoResponseError
	if !errors.As(err, &noResponse) {
		t.Errorf("a request without a response returned %v, want a NoResponseError", err)
	}
	if target.requests.Load() != 2 {
		t.Errorf("the target read %d requests, want 2", target.requests.Load())
	}
}

func TestMismatchedResponsesAreSkipped(t *testing.T) {
	target := newScriptedTarget(t, func(conn net.Conn, request *http.Request, body string) bool {
		writeText(conn, "HTTP/1.1 200 OK\nX-Id: other\nContent-Length: 4\n\nlate")
		return echo(conn, request, body)
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if body, err := send(t, c, target.address, newRequest("mine")); err != nil || body != "mine" {
		t.Errorf("%q, %v", body, err)
	}
}

// Bytes after a response belong to no request and could be read as the response to the next one, so the
// connection is not reused.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	target := newScriptedTarget(t, func(conn net.Conn, request *http.Request, body string) bool {
		echo(conn, request, body)
		writeText(conn, "HTTP/1.1 200 OK\nX-Id: "+request.Header.Get("X-Id")+"\nContent-Length: 5\n\nagain")
		return true
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "a", "a"} {
		body, err := send(t, c, target.address, newRequest(id))
		if err != nil || body != id {
			t.Errorf("%q, %v", body, err)
		}
		time.Sleep(20 * time.Millisecond) // Lets the extra bytes arrive.
	}
}

func TestTruncatedBodiesReturnErrors(t *testing.T) {
	for name, text := range map[string]string{
		"short":           "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 10\n\nabc",
		"chunks":          "HTTP/1.1 200 OK\nX-Id: a\nTransfer-Encoding: chunked\n\n3\nabc\n",
		"no answer":       "garbage\n\n",
		"reset, unframed": "HTTP/1.1 200 OK\nX-Id: a\n\nabc",
	} {
		target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			writeText(conn, text)
			if name == "reset, unframed" {
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		c := connector.New(connector.Settings{})
		if body, err := send(t, c, target.address, newRequest("a")); err == nil {
			t.Errorf("%s: body %q was returned without an error", name, body)
		}
		_ = c.Close()
	}
}

func TestUnframedResponseEndsAtConnectionClose(t *testing.T) {
	target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		writeText(conn, "HTTP/1.1 200 OK\nX-Id: a\n\nabc")
		return false
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if body, err := send(t, c, target.address, newRequest("a")); err != nil || body != "abc" {
		t.Errorf("%q, %v", body, err)
	}
}

// A target may respond before it has read a long body. A further request on the same connection would be
// read as part of that body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	connections := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- conn
			_, _ = bufio.NewReaderSize(conn, 16).ReadByte()
			writeText(conn, "HTTP/1.1 413 Too Large\nX-Id: a\nContent-Length: 2\n\nno")
		}
	}()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	request := newRequest("a")
	request.Method, request.Body = http.MethodPost, make([]byte, 8<<20)
	address := netip.MustParseAddrPort(listener.Addr().String())
	for range 2 {
		if body, err := send(t, c, address, request); err != nil || body != "no" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	for range 2 {
		conn := <-connections
		_ = conn.Close()
	}
}

func TestUnreachableTargetReturnsUnsentError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	_, err = send(t, c, address, newRequest("a"))
	var unsent *connector.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("a refused connection returned %v, want an UnsentError", err)
	}
}

func TestContextCancellationClosesConnection(t *testing.T) {
	connectionClosed := make(chan struct{})
	target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(connectionClosed)
		return false
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := c.Send(ctx, target.address, newRequest("a")); !errors.Is(err, context.Canceled) {
		t.Errorf("the request returned %v, want context.Canceled", err)
	}
	select {
	case <-connectionClosed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the target stayed open")
	}
}

func TestResponseTellsWhetherItsEndIsStated(t *testing.T) {
	for name, want := range map[string]bool{
		"Content-Length: 2\r\n\r\nok":                            true,
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": true,
		"Connection: close\r\n\r\nok":                            false,
	} {
		target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+name) // The client's error tells if this fails.
			return false
		})
		c := connector.New(connector.Settings{})
		response, err := c.Send(t.Context(), target.address, connector.Request{Method: http.MethodGet, URI: "/"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if string(body) != "ok" || err != nil || response.Delimited != want {
			t.Errorf("%q: body %q, %v, delimited %v", name, body, err, response.Delimited)
		}
		_ = response.Close()
		_ = c.Close()
	}
}
