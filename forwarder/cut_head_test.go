package forwarder_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/listener"
)

// Guards against a service's answer that breaks off in its head, or in a body of a stated length, and counts as whole (MIXED): the
// service stops at each byte of its answer and closes the connection.
func TestAnswerCutAtAnyByteIsNoAnswer(t *testing.T) {
	var answer atomic.Pointer[string]
	service, err := listener.ListenRaw(func(conn *net.TCPConn, _ *http.Request) { _, _ = conn.Write([]byte(*answer.Load())) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = service.Close() }()
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
			got, err := client.CallService(t.Context(), service.Address(), call)
			if (err == nil) != (cut == len(whole)) {
				t.Errorf("%s, cut after %q: status %d, body %q, %v", name, text[max(cut-20, 0):], got.Status, got.Body, err)
			}
		}
	}
}
