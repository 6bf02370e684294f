package presenter_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/presenter"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const secondVersionFile = `{"versions": [{"name": "v2", "model": "m", "weights": "w2"}]}`

func TestCheck(t *testing.T) {
	if code, out, _ := runCommand("check", writeFile(t, fleetFile)); code != presenter.CodeOK || out != "5 objects, no faults\n" {
		t.Errorf("got %d and %q", code, out)
	}
	path := writeFile(t, strings.Replace(fleetFile, `"slots"`, `"slot"`, 1))
	code, out, errOut := runCommand("check", path)
	if code != presenter.CodeInvalid || out != "" || !strings.Contains(errOut, path+":5:") || !strings.Contains(errOut, "rillctl: 1 faults, nothing was applied") {
		t.Errorf("got %d, %q and %q", code, out, errOut)
	}
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name      string
		failure   error
		arguments []string
		want      int
	}{
		{"unknown command", nil, []string{"bogus"}, presenter.CodeUsage},
		{"unknown flag", nil, []string{"status", "--bogus"}, presenter.CodeUsage},
		{"missing file", nil, []string{"check", "/nowhere"}, presenter.CodeUsage},
		{"no file", nil, []string{"apply"}, presenter.CodeUsage},
		{"malformed daemon", nil, []string{"status", "--daemon", "localhost"}, presenter.CodeUsage},
		{"unknown kind", nil, []string{"get", "thing"}, presenter.CodeUsage},
		{"explain without account", nil, []string{"explain", "--model", "m"}, presenter.CodeUsage},
		{"empty range", nil, []string{"report", "--from", "1h", "--to", "2h"}, presenter.CodeUsage},
		{"conflict", &configurator.OverlapError{Overlaps: []configurator.Overlap{{Author: "b"}}}, []string{"apply", "FILE"}, presenter.CodeConflict},
		{"invalid", &configurator.InvalidError{Cause: errPlatform}, []string{"apply", "FILE"}, presenter.CodeInvalid},
		{"platform down", &storer.UnavailableError{Cause: errPlatform}, []string{"apply", "FILE"}, presenter.CodeUnreachable},
		{"unsettled", &configurator.UnsettledError{Cause: errPlatform}, []string{"apply", "FILE", "--timeout", "300ms"}, presenter.CodeUnsettled},
		{"unknown target", nil, []string{"drain", "e9"}, presenter.CodeUnknownObject},
		{"unknown object", nil, []string{"get", "target", "e9"}, presenter.CodeUnknownObject},
		{"unknown account", nil, []string{"explain", "--account", "x", "--model", "m"}, presenter.CodeUnknownObject},
		{"done", nil, []string{"apply", "FILE"}, presenter.CodeOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			startDaemon(t, &fakeDaemon{commitErr: c.failure})
			for i, argument := range c.arguments {
				if argument == "FILE" {
					c.arguments[i] = writeFile(t, secondVersionFile)
				}
			}
			if code, out, errOut := runCommand(c.arguments...); code != c.want {
				t.Fatalf("got %d, want %d: %s%s", code, c.want, out, errOut)
			}
		})
	}
}

func TestUnreachableDaemon(t *testing.T) {
	code, _, errOut := runCommand("status", "--daemon", "127.0.0.1:1")
	if code != presenter.CodeUnreachable || !strings.Contains(errOut, "127.0.0.1:1: ") {
		t.Fatalf("got %d and %q", code, errOut)
	}
}

func TestApplyWaitListsConfirmedDaemons(t *testing.T) {
	d := &fakeDaemon{staleMemberCalls: 3, members: []operator.Member{
		{Name: "a", State: operator.MemberLive, Revision: 5},
		{Name: "b", State: operator.MemberLive, Revision: 5},
	}}
	startDaemon(t, d)
	code, out, errOut := runCommand("apply", "--wait", "--json", writeFile(t, secondVersionFile))
	var result struct {
		Revision  uint64                  `json:"revision"`
		InForce   bool                    `json:"in_force"`
		Confirmed []struct{ Name string } `json:"confirmed"`
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatalf("%v in %q and %q", err, out, errOut)
	}
	if code != presenter.CodeOK || result.Revision != 6 || !result.InForce || len(result.Confirmed) != 2 {
		t.Fatalf("got %d and %s", code, out)
	}
}

func TestApplyWaitListsUnreachableDaemons(t *testing.T) {
	startDaemon(t, &fakeDaemon{members: []operator.Member{
		{Name: "a", State: operator.MemberLive},
		{Name: "lost", State: operator.MemberUnreachable, Reason: "no route"},
	}})
	code, out, errOut := runCommand("apply", "--wait", "--timeout", "500ms", writeFile(t, secondVersionFile))
	if code != presenter.CodeUnreachable || !strings.Contains(out, "cannot be reached: no route") || !strings.Contains(errOut, "1 daemons confirmed it") {
		t.Fatalf("got %d, %q and %q", code, out, errOut)
	}
}

func TestApplyWaitFailsWithoutConfirmation(t *testing.T) {
	startDaemon(t, &fakeDaemon{})
	code, _, errOut := runCommand("apply", "--wait", "--timeout", "500ms", writeFile(t, secondVersionFile))
	if code != presenter.CodeUnreachable {
		t.Fatalf("got %d and %q", code, errOut)
	}
}

func TestApplyDeterminesOutcomeAfterLostAnswer(t *testing.T) {
	d := &fakeDaemon{loseAnswer: true}
	startDaemon(t, d)
	code, out, errOut := runCommand("apply", writeFile(t, secondVersionFile))
	if code != presenter.CodeOK || !strings.Contains(out, "revision 6") || d.Current().Revision() != 6 {
		t.Fatalf("got %d, %q and %q at revision %d", code, out, errOut, d.Current().Revision())
	}
}

func TestApplyOfUnchangedObjectsCommitsNothing(t *testing.T) {
	d := &fakeDaemon{}
	startDaemon(t, d)
	_, printed, _ := runCommand("get")
	code, out, _ := runCommand("apply", "--prune", writeFile(t, printed))
	if code != presenter.CodeOK || d.Current().Revision() != 5 || !strings.Contains(out, "0 set, 0 removed") {
		t.Fatalf("got %d and %q", code, out)
	}
}

func TestApplyValidatesAgainstObjectsInForce(t *testing.T) {
	startDaemon(t, &fakeDaemon{})
	path := writeFile(t, `{"versions": [{"name": "v2", "model": "gone", "weights": "w2"}]}`)
	code, _, errOut := runCommand("apply", path)
	if code != presenter.CodeInvalid || !strings.Contains(errOut, path+":1:39: versions[0].model") {
		t.Fatalf("got %d and %q", code, errOut)
	}
	if code, _, _ := runCommand("apply", "--prune", writeFile(t, secondVersionFile)); code != presenter.CodeInvalid {
		t.Fatalf("--prune accepted a partial configuration: got %d", code)
	}
}

func TestTables(t *testing.T) {
	startDaemon(t, &fakeDaemon{members: []operator.Member{{Name: "a", DataCentre: "sapporo", State: operator.MemberLive}}})
	cases := []struct {
		arguments []string
		want      []string
	}{
		{[]string{"status"}, []string{"a in sapporo, revision 5, ready", "DAEMON", "e1      engine"}},
		{[]string{"status", "--json"}, []string{`"ready":true`, `"running":3`}},
		{[]string{"explain", "--account", "demo", "--model", "m"}, []string{"version v: to e1, least expected wait", "chosen"}},
		{[]string{"diff", writeFile(t, secondVersionFile)}, []string{"set     version  v2"}},
		{[]string{"diff", "--json", writeFile(t, secondVersionFile)}, []string{`"set":[{"kind":"version","name":"v2"}]`}},
		{[]string{"report", "--from", "1h"}, []string{"1 entries, 1 gaps", "refusal  full", "unknown", "entries may be missing"}},
		{[]string{"report", "--json"}, []string{`"run":"not_run"`, `"count":4`}},
		{[]string{"get", "target", "e1"}, []string{`"address": "127.0.0.1:1"`}},
		{[]string{"drain", "e1"}, []string{"revision 6"}},
		{[]string{"status"}, []string{"not usable: drained by an operator"}},
		{[]string{"drain", "--undo", "e1"}, []string{"revision 7"}},
	}
	for _, c := range cases {
		code, out, errOut := runCommand(c.arguments...)
		for _, want := range c.want {
			if code != presenter.CodeOK || !strings.Contains(out, want) {
				t.Errorf("%v: got %d, %q and %q, want %q", c.arguments, code, out, errOut, want)
			}
		}
	}
}

func TestTokenFile(t *testing.T) {
	startDaemon(t, &fakeDaemon{})
	path := writeFile(t, "secret\n")
	if code, _, errOut := runCommand("status", "--token-file", path); code != presenter.CodeOK {
		t.Fatalf("got %d and %q", code, errOut)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if code, _, _ := runCommand("status", "--token-file", path); code != presenter.CodeUsage {
		t.Fatalf("got %d", code)
	}
}

func TestGetAcceptsEveryRegistrarKind(t *testing.T) {
	startDaemon(t, &fakeDaemon{})
	for _, kind := range []registrar.Kind{
		registrar.KindAccount, registrar.KindModel, registrar.KindVersion,
		registrar.KindTarget, registrar.KindService, registrar.KindSelector,
	} {
		if code, _, errOut := runCommand("get", string(kind)); code != presenter.CodeOK {
			t.Errorf("%s: got %d and %q", kind, code, errOut)
		}
	}
}
