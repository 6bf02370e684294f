package operator_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

// fakeConfiguration commits in memory. Commit returns the errors of commitErrors first, one per
// call, and commits once none is left.
type fakeConfiguration struct {
	mutex        sync.Mutex
	snapshot     *registrar.Snapshot
	commitErrors []error
	// abortResponse aborts the connection after each successful commit.
	abortResponse bool
	commits       int
}

func newConfiguration(t *testing.T) *fakeConfiguration {
	t.Helper()
	objects := registrar.Objects{
		Accounts: []registrar.Account{{Name: "demo", Labels: registrar.Labels{"tier": "gold"}}},
		Models:   []registrar.Model{{Name: "m", DefaultVersion: "v", BlockTokens: 1}},
		Versions: []registrar.Version{{Name: "v", Model: "m", Weights: "w"}},
		Targets: []registrar.Target{
			{Name: "e1", Kind: registrar.TargetEngine, Model: "m", DataCentre: "sapporo", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:1")},
			{Name: "e2", Kind: registrar.TargetEngine, Model: "m", DataCentre: "sapporo", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:2")},
			{Name: "e3", Kind: registrar.TargetEngine, Model: "m", DataCentre: "hakodate", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:3")},
		},
		Selectors: []registrar.Selector{
			{Name: "all", Effect: registrar.EffectAllow},
			{Name: "not-e2", Priority: 1, Effect: registrar.EffectDeny, Match: []registrar.Requirement{
				{Kind: registrar.KindTarget, Key: "name", Operator: registrar.OperatorEquals, Values: []string{"e2"}},
			}},
		},
	}
	snapshot, err := registrar.NewSnapshot(7, objects)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeConfiguration{snapshot: snapshot}
}

func (c *fakeConfiguration) Current() *registrar.Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshot
}

// commitCount returns the number of calls of Commit.
func (c *fakeConfiguration) commitCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.commits
}

func (c *fakeConfiguration) Alarms() []configurator.Alarm {
	return []configurator.Alarm{{Kind: configurator.AlarmBehind, Err: errors.New("older"), Active: true}}
}

func (c *fakeConfiguration) Commit(_ context.Context, _ registrar.Revision, change registrar.Change) (registrar.Revision, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.commits++
	if len(c.commitErrors) > 0 {
		err := c.commitErrors[0]
		c.commitErrors = c.commitErrors[1:]
		return 0, err
	}
	var err error
	c.snapshot, err = registrar.NewSnapshot(c.snapshot.Revision()+1, c.snapshot.Objects().Apply(change))
	if c.abortResponse {
		panic(http.ErrAbortHandler)
	}
	return c.snapshot.Revision(), err
}

type fakeFleet struct{ members []operator.Member }

func (f fakeFleet) Members(context.Context) ([]operator.Member, error) { return f.members, nil }
func (f fakeFleet) NotReady() []string                                 { return []string{"targets"} }

type fakeTargets struct{}

func (fakeTargets) Health(target string) operator.Health {
	if target == "e3" {
		return operator.Health{Reason: "frozen for 3s"}
	}
	return operator.Health{Usable: true, Running: 2, Incarnation: "i1"}
}

func (fakeTargets) Choose(_ context.Context, request registrar.Request) (target, reason string, err error) {
	if request.Version != "v" {
		return "", "", errors.New("no version")
	}
	return "e1", "least expected wait", nil
}

type fakeRecord struct {
	report reporter.Report
	err    error
}

func (r fakeRecord) Read(context.Context, time.Time, time.Time) (reporter.Report, error) {
	return r.report, r.err
}

func fleetMembers() []operator.Member {
	return []operator.Member{
		{Name: "a", Revision: 8, State: operator.MemberLive, Address: netip.MustParseAddrPort("127.0.0.1:9")},
		{Name: "b", Revision: 7, State: operator.MemberLive},
		{Name: "c", Revision: 9, State: operator.MemberUnreachable, Reason: "timeout"},
	}
}

// startServer starts a server with the settings and the fakes, and returns its address.
func startServer(t *testing.T, settings operator.Settings) netip.AddrPort {
	t.Helper()
	settings.Daemon = "a"
	settings.Fleet = fakeFleet{members: fleetMembers()}
	settings.Targets = fakeTargets{}
	if settings.Record == nil {
		settings.Record = fakeRecord{}
	}
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(settings).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newClient(t *testing.T, token string, daemons ...netip.AddrPort) *operator.Client {
	t.Helper()
	client := operator.NewClient(operator.ClientSettings{Daemons: slices.Clone(daemons), Token: token})
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func sameAddress(a, b netip.AddrPort) bool { return a == b }
