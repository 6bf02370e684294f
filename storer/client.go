package storer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

// Client calls the platform's key-value service over HTTP. It is safe for concurrent use.
//
// Reads other than watches are retried after a failure, within their context's deadline. A write is
// sent to the next address only if no connection to the previous one was made; once any byte of it
// may have been sent, it is never sent again.
type Client struct {
	settings  Settings
	transport *http.Transport
	http      *http.Client
	limiter   *rate.Limiter
	breaker   *breaker
	preferred preferredAddress
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// mu makes the check that the client is open and the addition to calls atomic, so that no call
	// is added once Close waits for calls.
	mu    sync.RWMutex
	calls conc.WaitGroup
}

// NewClient returns a client without connecting to the platform. It fails if the settings
// contain no address.
func NewClient(settings Settings) (client *Client, err error) {
	defer Error.WrapP(&err)
	settings = settings.withDefaults()
	if len(settings.Addresses) == 0 {
		return nil, errors.New("no platform address is set")
	}
	transport := newTransport(settings)
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Client{
		settings:  settings,
		transport: transport,
		http:      &http.Client{Transport: wrapTransport(settings, transport), CheckRedirect: refuseRedirect},
		limiter:   rate.NewLimiter(rate.Limit(settings.CallsPerSecond), settings.CallBurst),
		breaker:   newBreaker(settings),
		ctx:       ctx,
		cancel:    cancel,
	}, nil
}

// Close cancels the calls in flight, waits for them to return and closes the idle connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.cancel(ErrClosed)
	c.mu.Unlock()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
	return nil
}

// Get returns the item of a key. It fails with a NotFoundError or an UnavailableError.
func (c *Client) Get(ctx context.Context, key string) (item Item, err error) {
	defer Error.WrapP(&err)
	var wire wireItem
	err = c.read(ctx, request{method: http.MethodGet, path: kvPath(key), key: key}, &wire)
	if err != nil {
		return Item{}, err
	}
	return decodeItem(wire), nil
}

// List returns, in key order, at most limit items whose keys begin with prefix and sort after
// the key after. If limit is zero, the platform sets the limit. It fails with an
// UnavailableError.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (page Page, err error) {
	defer Error.WrapP(&err)
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var wire wirePage
	err = c.read(ctx, request{method: http.MethodGet, path: "/v1/kv", query: query}, &wire)
	if err != nil {
		return Page{}, err
	}
	return decodePage(wire), nil
}

// Create writes a key that does not exist. A key with a lease is deleted when the lease ends.
// Create fails with a ConflictError if the key exists, with an UnavailableError if the write
// did not take effect, and with an UnknownOutcomeError if it may have taken effect.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease LeaseID) (version Version, err error) {
	defer Error.WrapP(&err)
	return c.put(ctx, key, value, 0, lease)
}

// Swap replaces the value of a key if the key has the expected version (compare-and-swap). It
// fails with the same errors as Create.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (version Version, err error) {
	defer Error.WrapP(&err)
	return c.put(ctx, key, value, expected, lease)
}

func (c *Client) put(ctx context.Context, key string, value []byte, expected Version, lease LeaseID) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, &ValueTooLargeError{Key: key, Bytes: len(value)}
	}
	query := versionQuery(expected)
	if lease != NoLease {
		query.Set("lease_id", string(lease))
	}
	var wire wireVersion
	err := c.write(ctx, request{
		method:   http.MethodPut,
		path:     kvPath(key),
		key:      key,
		expected: expected,
		query:    query,
		body:     value,
	}, &wire)
	return Version(wire.Version), err
}

// Delete removes a key if it has the expected version. It fails with the same errors as
// Create, and with a NotFoundError if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string, expected Version) (err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, request{
		method:   http.MethodDelete,
		path:     kvPath(key),
		key:      key,
		expected: expected,
		query:    versionQuery(expected),
	}, nil)
}

// Grant creates a lease that expires after its TTL unless it is renewed. After an
// UnknownOutcomeError the lease may exist; it then expires after its TTL.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error) {
	defer Error.WrapP(&err)
	body, err := json.Marshal(wireLease{TTLMS: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, err
	}
	var wire wireLease
	err = c.write(ctx, request{method: http.MethodPost, path: "/v1/leases", body: body}, &wire)
	if err != nil {
		return Lease{}, err
	}
	return decodeLease(wire), nil
}

// Renew restarts the TTL of a lease. It fails with a NotFoundError if the lease has expired.
func (c *Client) Renew(ctx context.Context, id LeaseID) (lease Lease, err error) {
	defer Error.WrapP(&err)
	var wire wireLease
	path := leasePath(id) + "/renew"
	err = c.write(ctx, request{method: http.MethodPost, path: path, key: string(id)}, &wire)
	if err != nil {
		return Lease{}, err
	}
	return decodeLease(wire), nil
}

// Revoke ends a lease, which deletes the keys that are bound to it.
func (c *Client) Revoke(ctx context.Context, id LeaseID) (err error) {
	defer Error.WrapP(&err)
	return c.write(ctx, request{method: http.MethodDelete, path: leasePath(id), key: string(id)}, nil)
}

// Watch long-polls for events on keys that begin with prefix whose versions are higher than after.
// The platform responds as soon as there is an event, or without one when wait has elapsed. Watch
// fails with an UnavailableError. It is not retried: a platform that was away may have come back with
// older versions, which it gives out again, so that the caller has to list the keys first.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (events Events, err error) {
	defer Error.WrapP(&err)
	query := url.Values{
		"prefix":         {prefix},
		"after_revision": {strconv.FormatUint(uint64(after), 10)},
		"wait_ms":        {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var wire wireEvents
	err = c.sendOnce(ctx, request{method: http.MethodGet, path: "/v1/watch", query: query, wait: wait}, &wire)
	if err != nil {
		return Events{}, err
	}
	return decodeEvents(wire), nil
}

// Hosts returns the platform's host list, which may be out of date, without entries that cannot
// be read. It fails with an UnavailableError.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, err error) {
	defer Error.WrapP(&err)
	var wire wireHosts
	err = c.read(ctx, request{method: http.MethodGet, path: "/v1/hosts"}, &wire)
	if err != nil {
		return nil, err
	}
	return decodeHosts(wire), nil
}

func kvPath(key string) string {
	return "/v1/kv/" + escapePath(key)
}

func leasePath(id LeaseID) string {
	return "/v1/leases/" + url.PathEscape(string(id))
}

func versionQuery(expected Version) url.Values {
	return url.Values{"if_version": {strconv.FormatUint(uint64(expected), 10)}}
}
