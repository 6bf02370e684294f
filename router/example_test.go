package router_test

import (
	"fmt"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/router"
)

func Example() {
	pool := router.New(router.Settings{BlockTokens: 4})
	err := pool.SetTargets([]router.Target{
		{Name: "engine-1", Weights: []string{"w"}, Incarnation: "1", Slots: 8, Usable: true},
		{Name: "engine-2", Weights: []string{"w"}, Incarnation: "1", Slots: 8, Usable: true},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	prompt := "a prompt that several calls share, with more than one block"
	blocks := hasher.Blocks(hasher.Seed("demo", "w", ""), prompt, 4)
	request := router.Request{
		Chains:       []router.Chain{{Account: "demo", Weights: "w", Blocks: blocks}},
		PromptTokens: hasher.Tokens(prompt),
		Allowed:      router.NewTargetSet([]string{"engine-1", "engine-2"}),
	}
	first, err := pool.Route(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	attempt := pool.RecordSent(request, first)
	attempt.RecordAnswer(router.Answer{Incarnation: "1"})
	attempt.Finish()
	second, err := pool.Route(request)
	fmt.Println(second.Target == first.Target, second.Reason, err)
	// Output:
	// true cached <nil>
}
