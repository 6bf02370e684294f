package forwarder_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/listener"
)

const (
	// longUpload is a body in bytes that does not fit into the buffers of both sockets.
	longUpload = 8 << 20
	// part is the beginning of a body that a service sends.
	part         = "the first part of the answer"
	unframedHead = "HTTP/1.1 200 OK\r\nRill-Request-Id: r\r\n\r\n"
)

// listenEarly starts a service that passes each connection on which the head of a request has arrived to answer, and closes it then.
func listenEarly(t *testing.T, answer func(conn *net.TCPConn, request *http.Request)) netip.AddrPort {
	t.Helper()
	service, err := listener.ListenRaw(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = service.Close() })
	return service.Address()
}

func upload(t *testing.T, address netip.AddrPort, size int, idempotent bool) (forwarder.ServiceAnswer, error) {
	t.Helper()
	client := forwarder.New(forwarder.Settings{HeaderTimeout: 5 * time.Second})
	defer func() { _ = client.Close() }()
	return client.CallService(t.Context(), address, forwarder.ServiceCall{
		Method: http.MethodPost, Path: "/", RequestID: "r", Body: make([]byte, size), Idempotent: idempotent,
	})
}

// Guards against a part of a body that is taken for the whole answer, since the service reset the connection while the call was being
// written, and the write was told of it (MIXED).
func TestAnswerCutDuringUploadIsNotWhole(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
		for _, linger := range []bool{false, true} {
			address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, unframedHead+part)
				time.Sleep(wait)
				if !linger {
					_ = conn.SetLinger(0)
				}
			})
			whole := 0
			for i := range 40 {
				answer, err := upload(t, address, longUpload, i%2 == 0)
				var broken *forwarder.BrokenError
				if err == nil && len(answer.Body) > 0 {
					whole++
				} else if !errors.As(err, &broken) || !broken.Sent {
					t.Errorf("a call that was cut ended with %v, want a BrokenError that says that it was sent", err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of 40 answers that were cut %s after their first part, reset at once: %t, were taken for whole", whole, wait, !linger)
			}
		}
	}
}

// Guards against an answer that is taken for whole although its service stopped sending, in an orderly way, before it had read the call
// (MIXED).
func TestAnswerBeforeTheUploadHasNoProvenEnd(t *testing.T) {
	release := make(chan struct{})
	address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, unframedHead+part)
		_ = conn.CloseWrite()
		<-release
	})
	t.Cleanup(func() { close(release) })
	if answer, err := upload(t, address, longUpload, false); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%+v, %v", answer, err)
	}
}

// A service that has read the whole call may end its answer with the connection.
func TestAnswerAfterTheUploadEndsWithTheConnection(t *testing.T) {
	address := listenEarly(t, func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, unframedHead+part)
	})
	for _, size := range []int{0, 1, 100, 4 << 10, 13 << 10, 300 << 10, longUpload} {
		for i := range 40 {
			if answer, err := upload(t, address, size, i%2 == 0); answer.Status != http.StatusOK || string(answer.Body) != part || err != nil {
				t.Errorf("answer to %d bytes: %+v, %v", size, answer, err)
			}
		}
	}
}

// An answer that states its length, or comes in chunks, is whole as soon as it was received, if the connection still lives then.
func TestFramedAnswerBeforeTheUploadIsWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 413 Content Too Large\r\nRill-Request-Id: r\r\nContent-Length: 3\r\n\r\nabc",
		"chunks": "HTTP/1.1 413 Content Too Large\r\nRill-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		release := make(chan struct{})
		address := listenEarly(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, text)
			<-release
		})
		if answer, err := upload(t, address, longUpload, false); answer.Status != http.StatusRequestEntityTooLarge || string(answer.Body) != "abc" || err != nil {
			t.Errorf("%s: %+v, %v", name, answer, err)
		}
		close(release)
	}
}

// Guards against a status that is none and is taken for an answer, or awaited until the deadline (MIXED).
func TestNumberThatIsNoStatusIsNoAnswer(t *testing.T) {
	const (
		withBody  = "HTTP/1.1 STATUS Odd\r\nRill-Request-Id: r\r\nContent-Length: 2\r\n\r\nno"
		alone     = "HTTP/1.1 STATUS Odd\r\nRill-Request-Id: r\r\n\r\n"
		andAnswer = alone + "HTTP/1.1 200 OK\r\nRill-Request-Id: r\r\nContent-Length: 2\r\n\r\nok"
	)
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, text := range []string{withBody, alone, andAnswer} {
			address := listenEarly(t, func(conn *net.TCPConn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, strings.Replace(text, "STATUS", status, 1))
				time.Sleep(time.Second)
			})
			for _, idempotent := range []bool{false, true} {
				began := time.Now()
				answer, err := upload(t, address, 10, idempotent)
				var broken *forwarder.BrokenError
				if !errors.As(err, &broken) || !broken.Sent || time.Since(began) > time.Second/2 {
					t.Errorf("status %s: %+v, %v after %s; want a BrokenError at once", status, answer, err, time.Since(began))
				}
			}
		}
	}
}
