package relayer

import (
	"cmp"
	"net/http"

	"github.com/rosemaryrill/rosemaryrill/cataloger"
)

// CheckAccess returns the refusal of a call whose route needs a key that it doesn't have, or nil. It needs no body, so that none is read for such a
// call. What it lets pass is checked again by Relay.
func (r *Relayer) CheckAccess(call *Call) *Refusal {
	catalog := r.settings.Configuration.Catalog()
	if catalog == nil {
		return nil
	}
	route, found := catalog.Match(call.Host, call.Path)
	if !found {
		return nil
	}
	request := &relayedRequest{relayer: r, call: call}
	return request.authorize(catalog, route)
}

// admit checks the request against the newest configuration, and sets its route, account, service and
// deadline. It returns a refusal if the request is not allowed.
func (r *relayedRequest) admit() *Refusal {
	settings := r.relayer.settings
	catalog := settings.Configuration.Catalog()
	if catalog == nil {
		return unavailableHere(ReasonNoConfiguration, startupRetryAfter)
	}
	route, found := catalog.Match(r.call.Host, r.call.Path)
	if !found && r.mayBeOutdated() {
		return unavailableHere(ReasonNoContact, contactRetryAfter)
	}
	if !found {
		return denied(http.StatusNotFound, ReasonNoRoute)
	}
	if refusal := r.authorize(catalog, route); refusal != nil {
		return refusal
	}
	if limit := catalog.Limits().MaxBodyBytes; limit > 0 && len(r.call.Body) > limit {
		return denied(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	r.route = route
	r.service = route.Service(cmp.Or(r.firstID(), r.call.ID))
	r.deadline = r.call.ArrivedAt.Add(route.Timeout)
	if timeout := r.call.Timeout; timeout > 0 && timeout < route.Timeout {
		r.deadline = r.call.ArrivedAt.Add(timeout)
	}
	if refusal := r.admitCauses(); refusal != nil {
		return refusal
	}
	return r.admitTakeUp()
}

// readmit checks the request again before a further attempt. A request that may have run keeps its route, service and
// deadline, whatever a newer configuration says of them: the events that its caller has are of that service. Its key has to
// be valid still, and its account is that of the newest configuration. Any other request is admitted anew.
func (r *relayedRequest) readmit() *Refusal {
	if r.runs == 0 {
		return r.admit()
	}
	if refusal := r.authorize(r.relayer.settings.Configuration.Catalog(), r.route); refusal != nil {
		return refusal
	}
	return r.admitCauses()
}

// authorize sets the account to which the request's key belongs, and its cache namespace. It returns a refusal if the
// request needs a key and has no valid one.
func (r *relayedRequest) authorize(catalog *cataloger.Catalog, route *cataloger.Route) *Refusal {
	r.account = nil
	r.cacheNamespace = catalog.CacheNamespace(nil)
	if !catalog.RequiresKeys() || route.Anonymous {
		return nil
	}
	settings := r.relayer.settings
	if settings.Configuration.ContactAge() > settings.ContactAgeLimits().KeyUse {
		return unavailableHere(ReasonNoContact, contactRetryAfter)
	}
	account, known := catalog.Account(r.call.Key)
	if !known && r.mayBeOutdated() {
		return unavailableHere(ReasonNoContact, contactRetryAfter)
	}
	if !known {
		return denied(http.StatusUnauthorized, ReasonUnknownKey)
	}
	r.account = account
	r.cacheNamespace = catalog.CacheNamespace(account)
	return nil
}

// mayBeOutdated reports whether a route or a key may be newer than the daemon's configuration.
func (r *relayedRequest) mayBeOutdated() bool {
	settings := r.relayer.settings
	return settings.Configuration.ContactAge() > settings.ContactAgeLimits().Denial
}
