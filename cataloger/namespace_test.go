package cataloger_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
)

// drawAccounts draws the accounts of one version of the configuration. Among the names is one that equals the namespace that
// others share while the account "a" is isolated.
func drawAccounts(t *rapid.T) (accounts []cataloger.Account) {
	shared := cataloger.New(1, cataloger.Declarations{Accounts: []cataloger.Account{{Name: "a", Isolated: true}}}).CacheNamespace(nil)
	for _, name := range rapid.Permutation([]string{"a", "b", "a/b", "ab", shared}).Draw(t, "order") {
		if rapid.Bool().Draw(t, "declared") {
			accounts = append(accounts, cataloger.Account{Name: name, Isolated: rapid.Bool().Draw(t, "isolated")})
		}
	}
	return accounts
}

// Guards against an isolated account that shares KV cache entries from before it was isolated (WALL): whatever the order of
// the configurations, no account uses an entry of another one while one of the two is isolated.
func TestNoEntryCrossesWallInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		makers := make(map[string][]string) // The accounts that made entries, by namespace.
		for range rapid.IntRange(1, 8).Draw(t, "configurations") {
			accounts := drawAccounts(t)
			catalog := cataloger.New(1, cataloger.Declarations{Accounts: accounts})
			isolated := make(map[string]bool)
			for _, account := range accounts {
				isolated[account.Name] = account.Isolated
			}
			for i := range accounts {
				name, namespace := accounts[i].Name, catalog.CacheNamespace(&accounts[i])
				for _, maker := range makers[namespace] {
					if maker != name && (isolated[maker] || isolated[name]) {
						t.Fatalf("account %q uses entries of %q in the namespace %q; isolated: %v", name, maker, namespace, isolated)
					}
				}
				makers[namespace] = append(makers[namespace], name)
			}
		}
	})
}

// A daemon that has just started forms the same namespaces as one that knew earlier configurations, whatever the order of the
// accounts.
func TestNamespacesFollowFromDeclarations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := drawAccounts(t)
		others := rapid.Permutation(slices.Clone(accounts)).Draw(t, "other order")
		one := cataloger.New(3, cataloger.Declarations{Accounts: accounts})
		other := cataloger.New(7, cataloger.Declarations{Accounts: others})
		if a, b := one.CacheNamespace(nil), other.CacheNamespace(nil); a != b {
			t.Fatalf("shared namespaces %q and %q", a, b)
		}
		for i := range accounts {
			if !accounts[i].Isolated && one.CacheNamespace(&accounts[i]) != one.CacheNamespace(nil) {
				t.Fatalf("account %q shares no entries though it is not isolated", accounts[i].Name)
			}
		}
	})
}
