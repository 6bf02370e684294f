package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order instructs an engine to load weights or an adapter, or to change its role.
type Order struct {
	Kind    OrderKind
	Weights string
	Adapter string
	Role    string
	// FencingToken is the fencing token of the sender's lease. An engine that checks it refuses
	// tokens lower than the highest that it has seen.
	FencingToken uint64
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	OrderLoading OrderState = "loading"
	OrderDone    OrderState = "done"
)

type wireOrder struct {
	Kind         OrderKind `json:"kind"`
	Weights      string    `json:"weights,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken uint64    `json:"fencing"`
}

type wireOrderState struct {
	State OrderState `json:"state"`
}

type wireStaleFencingToken struct {
	Fencing uint64 `json:"fencing"`
}

// Order sends an order to an engine. It returns a StaleFencingTokenError if the engine has seen a
// higher fencing token.
func (c *Client) Order(ctx context.Context, target netip.AddrPort, order Order) (state OrderState, err error) {
	defer Error.WrapP(&err)
	body, err := json.Marshal(wireOrder(order))
	if err != nil {
		return "", &NotSentError{Target: target, Cause: err}
	}
	call := controlCall{method: http.MethodPost, path: "/v1/orders", body: body, singleUse: true}
	var wire wireOrderState
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	if err != nil {
		return "", asStaleFencingToken(err, target, order.FencingToken)
	}
	return wire.State, nil
}

// asStaleFencingToken converts a 409 response to a StaleFencingTokenError and returns other errors as they
// are.
func asStaleFencingToken(err error, target netip.AddrPort, sent uint64) error {
	var answer *statusResponse
	if !errors.As(err, &answer) || answer.Status != http.StatusConflict {
		return err
	}
	var wire wireStaleFencingToken
	if json.Unmarshal(answer.body, &wire) != nil {
		return err
	}
	return &StaleFencingTokenError{Target: target, Sent: sent, Highest: wire.Fencing}
}

type wireExportRequest struct {
	Account string   `json:"account"`
	Weights string   `json:"weights"`
	Blocks  []string `json:"blocks"`
}

type wireImportResult struct {
	Blocks int `json:"blocks"`
}

// Export reads cached blocks of a client account from an engine. It returns a NotFoundError if
// none of them is cached.
func (c *Client) Export(ctx context.Context, target netip.AddrPort, account, weights string, blocks []hasher.Block) (data []byte, err error) {
	defer Error.WrapP(&err)
	wire := wireExportRequest{Account: account, Weights: weights}
	for _, block := range blocks {
		wire.Blocks = append(wire.Blocks, block.String())
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, &NotSentError{Target: target, Cause: err}
	}
	call := controlCall{
		method: http.MethodPost, path: "/v1/kv_export", body: body,
		extraTimeout: c.settings.EventTimeout, bodyLimit: c.settings.MaxImportBytes,
	}
	err = c.control(ctx, target, call, func(body []byte) error {
		data = body
		return nil
	})
	if isStatus(err, http.StatusNotFound) {
		return nil, &NotFoundError{Target: target, Name: "cached blocks"}
	}
	return data, err
}

// Import sends exported blocks to an engine and returns how many the engine stored.
func (c *Client) Import(ctx context.Context, target netip.AddrPort, data []byte) (blocks int, err error) {
	defer Error.WrapP(&err)
	call := controlCall{
		method: http.MethodPost, path: "/v1/kv_import", body: data, extraTimeout: c.settings.EventTimeout,
	}
	var wire wireImportResult
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	return wire.Blocks, err
}
