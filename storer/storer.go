// Package storer is a client of the platform's key-value service, the only consistent and
// durable store that the daemons share.
//
// # Usage
//
// A Client is created from the addresses of the service. Every call takes a context with a
// deadline. Errors are checked with errors.As:
//
//	client, err := storer.NewClient(storer.Settings{Addresses: addresses})
//	version, err := client.Create(ctx, "orders/a/b", value, storer.NoLease)
//	var conflict *storer.ConflictError
//	if errors.As(err, &conflict) {
//		// Another client created the key first.
//	}
//
// A write whose response was lost returns an UnknownOutcomeError: it may have taken effect.
// The caller determines the outcome by reading the key back and comparing a nonce in its value.
package storer

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("storer")

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Version identifies a write. Versions increase across the whole store: a later write to any key
// has a higher version than an earlier one. Zero is the version of a key that does not exist. The
// version of the newest write to any key is the revision of the store.
type Version uint64

// LeaseID identifies a lease that the platform granted.
type LeaseID string

// NoLease is the lease of a key that persists until it is deleted.
const NoLease LeaseID = ""

// Item is one key with its value.
type Item struct {
	Key     string
	Value   []byte
	Version Version
	Lease   LeaseID
}

// Page is part of a listing in key order.
type Page struct {
	Items []Item
	// More is true if there are further keys after the last item.
	More bool
	// Revision is the revision of the store when the page was read.
	Revision Version
	// Age is how long ago the store confirmed the page. It is zero if the page was read from the store itself.
	Age time.Duration
}

// EventKind is the kind of a change to a key.
type EventKind int

// The kinds of events.
const (
	EventPut EventKind = iota + 1
	EventDelete
)

// Event is one change that a watch reports.
type Event struct {
	Kind EventKind
	Item Item
}

// Events is the result of a watch.
type Events struct {
	Events []Event
	// Revision is the revision of the store up to which the watch reported events; the next watch
	// starts after it.
	Revision Version
	// Compacted is true if the platform has discarded events after the requested version; the
	// caller must then list the keys again.
	Compacted bool
	// Age is how long ago the store confirmed that there were no further events. It is zero if the events were read
	// from the store itself.
	Age time.Duration
	// AfterOutage is set if the events were read by another daemon that could not reach the store until shortly before.
	AfterOutage bool
}

// Lease is a lease of the platform. Keys that are bound to it are deleted when it expires.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
	// FencingToken increases with every lease that the platform grants. A receiver that
	// gets the token with each order can reject the orders of an earlier lease's holder.
	FencingToken uint64
}

// HostState is the state of a host in the platform's host list.
type HostState int

// The states of a host.
const (
	HostLive HostState = iota + 1
	// HostLeaving is the state of a host to whose targets the daemons send no new requests.
	HostLeaving
)

// Host is one entry of the platform's host list, which may be out of date.
type Host struct {
	Name       string
	Address    netip.Addr
	DataCentre string
	State      HostState
}
