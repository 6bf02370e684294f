package drainer_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// heldUpListener accepts connections that call arrive, and are held up, after a read deadline in the near future was set.
type heldUpListener struct {
	net.Listener
	arrive func()
}

func (l *heldUpListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldUpConn{Conn: conn, arrive: l.arrive}, err
}

type heldUpConn struct {
	net.Conn
	arrive func()
}

func (c *heldUpConn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if left := time.Until(deadline); left > 0 && left < time.Second {
		c.arrive()
		time.Sleep(left + 5*time.Millisecond)
	}
	return err
}

// SyscallConn gives the Drainer access to the socket.
func (c *heldUpConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Guards against requests without an answer on a busy machine (LOST): the request arrives before the last look, and the
// goroutine that looks is held up for longer than the look takes.
func TestDrainAnswersRequestsWhenHeldUp(t *testing.T) {
	var idle atomic.Pointer[caller]
	held := &heldUpListener{Listener: listen(t), arrive: func() { idle.Load().send(getRequest) }}
	s := startServer(t, drainer.Settings{}, held, answerOK)
	c := dial(t, s.address)
	idle.Store(c)
	c.send(getRequest)
	if _, err := c.response(); err != nil {
		t.Fatal(err)
	}
	s.drain(drainTimeout)
	if _, err := c.response(); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
}
