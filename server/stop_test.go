package server_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/server"
)

// shutdownTimeout limits a shutdown in tests that do not reach it.
const shutdownTimeout = 20 * time.Second

// certificate returns the configuration of a port with the certificate of package httptest.
func certificate() *tls.Config {
	donor := httptest.NewTLSServer(http.NotFoundHandler())
	defer donor.Close()
	return &tls.Config{Certificates: donor.TLS.Certificates}
}

// startOn serves on the listener until the end of the test, with TLS if the configuration is not nil.
func startOn(t *testing.T, s *scriptedBackend, listener net.Listener, config *tls.Config) *server.Server {
	t.Helper()
	srv, err := server.New(server.Settings{Configuration: newConfiguration(t), Completer: s, Invoker: s, TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return srv
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func shutDown(srv *server.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return srv.Shutdown(ctx)
}

// kept is a connection of a caller that sends several requests.
type kept struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, listener net.Listener, config *tls.Config) *kept {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if config != nil {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}
}

const healthRequest = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

func (k *kept) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(k, text); err != nil {
		t.Fatal(err)
	}
}

func (k *kept) answer() (body string, err error) {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// Guards against requests without an answer (LOST): each has arrived at an idle connection when the shutdown begins.
func TestShutdownAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": certificate()} {
		t.Run(name, func(t *testing.T) {
			const rounds, callers = 10, 100
			lost := 0
			for range rounds {
				lost += shutDownWithArrivedRequests(t, config, callers)
			}
			if lost > 0 {
				t.Errorf("%d of %d requests got no answer", lost, rounds*callers)
			}
		})
	}
}

// shutDownWithArrivedRequests returns how many requests got no answer.
func shutDownWithArrivedRequests(t *testing.T, config *tls.Config, callers int) (lost int) {
	t.Helper()
	listener := listen(t)
	srv := startOn(t, &scriptedBackend{}, listener, config)
	var all []*kept
	for range callers {
		k := dial(t, listener, config)
		k.send(t, healthRequest)
		if _, err := k.answer(); err != nil {
			t.Fatal(err)
		}
		all = append(all, k)
	}
	for _, k := range all {
		k.send(t, healthRequest)
	}
	if err := shutDown(srv, shutdownTimeout); err != nil {
		t.Error(err)
	}
	for _, k := range all {
		if _, err := k.answer(); err != nil {
			lost++
		}
		_ = k.Close()
	}
	return lost
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

// Guards against connections that are reset in the listener's queue (LOST): the server has accepted none of them when
// the shutdown begins.
func TestShutdownAnswersConnectionsInTheQueue(t *testing.T) {
	listener := &gatedListener{TCPListener: listen(t).(*net.TCPListener), gate: make(chan struct{})}
	srv := startOn(t, &scriptedBackend{}, listener, nil)
	var all []*kept
	for range 50 {
		k := dial(t, listener, nil)
		k.send(t, healthRequest)
		all = append(all, k)
	}
	time.Sleep(50 * time.Millisecond) // Serve has begun.
	stopped := make(chan error)
	go func() { stopped <- shutDown(srv, shutdownTimeout) }()
	time.Sleep(50 * time.Millisecond)
	close(listener.gate)
	lost := 0
	for _, k := range all {
		if _, err := k.answer(); err != nil {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, len(all))
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		t.Error("the port is still open after the shutdown")
	}
}

// A request whose body has not arrived when the shutdown has to end is refused for that cause, not for a late body.
func TestShutdownPastDeadlineRefusesRequestsWithoutBody(t *testing.T) {
	listener := listen(t)
	srv := startOn(t, &scriptedBackend{}, listener, nil)
	k := dial(t, listener, nil)
	k.send(t, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+accountKey+"\r\nContent-Length: 100\r\n\r\n{")
	time.Sleep(50 * time.Millisecond)
	go func() { _ = shutDown(srv, 100*time.Millisecond) }()
	_ = k.SetReadDeadline(time.Now().Add(5 * time.Second))
	if body, err := k.answer(); err != nil || !strings.Contains(body, `"code":"leaving"`) || !strings.Contains(body, "not_run") {
		t.Errorf("answer %q, %v", body, err)
	}
}

// Guards against an untrue refusal: a call to a service that the shutdown cancels is not refused as given up by its caller.
func TestShutdownPastDeadlineRefusesServiceCalls(t *testing.T) {
	listener := listen(t)
	srv := startOn(t, &scriptedBackend{release: make(chan struct{})}, listener, nil)
	k := dial(t, listener, nil)
	k.send(t, "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+accountKey+"\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	go func() { _ = shutDown(srv, 100*time.Millisecond) }()
	if body, err := k.answer(); err != nil || !strings.Contains(body, `"code":"leaving"`) || !strings.Contains(body, "may_have_run") {
		t.Errorf("answer %q, %v", body, err)
	}
}

// chatOverHTTP2 sends a streamed chat call over HTTP/2 and returns the body of the response.
func chatOverHTTP2(client *http.Client, listener net.Listener) (body string, err error) {
	text := strings.NewReader(strings.Replace(validBody, "{", `{"stream":true,`, 1))
	request, err := http.NewRequest(http.MethodPost, "https://"+listener.Addr().String()+"/v1/chat/completions", text)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ProtoMajor != 2 {
		return "", fmt.Errorf("answered over %s", response.Proto)
	}
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

func newHTTP2Client(t *testing.T) *http.Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// startHTTP2Calls starts calls on one connection and waits until the backend has received them.
func startHTTP2Calls(t *testing.T, s *scriptedBackend, listener net.Listener, calls int) (answers chan string) {
	t.Helper()
	answers = make(chan string, calls)
	client := newHTTP2Client(t)
	for range calls {
		go func() {
			body, err := chatOverHTTP2(client, listener)
			answers <- fmt.Sprint(body, err)
		}()
	}
	for s.receivedCount() < calls {
		time.Sleep(time.Millisecond)
	}
	return answers
}

// Requests that share a connection of HTTP/2 are answered, and a connection without a request does not hold up the
// shutdown.
func TestShutdownWaitsForRequestsOverHTTP2(t *testing.T) {
	s := &scriptedBackend{events: []completer.Event{{Tokens: 1, Text: "a", Finish: "stop"}}, release: make(chan struct{})}
	listener := listen(t)
	srv := startOn(t, s, listener, certificate())
	idle := newHTTP2Client(t)
	if response, err := idle.Get("https://" + listener.Addr().String() + "/healthz"); err != nil {
		t.Fatal(err)
	} else {
		_ = response.Body.Close()
	}
	answers := startHTTP2Calls(t, s, listener, 3)
	stopped := make(chan error)
	go func() { stopped <- shutDown(srv, shutdownTimeout) }()
	time.Sleep(100 * time.Millisecond)
	close(s.release)
	for range 3 {
		if answer := <-answers; !strings.Contains(answer, "[DONE]") {
			t.Errorf("a request was cut: %s", answer)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(shutdownTimeout / 2):
		t.Error("the shutdown waits for idle connections")
	}
}

// Requests over HTTP/2 that are open when the shutdown has to end get an error event like all others.
func TestShutdownPastDeadlineCancelsRequestsOverHTTP2(t *testing.T) {
	s := &scriptedBackend{events: []completer.Event{{Tokens: 1, Text: "a"}}, release: make(chan struct{})}
	listener := listen(t)
	srv := startOn(t, s, listener, certificate())
	answers := startHTTP2Calls(t, s, listener, 3)
	go func() { _ = shutDown(srv, 100*time.Millisecond) }()
	for range 3 {
		if answer := <-answers; !strings.Contains(answer, `"code":"leaving"`) || !strings.Contains(answer, "may_have_run") {
			t.Errorf("the answer is %s", answer)
		}
	}
}

// Guards against calls that come late in a stop, are passed on and cancelled at its end (LOST), among them such as may not be
// repeated: they are refused as not run, also if only the end of their body comes late.
func TestShutdownRefusesLateCalls(t *testing.T) {
	const head = "POST /services/s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + accountKey + "\r\nContent-Length: 5\r\n\r\n"
	listener := listen(t)
	s := &scriptedBackend{release: make(chan struct{})}
	srv := startOn(t, s, listener, nil)
	open, halfway := dial(t, listener, nil), dial(t, listener, nil)
	open.send(t, head+"wheel")
	halfway.send(t, head+"wh")
	time.Sleep(50 * time.Millisecond)
	stopped := make(chan error)
	go func() { stopped <- shutDown(srv, time.Second) }()
	time.Sleep(200 * time.Millisecond)
	halfway.send(t, "eel")
	late := map[string]*kept{"new connection": dial(t, listener, nil), "body that was under way": halfway}
	for name, k := range late {
		if k != halfway {
			k.send(t, head+"wheel")
		}
		if body, err := k.answer(); err != nil || !strings.Contains(body, `"code":"leaving"`) || !strings.Contains(body, "not_run") {
			t.Errorf("%s: answer %q, %v", name, body, err)
		}
	}
	if body, err := open.answer(); err != nil || !strings.Contains(body, "may_have_run") {
		t.Errorf("the call that was open: answer %q, %v", body, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
