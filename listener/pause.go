package listener

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// pause is the time until which a listener is silent.
type pause struct {
	until atomic.Int64
}

// Pause makes the listener and its connections silent for a while, as a process that gets no processor time: it accepts,
// reads and writes nothing, while the kernel goes on acknowledging what arrives. Then it goes on.
func (l *Listener) Pause(duration time.Duration) {
	l.pause.until.Store(time.Now().Add(duration).UnixNano())
}

// wait waits until the pause is over.
func (p *pause) wait() {
	for {
		rest := time.Until(time.Unix(0, p.until.Load()))
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

// pausedSocket is a listening socket whose connections can be paused.
type pausedSocket struct {
	net.Listener
	pause *pause
	// receiveBuffer is the size of each connection's receive buffer; zero leaves it to the system.
	receiveBuffer int
	// track remembers an open connection until the returned function is called.
	track func(net.Conn) (forget func())
}

// Accept implements net.Listener.
func (s *pausedSocket) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && s.receiveBuffer > 0 {
		_ = tcp.SetReadBuffer(s.receiveBuffer) // The system may round it.
	}
	forget := s.track(conn)
	s.pause.wait()
	return &pausedConnection{Conn: conn, pause: s.pause, forget: forget}, nil
}

// pausedConnection is a connection that can be paused.
type pausedConnection struct {
	net.Conn
	pause  *pause
	forget func()
}

// Close implements net.Conn.
func (c *pausedConnection) Close() error {
	c.forget()
	return c.Conn.Close()
}

// SetLinger sets how long Close waits for unsent bytes, see net.TCPConn.
func (c *pausedConnection) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *pausedConnection) Read(p []byte) (n int, err error) {
	c.pause.wait()
	n, err = c.Conn.Read(p)
	c.pause.wait()
	return n, err
}

// Write implements net.Conn.
func (c *pausedConnection) Write(p []byte) (n int, err error) {
	c.pause.wait()
	return c.Conn.Write(p)
}
