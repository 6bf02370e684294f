package registrar_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// referenceAllowed is a direct implementation of the rule that Selector documents, without
// caches or indexes.
func referenceAllowed(objects registrar.Objects, request registrar.Request, target registrar.Target) bool {
	labels := map[registrar.Kind]registrar.Labels{registrar.KindTarget: target.Labels}
	for _, account := range objects.Accounts {
		if account.Name == request.Account {
			labels[registrar.KindAccount] = account.Labels
		}
	}
	allowed, decided, highest := false, false, 0
	for _, selector := range objects.Selectors {
		matches := true
		for _, requirement := range selector.Match {
			subject, known := labels[requirement.Kind]
			matches = matches && known && requirement.Matches("unnamed", subject)
		}
		switch {
		case !matches, decided && selector.Priority < highest:
		case !decided || selector.Priority > highest:
			decided, highest, allowed = true, selector.Priority, selector.Effect == registrar.EffectAllow
		default:
			allowed = allowed && selector.Effect == registrar.EffectAllow
		}
	}
	return allowed
}

func drawSelectors(rt *rapid.T) []registrar.Selector {
	var selectors []registrar.Selector
	for i := range rapid.IntRange(0, 8).Draw(rt, "selectors") {
		selector := registrar.Selector{
			Name:     fmt.Sprint("s", i),
			Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
			Effect:   rapid.SampledFrom([]registrar.Effect{registrar.EffectAllow, registrar.EffectDeny}).Draw(rt, "effect"),
		}
		for range rapid.IntRange(0, 2).Draw(rt, "requirements") {
			selector.Match = append(selector.Match, registrar.Requirement{
				Kind:     rapid.SampledFrom([]registrar.Kind{registrar.KindAccount, registrar.KindTarget}).Draw(rt, "on"),
				Key:      rapid.SampledFrom([]string{"tier", "zone"}).Draw(rt, "key"),
				Operator: rapid.SampledFrom([]registrar.Operator{registrar.OperatorEquals, registrar.OperatorNotIn, registrar.OperatorExists}).Draw(rt, "operator"),
				Values:   []string{rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "value")},
			})
		}
		selectors = append(selectors, selector)
	}
	return selectors
}

func drawLabels(rt *rapid.T) registrar.Labels {
	key := rapid.SampledFrom([]string{"tier", "zone"})
	return rapid.MapOfN(key, rapid.SampledFrom([]string{"a", "b"}), 0, 2).Draw(rt, "labels")
}

func TestVerdictsMatchReference(t *testing.T) {
	ties := 0
	rapid.Check(t, func(rt *rapid.T) {
		objects := registrar.Objects{
			Models:    []registrar.Model{{Name: "m"}},
			Accounts:  []registrar.Account{{Name: "a0", Labels: drawLabels(rt)}, {Name: "a1", Labels: drawLabels(rt)}},
			Selectors: drawSelectors(rt),
		}
		for i := range rapid.IntRange(1, 70).Draw(rt, "targets") {
			target := registrar.Target{Name: fmt.Sprint("t", i), Kind: registrar.TargetEngine, Model: "m", Labels: drawLabels(rt)}
			objects.Targets = append(objects.Targets, target)
		}
		snapshot, err := registrar.NewSnapshot(1, objects)
		if err != nil {
			rt.Fatalf("%v", err)
		}
		for _, account := range []string{"a0", "a1", "a0", "unknown"} {
			request := registrar.Request{Account: account, Model: "m"}
			verdicts := snapshot.Verdicts(request)
			if len(verdicts) != len(objects.Targets) {
				rt.Fatalf("got %d verdicts, want %d", len(verdicts), len(objects.Targets))
			}
			for _, verdict := range verdicts {
				if want := referenceAllowed(objects, request, *verdict.Target); verdict.Allowed != want {
					rt.Fatalf("%s to %s: got %v by %q, want %v", account, verdict.Target.Name, verdict.Allowed, verdict.Selector, want)
				}
			}
			ties += checkExplanation(rt, snapshot, request)
		}
	})
	if ties == 0 {
		t.Fatal("no case had selectors of equal priority that allow and deny")
	}
}

// checkExplanation checks that the first selector that matches is that of the verdict. It
// counts the targets for which selectors of equal priority allow and deny.
func checkExplanation(rt *rapid.T, snapshot *registrar.Snapshot, request registrar.Request) (ties int) {
	for _, explanation := range snapshot.Explain(request) {
		var matched []*registrar.Selector
		for _, fact := range explanation.Selectors {
			if fact.Matched() {
				matched = append(matched, fact.Selector)
			}
		}
		if len(matched) == 0 {
			if explanation.Verdict.Selector != "" || explanation.Verdict.Allowed {
				rt.Fatalf("%s: allowed by %q although no selector matched", explanation.Verdict.Target.Name, explanation.Verdict.Selector)
			}
			continue
		}
		if matched[0].Name != explanation.Verdict.Selector {
			rt.Fatalf("%s: the first match is %q, the verdict names %q", explanation.Verdict.Target.Name, matched[0].Name, explanation.Verdict.Selector)
		}
		if len(matched) > 1 && matched[0].Priority == matched[1].Priority && matched[0].Effect != matched[1].Effect {
			ties++
		}
	}
	return ties
}

func TestVerdictsSeparateModelsAndServices(t *testing.T) {
	objects := registrar.Objects{
		Models:    []registrar.Model{{Name: "m"}, {Name: "n"}},
		Services:  []registrar.Service{{Name: "m"}},
		Selectors: []registrar.Selector{{Name: "all", Effect: registrar.EffectAllow}},
		Targets: []registrar.Target{
			{Name: "em", Kind: registrar.TargetEngine, Model: "m"},
			{Name: "en", Kind: registrar.TargetEngine, Model: "n"},
			{Name: "sm", Kind: registrar.TargetService, Service: "m"},
			{Name: "kept", Kind: registrar.TargetCache, Model: "m"},
		},
	}
	snapshot, err := registrar.NewSnapshot(1, objects)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]registrar.Request{"em": {Model: "m"}, "en": {Model: "n"}, "sm": {Service: "m"}}
	for want, request := range cases {
		verdicts := snapshot.Verdicts(request)
		if len(verdicts) != 1 || verdicts[0].Target.Name != want || !verdicts[0].Allowed {
			t.Errorf("%+v: got %+v, want only %s", request, verdicts, want)
		}
	}
}

func largeObjects(accounts, targets, selectors int) registrar.Objects {
	objects := registrar.Objects{Models: []registrar.Model{{Name: "m", BlockTokens: 1}}}
	for i := range accounts {
		labels := registrar.Labels{"tier": fmt.Sprint(i % 10), "town": fmt.Sprint(i % 50)}
		digest := registrar.KeyDigest{byte(i), byte(i >> 8), byte(i >> 16)}
		objects.Accounts = append(objects.Accounts, registrar.Account{Name: fmt.Sprint("a", i), Labels: labels, KeyDigests: []registrar.KeyDigest{digest}})
	}
	for i := range targets {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000)
		labels := registrar.Labels{"zone": fmt.Sprint(i % 5), "rack": fmt.Sprint(i % 40)}
		objects.Targets = append(objects.Targets, registrar.Target{
			Name: fmt.Sprint("t", i), Kind: registrar.TargetEngine, Model: "m", Slots: 1,
			DataCentre: "d", Address: address, Labels: labels,
		})
	}
	for i := range selectors {
		objects.Selectors = append(objects.Selectors, registrar.Selector{
			Name: fmt.Sprint("s", i), Priority: i % 7, Effect: registrar.EffectAllow,
			Match: []registrar.Requirement{
				{Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorIn, Values: []string{fmt.Sprint(i % min(10, accounts)), "x"}},
				{Kind: registrar.KindTarget, Key: "zone", Operator: registrar.OperatorEquals, Values: []string{fmt.Sprint(i % 5)}},
			},
		})
	}
	return objects
}

func BenchmarkVerdicts(b *testing.B) {
	sizes := []struct{ accounts, targets, selectors int }{{8, 18, 10}, {1000, 120, 50}, {18000, 480, 200}}
	for _, size := range sizes {
		objects := largeObjects(size.accounts, size.targets, size.selectors)
		name := fmt.Sprintf("accounts=%d/targets=%d/selectors=%d", size.accounts, size.targets, size.selectors)
		b.Run(name+"/repeated", func(b *testing.B) {
			b.ReportAllocs()
			snapshot, _ := registrar.NewSnapshot(1, objects)
			for i := range objects.Accounts {
				snapshot.Verdicts(registrar.Request{Account: objects.Accounts[i].Name, Model: "m"})
			}
			i := 0
			for b.Loop() {
				snapshot.Verdicts(registrar.Request{Account: objects.Accounts[i%len(objects.Accounts)].Name, Model: "m"})
				i++
			}
		})
		b.Run(name+"/first", func(b *testing.B) {
			b.ReportAllocs()
			snapshot, _ := registrar.NewSnapshot(1, objects)
			i := 0
			for b.Loop() {
				if i%len(objects.Accounts) == 0 {
					b.StopTimer()
					snapshot, _ = registrar.NewSnapshot(1, objects)
					b.StartTimer()
				}
				snapshot.Verdicts(registrar.Request{Account: objects.Accounts[i%len(objects.Accounts)].Name, Model: "m"})
				i++
			}
		})
		b.Run(name+"/snapshot", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = registrar.NewSnapshot(1, objects)
			}
		})
		b.Run(name+"/validate", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := registrar.Validate(objects); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
