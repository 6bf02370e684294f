package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/dialer"
	"github.com/rosemaryrill/rosemaryrill/listener"
)

const (
	// longUpload is a body in bytes that does not fit into the buffers of both sockets.
	longUpload = 8 << 20
	// part is the beginning of a body that a target sends.
	part = "the first part of the answer"
	// unframedHead is the head of an answer that ends with its connection.
	unframedHead = "HTTP/1.1 200 OK\nX-Id: mine\n\n"
)

// listenEarly starts a target that passes each connection on which the head of a request has arrived to answer, and closes it then.
func listenEarly(t *testing.T, answer func(conn *net.TCPConn, request *http.Request)) netip.AddrPort {
	t.Helper()
	target, err := listener.ListenRaw(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	return target.Address()
}

// upload sends a request with a body and returns the answer as its caller gets it.
func upload(t *testing.T, address netip.AddrPort, size int) (status int, body string, err error) {
	t.Helper()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := newRequest("mine")
	request.Method, request.Body = http.MethodPost, make([]byte, size)
	response, err := c.Send(ctx, address, request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.Status, string(content), err
}

// Guards against a part of a body that is taken for the whole answer, since the target reset the connection while the request was
// being written, and the write was told of it (MIXED).
func TestAnswerCutDuringUploadIsNotWhole(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
		for _, linger := range []bool{false, true} {
			address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
				writeText(conn, unframedHead+part)
				time.Sleep(wait)
				if !linger {
					_ = conn.SetLinger(0)
				}
			})
			whole := 0
			for range 40 {
				if _, body, err := upload(t, address, longUpload); err == nil && body != "" {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of 40 answers that were cut %s after their first part, reset at once: %t, were taken for whole", whole, wait, !linger)
			}
		}
	}
}

// Guards against an answer that is taken for whole although its target stopped sending, in an orderly way, before it had read the
// request (MIXED).
func TestAnswerBeforeTheUploadHasNoProvenEnd(t *testing.T) {
	release := make(chan struct{})
	address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
		writeText(conn, unframedHead+part)
		_ = conn.CloseWrite()
		<-release
	})
	t.Cleanup(func() { close(release) })
	if _, body, err := upload(t, address, longUpload); !errors.Is(err, dialer.ErrEndedDuringUpload) || !errors.Is(err, io.ErrUnexpectedEOF) || body != part {
		t.Errorf("body %q, error %v", body, err)
	}
}

// A target that has read the whole request may end its answer with the connection.
func TestAnswerAfterTheUploadEndsWithTheConnection(t *testing.T) {
	address := listenEarly(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writeText(conn, unframedHead+part)
	})
	for _, size := range []int{0, 100, 12 << 10, 13 << 10, 300 << 10, longUpload} {
		for range 40 {
			if status, body, err := upload(t, address, size); status != http.StatusOK || body != part || err != nil {
				t.Errorf("answer to %d bytes: %d, %q, %v", size, status, body, err)
			}
		}
	}
}

// An answer that states its length, or comes in chunks, is whole as soon as it was received, however early.
func TestFramedAnswerBeforeTheUploadIsWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 413 Content Too Large\nX-Id: mine\nContent-Length: %d\n\n%s", len(part), part),
		"chunks": fmt.Sprintf("HTTP/1.1 413 Content Too Large\nX-Id: mine\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", len(part), part),
	} {
		address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
			writeText(conn, text)
			time.Sleep(20 * time.Millisecond)
		})
		for range 20 {
			if status, body, err := upload(t, address, longUpload); status != http.StatusRequestEntityTooLarge || body != part || err != nil {
				t.Errorf("%s: %d, %q, %v", name, status, body, err)
			}
		}
	}
}

// Guards against a status that is none and is taken for an answer, or awaited until the deadline (MIXED).
func TestNumberThatIsNoStatusEndsTheRequest(t *testing.T) {
	const (
		withBody  = "HTTP/1.1 STATUS Odd\nX-Id: mine\nContent-Length: 2\n\nno"
		alone     = "HTTP/1.1 STATUS Odd\nX-Id: mine\n\n"
		andAnswer = alone + "HTTP/1.1 200 OK\nX-Id: mine\nContent-Length: 2\n\nok"
	)
	for _, status := range []string{"000", "099", "101", "600", "999", "-01", "+20"} {
		for _, text := range []string{withBody, alone, andAnswer} {
			target := newScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				writeText(conn, strings.Replace(text, "STATUS", status, 1))
				return true
			})
			c := connector.New(connector.Settings{})
			body, err := send(t, c, target.address, newRequest("mine"))
			var noResponse *connector.NoResponseError
			if !errors.As(err, &noResponse) || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%s: %q, %v; want a NoResponseError at once", strings.Replace(text, "STATUS", status, 1), body, err)
			}
			_ = c.Close()
		}
	}
}
