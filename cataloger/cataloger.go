// Package cataloger indexes one accepted version of the configuration of a deployment whose configuration is kept
// in the platform's store: routes, services, client accounts and limits.
//
// A Catalog is immutable. A daemon replaces it when it accepts a newer version, so that all values read from
// one Catalog belong to the same version.
//
// # Usage
//
//	catalog := cataloger.New(version, declarations)
//	route, found := catalog.Match("orders.example", "/place/now")
//	account, known := catalog.Account(key)
package cataloger

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// CallKind determines whether a request of a route may be retried after a target may have run it.
type CallKind int

// The kinds of calls.
const (
	// CallNonIdempotent is for non-idempotent calls: one request of a caller runs at most once.
	CallNonIdempotent CallKind = iota
	// CallIdempotent is for idempotent calls.
	CallIdempotent
	// CallStream is for event streams, which are resumed at another target only if the route is resumable.
	CallStream
)

// TrafficShare is a service of a route, with the weight that determines its share of the route's requests.
type TrafficShare struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Route maps requests with a host name and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	CallKind CallKind
	// Timeout is the time from the arrival of a request to its deadline.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the first event of a stream.
	LatencyObjective time.Duration
	// MaxAttempts bounds the number of targets that may run one request.
	MaxAttempts int
	// Priority orders requests of different routes; zero is the most urgent.
	Priority int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// ListsPromptParts is set if requests list the parts of their prompt.
	ListsPromptParts bool
	// Resumable is set if a broken stream can be resumed at another target.
	Resumable     bool
	TrafficShares []TrafficShare
	// MaxEventGap is the longest pause between two events with which a stream still meets its objective; zero if none is set.
	MaxEventGap time.Duration
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.CallKind == CallIdempotent || r.CallKind == CallStream && r.Resumable
}

// Service returns the service for a request. It is chosen by weight from a hash of the request id, and so is the
// same for all attempts. The result is empty if no service has a positive weight.
func (r *Route) Service(requestID string) string {
	if len(r.TrafficShares) == 1 {
		return r.TrafficShares[0].Service
	}
	total := 0
	for _, share := range r.TrafficShares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxh3.HashString(requestID) % uint64(total))
	for _, share := range r.TrafficShares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return ""
}

// Engine describes the model engines of a service. An engine keeps KV cache entries of prompt parts, which it can
// send to other engines and to cache stores.
type Engine struct {
	// CacheTokens is the capacity of an engine's KV cache in tokens, for running requests and kept prompt parts.
	CacheTokens int
	// TokenBytes is the size of the KV cache entry of one token when it is transferred.
	TokenBytes int
	// LinkBitsPerSecond is the bandwidth at which an engine sends KV cache entries.
	LinkBitsPerSecond float64
}

// CacheStore is a service that stores KV cache entries of prompt parts for engines.
type CacheStore struct {
	Address           netip.AddrPort
	DataCentre        string
	CacheTokens       int
	LinkBitsPerSecond float64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
	// Cache is set for a store of KV cache entries, which receives no requests of callers.
	Cache *CacheStore
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the API keys of the account.
	Keys []string
	// Priority takes precedence over the priority of routes; zero is the most urgent. It is nil if the
	// operator set none.
	Priority *int
	// Isolated is set if the account shares no KV cache entries with other accounts.
	Isolated bool
	// Quota bounds what the account's requests consume at all daemons together.
	Quota Quota
}

// QuotaUnit is what a Quota counts.
type QuotaUnit int

// The units of quotas.
const (
	// UnitRequests counts each request as one.
	UnitRequests QuotaUnit = iota
	// UnitTokens counts the tokens of the prompt and the largest number of tokens of the answer.
	UnitTokens
)

// Quota is a token bucket that all daemons share.
type Quota struct {
	// RatePerSecond refills the bucket; zero means that there is no quota.
	RatePerSecond float64
	// Burst is the capacity of the bucket.
	Burst float64
	Unit  QuotaUnit
	// DefaultTokens is what a request without a token count counts if Unit is UnitTokens.
	DefaultTokens int
}

// Limited reports whether there is a quota.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// Cost returns what a request counts. counted is false if its caller did not state the number of its tokens.
func (q Quota) Cost(tokens int, counted bool) float64 {
	switch {
	case q.Unit == UnitRequests:
		return 1
	case !counted:
		return float64(q.DefaultTokens)
	}
	return float64(tokens)
}

// Limits bound callers' requests and connections. Zero means that a limit is not set.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declarations are the configuration objects of one version.
type Declarations struct {
	Routes   []Route
	Services []Service
	// ListsAccounts is set if the configuration has a list of accounts, which may be empty. Accounts imply it.
	ListsAccounts bool
	Accounts      []Account
	Limits        Limits
}

// Catalog is one version of the declarations with indexes. Its methods are safe for concurrent use.
type Catalog struct {
	version         int64
	limits          Limits
	listsAccounts   bool
	byHost          map[string][]*Route
	services        map[string]*Service // by name
	accounts        map[string]*Account // by API key
	limitedAccounts []*Account
	// keysRequired is set if requests need a key although no accounts are listed.
	keysRequired bool
	// longestStream is the longest timeout of a route with streams.
	longestStream time.Duration
	// sharedNamespace is the cache namespace of all accounts that are not isolated.
	sharedNamespace string
}

// New returns the Catalog of a version. It keeps references to the declarations, which the caller must not change.
func New(version int64, declarations Declarations) *Catalog {
	c := &Catalog{
		version:         version,
		limits:          declarations.Limits,
		byHost:          make(map[string][]*Route),
		services:        make(map[string]*Service, len(declarations.Services)),
		accounts:        make(map[string]*Account),
		listsAccounts:   declarations.ListsAccounts || len(declarations.Accounts) > 0,
		sharedNamespace: sharedNamespace(declarations.Accounts),
	}
	for i := range declarations.Routes {
		route := &declarations.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
		if route.CallKind == CallStream {
			c.longestStream = max(c.longestStream, route.Timeout)
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range declarations.Services {
		c.services[declarations.Services[i].Name] = &declarations.Services[i]
	}
	for i := range declarations.Accounts {
		for _, key := range declarations.Accounts[i].Keys {
			if key != "" { // A request without a key has no account.
				c.accounts[key] = &declarations.Accounts[i]
			}
		}
		if declarations.Accounts[i].Quota.Limited() {
			c.limitedAccounts = append(c.limitedAccounts, &declarations.Accounts[i])
		}
	}
	return c
}

// Version returns the version number, which increases with each change of the configuration.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits of callers' requests and connections.
func (c *Catalog) Limits() Limits { return c.limits }

// LongestStream returns the longest timeout of a route with streams; zero if there are none.
func (c *Catalog) LongestStream() time.Duration { return c.longestStream }

// ListsAccounts reports whether the configuration has a list of accounts, which may be empty.
func (c *Catalog) ListsAccounts() bool { return c.listsAccounts }

// RequiresKeys reports whether requests on routes that are not anonymous need a key, which they do if accounts are listed. If
// the list is empty, no key is valid.
func (c *Catalog) RequiresKeys() bool { return c.listsAccounts || c.keysRequired }

// WithKeysRequired returns the catalog for a deployment that has accounts, whether or not this version lists them.
func (c *Catalog) WithKeysRequired() *Catalog {
	required := *c
	required.keysRequired = true
	return &required
}

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (route *Route, found bool) {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account to which a key belongs.
func (c *Catalog) Account(key string) (account *Account, found bool) {
	account, found = c.accounts[key]
	return account, found
}

// LimitedAccounts returns the accounts that have a quota.
func (c *Catalog) LimitedAccounts() []*Account { return c.limitedAccounts }

// Service returns a service by its name.
func (c *Catalog) Service(name string) (service *Service, found bool) {
	service, found = c.services[name]
	return service, found
}

// CacheStores returns the services that are stores of KV cache entries, ordered by name.
func (c *Catalog) CacheStores() (stores []*Service) {
	for _, service := range c.services {
		if service.Cache != nil {
			stores = append(stores, service)
		}
	}
	slices.SortFunc(stores, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return stores
}

// Services returns all services in no particular order.
func (c *Catalog) Services() (services []*Service) {
	for _, service := range c.services {
		services = append(services, service)
	}
	return services
}
