// Package cataloger holds one accepted version of what operators declare for a deployment whose
// configuration lies in an outside store: routes, services, client accounts and limits.
//
// A Catalog is immutable. A daemon replaces the whole of it when a newer version is accepted, so
// that a request is decided by one version.
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

// Repeat says what may be repeated on a route.
type Repeat int

// The kinds of repetition.
const (
	// RepeatNever is a call that may run at most once for each attempt of its caller.
	RepeatNever Repeat = iota
	// RepeatFreely is an idempotent call.
	RepeatFreely
	// RepeatStream is a stream, which may go on elsewhere only where the route is resumable.
	RepeatStream
)

// Share is a service of a route with its part of the requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat Repeat
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// Objective is the time within which an answer is on time: its first event for a stream.
	Objective time.Duration
	// MaxAttempts bounds the targets at which one request may run.
	MaxAttempts int
	// Priority ranks routes; zero is the most urgent.
	Priority  int
	Anonymous bool
	// Prompted says that requests name the parts of their prompt.
	Prompted  bool
	Resumable bool
	Shares    []Share
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Repeat == RepeatFreely || r.Repeat == RepeatStream && r.Resumable
}

// Service returns the service for a request, always the same one for the same id.
func (r *Route) Service(requestID string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	drawn := int(xxh3.HashString(requestID) % uint64(total))
	for _, share := range r.Shares {
		if drawn < share.Weight {
			return share.Service
		}
		drawn -= share.Weight
	}
	return ""
}

// Engine describes the model engines of a service.
type Engine struct {
	// CacheTokens is the memory of an engine for running requests and cached parts.
	CacheTokens int
	// TokenBytes is the size of a cached token on the wire.
	TokenBytes int
	// LinkBitsPerSecond is the rate at which an engine sends cached parts.
	LinkBitsPerSecond float64
}

// CacheStore is a service that keeps cached parts for engines.
type CacheStore struct {
	Address           netip.AddrPort
	DataCentre        string
	CacheTokens       int
	LinkBitsPerSecond float64
}

// Service is a group of equal targets.
type Service struct {
	Name string
	// Engine is set for services of model engines.
	Engine *Engine
	// Cache is set for a store of cached parts, to which no request is routed.
	Cache *CacheStore
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority ranks accounts before routes; zero is the most urgent. It is nil where the operator
	// gave none.
	Priority *int
	// Isolated says that the account shares no cached part with any other.
	Isolated bool
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declarations are the objects of one version.
type Declarations struct {
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Catalog is one version of the declarations, indexed.
type Catalog struct {
	version  int64
	limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	keyed    bool
}

// New indexes the declarations of a version.
func New(version int64, declared Declarations) *Catalog {
	c := &Catalog{
		version:  version,
		limits:   declared.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(declared.Services)),
		accounts: make(map[string]*Account),
		keyed:    len(declared.Accounts) > 0,
	}
	for i := range declared.Routes {
		route := &declared.Routes[i]
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range declared.Services {
		c.services[declared.Services[i].Name] = &declared.Services[i]
	}
	for i := range declared.Accounts {
		for _, key := range declared.Accounts[i].Keys {
			c.accounts[key] = &declared.Accounts[i]
		}
	}
	return c
}

// Version numbers the catalog; versions only grow.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the bounds of requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Keyed says whether requests need a key unless their route is anonymous.
func (c *Catalog) Keyed() bool { return c.keyed }

// Match returns the route of the host with the longest prefix that begins the path.
func (c *Catalog) Match(host, path string) (route *Route, found bool) {
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (c *Catalog) Account(key string) (account *Account, found bool) {
	account, found = c.accounts[key]
	return account, found
}

// Service returns a service by its name.
func (c *Catalog) Service(name string) (service *Service, found bool) {
	service, found = c.services[name]
	return service, found
}

// CacheStore returns the first store of cached parts, if there is one.
func (c *Catalog) CacheStore() (store *CacheStore, found bool) {
	for _, service := range c.services {
		if service.Cache != nil {
			return service.Cache, true
		}
	}
	return nil, false
}

// Services returns all services.
func (c *Catalog) Services() (services []*Service) {
	for _, service := range c.services {
		services = append(services, service)
	}
	return services
}
