package cataloger_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
	"github.com/rosemaryrill/rosemaryrill/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	catalog := cataloger.New(3, cataloger.Declarations{Routes: []cataloger.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"a.example", "/x/1", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/1", ""},
		{"c.example", "/x/1", ""},
	} {
		route, found := catalog.Match(c.host, c.path)
		if found != (c.want != "") || found && route.Name != c.want {
			t.Errorf("%s%s matches route %v, want %q", c.host, c.path, route, c.want)
		}
	}
}

func TestAccountIsFoundByKey(t *testing.T) {
	catalog := cataloger.New(1, cataloger.Declarations{Accounts: []cataloger.Account{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}}}})
	if account, known := catalog.Account("k2"); !known || account.Name != "a" {
		t.Errorf("k2 belongs to %v", account)
	}
	if _, known := catalog.Account(""); known {
		t.Error("an empty key belongs to an account")
	}
	if !catalog.RequiresKeys() || cataloger.New(1, cataloger.Declarations{}).RequiresKeys() {
		t.Error("keys must be required if and only if accounts are listed")
	}
	if !cataloger.New(1, cataloger.Declarations{ListsAccounts: true}).RequiresKeys() {
		t.Error("keys must be required by an empty list of accounts")
	}
}

// Guards against requests without a key that run as an account's whose list of keys has an empty one (ROUTE).
func TestEmptyKeyBelongsToNoAccount(t *testing.T) {
	catalog := cataloger.New(1, cataloger.Declarations{Accounts: []cataloger.Account{{Name: "a", Keys: []string{"", "k"}}}})
	if account, known := catalog.Account(""); known {
		t.Errorf("the empty key belongs to %v", account)
	}
	if _, known := catalog.Account("k"); !known {
		t.Error("the other key belongs to no account")
	}
}

// A request id always maps to the same service, and only to a service whose weight is not zero.
func TestServiceIsStableAndHasWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(0, 9).Draw(t, "weight")
		route := cataloger.Route{TrafficShares: []cataloger.TrafficShare{{Service: "a", Weight: weight}, {Service: "b", Weight: 10 - weight}}}
		id := rapid.String().Draw(t, "id")
		service := route.Service(id)
		if service != route.Service(id) {
			t.Fatal("a request id maps to two services")
		}
		if service == "" || service == "a" && weight == 0 {
			t.Fatalf("request %q maps to %q, weight of a is %d", id, service, weight)
		}
	})
}

// Guards against daemons that use different stores, since the order of a map differs between them.
func TestCacheStoresAreOrderedByName(t *testing.T) {
	catalog := cataloger.New(1, cataloger.Declarations{Services: []cataloger.Service{
		{Name: "store-b", Cache: &cataloger.CacheStore{}}, {Name: "engines"}, {Name: "store-c", Cache: &cataloger.CacheStore{}}, {Name: "store-a", Cache: &cataloger.CacheStore{}},
	}})
	names := ""
	for _, store := range catalog.CacheStores() {
		names += store.Name + " "
	}
	if names != "store-a store-b store-c " {
		t.Errorf("cache stores %s", names)
	}
}
