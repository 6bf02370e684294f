package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryrill/rosemaryrill/connector"
)

const (
	// narrowWindow is the receive buffer of a target in bytes, and longBody a body that fits into the send buffer of a daemon
	// but not into that.
	narrowWindow = 4 << 10
	longBody     = 48 << 10
)

// Guards against a request that reaches its target after it was given up, and perhaps was sent to another one (TWICE, GONE): the
// target reads nothing for a while, and the rest of the request waits in the daemon's kernel.
func TestRequestThatWasGivenUpDoesNotArriveLater(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowWindow) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	arrived := make(chan int)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		time.Sleep(time.Second)
		request, _ := io.ReadAll(conn)
		arrived <- len(request)
	}()
	c := connector.New(connector.Settings{})
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if _, err := c.Send(ctx, address, connector.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, longBody)}); err == nil {
		t.Fatal("the request was answered")
	}
	if got := <-arrived; got >= longBody {
		t.Errorf("%d bytes arrived after the request of %d bytes was given up", got, longBody)
	}
}
