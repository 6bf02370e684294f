package registrar_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

func TestApplySetsAndRemoves(t *testing.T) {
	before := registrar.Objects{
		Accounts: []registrar.Account{{Name: "b"}, {Name: "a"}},
		Models:   []registrar.Model{{Name: "m"}},
	}
	after := before.Apply(registrar.Change{
		Set: registrar.Objects{Accounts: []registrar.Account{
			{Name: "c"},
			{Name: "a", Labels: registrar.Labels{"tier": "gold"}},
		}},
		Remove: []registrar.Reference{
			{Kind: registrar.KindAccount, Name: "b"},
			{Kind: registrar.KindModel, Name: "absent"},
		},
	})
	want := registrar.Objects{
		Accounts: []registrar.Account{
			{Name: "a", Labels: registrar.Labels{"tier": "gold"}},
			{Name: "c"},
		},
		Models: []registrar.Model{{Name: "m"}},
	}
	if diff := cmp.Diff(want, after); diff != "" {
		t.Fatal(diff)
	}
	if before.Accounts[0].Name != "b" || before.Accounts[1].Labels != nil {
		t.Fatalf("Apply modified the old objects: %v", before.Accounts)
	}
}

func TestChangeReferences(t *testing.T) {
	change := registrar.Change{
		Set:    registrar.Objects{Targets: []registrar.Target{{Name: "t"}}},
		Remove: []registrar.Reference{{Kind: registrar.KindTarget, Name: "t"}, {Kind: registrar.KindModel, Name: "m"}},
	}
	want := []registrar.Reference{
		{Kind: registrar.KindModel, Name: "m"},
		{Kind: registrar.KindTarget, Name: "t"},
	}
	if diff := cmp.Diff(want, change.References()); diff != "" {
		t.Fatal(diff)
	}
}

// drawChange draws a change of a few accounts and models. Names and keys come from small
// sets, so that they collide.
func drawChange(t *rapid.T) registrar.Change {
	var change registrar.Change
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	for range rapid.IntRange(0, 3).Draw(t, "accounts") {
		account := registrar.Account{
			Name:   names.Draw(t, "name"),
			Labels: registrar.Labels{"l": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "label")},
		}
		for range rapid.IntRange(0, 2).Draw(t, "keys") {
			account.KeyDigests = append(account.KeyDigests, registrar.KeyDigest{rapid.ByteRange(0, 4).Draw(t, "key")})
		}
		change.Set.Accounts = append(change.Set.Accounts, account)
	}
	for range rapid.IntRange(0, 1).Draw(t, "models") {
		change.Set.Models = append(change.Set.Models, registrar.Model{Name: names.Draw(t, "name")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "removed") {
		kind := rapid.SampledFrom([]registrar.Kind{registrar.KindAccount, registrar.KindModel}).Draw(t, "kind")
		change.Remove = append(change.Remove, registrar.Reference{Kind: kind, Name: names.Draw(t, "name")})
	}
	return change
}

func TestMergeChangesEqualsApplyInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 6).Draw(t, "changes")
		var objects registrar.Objects
		for _, change := range changes {
			objects = objects.Apply(change)
		}
		merged := registrar.Objects{}.Apply(registrar.MergeChanges(changes...))
		if diff := cmp.Diff(objects, merged, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// fleetObjects returns accounts and targets in the ratio of the largest deployment.
func fleetObjects(accounts int) registrar.Objects {
	var objects registrar.Objects
	for i := range accounts {
		digest := registrar.KeyDigest{byte(i), byte(i >> 8), byte(i >> 16)}
		objects.Accounts = append(objects.Accounts, registrar.Account{
			Name:       fmt.Sprintf("account-%06d", i),
			Labels:     registrar.Labels{"tier": "gold"},
			KeyDigests: []registrar.KeyDigest{digest},
		})
	}
	for i := range accounts * 2 / 3 {
		objects.Targets = append(objects.Targets, registrar.Target{
			Name:    fmt.Sprintf("target-%06d", i),
			Kind:    registrar.TargetEngine,
			Model:   "model",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
		})
	}
	objects.Models = []registrar.Model{{Name: "model"}}
	return objects
}

func accountChange(i, accounts int) registrar.Change {
	account := registrar.Account{
		Name:       fmt.Sprintf("account-%06d", i%accounts),
		Labels:     registrar.Labels{"tier": "silver"},
		KeyDigests: []registrar.KeyDigest{{byte(i), byte(i >> 8), byte(i >> 16), 1}},
	}
	return registrar.Change{Set: registrar.Objects{Accounts: []registrar.Account{account}}}
}

func BenchmarkObjectsApply(b *testing.B) {
	for _, accounts := range []int{180, 1_800, 18_000} {
		objects := fleetObjects(accounts)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				objects = objects.Apply(accountChange(i, accounts))
			}
		})
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, accounts := range []int{180, 1_800, 18_000} {
		objects := fleetObjects(accounts)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := registrar.NewSnapshot(1, objects); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
