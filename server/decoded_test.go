package server_test

import (
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
	"github.com/rosemaryrill/rosemaryrill/server"
)

func newChatServer(t *testing.T, settings server.Settings) (*server.Server, *scriptedBackend) {
	t.Helper()
	backend := &scriptedBackend{events: []completer.Event{{Tokens: 1, Text: "w", Finish: "stop"}}}
	settings.Configuration, settings.Completer, settings.Invoker = newConfiguration(t), backend, backend
	srv, err := server.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return srv, backend
}

func chatOf(message string, count int) string {
	return `{"model":"m","messages":[` + strings.Repeat(message+",", count-1) + message + `]}`
}

// Guards against chats of legal size that are decoded into many times as much memory, and against a refusal that doesn't name the limit or say that
// nothing ran.
func TestChatsWithTooManyElementsAreRefused(t *testing.T) {
	srv, backend := newChatServer(t, server.Settings{MaxListElements: 10, Memory: reserver.NewMemory(4 << 20)})
	parts := `{"role":"user","content":[` + strings.Repeat(`{"type":"text","text":""},`, 10) + `{"type":"text","text":""}]}`
	for _, chat := range []string{chatOf(`{}`, 11), chatOf(`0`, 11), chatOf(`{"role":"user","content":"x"}`, 11), chatOf(parts, 1)} {
		answer := post(srv, "/v1/chat/completions", chat, nil)
		if answer.Code != http.StatusBadRequest || !strings.Contains(answer.Body.String(), "limits.max_list_elements is 10") || !strings.Contains(answer.Body.String(), `"not_run"`) {
			t.Errorf("%.40s: %d %s", chat, answer.Code, answer.Body)
		}
	}
	if backend.receivedCount() > 0 {
		t.Error("a refused chat has run")
	}
	if answer := post(srv, "/v1/chat/completions", chatOf(`{"role":"user","content":"x"}`, 10), nil); answer.Code != http.StatusOK {
		t.Errorf("as many as are allowed: %d %s", answer.Code, answer.Body)
	}
}

// Guards against values that don't count as memory: many messages, and text that grows when it is decoded.
func TestDecodedChatsCountAsMemory(t *testing.T) {
	memory := reserver.NewMemory(8 << 20)
	srv, _ := newChatServer(t, server.Settings{Memory: memory})
	held := memory.Hold("another", 5<<20)
	for name, chat := range map[string]string{
		"messages":   chatOf(`{"role":"u","content":""}`, 5000),
		"no unicode": chatOf(`{"role":"u","content":"`+strings.Repeat("\xff", 150<<10)+`"}`, 1),
	} {
		if answer := post(srv, "/v1/chat/completions", chat, nil); answer.Code != http.StatusServiceUnavailable || !strings.Contains(answer.Body.String(), `"no_memory"`) {
			t.Errorf("%s beside others: %d %s", name, answer.Code, answer.Body)
		}
	}
	held.Release()
	if answer := post(srv, "/v1/chat/completions", chatOf(`{"role":"u","content":""}`, 5000), nil); answer.Code != http.StatusOK {
		t.Errorf("alone: %d %s", answer.Code, answer.Body)
	}
	if memory.Held() != 0 {
		t.Errorf("%d bytes are still held", memory.Held())
	}
}

// Guards against work for the parts of a message that grows with the square of their number.
func TestWorkForPartsIsLinear(t *testing.T) {
	srv, _ := newChatServer(t, server.Settings{})
	const workPerByte = 100
	part := `{"type":"text","text":"some text"}`
	chat := chatOf(`{"role":"u","content":[`+strings.Repeat(part+",", 20_000)+part+`]}`, 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if answer := post(srv, "/v1/chat/completions", chat, nil); answer.Code != http.StatusOK {
		t.Errorf("%d %s", answer.Code, answer.Body)
	}
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > uint64(workPerByte*len(chat)) {
		t.Errorf("%d bytes were allocated for a chat of %d bytes", allocated, len(chat))
	}
}
