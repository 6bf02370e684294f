package connector_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
)

// maxAccepted bounds the bytes that a target in trouble can send before its connection is closed: the limit of the header
// or of a skipped body, and what the sockets of both ends buffer.
const maxAccepted = 16 << 20

// endlessTarget sends a beginning and then a text again and again until the connection is closed. It reports how many bytes
// it could send.
func endlessTarget(t *testing.T, beginning, repeated string) (target *scriptedTarget, sent <-chan int) {
	t.Helper()
	counts := make(chan int, 1)
	block := []byte(strings.Repeat(strings.ReplaceAll(repeated, "\n", "\r\n"), 1+(64<<10)/len(repeated)))
	return newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		writeText(conn, beginning)
		total := 0
		for total < 4*maxAccepted {
			n, err := conn.Write(block)
			total += n
			if err != nil {
				break
			}
		}
		counts <- total
		return false
	}), counts
}

// A target in trouble sends bytes that are no answer, without end. The connection has to be closed after a bounded number
// of them, and the request counts as sent.
func TestEndlessHeadsEndTheConnection(t *testing.T) {
	for name, script := range map[string]struct{ beginning, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "x"},
		"no HTTP":           {"", "x"},
		"one header line":   {"HTTP/1.1 200 OK\nX-Id: ", "x"},
		"many header lines": {"HTTP/1.1 200 OK\n", "X-A: b\n"},
		"folded line":       {"HTTP/1.1 200 OK\nX-A: b\n", " c\n"},
		"interim answers":   {"", "HTTP/1.1 103 Early Hints\n\n"},
		"skipped body":      {"HTTP/1.1 200 OK\nX-Id: other\n\n", "x"},
		"skipped chunks":    {"HTTP/1.1 200 OK\nX-Id: other\nTransfer-Encoding: chunked\n\n", "1\nx\n"},
		"chunk extension":   {"HTTP/1.1 200 OK\nX-Id: other\nTransfer-Encoding: chunked\n\n1;", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			target, sent := endlessTarget(t, script.beginning, script.repeated)
			c := connector.New(connector.Settings{})
			defer func() { _ = c.Close() }()
			_, err := send(t, c, target.address, newRequest("mine"))
			var noResponse *connector.NoResponseError
			if !errors.As(err, &noResponse) || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("the request ended with %v, want a NoResponseError before the deadline", err)
			}
			select {
			case total := <-sent:
				if total > maxAccepted {
					t.Errorf("%d bytes were accepted", total)
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

// The rest of an endless body is not read once the response is closed.
func TestEndlessBodyEndsWithItsReader(t *testing.T) {
	target, sent := endlessTarget(t, "HTTP/1.1 200 OK\nX-Id: mine\n\n", "x")
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	response, err := c.Send(t.Context(), target.address, newRequest("mine"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, response.Body, 1<<20); err != nil {
		t.Fatal(err)
	}
	_ = response.Close()
	if total := <-sent; total > maxAccepted {
		t.Errorf("%d bytes were accepted", total)
	}
}

// A target sends its answer byte by byte and never completes the header. The request ends with its deadline, although the
// target is never silent.
func TestTrickledHeadEndsWithTheDeadline(t *testing.T) {
	target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
		writeText(conn, "HTTP/1.1 200 OK\nX-A: ")
		for range 1000 {
			if _, err := conn.Write([]byte("b")); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	const deadline = 300 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	if _, err := c.Send(ctx, target.address, newRequest("mine")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the request ended with %v, want the end of its deadline", err)
	}
}

// Reports and orders carry no identity. One that uses a connection of its own cannot get a late copy of another response.
func TestExclusiveRequestGetsNoLateCopy(t *testing.T) {
	target := newScriptedTarget(t, func(conn net.Conn, request *http.Request, _ string) bool {
		id := request.Header.Get("X-Id")
		writeText(conn, "HTTP/1.1 200 OK\nContent-Length: "+contentLength(id)+"\n\n"+id)
		go func() {
			time.Sleep(30 * time.Millisecond)
			writeText(conn, "HTTP/1.1 200 OK\nContent-Length: "+contentLength(id)+"\n\n"+id)
		}()
		return true
	})
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	for _, id := range []string{"a", "b", "c"} {
		request := newRequest(id)
		request.MatchesResponse, request.Exclusive = nil, true
		if body, err := send(t, c, target.address, request); err != nil || body != id {
			t.Errorf("%q, %v, want %q", body, err, id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if connections := target.connections.Load(); connections != 3 {
		t.Errorf("three exclusive requests used %d connections", connections)
	}
}
