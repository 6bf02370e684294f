package drainer_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

const manyConnections = 16

// Guards against connections without a request that use up the descriptors, so that no new caller is served, and against a request that is
// cut to make room for another.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, drainer.Settings{MaxConnections: manyConnections}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(entered)
			<-release
		}
		_, _ = io.WriteString(w, "answer")
	})
	long := dial(t, s.address)
	_, _ = io.WriteString(long, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	for range 4 * manyConnections {
		dial(t, s.address)
	}
	served := 0
	for range 20 { // A new caller may be among those that are closed at once.
		time.Sleep(200 * time.Millisecond)
		served += answered(s.address)
	}
	if open, displaced, refused := s.drainer.Connections(); served == 0 || open > manyConnections || displaced == 0 {
		t.Errorf("%d requests were served; %d connections are open, %d made room, %d were refused", served, open, displaced, refused)
	}
	close(release)
	response, err := http.ReadResponse(long.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the request that was open all the time: %v", err)
	}
}

// Guards against unfinished heads that hold all connections for ever: package net/textproto ignores the error of a connection that ends between two
// fields of a head, and reads on.
func TestHeadsThatEndBetweenFieldsMakeRoom(t *testing.T) {
	s := startServer(t, drainer.Settings{MaxConnections: manyConnections}, listen(t), func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	})
	for range 4 * manyConnections {
		_, _ = io.WriteString(dial(t, s.address), "GET / HTTP/1.1\r\nHost: x\r\n") // Some are closed at once.
	}
	served := 0
	for range 2 * manyConnections {
		time.Sleep(200 * time.Millisecond)
		served += answered(s.address)
	}
	if served < manyConnections {
		t.Errorf("%d of %d requests were served", served, 2*manyConnections)
	}
}

// answered returns 1 if a new connection gets an answer.
func answered(address string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return 1
}

// Guards against refusals that are lost in the reset of a connection on which the caller still sends, and against callers that send on
// for ever or stop sending and keep the connection.
func TestRefusedCallersGetTheirRefusal(t *testing.T) {
	var s *server
	s = startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.drainer.Linger(w, r)
	})
	const bodyBytes = 4 << 20
	for _, sent := range []int{bodyBytes, bodyBytes / 2, 1} {
		c := dial(t, s.address)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", sent))
		if err != nil {
			t.Errorf("%d bytes: %v", sent, err)
		}
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("%d bytes were sent: %v", sent, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(drainTimeout)) // It fails only on a closed connection.
		if _, err := io.Copy(io.Discard, c.reader); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes were sent: the connection goes on", sent)
		}
	}
}

// Guards against bodies of refused callers that the kernel holds, where no bound of the daemon counts them: its buffer grows while the rest of a
// body is discarded, and fills once nobody reads any more.
func TestRefusedBodiesStayOutOfKernel(t *testing.T) {
	const discarded, most = 8 << 20, 256 << 10
	var s *server
	s = startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.drainer.Linger(w, r)
	})
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10) // Else more is sent, which fails the test.
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<30)
	sent, piece := 0, make([]byte, 16<<10)
	for err == nil {
		var n int
		n, err = c.Write(piece)
		sent += n
	}
	if sent > discarded+most {
		t.Errorf("%d bytes were taken of a refused body, want at most %d that are discarded and %d", sent, discarded, most)
	}
}

// Guards against answers that the kernel holds for callers which don't read, where no bound of the daemon counts them.
func TestUnreadAnswersStayOutOfKernel(t *testing.T) {
	const answerBytes, most = 64 << 20, 512 << 10
	var written atomic.Int64
	s := startServer(t, drainer.Settings{WriteTimeout: time.Minute}, listen(t), func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 8<<10)
		for written.Load() < answerBytes {
			if _, err := w.Write(piece); err != nil {
				return
			}
			written.Add(int64(len(piece)))
		}
	})
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10) // Else more is written, which fails the test.
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	before := int64(-1)
	for written.Load() != before {
		before = written.Load()
		time.Sleep(300 * time.Millisecond)
	}
	if before == 0 || before > most {
		t.Errorf("%d bytes were written to a caller that reads nothing, want at most %d", before, most)
	}
}

// Guards against callers that read nothing of a large answer and keep its handler for ever.
func TestAnswersNotReadEnd(t *testing.T) {
	ended := make(chan error, 1)
	s := startServer(t, drainer.Settings{WriteTimeout: 200 * time.Millisecond}, listen(t), func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	})
	c := dial(t, s.address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	if err := <-ended; err == nil {
		t.Error("the answer counts as read")
	}
}

// Guards against streams that are cut since their source pauses for longer than callers may leave a piece unread. Package net/http ends a request
// over HTTP/2 at its write deadline whether anything is being written or not.
func TestPausesWithinAnswersAreNotLimited(t *testing.T) {
	settings := drainer.Settings{WriteTimeout: 100 * time.Millisecond}
	stream := func(w http.ResponseWriter, _ *http.Request) {
		for range 3 {
			_, _ = io.WriteString(w, "event")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(3 * settings.WriteTimeout)
		}
	}
	plain := startServer(t, settings, listen(t), stream)
	_, encrypted, client := startHTTP2With(t, settings, stream)
	for url, client := range map[string]*http.Client{"http://" + plain.address: {}, encrypted: client} {
		response, err := client.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != "eventeventevent" {
			t.Errorf("%s: %q, %v", response.Proto, body, err)
		}
	}
}

// headMemory counts what is taken for heads, and has room for a number of bytes.
type headMemory struct{ room, taken atomic.Int64 }

func (m *headMemory) TryTake(bytes int) bool {
	if m.taken.Add(int64(bytes)) <= m.room.Load() {
		return true
	}
	m.taken.Add(int64(-bytes))
	return false
}

func (m *headMemory) GiveBack(bytes int) { m.taken.Add(int64(-bytes)) }

// Guards against long heads on many connections that fill the memory, and against memory for heads that isn't given back.
func TestLongHeadsTakeMemory(t *testing.T) {
	memory := &headMemory{}
	memory.room.Store(200 << 10)
	s := startServer(t, drainer.Settings{Heads: memory}, listen(t), func(http.ResponseWriter, *http.Request) {})
	head := "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("h", 30<<10) + "\r\n"
	callers := make([]net.Conn, 4)
	for i := range callers {
		c := dial(t, s.address)
		callers[i] = c
		_, _ = io.WriteString(c, head)
	}
	time.Sleep(300 * time.Millisecond)
	if open, _, _ := s.drainer.Connections(); open == 0 || int(open) == len(callers) || memory.taken.Load() == 0 {
		t.Errorf("%d of %d connections are open, %d bytes are taken", open, len(callers), memory.taken.Load())
	}
	for _, c := range callers {
		_ = c.Close()
	}
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		if memory.taken.Load() == 0 {
			break
		}
	}
	if taken := memory.taken.Load(); taken != 0 {
		t.Errorf("%d bytes are still taken", taken)
	}
}
