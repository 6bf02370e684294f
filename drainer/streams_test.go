package drainer_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/rosemaryrill/rosemaryrill/drainer"
)

// streamMemory counts what is taken for requests over HTTP/2, and has room for a number of them.
type streamMemory struct{ room, taken, most atomic.Int64 }

func (m *streamMemory) TryTakeStream(int) bool {
	if taken := m.taken.Add(1); taken <= m.room.Load() {
		m.most.Store(max(m.most.Load(), taken))
		return true
	}
	m.taken.Add(-1)
	return false
}

func (m *streamMemory) GiveStreamBack(int) { m.taken.Add(-1) }

// boundedStreams returns settings with room for some requests over HTTP/2.
func boundedStreams(room int64) (*streamMemory, drainer.Settings) {
	memory := &streamMemory{}
	memory.room.Store(room)
	return memory, drainer.Settings{
		Streams: memory, WriteTimeout: time.Minute,
		RefuseStream: func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "no memory", http.StatusServiceUnavailable)
		},
	}
}

// Guards against requests over HTTP/2 without bound on one connection, and against memory for them that isn't given back.
func TestRequestsOverHTTP2TakeMemory(t *testing.T) {
	const room, requests = 3, 20
	memory, settings := boundedStreams(room)
	release := make(chan struct{})
	_, url, client := startHTTP2With(t, settings, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, "answer") // The client's check tells if this fails.
	})
	answers := make(chan string, requests)
	for range requests {
		go func() {
			body, err := get(client, url)
			answers <- fmt.Sprint(strings.TrimSpace(body), err)
		}()
	}
	for range requests - room {
		if answer := <-answers; answer != "no memory<nil>" {
			t.Errorf("beyond the memory: %s", answer)
		}
	}
	close(release)
	for range room {
		if answer := <-answers; answer != "answer<nil>" {
			t.Errorf("within the memory: %s", answer)
		}
	}
	if memory.most.Load() != room {
		t.Errorf("%d requests were served at once, want %d", memory.most.Load(), room)
	}
	for range 100 {
		if memory.taken.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("memory for %d requests is still taken", memory.taken.Load())
}

// Guards against callers over HTTP/2 that read no byte of their answers and thereby keep the memory for requests.
func TestUnreadAnswersOverHTTP2MakeRoom(t *testing.T) {
	memory, settings := boundedStreams(1)
	_, url, client := startHTTP2With(t, settings, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer") // The client's check tells if this fails.
	})
	conn, err := tls.Dial("tcp", strings.TrimPrefix(url, "https://"), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, http2.ClientPreface) // If a write fails, the request doesn't take the memory, which is checked.
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for name, value := range map[string]string{":method": "GET", ":scheme": "https", ":path": "/", ":authority": "x"} {
		_ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
	}
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte(block.String()), EndStream: true, EndHeaders: true})
	for memory.taken.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 200 {
		body, err := get(client, url)
		if err == nil && body == "answer" {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Error("no answer beside a caller that doesn't read its own")
}
