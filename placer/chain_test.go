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

// In a large fleet each daemon gets what all others announce, over links of some Mbit/s. Only parts that several calls share
// are announced, when they are placed and when engines report that they are gone.
func TestLargeFleetsAnnounceOnlySharedParts(t *testing.T) {
	for _, fleet := range []struct{ daemons, holdings int }{{7, 2}, {200, 1}} {
		f := newFixture(t, 1)
		f.placer.SetPeers(make([]string, fleet.daemons-1))
		f.choose(longCall("book"))
		if update := f.placer.Export(); len(update.Holdings) != fleet.holdings {
			t.Errorf("%d daemons: a call announces %d parts, want %d", fleet.daemons, len(update.Holdings), fleet.holdings)
		}
		book, own := placer.PartKey(model, "", 1, "book"), placer.PartKey(model, "", 1, "own")
		f.placer.ObserveCache("e0", placer.CacheEvents{Changes: []placer.CacheChange{{Key: own, Tokens: 1_000}, {Key: book, Tokens: 0}}})
		if update := f.placer.Export(); len(update.Holdings) != fleet.holdings {
			t.Errorf("%d daemons: cache events of a shared part and of another one announce %+v", fleet.daemons, update.Holdings)
		}
	}
}
