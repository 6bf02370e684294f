package streamer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/streamer"
)

// BenchmarkAnswer compares short answers over sockets through the forwarder alone and through a
// streamer.
func BenchmarkAnswer(b *testing.B) {
	engine := engineemulator.New(engineemulator.Settings{
		Weights: []string{"w1"}, DecodeStep: 50 * time.Microsecond, EndedRunRetention: time.Millisecond,
	})
	b.Cleanup(func() { _ = engine.Close() })
	if err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		b.Fatal(err)
	}
	client := forwarder.New(forwarder.Settings{})
	streams := streamer.New(streamer.Settings{Engines: streamer.NewEngineClient(client)})
	b.Cleanup(func() { _ = streams.Close() })
	target := streamer.Target{Name: "t", Address: engine.Address()}
	messages := []forwarder.Message{{Role: "user", Content: "q"}}
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			call := forwarder.ModelCall{RunID: fmt.Sprint("d", i), Weights: "w1", Messages: messages, MaxTokens: 16}
			stream, err := client.Generate(context.Background(), target.Address, call)
			for err == nil {
				_, err = stream.Next()
			}
			if !errors.Is(err, io.EOF) {
				b.Fatal(err)
			}
		}
	})
	b.Run("streamer", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			request := streamer.Request{ID: fmt.Sprint("s", i), Weights: "w1", Messages: messages, MaxTokens: 16}
			if _, err := streams.Run(context.Background(), request, fixedChooser(target), &collector{}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// fixedChooser always chooses the same target.
type fixedChooser streamer.Target

func (c fixedChooser) Choose(context.Context, []streamer.Attempt) (target streamer.Target, err error) {
	return streamer.Target(c), nil
}
