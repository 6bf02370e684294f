package forwarder_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/engineemulator"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/serviceemulator"
)

func addressOf(t *testing.T, address net.Addr) netip.AddrPort {
	t.Helper()
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		t.Fatalf("%v is not a TCP address", address)
	}
	return tcp.AddrPort()
}

// generousTimeout is longer than any response takes, also on a loaded machine.
const generousTimeout = time.Minute

func newClient(t *testing.T, settings forwarder.Settings) *forwarder.Client {
	t.Helper()
	settings.ControlTimeout = cmp.Or(settings.ControlTimeout, generousTimeout)
	settings.ConnectTimeout = cmp.Or(settings.ConnectTimeout, generousTimeout)
	settings.EventTimeout = cmp.Or(settings.EventTimeout, generousTimeout)
	client := forwarder.New(settings)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func startEngine(t *testing.T, settings engineemulator.Settings) *engineemulator.Engine {
	t.Helper()
	settings.DecodeStep = time.Millisecond
	settings.Weights = []string{"w1"}
	engine := engineemulator.New(settings)
	t.Cleanup(func() { _ = engine.Close() })
	if err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	return engine
}

var testMessages = []forwarder.Message{{Role: "user", Content: "which rims are in stock?"}}

func modelCall(runID string, tokens int) forwarder.ModelCall {
	return forwarder.ModelCall{
		RunID: runID, Account: "a", Model: "m", Weights: "w1", Messages: testMessages, MaxTokens: tokens,
	}
}

// readStream returns the text and the finish reason of a stream, and the error that ended it.
func readStream(stream *forwarder.Stream) (text string, finish string, err error) {
	for {
		event, err := stream.Next()
		if err != nil {
			return text, finish, err
		}
		text += event.Text
		finish = event.Finish
	}
}

func expectedText(messages []forwarder.Message, tokens int) string {
	var converted []hasher.Message
	for _, message := range messages {
		converted = append(converted, hasher.Message(message))
	}
	return engineemulator.Answer(hasher.Prompt(converted), tokens)
}

func TestGenerateAndResume(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{})
	client := newClient(t, forwarder.Settings{})
	stream, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 20))
	if err != nil {
		t.Fatal(err)
	}
	text, finish, err := readStream(stream)
	if !errors.Is(err, io.EOF) || finish != "length" || text != expectedText(testMessages, 20) {
		t.Fatalf("got %q, %q, %v", text, finish, err)
	}
	if stream.Head().Incarnation != engine.Incarnation() || stream.Head().Weights != "w1" {
		t.Fatalf("head %+v", stream.Head())
	}
	resumed, err := client.Resume(t.Context(), engine.Address(), "r1", 12)
	if err != nil {
		t.Fatal(err)
	}
	rest, _, err := readStream(resumed)
	if !errors.Is(err, io.EOF) || expectedText(testMessages, 12)+rest != text {
		t.Fatalf("resumed %q, %v", rest, err)
	}
	var unknown *forwarder.NotFoundError
	if _, err := client.Resume(t.Context(), engine.Address(), "r2", 0); !errors.As(err, &unknown) {
		t.Fatalf("unknown run: %v", err)
	}
}

func TestTruncatedStreamReturnsBrokenError(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{Faults: engineemulator.Faults{CutStreamsAfterTokens: 3}})
	client := newClient(t, forwarder.Settings{})
	stream, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 10))
	if err != nil {
		t.Fatal(err)
	}
	text, _, err := readStream(stream)
	var broken *forwarder.BrokenError
	if !errors.As(err, &broken) || !broken.Sent || !broken.ConnectionLost || text != expectedText(testMessages, 3) {
		t.Fatalf("got %q, %v", text, err)
	}
}

func TestGenerateRejectsMismatchedRunID(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{Faults: engineemulator.Faults{SwapAnswers: 1}})
	client := newClient(t, forwarder.Settings{})
	var mismatched *forwarder.MismatchedResponseError
	if _, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 4)); !errors.As(err, &mismatched) {
		t.Fatalf("response with another run ID: %v", err)
	}
	if counters := client.Counters(); counters.Mismatched != 1 {
		t.Fatalf("counters %+v", counters)
	}
}

func TestGenerateReturnsRefusedError(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{})
	client := newClient(t, forwarder.Settings{})
	wrong := modelCall("r1", 4)
	wrong.Weights = "w0"
	_, err := client.Generate(t.Context(), engine.Address(), wrong)
	var refused *forwarder.RefusedError
	if !errors.As(err, &refused) || refused.Code != "weights_not_loaded" {
		t.Fatalf("wrong weights: %v", err)
	}
	engine.SetLeaving(true)
	_, err = client.Generate(t.Context(), engine.Address(), modelCall("r2", 4))
	if !errors.As(err, &refused) || refused.Code != "leaving" {
		t.Fatalf("leaving: %v", err)
	}
	if runs := engine.Runs(); len(runs) != 0 {
		t.Fatalf("refused calls ran: %v", runs)
	}
}

func TestRefusedConnectionReturnsNotSentError(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{})
	client := newClient(t, forwarder.Settings{})
	engine.Crash()
	var notSent *forwarder.NotSentError
	if _, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 4)); !errors.As(err, &notSent) {
		t.Fatalf("model call: %v", err)
	}
	place := forwarder.ServiceCall{RequestID: "r2", Method: http.MethodPost, Path: "/place", Key: "k"}
	if _, err := client.CallService(t.Context(), engine.Address(), place); !errors.As(err, &notSent) {
		t.Fatalf("service call: %v", err)
	}
}

func TestCallServiceReturnsNotSentErrorBeforeConnecting(t *testing.T) {
	service := serviceemulator.New(serviceemulator.Settings{})
	t.Cleanup(func() { _ = service.Close() })
	if err := service.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	client := newClient(t, forwarder.Settings{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	place := forwarder.ServiceCall{
		RequestID: "r1", Account: "a", Method: http.MethodPost, Path: "/place", Key: "k1", Body: []byte(`{"item":"wheel"}`),
	}
	var notSent *forwarder.NotSentError
	if _, err := client.CallService(ctx, service.Address(), place); !errors.As(err, &notSent) {
		t.Fatalf("cancelled call: %v", err)
	}
	place.Path = "@elsewhere/place"
	if _, err := client.CallService(t.Context(), service.Address(), place); !errors.As(err, &notSent) {
		t.Fatalf("path without a slash: %v", err)
	}
	if runs := service.Runs(); len(runs) != 0 {
		t.Fatalf("runs %v", runs)
	}
}

// abortingServer responds to a first GET on a connection. It reads every other call, counts it
// and closes the connection without a response, as a server does that crashes after it ran a
// call.
func abortingServer(t *testing.T, aborted *atomic.Int32) netip.AddrPort {
	t.Helper()
	var mu sync.Mutex
	answered := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		secondCall := answered[r.RemoteAddr]
		answered[r.RemoteAddr] = true
		mu.Unlock()
		if r.Method == http.MethodGet && !secondCall {
			w.WriteHeader(http.StatusOK)
			return
		}
		aborted.Add(1)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return addressOf(t, server.Listener.Addr())
}

// TestTransportDoesNotRetryCalls has the server close a connection after it has read a call with
// an Idempotency-Key. On a pooled connection net/http would retry such a call if it has no body.
func TestTransportDoesNotRetryCalls(t *testing.T) {
	for _, body := range []string{"", `{"item":"wheel"}`} {
		var seen atomic.Int32
		target := abortingServer(t, &seen)
		client := newClient(t, forwarder.Settings{})
		first := forwarder.ServiceCall{RequestID: "r0", Method: http.MethodGet, Path: "/", Idempotent: true}
		if _, err := client.CallService(t.Context(), target, first); err != nil {
			t.Fatal(err)
		}
		place := forwarder.ServiceCall{
			RequestID: "r1", Method: http.MethodPost, Path: "/place", Key: "k1", Body: []byte(body),
		}
		_, err := client.CallService(t.Context(), target, place)
		var broken *forwarder.BrokenError
		if !errors.As(err, &broken) || !broken.Sent {
			t.Errorf("body %q: got %v", body, err)
		}
		if got := seen.Load(); got != 1 {
			t.Errorf("body %q: the call arrived %d times", body, got)
		}
	}
}

// TestTransportDoesNotFollowRedirects has a target redirect a call. Following the redirect would
// run the call a second time.
func TestTransportDoesNotFollowRedirects(t *testing.T) {
	var seen atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	client := newClient(t, forwarder.Settings{})
	place := forwarder.ServiceCall{RequestID: "r1", Method: http.MethodPost, Path: "/place", Key: "k1"}
	answer, err := client.CallService(t.Context(), addressOf(t, server.Listener.Addr()), place)
	if err != nil || answer.Status != http.StatusTemporaryRedirect || seen.Load() != 1 {
		t.Fatalf("got %+v, %v after %d calls", answer, err, seen.Load())
	}
}

func TestCallServiceAndLookup(t *testing.T) {
	service := serviceemulator.New(serviceemulator.Settings{Faults: serviceemulator.Faults{LoseAnswers: 1}})
	t.Cleanup(func() { _ = service.Close() })
	if err := service.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	client := newClient(t, forwarder.Settings{})
	place := forwarder.ServiceCall{
		RequestID: "r1", Account: "a", Method: http.MethodPost, Path: "/place", Key: "k1",
		Body: []byte(`{"item":"wheel"}`),
	}
	var broken *forwarder.BrokenError
	if _, err := client.CallService(t.Context(), service.Address(), place); !errors.As(err, &broken) {
		t.Fatalf("lost response: %v", err)
	}
	answer, err := client.Lookup(t.Context(), service.Address(), "/lookup", "a", "k1")
	if err != nil || answer.State != forwarder.LookupRan || string(answer.Body) != `{"order":1,"item":"wheel"}` {
		t.Fatalf("look-up: %+v, %v", answer, err)
	}
	answer, err = client.Lookup(t.Context(), service.Address(), "/lookup", "a", "k2")
	if err != nil || answer.State != forwarder.LookupNotRun {
		t.Fatalf("look-up of an unknown key: %+v, %v", answer, err)
	}
	place.Key = "k2"
	var refused *forwarder.RefusedError
	if _, err := client.CallService(t.Context(), service.Address(), place); !errors.As(err, &refused) {
		t.Fatalf("call with a key after its look-up: %v", err)
	}
	if runs := service.Runs(); runs["a/k1"] != 1 || runs["a/k2"] != 0 {
		t.Fatalf("runs %v", runs)
	}
}

func TestUnresponsiveTargetTimesOut(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{Faults: engineemulator.Faults{Freeze: true}})
	client := newClient(t, forwarder.Settings{HeaderTimeout: 50 * time.Millisecond, ControlTimeout: 50 * time.Millisecond})
	_, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 4))
	var broken *forwarder.BrokenError
	var timeout *forwarder.TimeoutError
	if !errors.As(err, &broken) || broken.ConnectionLost || !errors.As(err, &timeout) {
		t.Fatalf("unresponsive engine: %v", err)
	}
	if _, err := client.Load(t.Context(), engine.Address()); err == nil {
		t.Fatal("an unresponsive engine reported its load")
	}
}

func TestControlCalls(t *testing.T) {
	engine := startEngine(t, engineemulator.Settings{
		BlockTokens: 2,
		WeightStore: engineemulator.NewWeightStore(engineemulator.WeightStoreSettings{LoadTime: time.Millisecond}),
	})
	client := newClient(t, forwarder.Settings{})
	stream, err := client.Generate(t.Context(), engine.Address(), modelCall("r1", 4))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := readStream(stream); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	events, err := client.CacheEvents(t.Context(), engine.Address(), 0, time.Second)
	if err != nil || len(events.Events) == 0 || events.Incarnation != engine.Incarnation() {
		t.Fatalf("events %+v, %v", events, err)
	}
	var blocks []hasher.Block
	for _, event := range events.Events {
		blocks = append(blocks, event.Block)
	}
	data, err := client.Export(t.Context(), engine.Address(), "a", "w1", blocks)
	if err != nil {
		t.Fatal(err)
	}
	var unknown *forwarder.NotFoundError
	if _, err := client.Export(t.Context(), engine.Address(), "b", "w1", blocks); !errors.As(err, &unknown) {
		t.Fatalf("export to another account: %v", err)
	}
	other := startEngine(t, engineemulator.Settings{BlockTokens: 2})
	imported, err := client.Import(t.Context(), other.Address(), data)
	if err != nil || imported != len(blocks) || other.CachedPrefix(blocks) != 2*len(blocks) {
		t.Fatalf("imported %d of %d, %v", imported, len(blocks), err)
	}
	checkOrders(t, client, engine)
}

func checkOrders(t *testing.T, client *forwarder.Client, engine *engineemulator.Engine) {
	t.Helper()
	order := forwarder.Order{Kind: forwarder.OrderLoadVersion, Weights: "w2", FencingToken: 7}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for state := forwarder.OrderLoading; state != forwarder.OrderDone; {
		var err error
		if state, err = client.Order(ctx, engine.Address(), order); err != nil {
			t.Fatal(err)
		}
	}
	order.FencingToken = 6
	var stale *forwarder.StaleFencingTokenError
	if _, err := client.Order(ctx, engine.Address(), order); !errors.As(err, &stale) || stale.Highest != 7 {
		t.Fatalf("old fencing token: %v", err)
	}
	load, err := client.Load(ctx, engine.Address())
	if err != nil || len(load.Weights) != 2 || load.Progress == 0 {
		t.Fatalf("load %+v, %v", load, err)
	}
}
