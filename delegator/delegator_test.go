package delegator_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/connector"
	"github.com/rosemaryrill/rosemaryrill/delegator"
	"github.com/rosemaryrill/rosemaryrill/relayer"
)

const service = "s"

// daemon is another daemon that serves requests with a function.
type daemon struct {
	delegator.Daemon
	handler *delegator.Handler

	mu     sync.Mutex
	served int
}

func newDaemon(t *testing.T, name, dataCentre string, serve func(ctx context.Context, w http.ResponseWriter, request delegator.Request)) *daemon {
	t.Helper()
	return newBoundedDaemon(t, name, dataCentre, 2, serve)
}

// newBoundedDaemon starts a daemon that takes a number of requests at once.
func newBoundedDaemon(t *testing.T, name, dataCentre string, maxOpen int, serve func(ctx context.Context, w http.ResponseWriter, request delegator.Request)) *daemon {
	t.Helper()
	d := &daemon{}
	d.handler = delegator.NewHandler(delegator.HandlerSettings{
		MaxOpen: maxOpen, Now: time.Now,
		Serve: func(ctx context.Context, w http.ResponseWriter, request delegator.Request) {
			d.mu.Lock()
			d.served++
			d.mu.Unlock()
			serve(ctx, w, request)
		},
	})
	mux := http.NewServeMux()
	mux.Handle(d.handler.HTTP())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	d.Daemon = delegator.Daemon{Name: name, DataCentre: dataCentre, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	return d
}

func (d *daemon) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served
}

func newDelegator(t *testing.T, daemons ...delegator.Daemon) *delegator.Delegator {
	t.Helper()
	d := delegator.New(delegator.Settings{
		DataCentre: "north", Now: time.Now, Logger: slog.New(slog.DiscardHandler),
		Header: func(call *relayer.Call) http.Header { return call.Header.Clone() },
	})
	t.Cleanup(func() { _ = d.Close() })
	d.SetPeers(daemons)
	return d
}

func newCall() *relayer.Call {
	return &relayer.Call{ID: "1", Method: http.MethodPost, URI: "/x?y=1", Host: "a.example", Header: http.Header{"A": {"b"}}, Body: []byte("body"), ArrivedAt: time.Now().Add(-time.Second)}
}

// echo answers with what arrived.
func echo(_ context.Context, w http.ResponseWriter, request delegator.Request) {
	w.Header().Set("B", request.Header.Get("A"))
	w.WriteHeader(http.StatusTeapot)
	_, _ = io.WriteString(w, request.Method+request.URI+request.Host) // The client's error tells if this fails.
	_, _ = w.Write(request.Body)
}

func refuse(refusal relayer.Refusal) func(context.Context, http.ResponseWriter, delegator.Request) {
	return func(_ context.Context, w http.ResponseWriter, _ delegator.Request) {
		w.(relayer.RefusalWriter).WriteRefusal(refusal)
	}
}

func TestCallsArriveWhole(t *testing.T) {
	var age time.Duration
	other := newDaemon(t, "a", "north", func(ctx context.Context, w http.ResponseWriter, request delegator.Request) {
		age = time.Since(request.ArrivedAt)
		echo(ctx, w, request)
	})
	answer, err := newDelegator(t, other.Daemon).Send(t.Context(), service, newCall())
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Response.Body)
	if err != nil || string(body) != "POST/x?y=1a.examplebody" || answer.Response.Status != http.StatusTeapot || answer.Response.Header.Get("B") != "b" || answer.Daemon != "a" {
		t.Errorf("%q, %v, %+v", body, err, answer.Response)
	}
	if age < time.Second || age > 10*time.Second {
		t.Errorf("the request seems to have arrived %s ago", age)
	}
}

// Guards against the answer of another daemon, perhaps of an older release, whose status is none (MIXED).
func TestNumberThatIsNoStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 1 << 20} {
		other := newDaemon(t, "a", "north", func(_ context.Context, w http.ResponseWriter, _ delegator.Request) { w.WriteHeader(status) })
		answer, err := newDelegator(t, other.Daemon).Send(t.Context(), service, newCall())
		var noResponse *connector.NoResponseError
		if !errors.As(err, &noResponse) {
			t.Errorf("status %d: %+v, %v", status, answer, err)
		}
	}
}

// Guards against a refusal that concerns one daemon only ending a request that another one could serve (RECOVER), and against asking
// that daemon again for each request.
func TestDaemonThatRefusesForItselfIsLeftOut(t *testing.T) {
	for name, refusal := range map[string]relayer.Refusal{
		"reaches no target either": {Status: http.StatusServiceUnavailable, Reason: relayer.ReasonUnreachable, NotRun: true},
		"stops":                    relayer.Stopping(),
		"is busy":                  relayer.Busy(),
	} {
		t.Run(name, func(t *testing.T) {
			const sends = 5
			// The end of an answer may arrive before its daemon counts the request as ended, so that up to all of them are open.
			refusing, good := newDaemon(t, "a", "north", refuse(refusal)), newBoundedDaemon(t, "b", "south", sends, echo)
			d := newDelegator(t, refusing.Daemon, good.Daemon)
			for range sends {
				answer, err := d.Send(t.Context(), service, newCall())
				if err != nil || answer.Response == nil {
					t.Fatalf("%+v, %v", answer, err)
				}
				answer.Close()
			}
			if refusing.count() != 1 || good.count() != sends {
				t.Errorf("the daemon that refuses was asked %d times, the other one %d times", refusing.count(), good.count())
			}
		})
	}
}

// Guards against requests going round among daemons that reach no target: each is asked once for a while.
func TestFleetWithoutTargetsIsNotAskedAgain(t *testing.T) {
	gone := refuse(relayer.Refusal{Status: http.StatusServiceUnavailable, Reason: relayer.ReasonUnreachable, NotRun: true})
	a, b, c := newDaemon(t, "a", "north", gone), newDaemon(t, "b", "north", gone), newDaemon(t, "c", "south", gone)
	d := newDelegator(t, a.Daemon, b.Daemon, c.Daemon)
	for range 20 {
		var unsent *connector.UnsentError
		if _, err := d.Send(t.Context(), service, newCall()); !errors.As(err, &unsent) {
			t.Fatalf("got %v, want an UnsentError", err)
		}
	}
	if asked := a.count() + b.count() + c.count(); asked != 3 {
		t.Errorf("three daemons were asked %d times", asked)
	}
}

func TestOtherRefusalsAndFailuresAreFinal(t *testing.T) {
	for name, refusal := range map[string]relayer.Refusal{
		"no room anywhere": {Status: http.StatusServiceUnavailable, Reason: relayer.ReasonNotInTime, NotRun: true, RetryAfter: 250 * time.Millisecond},
		"broken":           {Status: http.StatusBadGateway, Reason: relayer.ReasonBroken},
	} {
		a, b := newDaemon(t, "a", "north", refuse(refusal)), newDaemon(t, "b", "north", refuse(refusal))
		answer, err := newDelegator(t, a.Daemon, b.Daemon).Send(t.Context(), service, newCall())
		if err != nil || answer.Refusal == nil || *answer.Refusal != refusal {
			t.Errorf("%s: %+v, %v", name, answer, err)
		}
		if a.count()+b.count() != 1 {
			t.Errorf("%s: %d daemons were asked", name, a.count()+b.count())
		}
	}
}

// Guards against a request that may have run being offered to a further daemon (TWICE), and against a part of an answer that looks
// whole (MIXED).
func TestBrokenHopIsNoAnswer(t *testing.T) {
	t.Run("before the head", func(t *testing.T) {
		abort := func(context.Context, http.ResponseWriter, delegator.Request) { panic(http.ErrAbortHandler) }
		a, b := newDaemon(t, "a", "north", abort), newDaemon(t, "b", "north", abort)
		_, err := newDelegator(t, a.Daemon, b.Daemon).Send(t.Context(), service, newCall())
		var noResponse *connector.NoResponseError
		if !errors.As(err, &noResponse) || a.count()+b.count() != 1 {
			t.Errorf("got %v after %d daemons were asked", err, a.count()+b.count())
		}
	})
	t.Run("within the body", func(t *testing.T) {
		other := newDaemon(t, "a", "north", func(ctx context.Context, w http.ResponseWriter, request delegator.Request) {
			echo(ctx, w, request)
			panic(http.ErrAbortHandler)
		})
		answer, err := newDelegator(t, other.Daemon).Send(t.Context(), service, newCall())
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Close()
		if body, err := io.ReadAll(answer.Response.Body); err == nil {
			t.Errorf("a broken answer ended as complete: %q", body)
		}
	})
}

// Guards against a request that goes on at the other daemon after its caller has left (GONE).
func TestLeavingCallerEndsRequestElsewhere(t *testing.T) {
	ended := make(chan struct{})
	other := newDaemon(t, "a", "north", func(ctx context.Context, w http.ResponseWriter, _ delegator.Request) {
		w.WriteHeader(http.StatusOK)
		<-ctx.Done()
		close(ended)
	})
	answer, err := newDelegator(t, other.Daemon).Send(t.Context(), service, newCall())
	if err != nil {
		t.Fatal(err)
	}
	answer.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the request goes on")
	}
}

func TestStoppingDaemonWaitsForRequestsOfOthers(t *testing.T) {
	started, causes := make(chan struct{}), make(chan error, 1)
	other := newDaemon(t, "a", "north", func(ctx context.Context, w http.ResponseWriter, _ delegator.Request) {
		close(started)
		<-ctx.Done()
		causes <- context.Cause(ctx)
		w.(relayer.RefusalWriter).WriteRefusal(relayer.Refusal{Status: http.StatusBadGateway, Reason: relayer.ReasonStopping})
	})
	d := newDelegator(t, other.Daemon)
	answers := make(chan *relayer.DelegatedAnswer, 1)
	go func() {
		answer, _ := d.Send(context.WithoutCancel(t.Context()), service, newCall())
		answers <- answer
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	other.handler.Drain(ctx)
	if cause := <-causes; !errors.Is(cause, relayer.ErrStopping) {
		t.Errorf("the request ended by %v", cause)
	}
	if answer := <-answers; answer == nil || answer.Refusal == nil {
		t.Errorf("the request was not answered: %+v", answer)
	}
	var unsent *connector.UnsentError
	if _, err := d.Send(t.Context(), service, newCall()); !errors.As(err, &unsent) {
		t.Errorf("a stopping daemon took a request: %v", err)
	}
}

// Guards against bytes between data centres that are not needed, and against one daemon that gets all requests.
func TestRequestsSpreadOverDaemons(t *testing.T) {
	const open = 24
	hold := make(chan struct{})
	handlerOf := func(_ context.Context, w http.ResponseWriter, _ delegator.Request) {
		w.WriteHeader(http.StatusOK)
		<-hold
	}
	near, far1, far2 := newDaemon(t, "a", "north", handlerOf), newDaemon(t, "b", "south", handlerOf), newDaemon(t, "c", "west", handlerOf)
	counts := map[string]int{}
	d := newDelegator(t, near.Daemon, far1.Daemon, far2.Daemon)
	defer close(hold)
	for range open {
		answer, err := d.Send(t.Context(), service, newCall())
		if err != nil {
			break // Each daemon of this test takes two.
		}
		defer answer.Close()
		counts[answer.Daemon]++
	}
	if counts["a"] != 2 || counts["b"] != 2 || counts["c"] != 2 {
		t.Errorf("the daemons got %v", counts)
	}
}
