package commander

import (
	"fmt"
	"time"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order names a state that an engine is to reach.
type Order struct {
	Kind    OrderKind
	Weights string
	Adapter string
	Role    string
	// FencingToken is the fencing token of the leader's lease.
	FencingToken uint64
}

// isLoad reports whether the order makes the engine load from the weight store.
func (o Order) isLoad() bool { return o.Kind != OrderSetRole }

// sameState reports whether both orders name the same state, regardless of their fencing tokens.
func (o Order) sameState(other Order) bool {
	other.FencingToken = o.FencingToken
	return o == other
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	OrderLoading OrderState = "loading"
	OrderDone    OrderState = "done"
)

// Report is the latest load report of an engine.
type Report struct {
	Target      string
	Incarnation string
	Weights     []string
	Adapters    []string
	Role        string
	// Usable reports whether the engine is alive, not shutting down and may get requests.
	Usable bool
}

// Load is a load that was ordered and not yet reported as finished.
type Load struct {
	Order       Order
	Incarnation string
	// LastSeen is when the engine last responded that it is loading, or when the load was ordered.
	LastSeen time.Time
}

// StaleFencingTokenError means that an engine has seen an order of a later leader.
type StaleFencingTokenError struct {
	Target  string
	Sent    uint64
	Highest uint64
}

// Error returns both fencing tokens.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("%q has seen fencing token %d, the order has %d", e.Target, e.Highest, e.Sent)
}
