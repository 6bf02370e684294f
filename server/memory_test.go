package server_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
	"github.com/rosemaryrill/rosemaryrill/server"
)

// Guards against calls that are read, or run, though there is no memory for them, and against memory that answered calls keep.
func TestCallsWithoutMemoryAreRefusedAsNotRun(t *testing.T) {
	backend := &scriptedBackend{events: []completer.Event{{Tokens: 1, Text: "w", Finish: "stop"}}}
	memory := reserver.NewMemory(4 << 20)
	srv, err := server.New(server.Settings{Configuration: newConfiguration(t), Completer: backend, Invoker: backend, Memory: memory})
	if err != nil {
		t.Fatal(err)
	}
	chat := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", 200<<10))
	held := memory.Hold("another", 4<<20)
	for path, body := range map[string]string{"/v1/chat/completions": chat, "/services/s/x": chat} {
		answer := post(srv, path, body, nil)
		if answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), `"no_memory"`) ||
			!strings.Contains(answer.Body.String(), `"not_run"`) || answer.Header().Get("Retry-After") == "" || answer.Header().Get("Connection") != "close" {
			t.Errorf("%s without memory: %d %s %v", path, answer.Code, answer.Body, answer.Header())
		}
	}
	if backend.receivedCount() > 0 {
		t.Error("a refused call has run")
	}
	held.Release()
	if answer := post(srv, "/v1/chat/completions", chat, nil); answer.Code != http.StatusOK {
		t.Errorf("with memory: %d %s", answer.Code, answer.Body)
	}
	if memory.Held() != 0 {
		t.Errorf("%d bytes are still held", memory.Held())
	}
}

// Guards against requests over HTTP/2 that stop arriving and keep their memory, since they share a connection whose reading can't be ended, and
// against an interruption that ends other requests of the connection.
func TestStalledRequestsOverHTTP2LoseTheirPlace(t *testing.T) {
	backend := &scriptedBackend{events: []completer.Event{{Tokens: 1, Text: "w", Finish: "stop"}}}
	memory := reserver.NewMemory(4 << 20)
	listener := listen(t)
	srv, err := server.New(server.Settings{Configuration: newConfiguration(t), Completer: backend, Invoker: backend, Memory: memory, TLS: certificate()})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(listener) }() // Close ends it.
	defer func() { _ = srv.Close() }()
	client := newHTTP2Client(t)
	const bodyBytes = 500 << 10
	statuses := make(chan int, 1)
	rest, stalled := io.Pipe()
	defer func() { _ = stalled.Close() }()
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "https://"+listener.Addr().String()+"/v1/chat/completions", rest) // The URL is sound.
		request.ContentLength = bodyBytes
		request.Header.Set("Authorization", "Bearer "+accountKey)
		response, err := client.Do(request)
		if err != nil {
			statuses <- 0
			return
		}
		_ = response.Body.Close()
		statuses <- response.StatusCode
	}()
	if _, err := stalled.Write([]byte("{")); err != nil {
		t.Fatal(err)
	}
	chat := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", bodyBytes))
	answered := false
	for range 50 {
		request, err := http.NewRequest(http.MethodPost, "https://"+listener.Addr().String()+"/v1/chat/completions", strings.NewReader(chat))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+accountKey)
		response, err := client.Do(request)
		if err == nil {
			answered = response.ProtoMajor == 2 && response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		if answered {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if status := <-statuses; status != http.StatusServiceUnavailable || !answered {
		t.Errorf("the stalled request got status %d; another one was answered: %t", status, answered)
	}
}
