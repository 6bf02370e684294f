package storer_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemaryrill/rosemaryrill/platformemulator"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// serve starts an HTTP server on the loopback interface and returns its address.
func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// refusingAddress returns a loopback address that refuses connections.
func refusingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(t *testing.T, settings storer.Settings) *storer.Client {
	t.Helper()
	client, err := storer.NewClient(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func TestClientCallsRoundTrip(t *testing.T) {
	hosts := []storer.Host{{
		Name:       "sapporo-1",
		Address:    netip.MustParseAddr("127.0.0.1"),
		DataCentre: "sapporo",
		State:      storer.HostLeaving,
	}}
	platform := platformemulator.New(platformemulator.Settings{Hosts: hosts})
	client := newClient(t, storer.Settings{Addresses: []netip.AddrPort{serve(t, platform.Handler())}})
	ctx := t.Context()
	lease, err := client.Grant(ctx, time.Minute)
	if err != nil || lease.TTL != time.Minute || lease.FencingToken == 0 {
		t.Fatalf("grant: got %v, %v", lease, err)
	}
	const key = "orders/a b/ü%2F?x"
	version, err := client.Create(ctx, key, []byte{0, 255}, lease.ID)
	if err != nil {
		t.Fatal(err)
	}
	item, err := client.Get(ctx, key)
	want := storer.Item{Key: key, Value: []byte{0, 255}, Version: version, Lease: lease.ID}
	if err != nil || !cmp.Equal(item, want) {
		t.Fatalf("get: got %v, %v, want %v", item, err, want)
	}
	version, err = client.Swap(ctx, key, []byte("2"), version, storer.NoLease)
	if err != nil {
		t.Fatal(err)
	}
	events, err := client.Watch(ctx, "orders/", version-1, time.Minute)
	if err != nil || len(events.Events) != 1 || events.Events[0].Item.Version != version {
		t.Fatalf("watch: got %v, %v", events, err)
	}
	page, err := client.List(ctx, "orders/", "", 1)
	if err != nil || len(page.Items) != 1 || page.Items[0].Key != key || page.More {
		t.Fatalf("list: got %v, %v", page, err)
	}
	if _, err = client.Renew(ctx, lease.ID); err != nil {
		t.Fatal(err)
	}
	if err = client.Revoke(ctx, lease.ID); err != nil {
		t.Fatal(err)
	}
	if err = client.Delete(ctx, key, version); err != nil {
		t.Fatal(err)
	}
	listed, err := client.Hosts(ctx)
	if err != nil || !cmp.Equal(listed, hosts, cmp.Comparer(func(a, b netip.Addr) bool { return a == b })) {
		t.Fatalf("hosts: got %v, %v", listed, err)
	}
}

func TestClientErrors(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	client := newClient(t, storer.Settings{Addresses: []netip.AddrPort{serve(t, platform.Handler())}})
	ctx := t.Context()
	var notFound *storer.NotFoundError
	if _, err := client.Get(ctx, "absent"); !errors.As(err, &notFound) || notFound.Key != "absent" {
		t.Fatalf("get: got %v", err)
	}
	version, err := client.Create(ctx, "k", nil, storer.NoLease)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *storer.ConflictError
	_, err = client.Create(ctx, "k", nil, storer.NoLease)
	if !errors.As(err, &conflict) || conflict.Current != version {
		t.Fatalf("create: got %v", err)
	}
	platform.SetFaults(platformemulator.Faults{LoseAnswers: 1})
	var unknown *storer.UnknownOutcomeError
	if _, err = client.Create(ctx, "lost", nil, storer.NoLease); !errors.As(err, &unknown) {
		t.Fatalf("create with a lost response: got %v", err)
	}
	if _, err = client.Get(ctx, "lost"); err != nil {
		t.Fatalf("the lost create did not take effect: %v", err)
	}
	var tooLarge *storer.ValueTooLargeError
	if _, err = client.Create(ctx, "big", make([]byte, storer.MaxValueBytes+1), storer.NoLease); !errors.As(err, &tooLarge) {
		t.Fatalf("create: got %v", err)
	}
	platform.SetFaults(platformemulator.Faults{Outage: true})
	var unavailable *storer.UnavailableError
	if _, err = client.Create(ctx, "k2", nil, storer.NoLease); !errors.As(err, &unavailable) {
		t.Fatalf("create in an outage: got %v", err)
	}
}

func TestWriteSkipsAddressThatRefusesConnections(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	addresses := []netip.AddrPort{refusingAddress(t), refusingAddress(t), serve(t, platform.Handler())}
	client := newClient(t, storer.Settings{Addresses: addresses})
	if _, err := client.Create(t.Context(), "k", nil, storer.NoLease); err != nil {
		t.Fatal(err)
	}
	refusedOnly := newClient(t, storer.Settings{Addresses: addresses[:2]})
	var unavailable *storer.UnavailableError
	if _, err := refusedOnly.Create(t.Context(), "k2", nil, storer.NoLease); !errors.As(err, &unavailable) {
		t.Fatalf("got %v, want unavailable: nothing was sent", err)
	}
}

func TestWriteIsNotRetriedAfterConnectionLoss(t *testing.T) {
	var received atomic.Int64
	aborting := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	})
	addresses := []netip.AddrPort{serve(t, aborting), serve(t, aborting)}
	client := newClient(t, storer.Settings{Addresses: addresses})
	calls := map[string]func(context.Context) error{
		"create": func(ctx context.Context) error {
			_, err := client.Create(ctx, "k", []byte("v"), storer.NoLease)
			return err
		},
		"delete": func(ctx context.Context) error { return client.Delete(ctx, "k", 1) },
		"grant": func(ctx context.Context) error {
			_, err := client.Grant(ctx, time.Second)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			received.Store(0)
			var unknown *storer.UnknownOutcomeError
			if err := call(t.Context()); !errors.As(err, &unknown) {
				t.Fatalf("got %v, want an unknown outcome", err)
			}
			if received.Load() != 1 {
				t.Fatalf("the write was sent %d times", received.Load())
			}
		})
	}
}

func TestReadIsRetriedAndCircuitOpens(t *testing.T) {
	var received atomic.Int64
	var healthy atomic.Bool
	platform := platformemulator.New(platformemulator.Settings{})
	inner := platform.Handler()
	flaky := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) > 2 && healthy.Load() {
			inner.ServeHTTP(w, r)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	settings := storer.Settings{
		Addresses:      []netip.AddrPort{serve(t, flaky)},
		RetryBase:      time.Millisecond,
		FailuresToOpen: 8,
		OpenFor:        time.Hour,
		OpenCap:        time.Hour,
	}
	client := newClient(t, settings)
	healthy.Store(true)
	if _, err := client.List(t.Context(), "", "", 1); err != nil {
		t.Fatalf("the read was not retried: %v", err)
	}
	healthy.Store(false)
	for range 2 {
		_, _ = client.List(t.Context(), "", "", 1)
	}
	before := received.Load()
	_, err := client.List(t.Context(), "", "", 1)
	if !errors.Is(err, storer.ErrCircuitOpen) || received.Load() != before {
		t.Fatalf("got %v and %d calls after the circuit opened", err, received.Load()-before)
	}
}

func TestSuccessfulProbeClosesCircuit(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	platform.SetFaults(platformemulator.Faults{Outage: true})
	client := newClient(t, storer.Settings{
		Addresses:      []netip.AddrPort{serve(t, platform.Handler())},
		FailuresToOpen: 1,
		OpenFor:        time.Millisecond,
		OpenCap:        time.Millisecond,
	})
	if _, err := client.Create(t.Context(), "k", nil, storer.NoLease); err == nil {
		t.Fatal("created during an outage")
	}
	platform.SetFaults(platformemulator.Faults{})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := client.Create(ctx, "k", nil, storer.NoLease); err == nil {
			return
		}
	}
	t.Fatal("the circuit never closed")
}

func TestCallOverRateLimitIsNotSent(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	client := newClient(t, storer.Settings{
		Addresses:      []netip.AddrPort{serve(t, platform.Handler())},
		CallsPerSecond: 0.001,
		CallBurst:      2,
	})
	for range 2 {
		if _, err := client.List(t.Context(), "", "", 1); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := client.Create(ctx, "k", nil, storer.NoLease)
	if !errors.Is(err, storer.ErrRateLimited) || platform.Calls()[platformemulator.CallCreate] != 0 {
		t.Fatalf("got %v, want ErrRateLimited and no call sent", err)
	}
}

func TestCloseCancelsCallsInFlight(t *testing.T) {
	platform := platformemulator.New(platformemulator.Settings{})
	client, err := storer.NewClient(storer.Settings{Addresses: []netip.AddrPort{serve(t, platform.Handler())}})
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var watchErr error
	group.Go(func() { _, watchErr = client.Watch(context.Background(), "", 0, time.Hour) })
	for platform.Calls()[platformemulator.CallWatch] == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	group.Wait()
	var unavailable *storer.UnavailableError
	if !errors.As(watchErr, &unavailable) {
		t.Fatalf("watch: got %v, want unavailable", watchErr)
	}
	if _, err := client.Get(context.Background(), "k"); !errors.Is(err, storer.ErrClosed) {
		t.Fatalf("get after close: got %v", err)
	}
}

// TestBrokenWatchIsNotRepeated guards against missed events: the client repeated a broken watch by
// itself, and the store that answered may have come back with the watch's version given out again.
func TestBrokenWatchIsNotRepeated(t *testing.T) {
	var received atomic.Int64
	inner := platformemulator.New(platformemulator.Settings{}).Handler()
	breaking := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	})
	client := newClient(t, storer.Settings{Addresses: []netip.AddrPort{serve(t, breaking)}, RetryBase: time.Millisecond})
	var unavailable *storer.UnavailableError
	if _, err := client.Watch(t.Context(), "", 0, time.Millisecond); !errors.As(err, &unavailable) {
		t.Errorf("got %v, want an UnavailableError", err)
	}
	if received.Load() != 1 {
		t.Errorf("the watch was sent %d times", received.Load())
	}
	if _, err := client.Watch(t.Context(), "", 0, time.Millisecond); err != nil {
		t.Errorf("next watch: %v", err)
	}
}
