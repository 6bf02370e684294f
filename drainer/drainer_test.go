package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

var errStopping = errors.New("stopping")

// drainTimeout limits a drain in tests that do not reach it.
const drainTimeout = 20 * time.Second

// server is a drained HTTP server on a loopback port.
type server struct {
	t       *testing.T
	drainer *drainer.Drainer
	address string
	served  chan error
}

func startServer(t *testing.T, settings drainer.Settings, listener net.Listener, handler http.HandlerFunc) *server {
	t.Helper()
	settings.AbortCause = errStopping
	httpServer := &http.Server{Handler: handler}
	s := &server{t: t, drainer: drainer.New(httpServer, settings), address: listener.Addr().String(), served: make(chan error, 1)}
	tracked := s.drainer.Track(listener)
	go func() { s.served <- httpServer.Serve(tracked) }()
	t.Cleanup(func() { _ = s.drainer.Close() })
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (s *server) drain(timeout time.Duration) drainer.Report {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.drainer.Drain(ctx)
}

// caller is a connection of a caller.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// response is an answer that a caller has read to its end.
type response struct {
	*http.Response
	body string
}

func (c *caller) response() (r response, err error) {
	if r.Response, err = http.ReadResponse(c.reader, nil); err != nil {
		return r, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return response{Response: r.Response, body: string(body)}, err
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against requests without an answer (LOST): each has arrived at an idle connection when the drain begins.
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	const rounds, callers = 20, 100
	lost := 0
	for range rounds {
		s := startServer(t, drainer.Settings{}, listen(t), answerOK)
		var all []*caller
		for range callers {
			c := dial(t, s.address)
			c.send(getRequest)
			if _, err := c.response(); err != nil {
				t.Fatal(err)
			}
			all = append(all, c)
		}
		for _, c := range all {
			c.send(getRequest)
		}
		s.drain(drainTimeout)
		for _, c := range all {
			if _, err := c.response(); err != nil {
				lost++
			}
			_ = c.Close()
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, rounds*callers)
	}
}

// Guards against answers that are lost in the server's buffer (LOST): the handler has returned, and the connection takes
// the answer only later.
func TestDrainWaitsForAnswersInBuffers(t *testing.T) {
	returned := make(chan struct{})
	release := make(chan struct{})
	slow := &slowListener{Listener: listen(t), release: release}
	s := startServer(t, drainer.Settings{}, slow, func(w http.ResponseWriter, r *http.Request) {
		defer close(returned)
		answerOK(w, r)
	})
	c := dial(t, s.address)
	c.send(getRequest)
	<-returned
	drained := make(chan drainer.Report)
	go func() { drained <- s.drain(drainTimeout) }()
	select {
	case <-drained:
		t.Fatal("the drain ended before the answer was written")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	if r, err := c.response(); err != nil || r.body != "ok" {
		t.Errorf("answer %q, %v", r.body, err)
	}
	<-drained
}

// slowListener accepts connections whose writes wait for release.
type slowListener struct {
	net.Listener
	release chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, release: l.release}, err
}

type slowConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowConn) Write(p []byte) (int, error) {
	<-c.release
	return c.Conn.Write(p)
}

// Guards against connections that are reset in the listener's queue (LOST): the server has accepted none of them when
// the drain begins.
func TestDrainAnswersConnectionsInTheQueue(t *testing.T) {
	gate := make(chan struct{})
	s := startServer(t, drainer.Settings{}, &gatedListener{TCPListener: listen(t).(*net.TCPListener), gate: gate}, answerOK)
	var all []*caller
	for range 50 {
		c := dial(t, s.address)
		c.send(getRequest)
		all = append(all, c)
	}
	drained := make(chan drainer.Report)
	go func() { drained <- s.drain(drainTimeout) }()
	time.Sleep(50 * time.Millisecond)
	close(gate)
	for i, c := range all {
		if r, err := c.response(); err != nil || !r.Close {
			t.Fatalf("caller %d: %+v, %v", i, r.Response, err)
		}
	}
	<-drained
	if err := <-s.served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve returned %v", err)
	}
	if _, err := net.Dial("tcp", s.address); err == nil {
		t.Error("the port is still open after the drain")
	}
}

// gatedListener accepts nothing before the gate opens.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// A connection is closed only after the time that its last answer announced, so that no request meets the close.
func TestDrainKeepsConnectionsForAnnouncedTime(t *testing.T) {
	s := startServer(t, drainer.Settings{KeepAlive: time.Second}, listen(t), answerOK)
	c := dial(t, s.address)
	c.send(getRequest)
	if r, err := c.response(); err != nil || r.Header.Get("Keep-Alive") != "timeout=1" {
		t.Fatalf("%+v, %v", r.Response, err)
	}
	drained := make(chan drainer.Report)
	go func() { drained <- s.drain(drainTimeout) }()
	time.Sleep(900 * time.Millisecond)
	c.send(getRequest)
	if r, err := c.response(); err != nil || !r.Close {
		t.Errorf("%+v, %v", r.Response, err)
	}
	<-drained
}

// Requests that are open when the drain has to end learn the cause, also those whose body has not arrived, and their
// answers reach the callers.
func TestDrainCancelsRequestsAtItsEnd(t *testing.T) {
	s := startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
		_, _ = fmt.Fprint(w, context.Cause(r.Context()))
	})
	whole, half := dial(t, s.address), dial(t, s.address)
	whole.send(getRequest)
	half.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
	for s.drainer.OpenRequests() < 2 {
		time.Sleep(time.Millisecond)
	}
	if report := s.drain(300 * time.Millisecond); report.Aborted != 2 {
		t.Errorf("%+v", report)
	}
	for _, c := range []*caller{whole, half} {
		if r, err := c.response(); err != nil || r.body != errStopping.Error() {
			t.Errorf("answer %q, %v", r.body, err)
		}
	}
}

// Connections that never send a request, or stall within its head, do not hold up the drain.
func TestDrainClosesSilentConnections(t *testing.T) {
	s := startServer(t, drainer.Settings{}, listen(t), answerOK)
	dial(t, s.address)
	dial(t, s.address).send("GET / HTTP/1.1\r\nHo")
	idle := dial(t, s.address)
	idle.send(getRequest)
	if _, err := idle.response(); err != nil {
		t.Fatal(err)
	}
	if report := s.drain(drainTimeout); report != (drainer.Report{Idle: 2, Unfinished: 1}) {
		t.Errorf("%+v", report)
	}
}

// A shorter idle timeout applies to the idle periods that begin after it is known; callers may rely on the former one
// until then.
func TestShorterIdleTimeoutSparesIdleConnections(t *testing.T) {
	s := startServer(t, drainer.Settings{}, listen(t), answerOK)
	s.drainer.CloseIdle(time.Hour)
	c := dial(t, s.address)
	c.send(getRequest)
	if _, err := c.response(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	s.drainer.CloseIdle(10 * time.Millisecond)
	c.send(getRequest)
	if _, err := c.response(); err != nil {
		t.Fatalf("request on a connection that was idle under the longer timeout: %v", err)
	}
	time.Sleep(20 * time.Millisecond)
	s.drainer.CloseIdle(10 * time.Millisecond)
	if _, err := c.reader.Peek(1); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection ended with %v", err)
	}
}

// Connections that callers use at random while idle ones are closed get all answers, or an end without any request read.
func TestCloseIdleUnderLoad(t *testing.T) {
	var mu sync.Mutex
	served := make(map[string]int)
	s := startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		served[r.URL.Path]++
		mu.Unlock()
		answerOK(w, r)
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for caller := range 50 {
		group.Go(func() { s.callUntil(stop, fmt.Sprintf("/%d", caller), served, &mu) })
	}
	for range 200 {
		s.drainer.CloseIdle(0)
		time.Sleep(time.Millisecond)
	}
	close(stop)
	group.Wait()
}

// callUntil sends requests on kept connections. None that was served may lack its answer.
func (s *server) callUntil(stop chan struct{}, prefix string, served map[string]int, mu *sync.Mutex) {
	c := dial(s.t, s.address)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		path := fmt.Sprintf("%s-%d", prefix, i)
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		if err == nil {
			_, err = c.response()
		}
		if err != nil {
			mu.Lock()
			if served[path] > 0 {
				s.t.Errorf("%s was served, and its answer is missing: %v", path, err)
			}
			mu.Unlock()
			_ = c.Close()
			c = dial(s.t, s.address)
		}
	}
}
