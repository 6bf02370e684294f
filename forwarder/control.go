package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// controlCall is a short call beside the requests of callers.
type controlCall struct {
	method string
	path   string
	body   []byte
	// wait is added to the timeout of calls that wait at the target.
	wait  time.Duration
	limit int64
	// fresh calls get a connection of their own.
	fresh bool
}

// control sends a call and hands the body of a 200 answer to decode. Other statuses become a
// StatusError.
func (c *Client) control(ctx context.Context, target netip.AddrPort, call controlCall, decode func([]byte) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ControlTimeout+call.wait)
	defer cancel()
	a, err := c.newAttempt(ctx, target, call.method, call.path, bytes.NewReader(call.body))
	if err != nil {
		return err
	}
	defer a.cancel(nil)
	response, err := a.do(c.transportFor(!call.fresh), c.settings.ControlTimeout+call.wait)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	limit := max(call.limit, c.settings.MaxBodyBytes)
	body, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return a.broken(err)
	}
	if response.StatusCode != http.StatusOK {
		return &statusAnswer{StatusError: StatusError{Status: response.StatusCode, Code: codeOf(body)}, body: body}
	}
	if decode == nil {
		return nil
	}
	if err := decode(body); err != nil {
		return &BrokenError{Target: target, Cause: &MalformedError{Part: call.path}, Sent: true}
	}
	return nil
}

// statusAnswer keeps the body of an answer with another status than 200.
type statusAnswer struct {
	StatusError
	body []byte
}

// Unwrap returns the exported part.
func (s *statusAnswer) Unwrap() error { return &s.StatusError }

func isStatus(err error, status int) bool {
	var answer *statusAnswer
	return errors.As(err, &answer) && answer.Status == status
}

func codeOf(body []byte) string {
	var refused wireRefusal
	if json.Unmarshal(body, &refused) != nil {
		return ""
	}
	return refused.Error.Code
}

// Load is what a target reports of itself. It lags, but for Progress.
type Load struct {
	Incarnation string
	// Progress is counted at the moment of the answer. It grows with every step of the
	// scheduler and every token.
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
	Measured            time.Time
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

// Load polls an engine.
func (c *Client) Load(ctx context.Context, target netip.AddrPort) (load Load, err error) {
	defer Error.WrapP(&err)
	return c.loadAt(ctx, target, controlCall{method: http.MethodGet, path: "/v1/load"})
}

// ServiceLoad polls a plain service.
func (c *Client) ServiceLoad(ctx context.Context, target netip.AddrPort) (load Load, err error) {
	defer Error.WrapP(&err)
	return c.loadAt(ctx, target, controlCall{method: http.MethodGet, path: "/load"})
}

// Poll polls an engine or a plain service, at most for the given time. A fresh poll opens a
// connection of its own, which shows whether the target still accepts any.
func (c *Client) Poll(ctx context.Context, target netip.AddrPort, service, fresh bool, wait time.Duration) (load Load, err error) {
	defer Error.WrapP(&err)
	call := controlCall{method: http.MethodGet, path: "/v1/load", fresh: fresh, wait: wait}
	if service {
		call.path = "/load"
	}
	return c.loadAt(ctx, target, call)
}

func (c *Client) loadAt(ctx context.Context, target netip.AddrPort, call controlCall) (load Load, err error) {
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
		Measured: time.UnixMilli(wire.MeasuredUnixMS),
	}, nil
}

// CacheEventKind says what happened to a cached block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's cache.
type CacheEvent struct {
	Seq     uint64
	Kind    CacheEventKind
	Account string
	Weights string
	Block   hasher.Block
	// Tokens counts the whole prefix that the block ends.
	Tokens int
}

// CacheEvents are the changes of an engine's cache behind a sequence number. Sequence numbers
// that are missing belong to lost events.
type CacheEvents struct {
	Incarnation string
	Events      []CacheEvent
	Next        uint64
}

// Life names the incarnation of the engine.
func (c CacheEvents) Life() string { return c.Incarnation }

// Following is the place behind the events.
func (c CacheEvents) Following() uint64 { return c.Next }

// Count is the number of events.
func (c CacheEvents) Count() int { return len(c.Events) }

type wireCacheEvents struct {
	Incarnation string           `json:"incarnation"`
	Events      []wireCacheEvent `json:"events"`
	Next        uint64           `json:"next"`
}

type wireCacheEvent struct {
	Seq     uint64         `json:"seq"`
	Kind    CacheEventKind `json:"kind"`
	Account string         `json:"account"`
	Weights string         `json:"weights"`
	Block   string         `json:"block"`
	Tokens  int            `json:"tokens"`
}

// CacheEvents waits at the engine for events behind the sequence number, at most for the given
// time. Events whose block can't be read are left out.
func (c *Client) CacheEvents(ctx context.Context, target netip.AddrPort, after uint64, wait time.Duration) (events CacheEvents, err error) {
	defer Error.WrapP(&err)
	query := queryOf("after", strconv.FormatUint(after, 10), "wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	call := controlCall{method: http.MethodGet, path: "/v1/cache_events" + query, wait: wait}
	var wire wireCacheEvents
	err = c.control(ctx, target, call, func(body []byte) error { return json.Unmarshal(body, &wire) })
	if err != nil {
		return CacheEvents{}, err
	}
	events = CacheEvents{Incarnation: wire.Incarnation, Next: wire.Next}
	for _, event := range wire.Events {
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
