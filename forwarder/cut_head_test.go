package forwarder_test

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

// Guards against a service's answer that breaks off in its head, or in a body of a stated length, and counts as whole (MIXED): the
// service stops at each byte of its answer and closes the connection.
func TestAnswerCutAtAnyByteIsNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var answer atomic.Pointer[string]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(*answer.Load()))
			}
			_ = conn.Close()
		}
	}()
	client := forwarder.New(forwarder.Settings{HeaderTimeout: time.Second})
	defer func() { _ = client.Close() }()
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRill-Request-Id: r\r\nContent-Length: 12\r\n\r\nthe answer 1",
		"chunks":  "HTTP/1.1 200 OK\r\nRill-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nthe a\r\n7\r\nnswer 1\r\n0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nRill-Request-Id: r\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRill-Request-Id: r\r\nContent-Length: 3\r\n\r\nabc",
	} {
		for cut := 1; cut <= len(whole); cut++ {
			text := whole[:cut]
			answer.Store(&text)
			call := forwarder.ServiceCall{Method: http.MethodPost, Path: "/", RequestID: "r"}
			got, err := client.CallService(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), call)
			if (err == nil) != (cut == len(whole)) {
				t.Errorf("%s, cut after %q: status %d, body %q, %v", name, text[max(cut-20, 0):], got.Status, got.Body, err)
			}
		}
	}
}
