package connector_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/listener"
)

const (
	longBodyBytes = 1 << 20
	// smallWindow is the receive buffer of a silent target in bytes, so that most of a long body has to wait.
	smallWindow = 64 << 10
)

// silentTarget is a target that answers each request with the number of bytes that it read.
type silentTarget struct {
	listener.Listener
	requests atomic.Int64
}

func newSilentTarget(t *testing.T) *silentTarget {
	t.Helper()
	s := &silentTarget{}
	s.ReceiveBuffer = smallWindow
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		read, err := io.Copy(io.Discard, r.Body)
		if err != nil || read != r.ContentLength {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	if err := s.Start(handler, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// Guards against a sound target that is silent for a while and loses the connection on which a long body is on its way (LOST): its
// window is full, but it is not unreachable.
func TestSilentTargetKeepsConnectionOfLongBody(t *testing.T) {
	for name, silences := range map[string][]time.Duration{
		"new connection":  {2500 * time.Millisecond},
		"kept connection": {time.Second, 600 * time.Millisecond, 2 * time.Second},
		"very long":       {5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newSilentTarget(t)
			c := connector.New(connector.Settings{MaxIdle: 1})
			defer func() { _ = c.Close() }()
			for i, silence := range silences {
				target.Pause(silence)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				started := time.Now()
				response, err := c.Send(ctx, target.Address(), connector.Request{Method: http.MethodPost, URI: "/", Host: "a.example", Body: []byte(strings.Repeat("p", longBodyBytes))})
				if err != nil {
					t.Fatalf("request %d failed after %s: %v", i, time.Since(started), err)
				}
				if _, err := io.ReadAll(response.Body); err != nil || response.Status != http.StatusOK {
					t.Fatalf("request %d: status %d, %v", i, response.Status, err)
				}
				_ = response.Close()
				cancel()
			}
			if got := target.requests.Load(); got != int64(len(silences)) {
				t.Errorf("the target got %d requests, sent were %d", got, len(silences))
			}
		})
	}
}

func TestUnreachableTargetIsTold(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		state connector.SendState
		want  bool
	}{
		"nothing outstanding, as on an idle connection":   {connector.SendState{SinceAck: time.Hour}, false},
		"acknowledged lately":                             {connector.SendState{Outstanding: true, Unanswered: true, SinceAck: timeout / 2}, false},
		"full window, and each probe answered":            {connector.SendState{Outstanding: true, SinceAck: 3 * timeout}, false},
		"neither data nor probes acknowledged for longer": {connector.SendState{Outstanding: true, Unanswered: true, SinceAck: timeout}, true},
	} {
		if got := c.state.Unreachable(timeout); got != c.want {
			t.Errorf("%s: unreachable %v", name, got)
		}
	}
}

// Guards against a request that is given up, and perhaps goes on elsewhere, while its sound target is silent for a second or two
// (TWICE, LOST). No reset reaches a silent host, so its target would go on with the request.
func TestRequestOutlivesSilentHost(t *testing.T) {
	const work = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		// after is the time from the request to the silence, and body the length of the request's body.
		after, silence time.Duration
		body           int
	}{
		"request unacknowledged, 1.4 s":  {0, 1400 * time.Millisecond, 0},
		"request unacknowledged, 1.8 s":  {0, 1800 * time.Millisecond, 0},
		"request unacknowledged, 2.5 s":  {0, 2500 * time.Millisecond, 0},
		"nothing to acknowledge, 0.3 s":  {900 * time.Millisecond, 300 * time.Millisecond, 0},
		"nothing to acknowledge, 1 s":    {200 * time.Millisecond, time.Second, 0},
		"nothing to acknowledge, 1.8 s":  {200 * time.Millisecond, 1800 * time.Millisecond, 0},
		"nothing to acknowledge, 2.5 s":  {200 * time.Millisecond, 2500 * time.Millisecond, 0},
		"long body on its way, 1.8 s":    {0, 1800 * time.Millisecond, longBodyBytes},
		"long body on its way, 2.5 s":    {0, 2500 * time.Millisecond, longBodyBytes},
		"long body acknowledged, 1.8 s":  {400 * time.Millisecond, 1800 * time.Millisecond, longBodyBytes},
		"new connection, nothing lost":   {time.Second, 0, 0},
		"silent while nothing is needed": {50 * time.Millisecond, 100 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var target listener.Listener
			var requests atomic.Int64
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // The answer tells if it fails.
				if r.URL.Path == "/warm" {
					return
				}
				requests.Add(1)
				time.Sleep(work)
			})
			if err := target.Start(handler, netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(target.Stop)
			connections := connector.New(connector.Settings{})
			defer func() { _ = connections.Close() }()
			if _, err := send(t, connections, target.Address(), connector.Request{Method: http.MethodGet, URI: "/warm", Host: "h"}); err != nil {
				t.Fatal(err)
			}
			if c.silence > 0 {
				time.AfterFunc(c.after, func() {
					if err := target.Silence(c.silence); err != nil {
						t.Errorf("the host cannot be made silent: %v", err)
					}
				})
			}
			time.Sleep(10 * time.Millisecond) // The silence begins before the request if it has to.
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			started := time.Now()
			response, err := connections.Send(ctx, target.Address(), connector.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, c.body)})
			if err != nil {
				t.Fatalf("given up after %s: %v", time.Since(started), err)
			}
			_ = response.Close()
			if requests.Load() != 1 {
				t.Errorf("the target got the request %d times", requests.Load())
			}
		})
	}
}
