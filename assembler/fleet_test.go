package assembler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/assembler"
	"github.com/rosemaryrill/rosemaryrill/hostingemulator"
	"github.com/rosemaryrill/rosemaryrill/listener"
	"github.com/rosemaryrill/rosemaryrill/loader"
)

const (
	host     = "app.example"
	validKey = "key-1"
	model    = "m"
	loopback = "127.0.0.1:0"
	// awaitTimeout limits how long await waits for a condition.
	awaitTimeout = 10 * time.Second
)

// fleet runs real daemons against an emulated store and emulated targets.
type fleet struct {
	t        *testing.T
	store    *hostingemulator.Store
	engines  []*hostingemulator.Target
	services []*hostingemulator.Target
	daemons  []*daemon
	version  int64
	// openAccounts are the names of the accounts that are not isolated.
	openAccounts []string
	// cacheStores are the addresses of the cache stores in the configuration.
	cacheStores []netip.AddrPort
	// routeTimeout is the timeout of all routes.
	routeTimeout time.Duration
	client       *http.Client
}

type daemon struct {
	*assembler.Daemon
	callers, ready, metrics netip.AddrPort
	log                     *lockedBuffer
	links                   *links
	// fromPeers is the link on which the other daemons reach this one.
	fromPeers *peerLink
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

func newFleet(t *testing.T, daemons int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: hostingemulator.NewStore(), openAccounts: []string{"account-2"}, routeTimeout: 3 * time.Second, client: &http.Client{Transport: &http.Transport{}}}
	listen := netip.MustParseAddrPort(loopback)
	if err := f.store.Listen(listen); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.store.Close() })
	f.configure(nil, validKey)
	for i := range 3 {
		f.engines = append(f.engines, f.target(fmt.Sprintf("engine-%d", i), "engines", model))
	}
	for i := range 2 {
		f.services = append(f.services, f.target(fmt.Sprintf("service-%d", i), "services", ""))
	}
	for i := range daemons {
		f.daemons = append(f.daemons, f.start(i))
	}
	return f
}

func (f *fleet) target(id, service, model string) *hostingemulator.Target {
	return f.targetOf(id, service, model, "")
}

// targetOf starts a target with a version of its software.
func (f *fleet) targetOf(id, service, model, software string) *hostingemulator.Target {
	target := hostingemulator.NewTarget(hostingemulator.TargetSettings{
		ID: id, Service: service, Zone: "north", Store: f.store, Model: model, Software: software, Slots: 8, StreamEvents: 6,
		EventInterval: 5 * time.Millisecond, LoadTime: 200 * time.Millisecond, RestartTime: 300 * time.Millisecond,
	})
	if err := target.Listen(netip.MustParseAddrPort(loopback)); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = target.Close() })
	return target
}

// configure writes the next version of the configuration, with additional routes.
func (f *fleet) configure(extraRoutes []string, keys ...string) {
	f.configureAccounts(extraRoutes, []any{f.account("account-1", keys), f.account("account-2", []string{"key-2"})})
}

// configureAccounts writes the next version of the configuration with the list of accounts; nil leaves the list out.
func (f *fleet) configureAccounts(extraRoutes []string, accounts any) {
	f.version += 3
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": f.routeTimeout.Milliseconds(),
			"targetLatencyMs": 1000, "targetGapMs": 500, "maxAttempts": 2, "priority": 0, "sticky": service == "engines", "resumable": resumable,
		}
	}
	routes := []any{
		route("ask", "streaming", "engines", true), route("tell", "streaming", "engines", false),
		route("order", "non_idempotent", "services", false), route("look", "idempotent", "services", false),
	}
	for _, name := range extraRoutes {
		routes = append(routes, route(name, "idempotent", "services", false))
	}
	services := []any{
		map[string]any{"name": "engines", "maxConnections": 50, "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "kvTokenBytes": 1000, "linkMbps": 1000, "models": []any{map[string]any{"name": model}}}},
		map[string]any{"name": "services", "maxConnections": 50},
	}
	for i, address := range f.cacheStores {
		services = append(services, map[string]any{"name": fmt.Sprint("cache-", i), "kvStoreAddr": address.String(), "zone": "north", "kvCapacity": 4_000_000, "linkMbps": 38000})
	}
	document := map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if accounts != nil {
		document["tenants"] = accounts
	}
	f.store.Put("op/config", document)
}

func (f *fleet) account(name string, keys []string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "isolated": !slices.Contains(f.openAccounts, name)}
}

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := listener.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// settings returns the settings of the i-th daemon, with free ports.
func (f *fleet) settings(i int) loader.Settings {
	settings := loader.DefaultSettings()
	settings.Name, settings.DataCentre = fmt.Sprintf("daemon-%d", i), "north"
	settings.CallersListen, settings.PeersListen = freePort(f.t), freePort(f.t)
	settings.PeersAdvertise = settings.PeersListen
	settings.Platform = []netip.AddrPort{f.store.Address()}
	settings.Log.Format = loader.LogJSON
	settings.Hosted.ReadyListen, settings.Hosted.MetricsListen = freePort(f.t), freePort(f.t)
	return settings
}

func (f *fleet) start(i int) *daemon {
	f.t.Helper()
	settings := f.settings(i)
	fromPeers := newPeerLink(f.t, settings.PeersListen)
	settings.PeersAdvertise = fromPeers.address
	d := &daemon{fromPeers: fromPeers, callers: settings.CallersListen, ready: settings.Hosted.ReadyListen, metrics: settings.Hosted.MetricsListen, log: &lockedBuffer{}, links: &links{}}
	var err error
	d.Daemon, err = assembler.New(context.WithoutCancel(f.t.Context()), assembler.Settings{Settings: settings, LogOutput: d.log, OnTargetSocket: d.links.add})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = d.Close() })
	f.await("daemon ready", func() bool { return f.getStatus(d.ready, "/readyz") == http.StatusOK })
	return d
}

// await waits until holds returns true, and fails the test after awaitTimeout.
func (f *fleet) await(condition string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met within %s: %s", awaitTimeout, condition)
}

func (f *fleet) getStatus(address netip.AddrPort, path string) int {
	response, err := f.client.Get("http://" + address.String() + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request with headers given as pairs.
func (f *fleet) call(d *daemon, method, path, id, body string, header ...string) (r reply) {
	request, err := http.NewRequest(method, "http://"+d.callers.String()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token "+validKey)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// callModel sends a model call to a route.
func (f *fleet) callModel(d *daemon, route, id string, header ...string) reply {
	return f.call(d, http.MethodPost, "/"+route+"/x", id, "prompt", append([]string{
		"X-Model", model, "X-Token-Count", "300,6", "X-Prompt-Prefix", "ab:200,cd:100",
	}, header...)...)
}

// wholeStream returns the complete event stream that engines send for a request.
func wholeStream(id string) string {
	var b strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", i, id, i)
	}
	return b.String()
}

func runsOf(targets []*hostingemulator.Target, id string) (found []hostingemulator.Run) {
	for _, target := range targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				found = append(found, run)
			}
		}
	}
	return found
}
