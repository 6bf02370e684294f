package operator_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rosemaryrill/rosemaryrill/configurator"
	"github.com/rosemaryrill/rosemaryrill/operator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

var versionChange = registrar.Change{Set: registrar.Objects{Versions: []registrar.Version{{Name: "v2", Model: "m", Weights: "w2"}}}}

func TestApplyReturnsTypedErrors(t *testing.T) {
	reference := registrar.Reference{Kind: registrar.KindVersion, Name: "v2"}
	violation := registrar.Violation{Kind: registrar.KindVersion, Name: "v2", Field: "model", Found: "x", Expected: "y"}
	cases := []struct {
		name  string
		err   error
		check func(error) bool
	}{
		{"conflict", &configurator.OverlapError{Current: 9, Overlaps: []configurator.Overlap{{Reference: reference, Revision: 8, Author: "b"}}}, func(err error) bool {
			var conflict *operator.ConflictError
			return errors.As(err, &conflict) && conflict.Current == 9 && conflict.Overlaps[0].Reference == reference && conflict.Overlaps[0].Author == "b"
		}},
		{"old base", &configurator.BaseError{Current: 9}, func(err error) bool {
			var conflict *operator.ConflictError
			return errors.As(err, &conflict) && conflict.Current == 9
		}},
		{"invalid", &configurator.InvalidError{Cause: &registrar.InvalidError{Violations: []registrar.Violation{violation}}}, func(err error) bool {
			var invalid *operator.InvalidError
			return errors.As(err, &invalid) && invalid.Violations[0] == violation
		}},
		{"unsettled", &configurator.UnsettledError{Cause: &storer.UnavailableError{Cause: errors.New("down")}}, func(err error) bool {
			var unsettled *operator.UnsettledError
			return errors.As(err, &unsettled)
		}},
		{"unknown error", errors.New("anything"), func(err error) bool {
			var unsettled *operator.UnsettledError
			return errors.As(err, &unsettled)
		}},
		{"platform down", &storer.UnavailableError{Cause: errors.New("down")}, func(err error) bool {
			var unreachable *operator.UnreachableError
			return errors.As(err, &unreachable) && strings.Contains(unreachable.Attempts[0].Reason, "down")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			configuration := newConfiguration(t)
			configuration.commitErrors = []error{c.err}
			client := newClient(t, "", startServer(t, operator.Settings{Configuration: configuration}))
			if _, err := client.Apply(context.Background(), 7, versionChange); !c.check(err) {
				t.Fatalf("got %T: %v", errors.Unwrap(err), err)
			}
		})
	}
}

func TestApplyRetriesOnAnotherDaemonOnlyIfNothingWasCommitted(t *testing.T) {
	t.Run("refused connection and platform down", func(t *testing.T) {
		down, up := newConfiguration(t), newConfiguration(t)
		down.commitErrors = []error{&configurator.NotReadyError{}}
		client := newClient(t, "", closedAddress(t), startServer(t, operator.Settings{Configuration: down}), startServer(t, operator.Settings{Configuration: up}))
		revision, err := client.Apply(context.Background(), 7, versionChange)
		if err != nil || revision != 8 || down.commitCount() != 1 || up.commitCount() != 1 {
			t.Fatalf("got %d, %v after %d and %d commits", revision, err, down.commitCount(), up.commitCount())
		}
	})
	t.Run("lost answer", func(t *testing.T) {
		lossy, other := newConfiguration(t), newConfiguration(t)
		lossy.abortResponse = true
		client := newClient(t, "", startServer(t, operator.Settings{Configuration: lossy}), startServer(t, operator.Settings{Configuration: other}))
		_, err := client.Apply(context.Background(), 7, versionChange)
		var unsettled *operator.UnsettledError
		if !errors.As(err, &unsettled) || lossy.commitCount() != 1 || other.commitCount() != 0 {
			t.Fatalf("got %v after %d and %d commits", err, lossy.commitCount(), other.commitCount())
		}
	})
}

func TestToken(t *testing.T) {
	settings := operator.Settings{Configuration: newConfiguration(t), TokenDigest: sha256.Sum256([]byte("secret"))}
	address := startServer(t, settings)
	for token, permitted := range map[string]bool{"secret": true, "other": false, "": false} {
		_, err := newClient(t, token, address).Status(context.Background())
		var denied *operator.UnauthenticatedError
		if permitted != (err == nil) || !permitted && !errors.As(err, &denied) {
			t.Errorf("token %q: got %v", token, err)
		}
	}
}

func TestDrain(t *testing.T) {
	configuration := newConfiguration(t)
	configuration.commitErrors = []error{&configurator.OverlapError{}}
	client := newClient(t, "", startServer(t, operator.Settings{Configuration: configuration}))
	steps := []struct {
		name    string
		undo    bool
		drained bool
		commits int
	}{
		{"drain after a commit conflict", false, true, 2},
		{"drain again", false, true, 2},
		{"undo", true, false, 3},
		{"undo again", true, false, 3},
	}
	for _, step := range steps {
		if _, err := client.Drain(context.Background(), "e1", step.undo, "me"); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		target, _ := configuration.Current().Target("e1")
		if drained := target.Labels[registrar.LabelDrain] == "true"; drained != step.drained || configuration.commitCount() != step.commits {
			t.Fatalf("%s: drained %v after %d commits", step.name, drained, configuration.commitCount())
		}
	}
	var unknown *operator.UnknownObjectError
	if _, err := client.Drain(context.Background(), "gone", false, "me"); !errors.As(err, &unknown) || unknown.Reference.Name != "gone" {
		t.Fatalf("got %v", err)
	}
}

func TestGetAndDiff(t *testing.T) {
	configuration := newConfiguration(t)
	client := newClient(t, "", startServer(t, operator.Settings{Configuration: configuration}))
	ctx := context.Background()
	revision, all, err := client.Get(ctx, registrar.Reference{})
	if err != nil || revision != 7 || len(all.References()) != 8 {
		t.Fatalf("got %d, %+v, %v", revision, all, err)
	}
	_, one, err := client.Get(ctx, registrar.Reference{Kind: registrar.KindTarget, Name: "e2"})
	if err != nil || len(one.References()) != 1 || one.Targets[0].Name != "e2" {
		t.Fatalf("got %+v, %v", one, err)
	}
	var unknown *operator.UnknownObjectError
	if _, _, err := client.Get(ctx, registrar.Reference{Kind: registrar.KindTarget, Name: "x"}); !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	all.Targets = all.Targets[:2]
	all.Accounts[0].Labels = registrar.Labels{"tier": "lead"}
	for prune, removed := range map[bool]int{true: 1, false: 0} {
		_, change, err := client.Diff(ctx, all, prune)
		if err != nil || len(change.Set.References()) != 1 || len(change.Remove) != removed {
			t.Fatalf("prune %v: got %+v, %v", prune, change, err)
		}
	}
}

func TestExplain(t *testing.T) {
	client := newClient(t, "", startServer(t, operator.Settings{Configuration: newConfiguration(t)}))
	explanation, err := client.Explain(context.Background(), registrar.Request{Account: "demo", Model: "m"})
	if err != nil || explanation.Chosen != "e1" || explanation.Version != "v" {
		t.Fatalf("got %+v, %v", explanation, err)
	}
	want := map[string][]string{"e1": nil, "e2": {`denied by selector "not-e2" of priority 1`}, "e3": {"frozen for 3s"}}
	for _, target := range explanation.Targets {
		if diff := cmp.Diff(want[target.Target], target.Reasons); diff != "" {
			t.Errorf("%s: %s", target.Target, diff)
		}
	}
	if unmet := explanation.Targets[0].Selectors[0].Unmet; unmet != "target name equals [e2]" {
		t.Errorf("got %q", unmet)
	}
	for _, request := range []registrar.Request{{Account: "x", Model: "m"}, {Account: "demo", Model: "x"}, {Account: "demo", Model: "m", Version: "x"}, {Account: "demo", Service: "x"}} {
		var unknown *operator.UnknownObjectError
		if _, err := client.Explain(context.Background(), request); !errors.As(err, &unknown) {
			t.Errorf("%+v: got %v", request, err)
		}
	}
}

func TestConfirmationsAndStatus(t *testing.T) {
	client := newClient(t, "", startServer(t, operator.Settings{Configuration: newConfiguration(t)}))
	confirmations, err := client.Confirmations(context.Background(), 8)
	if err != nil || confirmations.Complete() {
		t.Fatalf("got %+v, %v", confirmations, err)
	}
	if diff := cmp.Diff(fleetMembers()[:1], confirmations.Confirmed, cmp.Comparer(sameAddress)); diff != "" {
		t.Error(diff)
	}
	if confirmations.Behind[0].Name != "b" || confirmations.Unreachable[0].Name != "c" || confirmations.Unreachable[0].Reason != "timeout" {
		t.Errorf("got %+v", confirmations)
	}
	status, err := client.Status(context.Background())
	if err != nil || status.Revision != 7 || len(status.Members) != 3 || len(status.Targets) != 3 || status.Alarms[0].Kind != "behind" {
		t.Fatalf("got %+v, %v", status, err)
	}
}

func TestReport(t *testing.T) {
	at := time.UnixMilli(1_000_000).UTC()
	want := reporter.Report{
		From: at, To: at.Add(time.Hour),
		Entries: []reporter.Entry{{Time: at, Until: at, Daemon: "a", Kind: reporter.KindOutage, Code: "no_target", Subject: "m", Count: 1, Open: true}},
		Gaps:    []reporter.Gap{{Daemon: "b", From: at}, {Daemon: "c", From: at, To: at.Add(time.Minute), Batches: 2}},
	}
	client := newClient(t, "", startServer(t, operator.Settings{Configuration: newConfiguration(t), Record: fakeRecord{report: want}}))
	got, err := client.Report(context.Background(), want.From, want.To)
	if err != nil || cmp.Diff(want, got) != "" {
		t.Fatalf("%v\n%s", err, cmp.Diff(want, got))
	}
	failing := newClient(t, "", startServer(t, operator.Settings{Configuration: newConfiguration(t), Record: fakeRecord{err: errors.New("platform down")}}))
	var unreachable *operator.UnreachableError
	if _, err := failing.Report(context.Background(), want.From, want.To); !errors.As(err, &unreachable) {
		t.Fatalf("got %v", err)
	}
}
