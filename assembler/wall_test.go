package assembler_test

import (
	"fmt"
	"testing"
)

// callAs sends a model call with the key of an account through each daemon, and returns the cache salts with which it ran.
func (f *fleet) callAs(name, key string) (salts map[string]bool) {
	f.t.Helper()
	salts = make(map[string]bool)
	for i, d := range f.daemons {
		id := fmt.Sprint(name, i)
		if r := f.callModel(d, "ask", id, "Authorization", "Token "+key); r.status != 200 {
			f.t.Fatalf("%s: %+v", id, r)
		}
		for _, run := range runsOf(f.engines, id) {
			salts[run.CacheSalt] = true
		}
	}
	return salts
}

// awaitConfiguration writes a configuration with a route of that name, and waits until all daemons have it in force.
func (f *fleet) awaitConfiguration(route string) {
	f.t.Helper()
	f.configure([]string{route}, validKey)
	for _, d := range f.daemons {
		f.await("new route", func() bool { return f.call(d, "GET", "/"+route+"/a", "r", "").status == 200 })
	}
}

// Guards against cached parts that accounts shared before one of them was isolated (WALL): what the isolated account's
// requests left is under a salt that no daemon uses any more, also one that starts later.
func TestNewlyIsolatedAccountSharesNoCachedPartsFromBefore(t *testing.T) {
	f := newFleet(t, 0)
	f.openAccounts = []string{"account-1", "account-2"}
	f.configure(nil, validKey)
	f.daemons = append(f.daemons, f.start(0), f.start(1))
	before := f.callAs("before", validKey)
	if others := f.callAs("shared", "key-2"); len(before) != 1 || fmt.Sprint(before) != fmt.Sprint(others) {
		t.Fatalf("accounts that are not isolated use the salts %v and %v", before, others)
	}

	f.openAccounts = []string{"account-2"}
	f.awaitConfiguration("isolated")
	f.daemons = append(f.daemons, f.start(2))
	isolated, others := f.callAs("isolated", validKey), f.callAs("others", "key-2")
	if len(isolated) != 1 || len(others) != 1 {
		t.Errorf("the daemons use the salts %v and %v", isolated, others)
	}
	for salt := range others {
		if before[salt] || isolated[salt] {
			t.Errorf("account-2 uses the salt %q, under which the isolated account-1 ran", salt)
		}
	}
	for salt := range isolated {
		if before[salt] {
			t.Errorf("account-1 uses the salt %q, which it shared before", salt)
		}
	}

	f.openAccounts = []string{"account-1", "account-2"}
	f.awaitConfiguration("open")
	if again := f.callAs("again", "key-2"); fmt.Sprint(again) != fmt.Sprint(before) {
		t.Errorf("after the accounts share parts again the salts are %v, before they were %v", again, before)
	}
}
