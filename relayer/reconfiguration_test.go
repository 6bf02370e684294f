package relayer_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
)

// reconfigured is the next version of the harness's configuration, with other routes or accounts.
func reconfigured(change func(*cataloger.Declarations)) *cataloger.Catalog {
	declared := cataloger.Declarations{Routes: routes(), Accounts: []cataloger.Account{{Name: "account", Keys: []string{key}}}}
	change(&declared)
	return cataloger.New(2, declared)
}

func dropRoutes(d *cataloger.Declarations) { d.Routes = nil }

func moveRoutes(d *cataloger.Declarations) {
	for i := range d.Routes {
		d.Routes[i].TrafficShares = []cataloger.TrafficShare{{Service: "moved", Weight: 1}}
	}
}

func shortenTimeouts(d *cataloger.Declarations) {
	for i := range d.Routes {
		d.Routes[i].Timeout = 1
	}
}

func forbidRetries(d *cataloger.Declarations) {
	for i := range d.Routes {
		d.Routes[i].Resumable, d.Routes[i].MaxAttempts = false, 1
	}
}

func revokeKey(d *cataloger.Declarations) { d.Accounts[0].Keys = []string{"other"} }

func renameAccount(d *cataloger.Declarations) { d.Accounts[0].Name = "renamed" }

func isolateAccount(d *cataloger.Declarations) { d.Accounts[0].Isolated = true }

// Guards against a stream that is cut, or a request that fails, as the configuration changes while it is under way (LOST): what may
// have run goes on as it was admitted. A key that was taken away isn't used again.
func TestRequestUnderWayKeepsItsRoute(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		first  targetBehaviour
		change func(*cataloger.Declarations)
		want   result
	}{
		{"stream, route dropped", "/resume/", cutAfterTwo, dropRoutes, result{status: 200, body: firstEvents + rest}},
		{"stream, route moved", "/resume/", cutAfterTwo, moveRoutes, result{status: 200, body: firstEvents + rest}},
		{"stream, shorter timeout", "/resume/", cutAfterTwo, shortenTimeouts, result{status: 200, body: firstEvents + rest}},
		{"stream, no longer resumable", "/resume/", cutAfterTwo, forbidRetries, result{status: 200, body: firstEvents + rest}},
		{"stream, key revoked", "/resume/", cutAfterTwo, revokeKey, result{status: 200, body: firstEvents, aborted: true}},
		{"no event yet, route dropped", "/resume/", broken, dropRoutes, result{status: 200, body: rest}},
		{"idempotent, route dropped", "/often/", broken, dropRoutes, result{status: 200, body: rest}},
		{"idempotent, route moved", "/often/", broken, moveRoutes, result{status: 200, body: rest}},
		{"idempotent, key revoked", "/often/", broken, revokeKey, result{status: 502, reason: "unknown_key"}},
		{"not sent, route dropped", "/often/", unsent, dropRoutes, result{status: 404, reason: "no_route", notRun: true}},
		{"not sent, route moved", "/often/", unsent, moveRoutes, result{status: 503, reason: "no_target", notRun: true}},
	} {
		first := c.first
		h := newHarness(first, targetBehaviour{status: http.StatusOK, body: rest})
		h.behaviours[0].before = func() { h.catalog = reconfigured(c.change) }
		if seen := relayOnce(t, h, c.path); seen != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, seen, c.want)
		}
	}
}

// A request that goes on does so for the account that has its key by now, and behind the wall that is in force by now.
func TestRequestUnderWayUsesNewestAccount(t *testing.T) {
	for name, c := range map[string]struct {
		change               func(*cataloger.Declarations)
		accounts, namespaces []string
	}{
		"renamed":  {renameAccount, []string{"account", "renamed"}, []string{"", ""}},
		"isolated": {isolateAccount, []string{"account", "account"}, []string{"", "account"}},
	} {
		h := newHarness(cutAfterTwo, targetBehaviour{status: http.StatusOK, body: rest})
		h.behaviours[0].before = func() { h.catalog = reconfigured(c.change) }
		if seen := relayOnce(t, h, "/resume/"); seen.aborted || !slices.Equal(h.accounts, c.accounts) || !slices.Equal(h.namespaces, c.namespaces) {
			t.Errorf("%s: %+v, accounts %v, namespaces %v", name, seen, h.accounts, h.namespaces)
		}
	}
}
