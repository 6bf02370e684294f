package placer_test

import (
	"testing"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// chainCall returns a call whose prompt starts with a part that all accounts share, followed by a part of one account.
func chainCall(commonTokens, accountTokens int) placer.Call {
	const ownTokens = 2_000
	return placer.Call{
		Service: service, Model: model, PromptTokens: commonTokens + accountTokens + ownTokens, OutputTokens: 20,
		Parts: []placer.Part{{ID: "common", Tokens: commonTokens}, {ID: "account", Tokens: accountTokens}, {ID: "own", Tokens: ownTokens}},
	}
}

// A prompt consists of a small part that all accounts share, a part of its account and one of its own. A daemon learns
// from a peer which engine holds the account's part, so it sends the next prompt of the account there, or lets another
// engine fetch the part, whatever the size of the parts.
func TestAccountPartsBehindSmallCommonPartAreReused(t *testing.T) {
	for name, size := range map[string]struct{ common, account int }{
		"large account part":          {common: 512, account: 4_870},
		"small parts":                 {common: 341, account: 227},
		"common part below a message": {common: 60, account: 4_870},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4)
			peer := f.newPlacer(4)
			sent, err := peer.Choose(chainCall(size.common, size.account), nil)
			if err != nil {
				t.Fatal(err)
			}
			f.placer.Import("peer", peer.Export())
			sent.Attempt.RecordFirstEvent()
			sent.Attempt.Finish()
			f.placer.Import("peer", peer.Export())
			f.now = f.now.Add(sent.Expected)
			if choice := f.choose(chainCall(size.common, size.account)); choice.PrefillTokens != 2_000 {
				t.Errorf("%d tokens are left to prefill at %s, the peer sent the same parts to %s", choice.PrefillTokens, choice.Target.ID, sent.Target.ID)
			}
			fetched := f.choose(chainCall(size.common, size.account), sent.Target.ID)
			if fetched.FetchFrom != sent.Target.Address || fetched.PrefillTokens != 2_000 {
				t.Errorf("another engine fetches from %v with %d tokens to prefill, the parts are held at %v", fetched.FetchFrom, fetched.PrefillTokens, sent.Target.Address)
			}
		})
	}
}
