package pooler_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/pooler"
	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// fakeLiveness reports all targets as usable except those that are mapped to true.
type fakeLiveness map[string]bool

func (l fakeLiveness) Usable(target string) bool { return !l[target] }
func (l fakeLiveness) Incarnation(string) string { return "i1" }

func newObjects(targets int) registrar.Objects {
	objects := registrar.Objects{
		Accounts:  []registrar.Account{{Name: "a"}, {Name: "b"}},
		Models:    []registrar.Model{{Name: "m", DefaultVersion: "v1", BlockTokens: 16}},
		Versions:  []registrar.Version{{Name: "v1", Model: "m", Weights: "w1"}, {Name: "v2", Model: "m", Weights: "w2"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
	}
	for i := range targets {
		objects.Targets = append(objects.Targets, registrar.Target{
			Name: targetName(i), Kind: registrar.TargetEngine, Model: "m", Slots: 8, Labels: registrar.Labels{"name": targetName(i)},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		})
	}
	return objects
}

func targetName(i int) string { return fmt.Sprintf("t%03d", i) }

func deny(name string, match ...registrar.Requirement) registrar.Selector {
	return registrar.Selector{Name: name, Priority: 1, Effect: registrar.EffectDeny, Match: match}
}

func matchNames(kind registrar.Kind, names ...string) registrar.Requirement {
	return registrar.Requirement{Kind: kind, Key: registrar.NameKey, Operator: registrar.OperatorIn, Values: names}
}

func newSnapshot(tb testing.TB, revision registrar.Revision, objects registrar.Objects) *registrar.Snapshot {
	tb.Helper()
	snapshot, err := registrar.NewSnapshot(revision, objects)
	if err != nil {
		tb.Fatal(err)
	}
	return snapshot
}

func newPooler(tb testing.TB, objects registrar.Objects, liveness pooler.Liveness) *pooler.Pooler {
	tb.Helper()
	p := pooler.New(pooler.Settings{Daemon: "d", Liveness: liveness})
	p.Apply(newSnapshot(tb, 1, objects))
	for i := range objects.Targets {
		reportWeights(p, objects.Targets[i].Name, time.Now(), "w1", "w2")
	}
	return p
}

func reportWeights(p *pooler.Pooler, target string, measured time.Time, weights ...string) {
	p.ObserveLoad(target, forwarder.Load{Incarnation: "i1", Weights: weights, MeasuredAt: measured})
}

func query(account, model string) pooler.Query {
	return pooler.Query{Account: account, Model: model, Messages: []hasher.Message{{Role: "user", Content: strings.Repeat("how many spokes has a rim? ", 20)}}}
}

func newPlan(t *testing.T, p *pooler.Pooler, account, model string) *pooler.Plan {
	t.Helper()
	plan, err := p.Plan(query(account, model))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func TestPlanFollowsTheConfiguration(t *testing.T) {
	objects := newObjects(2)
	for _, test := range []struct {
		name   string
		change func(*registrar.Objects)
		want   string
	}{
		{"a denied target", func(o *registrar.Objects) {
			o.Selectors = append(o.Selectors, deny("d", matchNames(registrar.KindTarget, targetName(0))))
		}, targetName(1)},
		{"a drained target", func(o *registrar.Objects) {
			o.Targets = slices.Clone(o.Targets)
			o.Targets[0].Labels = registrar.Labels{registrar.LabelDrain: "true"}
		}, targetName(1)},
		{"a removed target", func(o *registrar.Objects) { o.Targets = o.Targets[1:] }, targetName(1)},
		{"a denied account", func(o *registrar.Objects) {
			o.Selectors = append(o.Selectors, deny("d", matchNames(registrar.KindAccount, "a")))
		}, ""},
		{"a removed model", func(o *registrar.Objects) { o.Models, o.Versions, o.Targets = nil, nil, nil }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPooler(t, objects, fakeLiveness{})
			plan := newPlan(t, p, "a", "m")
			changed := objects
			test.change(&changed)
			p.Apply(newSnapshot(t, 2, changed))
			for range 20 {
				choice, _, err := plan.Route(nil, "", "")
				if got := choice.Decision.Target; got != test.want || (err == nil) != (test.want != "") {
					t.Fatalf("chose %q with error %v, want %q", got, err, test.want)
				}
			}
		})
	}
}

func TestPlanRoutesVersionsToAllowedTargets(t *testing.T) {
	objects := newObjects(2)
	objects.Selectors = append(objects.Selectors,
		deny("v1", matchNames(registrar.KindVersion, "v1"), matchNames(registrar.KindTarget, targetName(1))),
		deny("v2", matchNames(registrar.KindVersion, "v2"), matchNames(registrar.KindTarget, targetName(0))))
	down := fakeLiveness{}
	p := newPooler(t, objects, down)
	plan := newPlan(t, p, "a", "m")
	for _, test := range []struct{ down, weights, target string }{
		{"", "w1", targetName(0)}, {targetName(0), "w2", targetName(1)},
	} {
		clear(down)
		down[test.down] = true
		p.Refresh()
		for range 20 {
			choice, _, err := plan.Route(nil, "", "")
			if err != nil || choice.Decision.Target != test.target || choice.Version.Weights != test.weights {
				t.Fatalf("with %q down: %+v, %v", test.down, choice.Decision, err)
			}
		}
	}
	var none *router.NoTargetError
	if _, _, err := plan.Route(nil, "w1", targetName(1)); !errors.As(err, &none) {
		t.Errorf("w1 may run at a target at which a selector denies it: %v", err)
	}
	if choice, _, err := newPlan(t, p, "a", "m@v2").Route(nil, "", ""); err != nil || choice.Version.Name != "v2" {
		t.Errorf("the pinned version was not kept: %+v, %v", choice, err)
	}
}

func TestOlderPeerReportKeepsWeights(t *testing.T) {
	p := newPooler(t, newObjects(1), fakeLiveness{})
	now := time.Now().Add(time.Second)
	reportWeights(p, targetName(0), now, "w2")
	p.ObservePeer(targetName(0), []string{"w1"}, router.Load{Incarnation: "i1"}, now.Add(-time.Second))
	if got := p.Loaded(targetName(0)); !slices.Equal(got, []string{"w2"}) {
		t.Errorf("an older report of a peer changed the weights to %v", got)
	}
}

func TestApplyReplacesRouterOnNewRoutingWeights(t *testing.T) {
	objects := newObjects(1)
	p := newPooler(t, objects, fakeLiveness{})
	before, _ := p.Router("m")
	plan := newPlan(t, p, "a", "m")
	choice, request, err := plan.Route(nil, "", "")
	if err != nil {
		t.Fatal(err)
	}
	before.RecordSent(request, choice.Decision)
	objects.Models = []registrar.Model{objects.Models[0]}
	objects.Models[0].Routing.Recomputation = 9
	p.Apply(newSnapshot(t, 2, objects))
	after, _ := p.Router("m")
	if before == after || before.KnownPrefixes() == 0 || before.KnownPrefixes() != after.KnownPrefixes() {
		t.Errorf("router replaced: %t, prefixes %d before and %d after", before != after, before.KnownPrefixes(), after.KnownPrefixes())
	}
	if choice, _, err := plan.Route(nil, "", ""); err != nil || choice.Router != after {
		t.Errorf("the plan kept the old router: %v", err)
	}
}

// BenchmarkApply measures a change of the configuration at 18,000 accounts.
func BenchmarkApply(b *testing.B) {
	for _, targets := range []int{18, 48, 480} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			objects := newObjects(targets)
			for i := range 18_000 {
				objects.Accounts = append(objects.Accounts, registrar.Account{Name: fmt.Sprint("account-", i)})
			}
			p := newPooler(b, objects, fakeLiveness{})
			snapshots := []*registrar.Snapshot{newSnapshot(b, 2, objects), newSnapshot(b, 3, objects)}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Apply(snapshots[i%2])
			}
		})
	}
}

// BenchmarkPlan measures the plan and the first choice of a call.
func BenchmarkPlan(b *testing.B) {
	for _, targets := range []int{18, 48, 480} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			p := newPooler(b, newObjects(targets), fakeLiveness{})
			q := query("a", "m")
			b.ReportAllocs()
			for b.Loop() {
				plan, err := p.Plan(q)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := plan.Route(nil, "", ""); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
