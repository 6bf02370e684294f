package forwarder_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// copyingTarget gives its answers in order. Once a further request has arrived on a connection, it first writes the former
// answer on that connection again, and it runs each request for which it has no refusal.
type copyingTarget struct {
	address netip.AddrPort

	mu      sync.Mutex
	answers []string
	// reused counts the requests that arrived on a connection that was used before.
	reused      int
	connections int
}

func newCopyingTarget(t *testing.T, answers ...string) *copyingTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &copyingTarget{address: addressOf(t, listener.Addr()), answers: answers}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			target.mu.Lock()
			target.connections++
			target.mu.Unlock()
			go target.serve(conn)
		}
	}()
	return target
}

func (c *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, former := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := c.next(former != "")
		if _, err := io.WriteString(conn, strings.ReplaceAll(former+answer, "\n", "\r\n")); err != nil {
			return
		}
		former = answer
	}
}

func (c *copyingTarget) next(reused bool) (answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reused {
		c.reused++
	}
	answer = c.answers[0]
	if len(c.answers) > 1 {
		c.answers = c.answers[1:]
	}
	return answer
}

func (c *copyingTarget) reusedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reused
}

// isNotRun reports whether an error states that the target did not run the call.
func isNotRun(err error) bool {
	var refused *forwarder.RefusedError
	var notSent *forwarder.NotSentError
	return errors.As(err, &refused) || errors.As(err, &notSent)
}

const (
	full        = "HTTP/1.1 429 Too Many Requests\n"
	emptyBody   = "Content-Length: 0\n\n"
	streamOfTwo = "HTTP/1.1 200 OK\nRill-Request-Id: two\nContent-Length: 0\n\n"
)

// Guards against a late copy of an engine's refusal that is taken for the answer to the next run, which the engine runs (REFUSED,
// TWICE).
func TestLateCopyOfRefusalIsNotTakenForRun(t *testing.T) {
	for name, refusal := range map[string]string{
		"with the former id":                  full + "Rill-Request-Id: one\n" + emptyBody,
		"without an id":                       full + emptyBody,
		"leaving, with the former id":         "HTTP/1.1 503 Service Unavailable\nRill-Request-Id: one\n" + emptyBody,
		"weights, without an id":              "HTTP/1.1 409 Conflict\n" + emptyBody,
		"malformed, without an id":            "HTTP/1.1 400 Bad Request\n" + emptyBody,
		"after an informational response":     "HTTP/1.1 102 Processing\n\n" + full + "Rill-Request-Id: one\n" + emptyBody,
		"not found, which says nothing of it": "HTTP/1.1 404 Not Found\nRill-Request-Id: one\n" + emptyBody,
	} {
		t.Run(name, func(t *testing.T) {
			target := newCopyingTarget(t, refusal, streamOfTwo, strings.ReplaceAll(streamOfTwo, "two", "three"))
			client := newClient(t, forwarder.Settings{})
			if _, err := client.Generate(t.Context(), target.address, modelCall("one", 4)); err == nil || !strings.Contains(name, "not found") && !isNotRun(err) {
				t.Fatalf("the refusal itself: %v", err)
			}
			_, err := client.Generate(t.Context(), target.address, modelCall("two", 4))
			if isNotRun(err) {
				t.Errorf("a run that the engine has begun: %v", err)
			}
			if target.reusedCount() != 1 {
				t.Error("the connection was not used again, so nothing was tested")
			}
			// The answer to the second run may still come on that connection, which net/http may offer once more.
			for range 3 {
				if _, err = client.Generate(t.Context(), target.address, modelCall("three", 4)); err == nil || isNotRun(err) {
					break
				}
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			if err != nil || target.connections != 2 {
				t.Errorf("the next run: %v on connection %d", err, target.connections)
			}
		})
	}
}

// Guards against the copy of a refusal that is believed for a later attempt of the same call on that connection (REFUSED, TWICE): its
// id says nothing then.
func TestCopyOfRefusalOfTheSameCallIsNotBelieved(t *testing.T) {
	t.Run("run", func(t *testing.T) {
		target := newCopyingTarget(t, full+"Rill-Request-Id: two\n"+emptyBody, streamOfTwo)
		client := newClient(t, forwarder.Settings{})
		if _, err := client.Generate(t.Context(), target.address, modelCall("two", 4)); !isNotRun(err) {
			t.Fatalf("the refusal itself: %v", err)
		}
		if _, err := client.Generate(t.Context(), target.address, modelCall("two", 4)); isNotRun(err) {
			t.Errorf("a run that the engine has begun: %v", err)
		}
	})
	t.Run("call of a service", func(t *testing.T) {
		const named = "Rill-Request-Id: one\n"
		target := newCopyingTarget(t, "HTTP/1.1 200 OK\n"+named+emptyBody, notRun+named+emptyBody, "HTTP/1.1 200 OK\n"+named+emptyBody)
		client := newClient(t, forwarder.Settings{})
		call := forwarder.ServiceCall{RequestID: "one", Method: http.MethodGet, Path: "/stock", Idempotent: true}
		for i := range 3 {
			// The first answer shows that the service names requests, so that connections are kept.
			if _, err := client.CallService(t.Context(), target.address, call); i == 2 && isNotRun(err) {
				t.Errorf("a call that the service ran: %v", err)
			}
		}
	})
}
