package dialer_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

func TestCountsBothDirections(t *testing.T) {
	local, remote := net.Pipe()
	var sent, received int
	counter := dialer.ByteCounter{
		Sent:     func(bytes int) { sent += bytes },
		Received: func(bytes int) { received += bytes },
	}
	dial := counter.Wrap(func(context.Context, string, string) (net.Conn, error) { return local, nil })
	conn, err := dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_, _ = io.ReadFull(remote, make([]byte, 5))
		_, _ = remote.Write([]byte("answer!"))
		_ = remote.Close()
	}()
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	if sent != 5 || received != 7 {
		t.Errorf("sent %d and received %d bytes, want 5 and 7", sent, received)
	}
}
