package server_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/server"
)

// BenchmarkChat measures a chat call for several prompt sizes, without a network or an engine.
func BenchmarkChat(b *testing.B) {
	for _, size := range []int{4 << 10, 16 << 10, 64 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			srv, err := server.New(server.Settings{
				Configuration: newConfiguration(b),
				Completer:     statelessCompleter{},
				Invoker:       &scriptedBackend{},
				MaxBodyBytes:  1 << 20,
			})
			if err != nil {
				b.Fatal(err)
			}
			handler := srv.Handler()
			prompt := strings.Repeat("company spec book ", size/18+1)[:size]
			body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+accountKey)
				handler.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}

// statelessCompleter answers each call with one event and, unlike scriptedBackend, stores no
// request.
type statelessCompleter struct{}

func (statelessCompleter) Complete(_ context.Context, _ completer.Request, sink completer.Sink) error {
	if err := sink.Begin(completer.Head{}); err != nil {
		return err
	}
	return sink.Deliver(completer.Event{Tokens: 1, Text: "w", Finish: "stop"})
}
