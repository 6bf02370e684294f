package assembler_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// accountsMark is the key in the store that tells that the deployment has client accounts.
const accountsMark = "rill/accounts"

// emptyLists are lists of accounts in which no key is left, by their texts in JSON.
func (f *fleet) emptyLists() map[string]any {
	return map[string]any{
		"[]":           []any{},
		"null":         (*[]any)(nil),
		"no apiKeys":   []any{map[string]any{"name": "account-1"}},
		"null apiKeys": []any{map[string]any{"name": "account-1", "apiKeys": nil}},
		"[] apiKeys":   []any{f.account("account-1", []string{})},
		"empty key":    []any{f.account("account-1", []string{""})},
		"null key":     []any{map[string]any{"name": "account-1", "apiKeys": []any{nil}}},
	}
}

// expectKeysRefused sends requests with the key that was taken away, with one that never was, and with none.
func (f *fleet) expectKeysRefused(d *daemon, what string) {
	f.t.Helper()
	for _, key := range []string{"Token " + validKey, "Token strange", "Token ", ""} {
		id := fmt.Sprintf("%s %s %q", d.callers, strings.ReplaceAll(what, " ", "-"), key)
		r := f.call(d, http.MethodGet, "/look/a", id, "", "Authorization", key)
		if ran := runsOf(f.services, id); r.status != http.StatusUnauthorized || len(ran) > 0 {
			f.t.Errorf("%s: the request with the key %q ran %d times and got %d", what, key, len(ran), r.status)
		}
	}
}

// Guards against requests with any key that run once the last key was taken away (CONFIG, ROUTE): an empty list of accounts was
// taken for none.
func TestNoKeyIsValidOnceAllWereTakenAway(t *testing.T) {
	f := newFleet(t, 1)
	for name, accounts := range f.emptyLists() {
		f.configure([]string{"before"}, validKey)
		f.await("valid key", func() bool { return f.call(f.daemons[0], http.MethodGet, "/before/a", "v", "").status == http.StatusOK })
		f.configureAccounts([]string{"after"}, accounts)
		f.await("refused key", func() bool {
			return f.call(f.daemons[0], http.MethodGet, "/after/a", "w", "").status != http.StatusNotFound
		})
		f.expectKeysRefused(f.daemons[0], name)
		f.expectKeysRefused(f.start(1), name+" at a daemon that starts")
	}
}

// Guards against requests with any key that run since the configuration has lost its list of accounts (CONFIG, ROUTE). A daemon that
// starts then never saw the list.
func TestKeysAreRequiredAfterListOfAccountsIsLost(t *testing.T) {
	f := newFleet(t, 2)
	f.await("mark in the store", func() bool { return f.store.Value(accountsMark) != "" })
	f.configureAccounts([]string{"after"}, nil)
	for _, d := range f.daemons {
		f.await("new configuration", func() bool { return f.call(d, http.MethodGet, "/after/a", "w", "").status != http.StatusNotFound })
		f.expectKeysRefused(d, "list lost")
		f.await("log line", func() bool { return strings.Contains(d.log.String(), "no list of accounts") })
	}
	f.expectKeysRefused(f.start(2), "list lost before the start")
	for _, d := range f.daemons {
		if lines := strings.Count(d.log.String(), "no list of accounts"); lines != 1 {
			t.Errorf("%d log lines tell of the lost list", lines)
		}
	}
	f.configure(nil, validKey)
	for _, d := range f.daemons {
		f.await("valid key", func() bool { return f.call(d, http.MethodGet, "/look/a", "v", "").status == http.StatusOK })
	}
}

// A deployment that never had client accounts needs no keys.
func TestDeploymentWithoutAccountsNeedsNoKeys(t *testing.T) {
	f := newFleet(t, 0)
	f.configureAccounts(nil, nil)
	d := f.start(0)
	for _, key := range []string{"", "Token any"} {
		if r := f.call(d, http.MethodGet, "/look/a", "k"+key, "", "Authorization", key); r.status != http.StatusOK {
			t.Errorf("key %q: %+v", key, r)
		}
	}
}
