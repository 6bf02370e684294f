package registrar_test

import (
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/registrar"
)

func Example() {
	snapshot, err := registrar.NewSnapshot(1, registrar.Objects{
		Accounts: []registrar.Account{{Name: "demo", Labels: registrar.Labels{"tier": "gold"}}},
		Models:   []registrar.Model{{Name: "m", DefaultVersion: "v"}},
		Versions: []registrar.Version{{Name: "v", Model: "m"}},
		Targets: []registrar.Target{
			{Name: "engine-1", Kind: registrar.TargetEngine, Model: "m", Labels: registrar.Labels{"zone": "a"}},
			{Name: "engine-2", Kind: registrar.TargetEngine, Model: "m", Labels: registrar.Labels{"zone": "b"}},
		},
		Selectors: []registrar.Selector{{
			Name: "gold-to-a", Effect: registrar.EffectAllow,
			Match: []registrar.Requirement{
				{Kind: registrar.KindAccount, Key: "tier", Operator: registrar.OperatorEquals, Values: []string{"gold"}},
				{Kind: registrar.KindTarget, Key: "zone", Operator: registrar.OperatorIn, Values: []string{"a"}},
			},
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, verdict := range snapshot.Verdicts(registrar.Request{Account: "demo", Model: "m", Version: "v"}) {
		fmt.Println(verdict.Target.Name, verdict.Allowed, verdict.Selector)
	}
	// Output:
	// engine-1 true gold-to-a
	// engine-2 false
}
