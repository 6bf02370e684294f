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

// script answers one request on a connection and says whether the connection goes on.
type script func(conn net.Conn, request *http.Request, body string) (goOn bool)

// scripted is a target that answers by a script and counts what it read.
type scripted struct {
	address     netip.AddrPort
	requests    atomic.Int64
	connections atomic.Int64
}

func newScripted(t *testing.T, answer script) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{address: netip.MustParseAddrPort(listener.Addr().String())}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *scripted) serve(conn net.Conn, answer script) {
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
		if !answer(conn, request, string(body)) {
			return
		}
	}
}

func say(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

func get(id string) connector.Request {
	return connector.Request{
		Method: http.MethodGet, URI: "/x?y=1", Host: "a.example", Header: http.Header{"X-Id": {id}},
		Answers: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// send returns the body of the answer and its error.
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

func echo(conn net.Conn, request *http.Request, body string) bool {
	id := request.Header.Get("X-Id")
	say(conn, "HTTP/1.1 200 OK\nX-Id: "+id+"\nContent-Length: "+lengthOf(id+body)+"\n\n"+id+body)
	return true
}

func lengthOf(text string) string {
	return string(rune('0'+len(text)/10)) + string(rune('0'+len(text)%10))
}

func TestConnectionsAreKept(t *testing.T) {
	target := newScripted(t, echo)
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "b", "c"} {
		if body, err := send(t, c, target.address, get(id)); err != nil || body != id {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if target.connections.Load() != 1 {
		t.Errorf("%d connections for three requests", target.connections.Load())
	}
}

// The client of net/http sends a request without a body again on a new connection.
func TestRequestOnADyingConnectionIsNotRepeated(t *testing.T) {
	answered := false
	target := newScripted(t, func(conn net.Conn, request *http.Request, body string) bool {
		if answered {
			return false // The connection ends without an answer.
		}
		answered = true
		return echo(conn, request, body)
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if _, err := send(t, c, target.address, get("a")); err != nil {
		t.Fatal(err)
	}
	_, err := send(t, c, target.address, get("b"))
	var broken *connector.BrokenError
	if !errors.As(err, &broken) {
		t.Errorf("a request without an answer ended with %v", err)
	}
	if target.requests.Load() != 2 {
		t.Errorf("the target read %d requests of two", target.requests.Load())
	}
}

func TestAnswersToOtherRequestsArePassedOver(t *testing.T) {
	target := newScripted(t, func(conn net.Conn, request *http.Request, body string) bool {
		say(conn, "HTTP/1.1 200 OK\nX-Id: other\nContent-Length: 4\n\nlate")
		return echo(conn, request, body)
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if body, err := send(t, c, target.address, get("mine")); err != nil || body != "mine" {
		t.Errorf("%q, %v", body, err)
	}
}

// Bytes after an answer belong to nobody: the connection is not used again.
func TestConnectionWithLeftOverBytesIsDropped(t *testing.T) {
	target := newScripted(t, func(conn net.Conn, request *http.Request, body string) bool {
		echo(conn, request, body)
		say(conn, "HTTP/1.1 200 OK\nX-Id: "+request.Header.Get("X-Id")+"\nContent-Length: 5\n\nagain")
		return true
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "a", "a"} {
		body, err := send(t, c, target.address, get(id))
		if err != nil || body != id {
			t.Errorf("%q, %v", body, err)
		}
		time.Sleep(20 * time.Millisecond) // The left-over bytes arrive.
	}
}

func TestBrokenBodiesDoNotLookWhole(t *testing.T) {
	for name, text := range map[string]string{
		"short":           "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 10\n\nabc",
		"chunks":          "HTTP/1.1 200 OK\nX-Id: a\nTransfer-Encoding: chunked\n\n3\nabc\n",
		"no answer":       "garbage\n\n",
		"reset, unframed": "HTTP/1.1 200 OK\nX-Id: a\n\nabc",
	} {
		target := newScripted(t, func(conn net.Conn, _ *http.Request, _ string) bool {
			say(conn, text)
			if name == "reset, unframed" {
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		c := connector.New(connector.Settings{})
		if body, err := send(t, c, target.address, get("a")); err == nil {
			t.Errorf("%s: %q looks whole", name, body)
		}
		_ = c.Close()
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	target := newScripted(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		say(conn, "HTTP/1.1 200 OK\nX-Id: a\n\nabc")
		return false
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	if body, err := send(t, c, target.address, get("a")); err != nil || body != "abc" {
		t.Errorf("%q, %v", body, err)
	}
}

// A target that answers before it has read a long body must not get another request in its place.
func TestEarlyAnswerDoesNotLeaveABodyBehind(t *testing.T) {
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
			say(conn, "HTTP/1.1 413 Too Large\nX-Id: a\nContent-Length: 2\n\nno")
		}
	}()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	request := get("a")
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

func TestUnreachableTargetGetsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	_, err = send(t, c, address, get("a"))
	var unsent *connector.UnsentError
	if !errors.As(err, &unsent) {
		t.Errorf("a refused connection is told as %v", err)
	}
}

func TestEndOfTheContextReachesTheTarget(t *testing.T) {
	ended := make(chan struct{})
	target := newScripted(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := c.Send(ctx, target.address, get("a")); !errors.Is(err, context.Canceled) {
		t.Errorf("the request ended with %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the target still works")
	}
}
