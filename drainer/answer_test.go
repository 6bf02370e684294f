package drainer_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// The time that an answer announces holds, also if the idle timeout became known or was lowered while the request was open.
func TestAnnouncedTimeHoldsIfIdleTimeoutIsLowered(t *testing.T) {
	for name, before := range map[string]time.Duration{"no timeout known": 0, "longer timeout": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := startServer(t, drainer.Settings{KeepAlive: 2 * time.Second}, listen(t), func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					_ = http.NewResponseController(w).Flush() // The head announces 2 s.
					<-release
				}
				answerOK(w, r)
			})
			if before > 0 {
				s.drainer.CloseIdle(before)
			}
			c := dial(t, s.address)
			c.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			if _, err := c.reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			s.drainer.CloseIdle(time.Second)
			close(release)
			r, err := c.response()
			if err != nil || r.Header.Get("Keep-Alive") != "timeout=2" {
				t.Fatalf("%+v, %v", r.Response, err)
			}
			time.Sleep(1200 * time.Millisecond)
			s.drainer.CloseIdle(time.Second)
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(c, getRequest)
			if _, err := c.response(); err != nil {
				t.Errorf("request 1.5 s after an answer that announced 2 s: %v", err)
			}
		})
	}
}

// The same for the first answers of a server, whose idle timeout becomes known while the connection is idle.
func TestAnnouncedTimeHoldsIfIdleTimeoutBecomesKnown(t *testing.T) {
	s := startServer(t, drainer.Settings{KeepAlive: 2 * time.Second}, listen(t), answerOK)
	c := dial(t, s.address)
	c.send(getRequest)
	if r, err := c.response(); err != nil || r.Header.Get("Keep-Alive") != "timeout=2" {
		t.Fatalf("%+v, %v", r.Response, err)
	}
	time.Sleep(1200 * time.Millisecond)
	s.drainer.CloseIdle(time.Second)
	time.Sleep(300 * time.Millisecond)
	_, _ = io.WriteString(c, getRequest)
	if _, err := c.response(); err != nil {
		t.Errorf("request 1.5 s after an answer that announced 2 s: %v", err)
	}
}

// The announced time leaves room for a request that is on the network when it ends: it is at most four fifths of the idle
// timeout, and none if that is less than a second.
func TestAnnouncedTimeIsShorterThanIdleTimeout(t *testing.T) {
	for idle, want := range map[time.Duration]string{
		time.Second: "", 1250 * time.Millisecond: "timeout=1", 2 * time.Second: "timeout=1", 2500 * time.Millisecond: "timeout=2", time.Minute: "timeout=2",
	} {
		s := startServer(t, drainer.Settings{KeepAlive: 2 * time.Second}, listen(t), answerOK)
		s.drainer.CloseIdle(idle)
		c := dial(t, s.address)
		c.send(getRequest)
		if r, err := c.response(); err != nil || r.Header.Get("Keep-Alive") != want {
			t.Errorf("idle timeout %s: Keep-Alive is %q, want %q; %v", idle, r.Header.Get("Keep-Alive"), want, err)
		}
	}
}

// An answer that begins after Leave announces the end of its connection, also if its request began before.
func TestAnswersAfterLeaveAnnounceTheEnd(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, drainer.Settings{KeepAlive: 2 * time.Second}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	c := dial(t, s.address)
	c.send(getRequest)
	for s.drainer.OpenRequests() < 1 {
		time.Sleep(time.Millisecond)
	}
	s.drainer.Leave()
	close(release)
	r, err := c.response()
	if err != nil {
		t.Fatal(err)
	}
	if !r.Close || r.Header.Get("Keep-Alive") != "" {
		t.Errorf("Connection: close is %v, Keep-Alive is %q", r.Close, r.Header.Get("Keep-Alive"))
	}
}

// An answer that ends its connection announces no time for its reuse.
func TestNoKeepAliveWithConnectionClose(t *testing.T) {
	s := startServer(t, drainer.Settings{KeepAlive: 2 * time.Second}, listen(t), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		answerOK(w, r)
	})
	c := dial(t, s.address)
	c.send(getRequest)
	if r, err := c.response(); err != nil || !r.Close || r.Header.Get("Keep-Alive") != "" {
		t.Errorf("close %v, Keep-Alive %q, %v", r.Close, r.Header.Get("Keep-Alive"), err)
	}
}

// An answer that was written whole does not count as cut: the server keeps the connection for 0.5 s, since the request's
// body was longer than it reads.
func TestWrittenAnswerIsNotCut(t *testing.T) {
	s := startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dial(t, s.address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	if _, err := c.response(); err != nil {
		t.Fatal(err)
	}
	report := s.drain(50 * time.Millisecond)
	_ = s.drainer.Close()
	if final := s.drainer.Report(); final.Cut > 0 || report.Aborted > 0 {
		t.Errorf("%+v", final)
	}
}

// The server ends its side at once after an answer without a length, as it does without a Drainer.
func TestCloseWriteIsPassedOn(t *testing.T) {
	s := startServer(t, drainer.Settings{}, listen(t), func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dial(t, s.address)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
	if _, err := c.response(); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	_, _ = c.reader.Peek(1)
	if passed := time.Since(started); passed > 200*time.Millisecond {
		t.Errorf("the end came %s after the answer", passed)
	}
}
