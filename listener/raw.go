package listener

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
)

// AnswerAndReset writes an answer as it stands, without waiting for the rest of the request, and resets the connection after a while. The
// handler must return then.
func AnswerAndReset(w http.ResponseWriter, answer string, wait time.Duration) (err error) {
	defer Error.WrapP(&err)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	if _, err := conn.Write([]byte(answer)); err != nil {
		return conn.Close()
	}
	time.Sleep(wait)
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // Fails only if the connection is closed.
	}
	return conn.Close()
}

// Raw is a listening socket that leaves each connection to a function once the head of a request has arrived on it, so that what is
// written, and how the connection ends, need not be HTTP.
type Raw struct {
	socket  net.Listener
	workers conc.WaitGroup
}

// ListenRaw listens on a free port of the loopback interface. answer is called with each connection whose request has arrived, without
// its body, and the connection is closed when it returns.
func ListenRaw(answer func(conn *net.TCPConn, request *http.Request)) (raw *Raw, err error) {
	defer Error.WrapP(&err)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw = &Raw{socket: socket}
	raw.workers.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return // Close has closed the socket.
			}
			raw.workers.Go(func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), request)
				}
			})
		}
	})
	return raw, nil
}

// Address returns the address on which the socket listens.
func (r *Raw) Address() netip.AddrPort { return r.socket.Addr().(*net.TCPAddr).AddrPort() }

// Close closes the socket and waits for the running calls of the function.
func (r *Raw) Close() (err error) {
	defer Error.WrapP(&err)
	err = r.socket.Close()
	r.workers.Wait()
	return err
}
