// Package registrar defines the objects that operators configure: client accounts, models,
// versions, targets, services, and the selectors that allow or deny requests to targets.
//
// # Usage
//
// A Snapshot is built from all objects of a revision and is immutable, so it may be used
// by many goroutines:
//
//	snapshot, err := registrar.NewSnapshot(revision, objects)
//	account, ok := snapshot.AccountByKey(digest)
//	verdicts := snapshot.Verdicts(registrar.Request{Account: account.Name, Model: "demo-model"})
package registrar

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("registrar")

// Revision is the number of a change of the configuration. It increases monotonically.
type Revision uint64

// Labels are the key-value pairs that operators attach to an object.
type Labels map[string]string

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindAccount  Kind = "account"
	KindModel    Kind = "model"
	KindVersion  Kind = "version"
	KindTarget   Kind = "target"
	KindService  Kind = "service"
	KindSelector Kind = "selector"
)

// LabelDrain is the label that, with the value "true", excludes a target from new requests.
const LabelDrain = "drain"

// LabelClass is the label of an account that sets the default class of its requests: the class
// of those that specify none.
const LabelClass = "class"

// The values of LabelClass.
const (
	ClassInteractive = "interactive"
	ClassDeferrable  = "deferrable"
)

// Reference identifies one object.
type Reference struct {
	Kind Kind
	Name string
}

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are never stored.
type KeyDigest [32]byte

// Limits bound the requests of an account or those that a selector allows. Zero means no
// limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrent     int
	// FairShareWeight is the weight of the account in fair queueing while requests wait for targets;
	// zero means 1.
	FairShareWeight float64
}

// Account is a client account.
type Account struct {
	Name       string
	Labels     Labels
	KeyDigests []KeyDigest
	Limits     Limits
}

// RoutingWeights are the factors that the router applies to the expected wait and to the
// recomputation of uncached tokens when it scores targets. Zero means the router's default.
type RoutingWeights struct {
	Wait          float64
	Recomputation float64
	// IdleLoad is the load of a target, as a fraction of the mean load, below which the target
	// counts as idle and recomputation on it weighs less.
	IdleLoad float64
}

// Model is a language model that callers request by name.
type Model struct {
	Name   string
	Labels Labels
	// DefaultVersion serves requests that name no version.
	DefaultVersion string
	// BlockTokens is the size in tokens of a cache block of the model's engines.
	BlockTokens      int
	MaxContextTokens int
	Routing          RoutingWeights
}

// Version is one set of weights of a model.
type Version struct {
	Name   string
	Labels Labels
	Model  string
	// Weights is the name of the weights in the weight store.
	Weights string
	// Adapter is the name of an adapter that is applied to the weights, or is empty.
	Adapter string
}

// TargetKind is the type of a target.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
	// TargetCache is a store of saved KV cache.
	TargetCache TargetKind = "cache"
)

// Target is a back end: one engine, one replica of a service or one cache.
type Target struct {
	Name       string
	Labels     Labels
	Kind       TargetKind
	Address    netip.AddrPort
	DataCentre string
	// Model is set on engines.
	Model string
	// Service is set on service targets.
	Service string
	// ChecksFencing reports that the engine rejects orders with an outdated fencing token.
	ChecksFencing bool
	// Slots is how many requests the target runs concurrently.
	Slots int
}

// Operation is one method and path that a service offers.
type Operation struct {
	Name string
	// Method and Path are matched against the request; Path is relative to the service.
	Method string
	Path   string
	// Idempotent reports that the operation may be retried.
	Idempotent bool
	Timeout    time.Duration
}

// Service is a set of operations that targets of kind TargetService offer.
type Service struct {
	Name       string
	Labels     Labels
	Operations []Operation
	// LookupPath is the path of the endpoint that reports whether the operation with an
	// idempotency key has run. It is empty if the service has no such endpoint.
	LookupPath string
}

// Effect is what a selector does with the requests that it matches.
type Effect string

// The effects.
const (
	EffectAllow Effect = "allow"
	EffectDeny  Effect = "deny"
)

// Operator is the comparison of a requirement.
type Operator string

// The comparison operators.
const (
	OperatorEquals Operator = "equals"
	OperatorIn     Operator = "in"
	OperatorNotIn  Operator = "not_in"
	OperatorExists Operator = "exists"
)

// Requirement is one condition on a label of the target, or on a label of the account, model,
// version or service of the request. Kind selects the object. The key "name" refers to the
// object's name.
type Requirement struct {
	Kind     Kind
	Key      string
	Operator Operator
	Values   []string
}

// Selector allows or denies a request to a target if the request and the target together meet
// all its requirements. The matching selector with the highest priority decides; among those of
// equal priority, one that denies takes precedence. Requests that no selector matches are denied.
type Selector struct {
	Name     string
	Labels   Labels
	Priority int
	Effect   Effect
	Match    []Requirement
	// Limits bound the requests that the selector allows.
	Limits Limits
}

// Objects are all objects of a configuration.
type Objects struct {
	Accounts  []Account
	Models    []Model
	Versions  []Version
	Targets   []Target
	Services  []Service
	Selectors []Selector
}

// Change is one commit of the configuration. It sets and removes objects.
type Change struct {
	Set    Objects
	Remove []Reference
	// Author and Comment are stored with the change for operators.
	Author  string
	Comment string
}

// Request contains the names of the objects that a request refers to. Names that do not apply
// are empty.
type Request struct {
	Account string
	Model   string
	Version string
	Service string
}
