package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	RequestID   string
	Account     string
	Method      string
	Path        string
	Query       string
	ContentType string
	// Key is the caller's Idempotency-Key, or empty.
	Key  string
	Body []byte
	// Idempotent allows the use of a pooled connection; other calls open a new one.
	Idempotent bool
}

// ServiceAnswer is the response of a service that ran a call.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	Incarnation string
}

// CallService sends one call to a service and reads the whole response. All waits end with the
// context. A call that is not idempotent uses a new connection, since net/http retries requests
// that carry an Idempotency-Key header when a pooled connection fails. So does a call to a target
// whose last answer named no request: on a pooled connection, a late copy of an answer could not be
// told from the answer to the call.
func (c *Client) CallService(ctx context.Context, target netip.AddrPort, call ServiceCall) (answer ServiceAnswer, err error) {
	defer Error.WrapP(&err)
	path := call.Path
	if call.Query != "" {
		path += "?" + call.Query
	}
	a, err := c.newAttempt(ctx, target, call.Method, path, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer a.cancel(nil)
	setServiceHeaders(a.request.Header, call)
	_, namesRequests := c.namesRequests.Load(target)
	response, err := a.do(c.transportFor(call.Idempotent && namesRequests), c.settings.HeaderTimeout)
	if err != nil {
		return ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return a.serviceAnswer(response, call.RequestID)
}

// transportFor returns the shared transport if the call may use a pooled connection, otherwise a
// single-use one. Settings.Transport serves all calls if it is set.
func (c *Client) transportFor(mayPool bool) http.RoundTripper {
	if mayPool || c.settings.Transport != nil {
		return c.sharedTransport
	}
	return newTransport(c.settings, true)
}

func setServiceHeaders(header http.Header, call ServiceCall) {
	header.Set(headerRequestID, call.RequestID)
	header.Set(headerAccount, call.Account)
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		header.Set(headerIdempotencyKey, call.Key)
	}
}

// serviceAnswer reads a response. Services need not echo the request ID, but if they do it must
// match. A 503 response is a refusal only if its headerNotRun is "true", since a service may also
// respond with 503 after it ran the call.
func (a *attempt) serviceAnswer(response *http.Response, requestID string) (answer ServiceAnswer, err error) {
	if requestID != "" && response.Header.Get(headerRequestID) == requestID {
		a.client.namesRequests.Store(a.target, struct{}{})
	} else {
		a.client.namesRequests.Delete(a.target)
	}
	if err := a.identityError(response, requestID); err != nil {
		return ServiceAnswer{}, err
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerNotRun) == "true" {
		return ServiceAnswer{}, a.refusedError(response.StatusCode, "not_run")
	}
	limit := a.client.settings.MaxBodyBytes
	body, err := a.client.settings.Memory.ReadAll(response.Body, limit+1)
	if err != nil {
		return ServiceAnswer{}, a.brokenError(err)
	}
	if int64(len(body)) > limit {
		return ServiceAnswer{}, a.brokenError(&MalformedError{Part: "body over the size limit"})
	}
	return ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
		Incarnation: response.Header.Get(headerIncarnation),
	}, nil
}

// LookupState is the state of the call with an idempotency key, as its service reports it.
type LookupState int

// The states of a call.
const (
	// LookupRan means that the call ran and that its response is known.
	LookupRan LookupState = iota + 1
	// LookupNotRun means that the call did not run and that the service refuses its key from now
	// on.
	LookupNotRun
	// LookupRunning means that the call is still running.
	LookupRunning
)

// LookupAnswer is the result of a look-up.
type LookupAnswer struct {
	State  LookupState
	Status int
	Body   []byte
}

type wireLookup struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// Lookup asks a service for the state of the call with an idempotency key. A 404 response means
// LookupNotRun and a 409 response means LookupRunning.
func (c *Client) Lookup(ctx context.Context, target netip.AddrPort, path, account, key string) (answer LookupAnswer, err error) {
	defer Error.WrapP(&err)
	query := encodeQuery("key", key, "account", account)
	call := controlCall{method: http.MethodGet, path: path + query, singleUse: true}
	var wire wireLookup
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	switch {
	case isStatus(err, http.StatusNotFound):
		return LookupAnswer{State: LookupNotRun}, nil
	case isStatus(err, http.StatusConflict):
		return LookupAnswer{State: LookupRunning}, nil
	case err != nil:
		return LookupAnswer{}, err
	}
	return LookupAnswer{State: LookupRan, Status: wire.Status, Body: []byte(wire.Body)}, nil
}
