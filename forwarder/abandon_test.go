package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
)

const (
	// narrowWindow is the receive buffer of a service in bytes, and longBody a body that fits into the send buffer of a daemon
	// but not into that.
	narrowWindow = 4 << 10
	longBody     = 48 << 10
)

// Guards against a call that reaches its service after it was given up (TWICE): the service reads nothing for a while, and the rest of
// the call waits in the daemon's kernel.
func TestCallThatWasGivenUpDoesNotArriveLater(t *testing.T) {
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
		call, _ := io.ReadAll(conn)
		arrived <- len(call)
	}()
	client := forwarder.New(forwarder.Settings{})
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if _, err := client.CallService(ctx, address, forwarder.ServiceCall{RequestID: "r", Method: http.MethodPost, Path: "/p", Body: make([]byte, longBody)}); err == nil {
		t.Fatal("the call was answered")
	}
	if got := <-arrived; got >= longBody {
		t.Errorf("%d bytes arrived after the call of %d bytes was given up", got, longBody)
	}
}
