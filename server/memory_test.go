package server_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

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
