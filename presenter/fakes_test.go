package presenter_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/parser"
	"github.com/rosemaryrill/rosemaryrill/presenter"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
)

const fleetFile = `{
  "accounts": [{"name": "demo", "labels": {"tier": "gold"}}],
  "models": [{"name": "m", "default_version": "v", "block_tokens": 2000}],
  "versions": [{"name": "v", "model": "m", "weights": "w"}],
  "targets": [{"name": "e1", "kind": "engine", "address": "127.0.0.1:1", "data_centre": "sapporo", "model": "m", "slots": 4}],
  "selectors": [{"name": "all", "effect": "allow"}],
}
`

// fakeDaemon implements all components that an operator.Server needs.
type fakeDaemon struct {
	mu        sync.Mutex
	snapshot  *registrar.Snapshot
	commitErr error
	// loseAnswer aborts the connection of the next commit after the commit took effect.
	loseAnswer bool
	members    []operator.Member
	// staleMemberCalls is the number of calls of Members that report the live members at the revision in
	// members; later calls report the current revision.
	staleMemberCalls int
}

func (d *fakeDaemon) Current() *registrar.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot
}

func (d *fakeDaemon) Alarms() []configurator.Alarm { return nil }

func (d *fakeDaemon) Commit(_ context.Context, _ registrar.Revision, change registrar.Change) (registrar.Revision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.commitErr != nil {
		return 0, d.commitErr
	}
	snapshot, err := registrar.NewSnapshot(d.snapshot.Revision()+1, d.snapshot.Objects().Apply(change))
	if err != nil {
		return 0, err
	}
	d.snapshot = snapshot
	if d.loseAnswer {
		d.loseAnswer = false
		panic(http.ErrAbortHandler)
	}
	return snapshot.Revision(), nil
}

func (d *fakeDaemon) Members(context.Context) ([]operator.Member, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.staleMemberCalls--
	members := append([]operator.Member{}, d.members...)
	for i := range members {
		if members[i].State == operator.MemberLive && d.staleMemberCalls < 0 {
			members[i].Revision = d.snapshot.Revision()
		}
	}
	return members, nil
}

func (d *fakeDaemon) NotReady() []string { return nil }

func (d *fakeDaemon) Health(string) operator.Health { return operator.Health{Usable: true, Running: 3} }

func (d *fakeDaemon) Choose(context.Context, registrar.Request) (target, reason string, err error) {
	return "e1", "least expected wait", nil
}

func (d *fakeDaemon) Read(_ context.Context, from, to time.Time) (reporter.Report, error) {
	entry := reporter.Entry{Time: from, Until: from, Daemon: "a", Kind: reporter.KindRefusal, Code: "full", Run: reporter.NotRun, Count: 4}
	gap := reporter.Gap{Daemon: "b", From: from}
	return reporter.Report{From: from, To: to, Entries: []reporter.Entry{entry}, Gaps: []reporter.Gap{gap}}, nil
}

// startDaemon serves the operators' port of the daemon, with the objects of fleetFile in force, and
// sets RILL_DAEMONS to its address.
func startDaemon(t *testing.T, d *fakeDaemon) {
	t.Helper()
	objects, err := parser.ParseObjects("fleet", []byte(fleetFile))
	if err != nil {
		t.Fatal(err)
	}
	d.snapshot, err = registrar.NewSnapshot(5, objects)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(operator.NewServer(operator.Settings{Daemon: "a", DataCentre: "sapporo", Configuration: d, Fleet: d, Targets: d, Record: d}).Handler())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Setenv("RILL_DAEMONS", server.Listener.Addr().String())
}

// writeFile writes the text to a file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs rillctl and returns its exit code and output.
func runCommand(arguments ...string) (code int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	code = presenter.Run(context.Background(), append([]string{"rillctl"}, arguments...), &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

var errPlatform = errors.New("platform")
