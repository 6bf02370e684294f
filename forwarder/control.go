package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// controlCall is a call that the daemon makes for itself, such as a poll, an order or a
// cancellation, as opposed to a call that it forwards.
type controlCall struct {
	method string
	path   string
	body   []byte
	// extraTimeout is added to ControlTimeout, for calls that the target may hold open.
	extraTimeout time.Duration
	// bodyLimit raises the limit on the response body above MaxBodyBytes; a lower value has no
	// effect. Such a body doesn't count as an incomplete answer: whoever makes these calls bounds
	// how many it makes at once.
	bodyLimit int64
	// singleUse makes the call on a new connection that is closed afterwards. Calls need it whose
	// answers tell what ran, since they carry no ID: on a pooled connection, a late copy of an
	// earlier answer could be taken for theirs.
	singleUse bool
}

// control sends a call and passes the body of a 200 response to decode. Other statuses are
// returned as a StatusError.
func (c *Client) control(ctx context.Context, target netip.AddrPort, call controlCall, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ControlTimeout+call.extraTimeout)
	defer cancel()
	a, err := c.newAttempt(ctx, target, call.method, call.path, bytes.NewReader(call.body))
	if err != nil {
		return err
	}
	defer a.cancel(nil)
	response, err := a.do(c.transportFor(!call.singleUse), c.settings.ControlTimeout+call.extraTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	limit := max(call.bodyLimit, c.settings.MaxBodyBytes)
	memory := c.settings.Memory
	if call.bodyLimit > 0 {
		memory = nil
	}
	body, err := memory.ReadAll(response.Body, limit)
	if err != nil {
		return a.brokenError(err)
	}
	if response.StatusCode != http.StatusOK {
		return &statusResponse{StatusError: StatusError{Status: response.StatusCode, Code: decodeErrorCode(body)}, body: body}
	}
	if decode == nil {
		return nil
	}
	if err := decode(body); err != nil {
		return &BrokenError{Target: target, Cause: &MalformedError{Part: call.path}, Sent: true}
	}
	return nil
}

// statusResponse is a StatusError with the response body.
type statusResponse struct {
	StatusError
	body []byte
}

// Unwrap returns the exported error.
func (s *statusResponse) Unwrap() error { return &s.StatusError }

func isStatus(err error, status int) bool {
	var answer *statusResponse
	return errors.As(err, &answer) && answer.Status == status
}

func decodeErrorCode(body []byte) string {
	var refused wireRefusal
	if json.Unmarshal(body, &refused) != nil {
		return ""
	}
	return refused.Error.Code
}

// Load is the load report of a target. All fields but Progress are a sample taken at MeasuredAt.
type Load struct {
	Incarnation string
	// Progress is a counter read when the target responds. It increases with every scheduler
	// step and every token.
	Progress            uint64
	Weights             []string
	Adapters            []string
	Role                string
	Running             int
	Waiting             int
	WaitingTokens       int
	Slots               int
	CachedBlocks        int
	CacheCapacityBlocks int
	Leaving             bool
	MeasuredAt          time.Time
}

type wireLoad struct {
	Incarnation         string   `json:"incarnation"`
	Progress            uint64   `json:"progress"`
	Weights             []string `json:"weights"`
	Adapters            []string `json:"adapters"`
	Role                string   `json:"role"`
	Running             int      `json:"running"`
	Waiting             int      `json:"waiting"`
	WaitingTokens       int      `json:"waiting_tokens"`
	Slots               int      `json:"slots"`
	CachedBlocks        int      `json:"cached_blocks"`
	CacheCapacityBlocks int      `json:"cache_capacity_blocks"`
	Leaving             bool     `json:"leaving"`
	MeasuredUnixMS      int64    `json:"measured_unix_ms"`
}

// Load requests the load report of an engine.
func (c *Client) Load(ctx context.Context, target netip.AddrPort) (load Load, err error) {
	defer Error.WrapP(&err)
	return c.requestLoad(ctx, target, controlCall{method: http.MethodGet, path: "/v1/load"})
}

// ServiceLoad requests the load report of a plain service.
func (c *Client) ServiceLoad(ctx context.Context, target netip.AddrPort) (load Load, err error) {
	defer Error.WrapP(&err)
	return c.requestLoad(ctx, target, controlCall{method: http.MethodGet, path: "/load"})
}

// Poll requests the load report of an engine or a plain service, and waits up to extraTimeout
// longer than ControlTimeout. With singleUse it opens a new connection, which also checks that
// the target still accepts connections.
func (c *Client) Poll(ctx context.Context, target netip.AddrPort, service, singleUse bool, extraTimeout time.Duration) (load Load, err error) {
	defer Error.WrapP(&err)
	call := controlCall{method: http.MethodGet, path: "/v1/load", singleUse: singleUse, extraTimeout: extraTimeout}
	if service {
		call.path = "/load"
	}
	return c.requestLoad(ctx, target, call)
}

func (c *Client) requestLoad(ctx context.Context, target netip.AddrPort, call controlCall) (load Load, err error) {
	var wire wireLoad
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	if err != nil {
		return Load{}, err
	}
	return Load{
		Incarnation: wire.Incarnation, Progress: wire.Progress,
		Weights: wire.Weights, Adapters: wire.Adapters, Role: wire.Role,
		Running: wire.Running, Waiting: wire.Waiting, WaitingTokens: wire.WaitingTokens,
		Slots: wire.Slots, CachedBlocks: wire.CachedBlocks,
		CacheCapacityBlocks: wire.CacheCapacityBlocks, Leaving: wire.Leaving,
		MeasuredAt: time.UnixMilli(wire.MeasuredUnixMS),
	}, nil
}

// CacheEventKind is the kind of a change of an engine's prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64
	Kind    CacheEventKind
	Account string
	Weights string
	Block   hasher.Block
	// Tokens is the length of the prefix that ends with the block.
	Tokens int
}

// CacheEvents contains the changes of an engine's prefix cache after a sequence number. A gap in
// the sequence numbers means that events were lost.
type CacheEvents struct {
	Incarnation string
	Events      []CacheEvent
	Next        uint64
}

// IncarnationID returns the incarnation of the engine.
func (c CacheEvents) IncarnationID() string { return c.Incarnation }

// NextPosition returns the sequence number after which the next events are to be requested.
func (c CacheEvents) NextPosition() uint64 { return c.Next }

// Count returns the number of events.
func (c CacheEvents) Count() int { return len(c.Events) }

type wireCacheEvents struct {
	Incarnation string            `json:"incarnation"`
	Events      []json.RawMessage `json:"events"`
	Next        uint64            `json:"next"`
}

type wireCacheEvent struct {
	Seq     uint64         `json:"seq"`
	Kind    CacheEventKind `json:"kind"`
	Account string         `json:"account"`
	Weights string         `json:"weights"`
	Block   string         `json:"block"`
	Tokens  int            `json:"tokens"`
}

// CacheEvents requests the events after the sequence number. If there are none yet, the engine
// delays its response until there are, for at most the given time. Events that can't be parsed are
// skipped, so they count as lost.
func (c *Client) CacheEvents(ctx context.Context, target netip.AddrPort, after uint64, wait time.Duration) (events CacheEvents, err error) {
	defer Error.WrapP(&err)
	query := encodeQuery("after", strconv.FormatUint(after, 10), "wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	call := controlCall{method: http.MethodGet, path: "/v1/cache_events" + query, extraTimeout: wait}
	var wire wireCacheEvents
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	if err != nil {
		return CacheEvents{}, err
	}
	events = CacheEvents{Incarnation: wire.Incarnation, Next: wire.Next}
	for _, text := range wire.Events {
		var event wireCacheEvent
		if json.Unmarshal(text, &event) != nil || event.Tokens < 0 {
			continue
		}
		block, err := hasher.ParseBlock(event.Block)
		if err != nil {
			continue
		}
		events.Events = append(events.Events, CacheEvent{
			Seq: event.Seq, Kind: event.Kind, Account: event.Account, Weights: event.Weights,
			Block: block, Tokens: event.Tokens,
		})
	}
	return events, nil
}
