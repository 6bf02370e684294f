package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/completer"
	"github.com/rosemaryrill/rosemaryrill/invoker"
	"github.com/rosemaryrill/rosemaryrill/reserver"
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

// BenchmarkCallersPort measures a call to a service over a kept connection, from its head to its answer, for several sizes of bodies.
func BenchmarkCallersPort(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			settings := server.Settings{Configuration: newConfiguration(b), Completer: statelessCompleter{}, Invoker: statelessInvoker{}}
			settings.Memory, settings.MaxConnections = reserver.NewMemory(512<<20), 1000
			srv, err := server.New(settings)
			if err != nil {
				b.Fatal(err)
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go func() { _ = srv.Serve(listener) }() // Close ends it.
			defer func() { _ = srv.Close() }()
			url := "http://" + listener.Addr().String() + "/services/s/x"
			body := strings.Repeat("x", size)
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				request.Header.Set("Authorization", "Bearer "+accountKey)
				response, err := http.DefaultClient.Do(request)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Fatal(response, err)
				}
				_, _ = io.Copy(io.Discard, response.Body) // A failure shows in the next call.
				_ = response.Body.Close()
			}
		})
	}
}

// statelessInvoker answers each call.
type statelessInvoker struct{}

func (statelessInvoker) Invoke(context.Context, invoker.Request) (invoker.Answer, error) {
	return invoker.Answer{Status: http.StatusOK, Body: []byte("answer")}, nil
}
